package gateway

import (
	"sync/atomic"
	"time"
)

// pace is how fast the events of streams come, as a moving average over all
// targets.
type pace struct{ perEvent atomic.Int64 } // ns; 0 before any was seen

const (
	// firstPerEvent is assumed before any stream was seen: three tokens an event,
	// at the pace of 29 ms that 95 in 100 streams are to keep.
	firstPerEvent = 87 * time.Millisecond
	// paceWeight makes some twenty streams visible in the average.
	paceWeight = 0.05
)

// saw records a stream of so many events.
func (p *pace) saw(events int, took time.Duration) {
	if events < 2 {
		return
	}
	sample := float64(took) / float64(events-1)
	old := float64(p.of(1))
	p.perEvent.Store(int64(old + paceWeight*(sample-old)))
}

// of forecasts how long so many events take.
func (p *pace) of(events int) time.Duration {
	if ns := p.perEvent.Load(); ns > 0 {
		return time.Duration(events) * time.Duration(ns)
	}
	return time.Duration(events) * firstPerEvent
}
