package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
	"github.com/hyssoproad/hyssoproad/platform"
)

// outcome is the result of one send to a target.
type outcome uint8

const (
	// outcomeDelivered: the caller has its response or has disconnected.
	outcomeDelivered outcome = iota
	// outcomeNotRun: the target did not run the request and never will.
	outcomeNotRun
	// outcomeFailed: the target ran the request and returned an error, which is
	// held back while another target may succeed.
	outcomeFailed
	// outcomeUnknown: the request was sent, but no complete response arrived.
	outcomeUnknown
	// outcomeUnsent: the target left, a part of the prompt was banned, the key was removed,
	// or the stop of the process left no time, before the request was sent.
	outcomeUnsent
)

var outcomeNames = [...]string{"delivered", "not-run", "failed", "unknown", "unsent"}

// String returns the outcome's name.
func (o outcome) String() string { return outcomeNames[o] }

// exchange is the handling of one request. sends counts the targets that it was sent
// to, and runs those that may have run it.
type exchange struct {
	g        *Gateway
	c        *callerConn
	q        *request
	ctx      context.Context
	cancel   context.CancelCauseFunc
	began    time.Time
	deadline time.Time // the earlier of the caller's and the route's deadline
	route    *platform.Route
	service  platform.Service
	// configuration is the configuration that the request is served by.
	configuration *platform.Configuration
	// account is the client account that holds the request's key; nil if it needs none.
	account *platform.Account

	phase       atomic.Uint32 // one of the phases; the stop of the process ends some
	sends, runs int
	charge      quotaCharge // what the account has paid for the request
	excluded    []ident.Target
	// reserved is an assignment that was acquired while another target stalled.
	reserved *assignment
	// abandoned is the send that was abandoned last, until its target is known to have
	// ended it.
	abandoned *abandonedSend
	// identity is the request's fingerprint; nil until it is computed.
	identity *quarantine.Fingerprint
	// suspected says that a target had ended under the request before the last loss.
	suspected bool
	// trial says that the request is sent although it is banned.
	trial bool
	// last is the last step taken at a target.
	last attemptStep
	// suspendedBefore is how long the VM had been suspended when the request arrived.
	suspendedBefore time.Duration
	// failedResponse is a target's error response. It is forwarded if no other
	// target succeeds. The capacity of its body counts in the body buffers.
	failedResponse *forward.Response
	failedBody     []byte
	// load is the load that the last response states.
	load   platform.TargetLoad
	origin streamOrigin
	// unread is how long the caller has kept the stream from being read.
	unread unreadTime
	// eventSeen says that the last target has sent an event.
	eventSeen bool
	// State of a streamed response.
	streamStarted bool       // the head of a streamed response was forwarded
	streamForm    streamForm // of that response
	lastEvent     string
	lastEventAt   time.Time // when events were last forwarded
	events        int       // that were forwarded
	complete      bool      // the end of the stream was forwarded
	// delayedSince is when the first event came of a stream that may be kept back, and
	// delayedEvents the number of events until then.
	delayedSince  time.Time
	delayedEvents int
	keptBack      atomic.Bool // all that came of the response so far
	sentLate      bool        // when the balancer knew that the process is stopping
}

// handle serves one request. It reports whether the connection can be used further.
func (g *Gateway) handle(ctx context.Context, c *callerConn, q *request, began time.Time) bool {
	if !g.awaitSync(ctx, q.callerTimeout) {
		wait := syncRetryAfter
		if g.stop.begun() {
			wait = g.stop.retryAfter()
		}
		if hasDisconnected(ctx) {
			c.logDisconnected(q)
			return false
		}
		return c.writeError(fasthttp.StatusServiceUnavailable, "no configuration yet", g.addJitter(wait)) == nil
	}
	route, configuration := g.directory.Find(string(q.head.Host()), q.path)
	if route == nil {
		return c.writeError(fasthttp.StatusNotFound, "no route", 0) == nil
	}
	wait := route.Timeout
	if q.callerTimeout > 0 {
		wait = min(wait, q.callerTimeout)
	}
	deadline := began.Add(wait)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, cancelTimer := context.WithDeadline(ctx, deadline)
	defer cancelTimer()
	x := &exchange{
		g: g, c: c, q: q, ctx: ctx, cancel: cancel, began: began, deadline: deadline, route: route, lastEvent: q.lastEvent,
		configuration: configuration, service: configuration.Services[pickService(route, q.attempt)], suspendedBefore: g.suspended(),
	}
	g.metrics.requests.Inc(1)
	if d := x.authenticate(); d != denialNone {
		x.logDenial(d)
		return x.answerDenial(d)
	}
	g.budget(x.service.Name).countRequest()
	g.conns.setExchange(c, x)
	defer g.conns.set(c, connServing)
	defer x.recordLength()
	if o, wait := x.pay(); o != quotaPaid {
		return x.finishOverQuota(o, wait)
	}
	defer x.settle()
	return x.run()
}

