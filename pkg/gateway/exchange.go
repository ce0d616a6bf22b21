package gateway

import (
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
		configuration: configuration, service: configuration.Services[pickService(route, q.attempt)],
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
	for {
		assigned, refusal := x.acquireAssignment()
		if assigned == nil {
			return x.finishUnserved(refusal)
		}
		x.sends++
		o := x.sendOnce(assigned)
		assigned.release()
		x.g.metrics.outcomes[o].Inc(1)
		if x.expired() && o != outcomeDelivered {
			return x.finishTimedOut(o)
		}
		if o == outcomeDelivered {
			return !x.callerDisconnected()
		}
		x.excluded = append(x.excluded, assigned.target.Instance)
		if o != outcomeNotRun {
			x.runs++
		}
		if !x.mayRetry(o) {
			return x.finishUnserved(refusal)
		}
	}
}

// maxSends bounds the number of targets that one request is sent to.
const maxSends = 3

// mayRetry reports whether the request may be sent to another target after the
// outcome. If so, it has taken the retry from the service's retry budget.
func (x *exchange) mayRetry(o outcome) bool {
	if o != outcomeNotRun {
		if !x.retryable() || x.runs >= x.route.MaxTargets {
			return false
		}
	}
	if x.sends >= maxSends || x.remaining() < minRemaining {
		return false
	}
	if !x.g.budget(x.service.Name).allow(x.g.entryCount.Estimate()) {
		x.g.Info("msg", "retry budget spent", "request", x.q.attempt, "service", x.service.Name, "outcome", o)
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
		x.g.Info("msg", "stream aborted", "request", x.q.attempt, "last-event", x.lastEvent)
		return false
	}
	if x.failedResponse != nil {
		return x.c.writeResponse(x.failedResponse, x.failedBody, x.q.method) == nil
	}
	if x.runs > 0 {
		return x.c.writeError(fasthttp.StatusBadGateway, "target failed, outcome unknown", 0) == nil
	}
	x.g.metrics.refused.Inc(1)
	x.g.Info("msg", "refused", "request", x.q.attempt, "service", x.service.Name, "weights", x.q.weights, "reason", why.reason, "cause", why.cause, "forecast", why.wait, "sends", x.sends, "after", time.Since(x.began))
	return x.c.writeError(fasthttp.StatusServiceUnavailable, why.reason, x.g.addJitter(max(why.wait, minRetryAfter))) == nil
}

// minRetryAfter is the least Retry-After time of a refused request.
const minRetryAfter = 200 * time.Millisecond

// finishTimedOut ends a request that timed out or whose caller disconnected.
func (x *exchange) finishTimedOut(o outcome) bool {
	if x.callerDisconnected() || x.streamStarted {
		return false
	}
	x.g.metrics.timedOut.Inc(1)
	x.g.Info("msg", "timed out", "request", x.q.attempt, "service", x.service.Name, "outcome", o, "sends", x.sends)
	if x.runs > 0 || o == outcomeUnknown {
		return x.c.writeError(fasthttp.StatusGatewayTimeout, "timed out, outcome unknown", 0) == nil
	}
	return x.c.writeError(fasthttp.StatusServiceUnavailable, "timed out, not run", 0) == nil
}

// sendOnce sends the request to the assigned target once.
func (x *exchange) sendOnce(a *assignment) outcome {
	maxIdle := forward.MaxIdle
	if !x.retryable() {
		maxIdle = maxIdleNonRetryable
	}
	conn, err := x.g.pool.Get(x.ctx, a.target.Address, maxIdle)
	if err != nil {
		x.g.recordFailure(a.target, "dial", err)
		return outcomeNotRun
	}
	// Closing the connection makes the target stop its work on the request.
	stop := context.AfterFunc(x.ctx, conn.Close)
	defer stop()
	buffer := bytebufferpool.Get()
	buffer.B = x.q.encode(buffer.B, sendParams{remaining: x.remaining(), instance: a.instance, version: a.version, lastEvent: x.lastEvent})
	sent := time.Now()
	err = conn.Send(buffer.B, x.deadline)
	bytebufferpool.Put(buffer)
	if err != nil {
		conn.Close()
		x.g.recordFailure(a.target, "send", err)
		return outcomeUnknown
	}
	res, err := conn.Receive(x.q.method, x.q.attempt, x.firstByteDeadline(sent))
	if err != nil {
		conn.Close()
		if !x.expired() {
			x.g.recordFailure(a.target, "answer", err)
		}
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
		x.g.logNotRun(a, res)
		_, err := io.Copy(io.Discard, res)
		x.finish(res, err)
		return outcomeNotRun
	}
	if res.Status < 300 && res.Value(platform.HeaderSignature) == "" {
		x.finish(res, forward.ErrInvalidResponse)
		x.g.recordFailure(a.target, "answer", errors.Annotate(forward.ErrInvalidResponse, "missing signature"))
		return outcomeUnknown
	}
	if x.route.RetryPolicy == platform.RunStream && res.Status < 300 {
		return x.forwardStream(a, res, sent)
	}
	body, err := x.readBody(res)
	x.finish(res, err)
	if err != nil {
		x.g.recordFailure(a.target, "body", err)
		return outcomeUnknown
	}
	if res.Status >= 500 {
		x.g.recordFailure(a.target, "status", errors.Errorf("status %d", res.Status))
		if x.streamStarted {
			return outcomeUnknown
		}
		x.failedResponse, x.failedBody = res, body
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

// finish returns the connection to the pool, or closes it after an error.
func (x *exchange) finish(res *forward.Response, err error) {
	if err != nil {
		res.Close()
		return
	}
	x.g.pool.Release(res)
}

// maxResponseBytes bounds a response that is buffered before it is forwarded.
const maxResponseBytes = 16 << 20

func (x *exchange) readBody(res *forward.Response) ([]byte, error) {
	res.SetReadDeadline(x.deadline)
	body := make([]byte, 0, max(res.Length(), 512))
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := res.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, forward.ErrInvalidResponse)
		}
		if len(body) > maxResponseBytes {
			return nil, errors.Annotatef(forward.ErrInvalidResponse, "response exceeds %d bytes", maxResponseBytes)
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
	instance         ident.Target
	version          ident.Version // adapter version on the target; 0 if none
	release          func()
	reportFirstEvent func(time.Duration) // reports the time to the first event to the agent
}
