package gateway

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// unreadyDetectionTime is how long the balancer takes to see that the process
	// is not ready: two failed probes one second apart, plus a margin.
	unreadyDetectionTime = 2500 * time.Millisecond
	// answerShare is the share of the stop grace period after which the gateway answers
	// the requests itself that have no response yet.
	answerShare = 0.9
	// exitShare is the share of the stop grace period after which streams are cut and the
	// process exits once their handlers have ended, at the latest after endShare. The rest is
	// for its end.
	exitShare        = 0.95
	endShare         = 0.98
	stopPollInterval = 20 * time.Millisecond
	// firstRequestTime is how long the first request on a new connection may take to
	// arrive: a few round trips.
	firstRequestTime = 200 * time.Millisecond
	// targetAnswerReserve is how much earlier than the gateway a target gives up on a
	// request while the process is stopping, so that its response still counts. It is also
	// how much earlier than the exit what is kept back of a stream is given up.
	targetAnswerReserve = 100 * time.Millisecond
)

// errStopping is the cancellation cause of a request that the stop of the process ends.
const errStopping = errors.ConstError("stopping")

// stopSchedule holds the times of a stop.
type stopSchedule struct {
	// unready is when the balancer has had time to see that the process is stopping.
	// From then on a request is only sent to a target if its response will be complete
	// in time.
	unready time.Time
	// answerBy is when the gateway answers the requests itself that have no response yet.
	answerBy time.Time
	// exit is when streams that still run are cut.
	exit time.Time
	// end is when the process exits although handlers have not ended.
	end time.Time
	// suspended is how long the VM had been suspended when the times were set.
	suspended time.Duration
}

// discount returns the schedule after the VM was suspended for a total time. The monotonic
// clock does not count it, but the platform does.
func (s stopSchedule) discount(total time.Duration) stopSchedule {
	d := s.suspended - total
	return stopSchedule{unready: s.unready.Add(d), answerBy: s.answerBy.Add(d), exit: s.exit.Add(d), end: s.end.Add(d), suspended: total}
}

// newStopSchedule returns the schedule of a stop that began at the given time and is
// followed by a kill after the grace period.
func newStopSchedule(began time.Time, grace time.Duration) stopSchedule {
	s := stopSchedule{
		unready:  began.Add(unreadyDetectionTime),
		answerBy: began.Add(time.Duration(answerShare * float64(grace))),
		exit:     began.Add(time.Duration(exitShare * float64(grace))),
		end:      began.Add(time.Duration(endShare * float64(grace))),
	}
	if s.unready.After(s.answerBy) {
		s.unready = s.answerBy
	}
	return s
}

// stopState is the schedule of the stop once the process is stopping.
type stopState struct {
	schedule *atomic.Pointer[stopSchedule]
	done     chan struct{} // closed when the stop begins
	// noOtherEntry says that the balancer still chooses this process although it knows
	// that it is stopping: it has no other entry to choose.
	noOtherEntry *atomic.Bool
	// noMoreSends says that the process ends once the requests that were sent have.
	noMoreSends *atomic.Bool
}

func newStopState() stopState {
	return stopState{schedule: new(atomic.Pointer[stopSchedule]), done: make(chan struct{}), noOtherEntry: new(atomic.Bool), noMoreSends: new(atomic.Bool)}
}

// begin begins the stop.
func (s stopState) begin(schedule stopSchedule) {
	s.schedule.Store(&schedule)
	close(s.done)
}

// begun reports whether the process is stopping.
func (s stopState) begun() bool { return s.schedule.Load() != nil }

// unready reports whether the balancer knows that the process is stopping.
func (s stopState) unready(now time.Time) bool {
	schedule := s.schedule.Load()
	return schedule != nil && !now.Before(schedule.unready)
}

// observeAccept records that the balancer has chosen this process for a connection.
func (s stopState) observeAccept(now time.Time) {
	if s.unready(now) {
		s.noOtherEntry.Store(true)
	}
}