// run sends the request to targets until the caller has a response. It reports
// whether the connection can be used further.
func (x *exchange) run() bool {
	defer x.releaseReserved()
	defer x.endAbandoned()
	defer func() { x.g.bodies.release(cap(x.failedBody)) }()
	if why, ok := x.findOrigin(); !ok {
		return x.finishUnserved(why)
	}
	for {
		if x.awaitAbandoned() && x.expired() && !x.stopped() {
			return x.finishTimedOut(outcomeUnknown)
		}
		assigned, refusal := x.nextAssignment()
		if assigned == nil {
			return x.finishUnserved(refusal)
		}
		x.discountSuspension()
		if assigned.lapsed(x.g.suspended()) && !x.expired() {
			x.g.Info("msg", "grant lapsed before the request was sent", "request", x.q.attempt, "target", assigned.target.Instance)
			assigned.release()
			continue
		}
		if o, wait := x.renewCharge(); o != quotaPaid {
			assigned.release()
			return x.finishOverQuota(o, wait)
		}
		x.sends++
		o := x.sendOnce(assigned)
		if o != outcomeNotRun && o != outcomeUnsent {
			x.charge.spent = true
		}
		if x.abandoned == nil {
			assigned.release()
		}
		x.logSendEnd(assigned, o)
		if o == outcomeDelivered {
			return !x.callerDisconnected()
		}
		x.dropDelayed()
		if x.expired() && !x.stopped() {
			return x.finishTimedOut(o)
		}
		if o == outcomeUnsent {
			x.sends--
			continue
		}
		x.excluded = append(x.excluded, assigned.target.Instance)
		if o != outcomeNotRun {
			x.runs++
		}
		if x.runs == 0 {
			x.endSend()
		}
		if x.reserved == nil && !x.mayRetry(o) {
			return x.finishUnserved(x.retryRefusal())
		}
	}
}

// nextAssignment returns the reserved assignment, or else acquires one.
func (x *exchange) nextAssignment() (*assignment, refusal) {
	if x.stopped() || x.overdue() {
		return nil, x.stopRefusal()
	}
	if d := x.authenticate(); d != denialNone {
		return nil, d.refusal()
	}
	if a := x.reserved; a != nil {
		x.reserved = nil
		return a, refusal{}
	}
	return x.acquireAssignment()
}

// releaseReserved releases a reserved assignment that was not used.
func (x *exchange) releaseReserved() {
	if x.reserved != nil {
		x.reserved.release()
	}
}

// retryRefusal is the refusal of a request that its target did not run and that may
// not be sent to another one.
func (x *exchange) retryRefusal() refusal {
	if d := x.authenticate(); d != denialNone {
		return d.refusal()
	}
	return refusal{reason: "target did not run it", wait: x.route.Objective}
}

// discountSuspension takes the time that the VM was suspended off the deadline. The
// monotonic clock does not count it, but callers do.
func (x *exchange) discountSuspension() {
	if total := x.g.suspended(); total > x.suspendedBefore {
		x.deadline = x.deadline.Add(x.suspendedBefore - total)
		x.suspendedBefore = total
	}
}

// maxSends bounds the number of targets that one request is sent to.
const maxSends = 3

// mayRetry reports whether the request may be sent to another target after the
// outcome. If so, it has taken the retry from the service's retry budget.
func (x *exchange) mayRetry(o outcome) bool {
	if x.stopped() {
		return false
	}
	if o == outcomeUnknown && !x.eventSeen && x.g.quarantine.Suspected(x.q.parts) {
		return false // it may have ended its engine, as others with the part did
	}
	if o == outcomeUnknown && x.suspected {
		return false // it may have ended this target too
	}
	if o != outcomeNotRun && (!x.retryable() || x.runs >= x.route.MaxTargets) {
		return false
	}
	return x.sends < maxSends && x.remaining() >= minRemaining && x.takeRetry()
}

