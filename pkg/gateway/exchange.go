package gateway

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/forward"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
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
)

var outcomeNames = [...]string{"delivered", "not-run", "failed", "unknown"}

// String returns the outcome's name.
func (o outcome) String() string { return outcomeNames[o] }

// exchange is the handling of one request. sends counts the targets that it was sent
// to, and runs those that may have run it.
type exchange struct {
	g        *Gateway
	c        *callerConn
	q        *request
	ctx      context.Context
	began    time.Time
	deadline time.Time // the earlier of the caller's and the route's deadline
	route    *platform.Route
	service  platform.Service
	// configuration is the configuration that the request is served by.
	configuration *platform.Configuration

	sends, runs int
	excluded    []ident.Target
	// reserved is an assignment that was acquired while another target stalled.
	reserved *assignment
	// last is the last step taken at a target.
	last attemptStep
	// suspendedBefore is how long the VM had been suspended when the request arrived.
	suspendedBefore time.Duration
	// failedResponse is a target's error response. It is forwarded if no other
	// target succeeds.
	failedResponse *forward.Response
	failedBody     []byte
	// State of a streamed response.
	streamStarted bool // the head of a streamed response was forwarded
	lastEvent     string
}

// handle serves one request. It reports whether the connection can be used further.
func (g *Gateway) handle(ctx context.Context, c *callerConn, q *request, began time.Time) bool {
	if !g.awaitSync(ctx, q.callerTimeout) {
		return context.Cause(ctx) != errCallerDisconnected &&
			c.writeError(fasthttp.StatusServiceUnavailable, "no configuration yet", g.addJitter(syncRetryAfter)) == nil
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
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	x := &exchange{
		g: g, c: c, q: q, ctx: ctx, began: began, deadline: deadline, route: route, lastEvent: q.lastEvent,
		configuration: configuration, service: configuration.Services[pickService(route, q.attempt)], suspendedBefore: g.suspended(),
	}
	g.metrics.requests.Inc(1)
	g.budget(x.service.Name).countRequest()
	if stopAt := g.stopAt.Load(); stopAt != nil && time.Now().Add(x.forecastDuration()).After(*stopAt) {
		return c.writeError(fasthttp.StatusServiceUnavailable, "stopping", g.addJitter(c.stopRetryAfter(*stopAt))) == nil
	}
	return x.run()
}

const (
	// otherEntryRetryAfter is short because other entries already receive the new
	// connections.
	otherEntryRetryAfter = 100 * time.Millisecond
	// restartTime is the time until the platform has restarted a process and its
	// balancer sees that it is ready. The balancer probes once a second.
	restartTime = 1500 * time.Millisecond
	// plainRequestObjectives is the number of latency objectives within which
	// nearly all plain requests finish.
	plainRequestObjectives = 5
	// streamDurationFactor scales the forecast duration of a stream while the
	// process is stopping: the engine may be slower than most, and a cut stream
	// cannot be recovered.
	streamDurationFactor = 2.0
)

// forecastDuration forecasts how long the request will take.
func (x *exchange) forecastDuration() time.Duration {
	if x.route.RetryPolicy == platform.RunStream {
		events := x.q.maxOutputTokens
		if x.service.Engine != nil {
			events /= x.service.Engine.TokensPerEvent
		}
		return 2*x.route.Objective + time.Duration(streamDurationFactor*float64(x.g.eventInterval.forecast(events)))
	}
	return min(x.remaining(), plainRequestObjectives*x.route.Objective)
}

// pickService chooses one of a route's services by weight. The choice depends on
// the attempt ID alone, so that the shares hold across all entries.
func pickService(r *platform.Route, attempt string) ident.Service {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := unitHash(attempt) * total
	for _, s := range r.Split {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// run sends the request to targets until the caller has a response. It reports
// whether the connection can be used further.
func (x *exchange) run() bool {
	defer x.releaseReserved()
	for {
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
		x.sends++
		o := x.sendOnce(assigned)
		assigned.release()
		x.g.metrics.outcomes[o].Inc(1)
		if o == outcomeDelivered {
			return !x.callerDisconnected()
		}
		if x.expired() {
			return x.finishTimedOut(o)
		}
		x.excluded = append(x.excluded, assigned.target.Instance)
		if o != outcomeNotRun {
			x.runs++
		}
		if x.reserved == nil && !x.mayRetry(o) {
			return x.finishUnserved(x.retryRefusal())
		}
	}
}

// nextAssignment returns the reserved assignment, or else acquires one.
func (x *exchange) nextAssignment() (*assignment, refusal) {
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

// callerDisconnected reports whether the caller has closed its connection.
func (x *exchange) callerDisconnected() bool { return context.Cause(x.ctx) == errCallerDisconnected }

// finishUnserved ends a request for which no target returned a complete response.
func (x *exchange) finishUnserved(why refusal) bool {
	if x.callerDisconnected() {
		return false
	}
	if x.streamStarted {
		x.g.metrics.abortedStreams.Inc(1)
		// The body is left unterminated, so that the caller cannot mistake it for
		// complete.
		x.logFailed("stream aborted", "unfinished", 0)
		return false
	}
	if x.failedResponse != nil {
		return x.deliverFailure()
	}
	if x.runs > 0 {
		x.logFailed("request failed", "unknown", fasthttp.StatusBadGateway)
		return x.c.writeError(fasthttp.StatusBadGateway, "target failed, outcome unknown", 0) == nil
	}
	x.g.metrics.refused.Inc(1)
	x.g.Info("msg", "refused", "request", x.q.attempt, "service", x.service.Name, "weights", x.q.weights, "reason", why.reason, "cause", why.cause, "forecast", why.wait, "sends", x.sends, "target", x.last.target, "step", x.last.step, "after", time.Since(x.began))
	return x.c.writeError(fasthttp.StatusServiceUnavailable, why.reason, x.g.addJitter(max(why.wait, minRetryAfter))) == nil
}

// deliverFailure forwards the error response of a target.
func (x *exchange) deliverFailure() bool {
	x.logFailed("request failed", "failed", x.failedResponse.Status)
	return x.c.writeResponse(x.failedResponse, x.failedBody, x.q.method) == nil
}

// logFailed logs the last row of a request that was sent to a target and failed. A
// status of 0 means that the response ends without its end.
func (x *exchange) logFailed(msg, outcome string, status int) {
	x.g.Info("msg", msg, "request", x.q.attempt, "service", x.service.Name, "target", x.last.target, "step", x.last.step, "err", x.last.err,
		"outcome", outcome, "status", status, "sends", x.sends, "last-event", x.lastEvent, "after", time.Since(x.began))
}

// minRetryAfter is the least Retry-After time of a refused request.
const minRetryAfter = 200 * time.Millisecond

// finishTimedOut ends a request that timed out or whose caller disconnected.
func (x *exchange) finishTimedOut(o outcome) bool {
	if x.callerDisconnected() {
		return false
	}
	if x.failedResponse != nil && !x.streamStarted {
		return x.deliverFailure()
	}
	x.g.metrics.timedOut.Inc(1)
	status, result := fasthttp.StatusServiceUnavailable, "not-run"
	if x.runs > 0 || o == outcomeUnknown {
		status, result = fasthttp.StatusGatewayTimeout, "unknown"
	}
	if x.streamStarted {
		x.logFailed("stream timed out", "unfinished", 0)
		return false
	}
	x.logFailed("timed out", result, status)
	return x.c.writeError(status, "timed out, outcome "+result, 0) == nil
}

// muteObjectives is the number of latency objectives after which a target that has not
// answered by the deadline counts as failed.
const muteObjectives = 4

// attemptStep is a step of a send to a target, for the log.
type attemptStep struct {
	target ident.Target
	step   string
	err    error
}

// The steps of a send.
const (
	stepDial   = "dial"
	stepSend   = "send"
	stepAnswer = "answer"
	stepStatus = "status"
	stepBody   = "body"
	stepStream = "stream"
)

// begin records the step that is taken next.
func (x *exchange) begin(a *assignment, step string) {
	x.last = attemptStep{target: a.target.Instance, step: step}
}

// fail records and logs the failure of a step, unless the caller has disconnected or
// the request has timed out too soon to blame the target.
func (x *exchange) fail(a *assignment, step string, err error) {
	x.last = attemptStep{target: a.target.Instance, step: step, err: err}
	if x.callerDisconnected() || x.expired() && (step != stepAnswer || time.Since(x.began) < muteObjectives*x.route.Objective) {
		return
	}
	ejected := x.g.detector(a.target.Service).Record(a.target.Instance, true, time.Now())
	x.g.Info("msg", "target failed", "request", x.q.attempt, "target", a.target.Instance, "service", a.target.Service, "step", step, "err", err, "passed-over", ejected)
}

// sendOnce sends the request to the assigned target once.
func (x *exchange) sendOnce(a *assignment) outcome {
	maxIdle := forward.MaxIdle
	if !x.retryable() {
		maxIdle = maxIdleNonRetryable
	}
	x.begin(a, stepDial)
	conn, err := x.g.pool.Get(x.ctx, a.target.Address, maxIdle)
	if err != nil {
		x.fail(a, stepDial, err)
		return outcomeNotRun
	}
	// Closing the connection makes the target stop its work on the request.
	stop := context.AfterFunc(x.ctx, conn.Close)
	defer stop()
	buffer := bytebufferpool.Get()
	buffer.B = x.q.encode(buffer.B, sendParams{remaining: x.remaining(), instance: a.instance, version: a.version, lastEvent: x.lastEvent})
	sent := time.Now()
	x.begin(a, stepSend)
	err = conn.Send(buffer.B, x.deadline)
	bytebufferpool.Put(buffer)
	if err != nil {
		conn.Close()
		x.fail(a, stepSend, err)
		return outcomeUnknown
	}
	x.begin(a, stepAnswer)
	conn.OnStall(x.stallHandler(a))
	res, err := conn.Receive(x.q.method, x.q.attempt, x.firstByteDeadline(sent))
	if err != nil {
		conn.Close()
		x.fail(a, stepAnswer, err)
		return outcomeUnknown
	}
	return x.handleResponse(a, res, sent)
}

// maxIdleNonRetryable bounds the idle time of a connection for a request that must
// not be repeated: the target may have closed one that was idle longer, unnoticed.
const maxIdleNonRetryable = time.Second

func (x *exchange) retryable() bool {
	return x.route.RetryPolicy == platform.RunIdempotent || x.route.RetryPolicy == platform.RunStream && x.route.CanResume
}

// firstByteDeadline returns the deadline of the target's first bytes. It is the
// request's own deadline unless the request may run on another target.
func (x *exchange) firstByteDeadline(sent time.Time) time.Time {
	return x.failoverDeadline(sent.Add(max(firstByteObjectives*x.route.Objective, minFirstByteWait)))
}

// failoverDeadline returns the time to give up on an unresponsive target: the given
// time if the request may run on another one, or else the request's deadline.
func (x *exchange) failoverDeadline(failoverAt time.Time) time.Time {
	if !x.retryable() || x.runs+1 >= x.route.MaxTargets || x.deadline.Before(failoverAt) {
		return x.deadline
	}
	return failoverAt
}

const (
	// firstByteObjectives is the number of latency objectives after which a target
	// that has sent nothing counts as stuck. Callers abandon a stream after 4.
	firstByteObjectives = 2
	minFirstByteWait    = 300 * time.Millisecond
)

// handleResponse forwards a response to the caller, or classifies it as a failure.
func (x *exchange) handleResponse(a *assignment, res *forward.Response, sent time.Time) outcome {
	if load, ok := platform.ParseLoad([]byte(res.Value(platform.HeaderLoad))); ok {
		x.g.loads.record(a.target.Instance, load, time.Now())
	}
	if res.Status == fasthttp.StatusMisdirectedRequest || res.Value(platform.HeaderNotExecuted) != "" {
		x.logNotRun(a, res)
		x.finish(res, res.Discard())
		return outcomeNotRun
	}
	if res.Status < 300 && res.Value(platform.HeaderSignature) == "" {
		x.finish(res, forward.ErrInvalidResponse)
		x.fail(a, stepAnswer, errors.Annotate(forward.ErrInvalidResponse, "missing signature"))
		return outcomeUnknown
	}
	if x.route.RetryPolicy == platform.RunStream && res.Status < 300 {
		return x.forwardStream(a, res, sent)
	}
	x.begin(a, stepBody)
	body, err := x.readBody(res)
	defer x.g.bodies.release(cap(body))
	x.finish(res, err)
	if err != nil {
		x.fail(a, stepBody, err)
		return outcomeUnknown
	}
	if res.Status >= 500 {
		x.fail(a, stepStatus, errors.Errorf("status %d", res.Status))
		if x.streamStarted {
			return outcomeUnknown
		}
		x.failedResponse, x.failedBody = res, bytes.Clone(body)
		return outcomeFailed
	}
	x.g.recordSuccess(a.target)
	if x.streamStarted {
		return outcomeUnknown // the target did not resume the stream
	}
	if err := x.c.writeResponse(res, body, x.q.method); err != nil {
		x.c.closeAfterResponse = true
	}
	return outcomeDelivered
}

// logNotRun logs that a target did not run the request.
func (x *exchange) logNotRun(a *assignment, res *forward.Response) {
	x.g.Info("msg", "target did not run the request", "request", x.q.attempt, "target", a.target.Instance, "status", res.Status, "version", a.version)
	if res.Status == fasthttp.StatusMisdirectedRequest && x.g.fleet.Contradict(a.target) {
		x.g.Info("msg", "another target has this address", "target", a.target.Instance, "address", a.target.Address)
	}
}

// finish returns the connection to the pool, or closes it after an error.
func (x *exchange) finish(res *forward.Response, err error) {
	if err != nil {
		res.Close()
		return
	}
	x.g.pool.Release(res)
}

const (
	// maxResponseBytes bounds a response that is buffered before it is forwarded.
	maxResponseBytes = 16 << 20
	firstBodyBytes   = 4 << 10
)

// readBody reads a complete body. The caller releases the buffer's capacity to the
// body buffers, also after an error.
func (x *exchange) readBody(res *forward.Response) ([]byte, error) {
	res.SetReadDeadline(x.deadline)
	if res.Length() > maxResponseBytes {
		return nil, errors.Annotatef(forward.ErrInvalidResponse, "response of %d bytes exceeds %d", res.Length(), maxResponseBytes)
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			larger, ok := x.g.bodies.grow(body, res.Length())
			if !ok {
				return body, errors.Annotatef(forward.ErrInvalidResponse, "no memory for more than %d bytes of the response", len(body))
			}
			body = larger
		}
		n, err := res.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, errors.Wrap(err, forward.ErrInvalidResponse)
		}
		if len(body) > maxResponseBytes {
			return body, errors.Annotatef(forward.ErrInvalidResponse, "response exceeds %d bytes", maxResponseBytes)
		}
	}
}

// refusal is the reason why no target takes a request, and when to retry.
type refusal struct {
	reason string
	cause  wire.GrantReason // reason of the engine with the shortest wait
	wait   time.Duration
}

// assignment is the target that a request is sent to.
type assignment struct {
	target fleet.Target
	// instance is the target's instance name: as its agent reports it, or else as
	// listed in the store.
	instance ident.Target
	version  ident.Version // adapter version on the target; 0 if none
	release  func()
	// acquired is when the assignment was granted, and suspended how long the VM had
	// been suspended by then. Both are zero if the assignment does not lapse.
	acquired         time.Time
	suspended        time.Duration
	reportFirstEvent func(time.Duration) // reports the time to the first event to the agent
	reportPause      func(time.Duration) // reports the longest pause between two events to the agent
}

// grantLease is how long a grant may be held before the request is sent. The agent
// holds a grant for longer than that after it has last heard from an entry.
const grantLease = 2 * time.Second

// lapsed reports whether the assignment's lease has ended: the process was paused
// between the grant and the send, and the agent may have given the place away. The
// argument is how long the VM has been suspended.
func (a *assignment) lapsed(suspended time.Duration) bool {
	return !a.acquired.IsZero() && time.Since(a.acquired)+suspended-a.suspended > grantLease
}