// retryAfter returns the Retry-After time of a request that would not finish before the
// process exits: at once at another entry, or else when this one is back.
func (s stopState) retryAfter() time.Duration {
	if schedule := s.schedule.Load(); schedule != nil && s.noOtherEntry.Load() {
		return time.Until(schedule.answerBy) + restartTime
	}
	return otherEntryRetryAfter
}

// Stop answers all requests that it has read: with their targets' responses if these are
// complete in time, or else by itself. It still takes new requests that can finish in
// time, because the balancer has no other choice when all entries of a failure domain stop
// at once.
func (g *Gateway) Stop(context.Context) error {
	began := time.Now()
	schedule := newStopSchedule(began, g.stopGrace())
	schedule.suspended = g.suspended()
	g.stop.begin(schedule)
	g.Info("msg", "stopping", "active", g.active.Load())
	g.awaitRequests()
	_ = g.listener.Close()
	g.awaitLastRequests()
	g.Info("msg", "finished", "unfinished", g.active.Load(), "after", time.Since(began))
	return nil
}

// stopGrace returns the time between SIGTERM and SIGKILL, as the settings file states it now.
func (g *Gateway) stopGrace() time.Duration {
	known := g.node.Bounds.StopGrace
	current, err := g.settings()
	if err != nil {
		g.Warn("msg", "failed to read the grace of the stop; the one from the start is used", "grace", known, "err", err)
		return known
	}
	if grace := current.Bounds.StopGrace; grace != known {
		g.Info("msg", "the grace of the stop has changed since the start", "before", known, "grace", grace)
		return grace
	}
	return known
}

// awaitRequests waits until no request is in progress and the balancer sends no more, or
// until the time for responses is over. Meanwhile it closes idle connections and ends the
// requests that run out of time.
func (g *Gateway) awaitRequests() {
	for {
		s, now := g.currentSchedule(), time.Now()
		if !now.Before(s.answerBy) {
			return
		}
		g.endOverdue(now)
		if !now.Before(s.unready) {
			g.conns.closeIdle()
			if g.active.Load() == 0 {
				return
			}
		}
		time.Sleep(stopPollInterval)
	}
}

// awaitLastRequests waits, after the listener was closed, for requests that are already on
// their way on accepted connections, and for streams.
func (g *Gateway) awaitLastRequests() {
	lastRead := time.Now().Add(firstRequestTime)
	for {
		s, now := g.currentSchedule(), time.Now()
		g.endOverdue(now)
		if !now.Before(s.exit) {
			break
		}
		g.conns.closeIdle()
		if !now.Before(lastRead) {
			g.conns.endReads(connReading)
		}
		if !now.Before(s.answerBy) {
			g.conns.endReads(connReadingBody)
		}
		time.Sleep(stopPollInterval) // also for a connection accepted last
		if g.active.Load() > 0 || g.conns.unserved() > 0 && now.Before(lastRead) {
			continue
		}
		if g.stop.noMoreSends.Swap(true) {
			return // a request that was sent before would be in progress
		}
	}
	for _, q := range g.conns.unread() {
		g.Info("msg", "response cut at the exit", "request", q.attempt, "cause", "unread by its caller")
	}
	for g.active.Load() > 0 && time.Now().Before(g.currentSchedule().end) {
		time.Sleep(stopPollInterval)
	}
}

// currentSchedule returns the schedule of the stop, and keeps it right when the VM was
// suspended.
func (g *Gateway) currentSchedule() stopSchedule {
	s := *g.stop.schedule.Load()
	if total := g.suspended(); total > s.suspended {
		s = s.discount(total)
		g.stop.schedule.Store(&s)
		g.Info("msg", "suspended while stopping", "left", time.Until(s.exit))
	}
	return s
}

// endOverdue ends the requests that have run out of time.
func (g *Gateway) endOverdue(now time.Time) {
	for _, x := range g.conns.exchanges() {
		p := x.phase.Load()
		if due, stopping := x.stopDue(p); stopping && !now.Before(due) {
			x.endForStop(p)
		}
	}
}

// phase is how far the handling of a request has come.
type phase = uint32