// takeRetry takes a retry from the service's retry budget and reports whether there
// was one.
func (x *exchange) takeRetry() bool {
	if !x.g.budget(x.service.Name).allow(x.g.entryCount.Estimate()) {
		x.g.Info("msg", "retry budget spent", "request", x.q.attempt, "service", x.service.Name, "target", x.last.target, "step", x.last.step)
		return false
	}
	x.g.metrics.retries.Inc(1)
	return true
}

// minRemaining is the remaining time below which another send is not worthwhile.
const minRemaining = 20 * time.Millisecond

func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// expired reports whether the request has timed out or its caller has disconnected.
// It checks the time as well because a read deadline can expire just before that of
// the context.
func (x *exchange) expired() bool { return x.ctx.Err() != nil || x.remaining() <= 0 }

// sendOnce sends the request to the assigned target once.
func (x *exchange) sendOnce(a *assignment) outcome {
	maxIdle := forward.MaxIdle
	if !x.retryable() {
		maxIdle = maxIdleNonRetryable
	}
	if !forward.Shareable(x.q.method, x.q.attempt) {
		maxIdle = 0 // only a new connection carries no responses to other requests
	}
	x.eventSeen, x.unread = false, unreadTime{}
	x.begin(a, stepDial)
	conn, err := x.g.pool.Get(x.ctx, a.target.Address, x.q.attempt, maxIdle)
	if err != nil {
		x.fail(a, stepDial, err)
		return outcomeNotRun
	}
	if _, banned := x.banned(); banned {
		conn.Close()
		return outcomeUnsent
	}
	if a.agent == nil && !a.permitted {
		if _, granted := x.g.permit(x.ctx, a.target, 0); !granted {
			x.g.pool.Put(conn)
			return outcomeUnsent // it has stated a limit since
		}
	}
	if !x.g.mayReceive(a.target) || !x.goesOnAt(a) {
		conn.Close()
		x.g.Info("msg", "target left before the request was sent", "request", x.q.attempt, "target", a.target.Instance)
		return outcomeUnsent
	}
	if x.authenticate() != denialNone {
		x.g.pool.Put(conn)
		return outcomeUnsent // its key was removed meanwhile
	}
	if a.lapsed(x.g.suspended()) || a.agent != nil && isClosed(a.agent) {
		// The agent, or the one that replaces it, may have given the place away.
		x.g.pool.Put(conn)
		x.g.Info("msg", "grant ended before the request was sent", "request", x.q.attempt, "target", a.target.Instance)
		return outcomeUnsent
	}
	if !x.beginSend() {
		conn.Close()
		return outcomeUnsent
	}
	// Abandoning the request makes the target stop its work on it.
	conn.Bind(x.ctx)
	sent := time.Now()
	x.logSend(a, sent)
	x.begin(a, stepSend)
	if err := x.writeRequest(a, conn); err != nil {
		x.countReuseFailed(conn, err)
		x.abandon(a, conn)
		x.fail(a, stepSend, err)
		return outcomeUnknown
	}
	x.begin(a, stepAnswer)
	conn.OnStall(x.stallHandler(a))
	conn.OnStray(x.strayHandler(a))
	res, err := conn.Receive(x.q.method, x.q.attempt, x.firstByteDeadline(sent))
	if err != nil {
		x.countReuseFailed(conn, err)
		x.abandon(a, conn)
		x.fail(a, stepAnswer, err)
		return outcomeUnknown
	}
	return x.handleResponse(a, res, sent)
}

// writeRequest writes the request to a target. A large body is not copied.
func (x *exchange) writeRequest(a *assignment, conn *forward.Conn) error {
	buffer := bytebufferpool.Get()
	defer bytebufferpool.Put(buffer)
	buffer.B = x.q.encodeHead(buffer.B, sendParams{remaining: x.targetTime(), instance: a.instance, version: a.version, lastEvent: x.lastEvent, account: x.accountName()})
	if len(x.q.body) <= maxCopiedBytes {
		buffer.B = append(buffer.B, x.q.body...)
		return conn.Send(buffer.B, x.deadline)
	}
	if err := conn.Send(buffer.B, x.deadline); err != nil {
		return errors.Trace(err)
	}
	return conn.Send(x.q.body, x.deadline)
}

// maxIdleNonRetryable bounds the idle time of a connection for a request that must
// not be repeated: the target may have closed one that was idle longer, unnoticed.
const maxIdleNonRetryable = time.Second

func (x *exchange) retryable() bool {
	return x.route.RetryPolicy == platform.RunIdempotent || x.route.RetryPolicy == platform.RunStream && x.route.CanResume
}
