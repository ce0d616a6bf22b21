package gateway

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/placement"
)

// eventInterval is the time between two events of a stream, as a moving average
// over all targets.
type eventInterval struct{ average atomic.Int64 } // in ns; 0 before the first stream

const (
	// initialEventInterval is assumed before the first stream: three tokens per
	// event at 29 ms per token, the objective for 95% of streams.
	initialEventInterval = 87 * time.Millisecond
	// eventIntervalWeight gives the average a memory of about 20 streams.
	eventIntervalWeight = 0.05
)

// record adds the duration of a stream with the given number of events to the
// average.
func (e *eventInterval) record(events int, took time.Duration) {
	if events < 2 {
		return
	}
	sample := float64(took) / float64(events-1)
	old := float64(e.forecast(1))
	e.average.Store(int64(old + eventIntervalWeight*(sample-old)))
}

// forecast returns the expected duration of the given number of events.
func (e *eventInterval) forecast(events int) time.Duration {
	if ns := e.average.Load(); ns > 0 {
		return time.Duration(events) * time.Duration(ns)
	}
	return time.Duration(events) * initialEventInterval
}

const (
	// stepSamples is the number of gaps at the begin of a stream of which the lower
	// quartile is taken. The pace that the response states still holds for them.
	stepSamples = 8
	// stepWeight gives the average a memory of about 50 streams.
	stepWeight = 0.02
)

// stepTime is the time between two events of a stream at the usual pace and without
// prompts in between, as a moving average over the targets that state a pace.
type stepTime struct{ average atomic.Int64 } // in ns; 0 before the first stream

// stepSample holds the gaps between the first events of a stream.
type stepSample struct {
	gaps [stepSamples]time.Duration
	n    int
}

// add adds the time since the last event in which a number of events came. It reports
// whether the sample is complete now.
func (s *stepSample) add(gap time.Duration, events int) bool {
	if s.n == stepSamples || events < 1 {
		return false
	}
	s.gaps[s.n] = gap / time.Duration(events)
	s.n++
	return s.n == stepSamples
}

// record adds a complete sample of a stream at the pace, in percent, to the average. The
// larger gaps have prompts in them, and the smallest ones come from events that the network
// has delayed.
func (t *stepTime) record(s *stepSample, pace float64) {
	slices.Sort(s.gaps[:])
	quartile := float64(s.gaps[stepSamples/4]) * placement.UsualPace / pace
	old := float64(t.average.Load())
	if old == 0 {
		old = quartile
	}
	t.average.Store(int64(old + stepWeight*(quartile-old)))
}
