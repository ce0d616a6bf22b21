package gateway

import (
	"time"
)

const (
	// unknownPaceFactor scales the forecast of a stream of whose own pace nothing is known.
	unknownPaceFactor = 4.0
	// minPaceEvents is the number of events after the first from which on a stream's own
	// pace is known.
	minPaceEvents = 2
	// maxDelayedBytes bounds what is kept back of a stream until its pace is known.
	maxDelayedBytes = freeBodyBytes
	// headReserve is room for the head of a response and the framing of its chunks.
	headReserve = 1 << 10
)

// streamStart says when the response of a stream may begin.
type streamStart uint8

const (
	startNow streamStart = iota
	// startLater: it is kept back until it is surely complete before the process exits.
	startLater
	// startNever: it will not be complete.
	startNever
)

// streamStart decides whether the response may begin with some bytes. A stopping process must
// not cut it: a response that is kept back can still be refused whole. One that was sent late
// is kept back until it is complete, since its target may pause at any event. Of the others
// the next events tell the target's pace.
func (x *exchange) streamStart(now time.Time, size int) streamStart {
	s := x.g.stop.schedule.Load()
	switch {
	case s == nil || !x.g.stop.unready(now):
		return startNow
	case x.sentLate && x.c.reserveDelayed(size):
		return startLater
	case x.sentLate:
		return startNever
	}
	events, known := x.g.lengths.Bound(x.route.Name, x.statedEvents())
	if !known {
		return startNow
	}
	interval, factor := x.g.eventInterval.forecast(1), unknownPaceFactor
	if x.delayedSince.IsZero() {
		x.delayedSince, x.delayedEvents = now, x.events
	} else if n := x.events - x.delayedEvents; n >= minPaceEvents {
		interval, factor = max(interval, now.Sub(x.delayedSince)/time.Duration(n)), streamDurationFactor
	}
	left := max(events-float64(x.events), 0) * float64(interval)
	switch {
	case !now.Add(time.Duration(factor * left)).After(s.exit):
		return startNow
	case now.Add(time.Duration(left)).After(s.exit) && (x.events == x.delayedEvents || len(x.c.out) >= maxDelayedBytes):
		return startNever // no margin is added, since a refusal wastes a run by now
	case len(x.c.out) >= maxDelayedBytes:
		return startNow
	}
	return startLater
}

// openStream begins the response, unless the stop of the process has ended the request.
func (x *exchange) openStream() bool {
	x.c.delayed = false
	return x.phase.CompareAndSwap(phaseSent, phaseStreaming) || x.phase.Load() == phaseStreaming
}

// dropDelayed drops what was kept back of a response that failed: its caller has got
// nothing of it.
func (x *exchange) dropDelayed() {
	if !x.c.delayed {
		return
	}
	if x.c.delayedCap > 0 {
		x.c.out = nil
		x.c.releaseDelayed()
	}
	x.c.delayed, x.c.streaming, x.c.out = false, nil, x.c.out[:0]
	x.streamStarted, x.lastEvent, x.lastEventAt, x.events = false, x.q.lastEvent, time.Time{}, 0
	x.delayedSince, x.delayedEvents = time.Time{}, 0
	x.keptBack.Store(false)
}

// reserveDelayed makes room for more bytes of a response that is kept back. It reports whether
// there is memory for them.
func (c *callerConn) reserveDelayed(size int) bool {
	need := len(c.out) + size + headReserve
	if need <= max(cap(c.out), freeBodyBytes) {
		return true
	}
	larger := max(need, 2*cap(c.out))
	if larger > maxHeldBytes || !c.g.bodies.reserve(int64(larger)) {
		return false
	}
	c.out = append(make([]byte, 0, larger), c.out...)
	c.releaseDelayed()
	c.delayedCap = larger
	return true
}

// releaseDelayed gives the memory back that counts for a response that was kept back.
func (c *callerConn) releaseDelayed() {
	c.g.bodies.release(c.delayedCap)
	c.delayedCap = 0
}
