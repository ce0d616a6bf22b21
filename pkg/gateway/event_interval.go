package gateway

import (
	"sync/atomic"
	"time"
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
