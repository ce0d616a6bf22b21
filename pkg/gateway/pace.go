package gateway

import (
	"math"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/placement"
)

const (
	// paceMemory is the time constant over which the paces that a target states are
	// averaged. It spans many of the intervals of about 600 ms in which a VM is slow: a
	// gateway hears of an engine every few seconds, too rarely to follow them.
	paceMemory = 10 * time.Second
	// paceTTL is how long an average counts after the last pace that was stated. VMs differ
	// in speed for good, and a slow target gets few requests: it would be tried again too
	// often if this was short.
	paceTTL = 30 * time.Second
)

// smoothedPace is the average of the paces that a target has stated, in percent.
type smoothedPace struct {
	average  float64
	statedAt time.Time
}

// record adds a pace that the target has stated.
func (p *smoothedPace) record(pace float64, now time.Time) {
	weight := 1.0
	if p.known(now) {
		weight = 1 - math.Exp(-now.Sub(p.statedAt).Seconds()/paceMemory.Seconds())
	}
	p.average += weight * (pace - p.average)
	p.statedAt = now
}

// known reports whether the target has stated a pace lately.
func (p *smoothedPace) known(now time.Time) bool {
	return !p.statedAt.IsZero() && now.Sub(p.statedAt) < paceTTL
}

// at returns the average, or placement.UsualPace if it is unknown.
func (p *smoothedPace) at(now time.Time) float64 {
	if !p.known(now) {
		return placement.UsualPace
	}
	return p.average
}
