package grant

import (
	"math"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/forecast"
)

const (
	usualPercent = 100
	// maxPercent is the largest pace that counts. Larger ones are no sensible numbers.
	maxPercent = 10_000
	// paceTTL is how long a pace counts after it was stated. Then usualPercent is assumed.
	paceTTL = 2 * time.Second
	// paceHorizon is the time over whose highest pace the prefill is bounded. It spans
	// one of the intervals of about 600 ms in which a VM is slow, and the time until
	// the first responses show it.
	paceHorizon = time.Second
	// paceWeight is the weight of the newest reading in the average: about the last 40
	// readings count, which are those of several seconds.
	paceWeight = 0.05
	// maxPaceReadings bounds the number of readings that are kept.
	maxPaceReadings = 32
)

// pace is the pace that the engine states. It is unknown before the first reading.
type pace struct {
	// readings are those within paceHorizon that no later one exceeds, oldest first.
	readings []paceStated
	stated   bool // the engine has stated its pace
	// average is the moving average of the readings, as a factor.
	average float64
}

type paceStated struct {
	percent int
	at      time.Time
}

// record records a pace that the engine states. It returns false if the pace is no
// sensible number.
func (p *pace) record(percent int, now time.Time) bool {
	if percent <= 0 || percent > maxPercent {
		return false
	}
	if !p.stated {
		p.stated, p.average = true, float64(percent)/usualPercent
	}
	p.average += paceWeight * (float64(percent)/usualPercent - p.average)
	for len(p.readings) > 0 && p.readings[len(p.readings)-1].percent <= percent {
		p.readings = p.readings[:len(p.readings)-1]
	}
	for len(p.readings) > 0 && (now.Sub(p.readings[0].at) >= paceHorizon || len(p.readings) >= maxPaceReadings) {
		p.readings = p.readings[1:]
	}
	p.readings = append(p.readings, paceStated{percent, now})
	return true
}

// newest returns the pace stated last, as a factor: 1 is usual.
func (p *pace) newest(now time.Time) float64 {
	if n := len(p.readings); n > 0 && now.Sub(p.readings[n-1].at) < paceTTL {
		return float64(p.readings[n-1].percent) / usualPercent
	}
	return 1
}

// highest returns the highest pace stated within paceHorizon, or else the one stated
// last, as a factor.
func (p *pace) highest(now time.Time) float64 {
	for _, r := range p.readings {
		if now.Sub(r.at) < paceHorizon {
			return float64(r.percent) / usualPercent
		}
	}
	return p.newest(now)
}

// prefillModel is the time from a grant to its first event as a linear function of the
// prompt tokens to read, in ms at the usual pace. The older a sample is the less it counts.
type prefillModel struct{ forecast.Line }

const (
	// prefillMemory is the weight of the earlier samples at each further one: about the
	// last 50 count.
	prefillMemory = 0.98
	// Prefill assumed before any sample, in ms and tokens per ms, with the weight of
	// priorSamples samples.
	initialFirstEventMS = 40.0
	priorSamples        = 4.0
	priorTokens         = 1000.0
	// Bounds of the learned prefill speed, in tokens per ms. They span engines of one
	// to many accelerators.
	minPrefillSpeed = 1.0
	maxPrefillSpeed = 200.0
)

func newPrefillModel() prefillModel {
	var m prefillModel
	for _, x := range []float64{0, 2 * priorTokens} {
		m.Add(x, initialFirstEventMS+x/initialTokensPerMS, priorSamples/2)
	}
	return m
}

// record adds the time that the first event after a number of prompt tokens took, at the
// usual pace.
func (m *prefillModel) record(tokens int, took time.Duration) {
	m.Forget(prefillMemory)
	m.Add(float64(tokens), float64(took)/float64(time.Millisecond), 1)
}

// tokensPerMS returns the speed of prefill alone.
func (m *prefillModel) tokensPerMS() float64 {
	variance, covariance := m.Spread()
	msPerToken := covariance / math.Max(variance, 1)
	return min(max(1/math.Max(msPerToken, 1/maxPrefillSpeed), minPrefillSpeed), maxPrefillSpeed)
}

// firstEvent returns the time of a first event besides prefill.
func (m *prefillModel) firstEvent() time.Duration {
	tokens, ms := m.Mean()
	ms -= tokens / m.tokensPerMS()
	return time.Duration(math.Max(ms, 0) * float64(time.Millisecond))
}