const (
	phaseWaiting   phase = iota // no target has the request
	phaseSent                   // a target may have run it
	phaseStreaming              // its caller has got a part of the response
	phaseEnded                  // the stop of the process has ended it
)

// stopDue returns when the stop of the process ends the request in a phase, if the process
// is stopping. A request that no target has is refused as long as that is true and in time;
// one that was sent is answered at the end; a stream may go on until the process exits.
func (x *exchange) stopDue(p phase) (time.Time, bool) {
	s := x.g.stop.schedule.Load()
	if s == nil {
		return time.Time{}, false
	}
	switch p {
	case phaseStreaming:
		return s.exit, true
	case phaseSent:
		if x.keptBack.Load() {
			return s.exit.Add(-targetAnswerReserve), true // it may still become complete
		}
		return s.answerBy, true
	}
	if x.g.stop.noMoreSends.Load() {
		return s.unready, true
	}
	if x.route.RetryPolicy == platform.RunStream && !x.began.Before(s.unready) && !x.g.stop.noOtherEntry.Load() {
		return s.unready, true // another entry serves it without keeping it back
	}
	due := s.answerBy.Add(-x.forecastDuration())
	if due.Before(s.unready) {
		return s.unready, true
	}
	return due, true
}

// untilStop returns how long the request may still wait for a target before the stop of
// the process ends it.
func (x *exchange) untilStop() time.Duration {
	due, stopping := x.stopDue(x.phase.Load())
	if !stopping {
		return math.MaxInt64
	}
	return max(time.Until(due), 0)
}

// overdue reports whether the stop of the process leaves no time to serve the request.
func (x *exchange) overdue() bool { return x.untilStop() == 0 }

// stopped reports whether the stop of the process has ended the request.
func (x *exchange) stopped() bool {
	return x.phase.Load() == phaseEnded || context.Cause(x.ctx) == errStopping
}

// endForStop ends the request, in whatever it is waiting for, unless it has left the phase.
func (x *exchange) endForStop(p phase) {
	if p == phaseStreaming || x.phase.CompareAndSwap(p, phaseEnded) {
		x.cancel(errStopping)
	}
}

// beginSend reports whether the request may be sent to a target. Once it has begun, a
// stop of the process no longer ends it as one that has not run.
func (x *exchange) beginSend() bool {
	if x.overdue() {
		return false
	}
	x.sentLate = x.sentLate || x.g.stop.unready(time.Now())
	return x.phase.CompareAndSwap(phaseWaiting, phaseSent) || x.phase.Load() != phaseEnded
}

// endSend records that no target has run the request.
func (x *exchange) endSend() { x.phase.CompareAndSwap(phaseSent, phaseWaiting) }

// beginStream reports whether the response may begin with some bytes, now or once it is sure
// to be complete when the process exits.
func (x *exchange) beginStream(size int) bool {
	switch x.streamStart(time.Now(), size) {
	case startNever:
		return false
	case startLater:
		x.c.delayed = true
		x.keptBack.Store(true)
		return true
	}
	return x.openStream()
}

// targetTime returns the time that a target may spend on the request.
func (x *exchange) targetTime() time.Duration {
	left := x.remaining()
	if s := x.g.stop.schedule.Load(); s != nil && x.route.RetryPolicy != platform.RunStream {
		left = min(left, time.Until(s.answerBy)-targetAnswerReserve)
	}
	return left
}

// reasonStopping is the reason of the refusal of a request that the process would not
// finish before it exits.
const reasonStopping = "stopping"

// stopRefusal is the refusal of a request that the stop of the process leaves no time for.
func (x *exchange) stopRefusal() refusal {
	return refusal{reason: reasonStopping, wait: x.g.stop.retryAfter()}
}

const (
	// otherEntryRetryAfter is short because other entries already receive the new
	// connections.
	otherEntryRetryAfter = 100 * time.Millisecond
	// restartTime is the time until the platform has restarted a process and its
	// balancer sees that it is ready. The balancer probes once a second.
	restartTime = 1500 * time.Millisecond
)
