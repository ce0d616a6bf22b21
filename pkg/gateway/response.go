package gateway

import (
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
	"github.com/hyssoproad/hyssoproad/platform"
)

// handleResponse forwards a response to the caller, or classifies it as a failure.
func (x *exchange) handleResponse(a *assignment, res *forward.Response, sent time.Time) outcome {
	x.observeNotice(a, res, sent)
	x.observeLoad(a, res)
	if res.Named() && (res.Status == fasthttp.StatusMisdirectedRequest || res.Value(platform.HeaderNotExecuted) != "") {
		x.logNotRun(a, res)
		if res.EndsWithConnection() {
			x.g.pool.Release(res) // closes it
			return outcomeNotRun
		}
		x.finish(a, res, res.Discard())
		return outcomeNotRun
	}
	if !x.retryable() && impliesNotRun(res.Status) {
		x.discard(a, res)
		x.fail(a, stepStatus, errors.Errorf("status %d, which does not say that the request was not run", res.Status))
		return outcomeUnknown
	}
	if res.Status < 300 && res.Value(platform.HeaderSignature) == "" {
		x.finish(a, res, forward.ErrInvalidResponse)
		x.fail(a, stepAnswer, errors.Annotate(forward.ErrInvalidResponse, "missing signature"))
		return outcomeUnknown
	}
	if x.route.RetryPolicy == platform.RunStream && res.Status < 300 {
		if x.streamStarted && formOf(res) != x.streamForm {
			x.discard(a, res)
			x.fail(a, stepStatus, errors.Annotatef(forward.ErrInvalidResponse, "%s is not the rest of the stream", formOf(res)))
			return outcomeUnknown
		}
		return x.forwardStream(a, res, sent)
	}
	x.begin(a, stepBody)
	body, err := x.readBody(res)
	defer func() { x.g.bodies.release(cap(body)) }()
	x.finish(a, res, err)
	if err != nil {
		x.fail(a, stepBody, err)
		return outcomeUnknown
	}
	if res.Status >= 500 {
		x.fail(a, stepStatus, errors.Errorf("status %d", res.Status))
		if x.streamStarted {
			return outcomeUnknown
		}
		// The body of an earlier failure is released in its place.
		x.failedResponse, x.failedBody, body = res, body, x.failedBody
		return outcomeFailed
	}
	x.g.recordSuccess(a.target)
	x.g.clearParts(x.q.parts)
	x.recordAnswer()
	x.g.plainTimes.Record(x.route.Name, time.Since(sent))
	if x.streamStarted {
		return outcomeUnknown // the target did not resume the stream
	}
	a.release() // a caller that reads slowly takes no place at the target
	if err := x.c.writeResponse(res, body, x.q.method); err != nil {
		x.failWrite(err)
	}
	return outcomeDelivered
}

// observeLoad records the load that a response states.
func (x *exchange) observeLoad(a *assignment, res *forward.Response) {
	x.load = platform.TargetLoad{}
	if !x.speaksForTarget(res) {
		return
	}
	text := res.Value(platform.HeaderLoad)
	if text == "" {
		return
	}
	x.load, _ = platform.ParseLoad([]byte(text))
	if x.load.Known == 0 && x.load.Unreadable == 0 {
		x.load.Unreadable = platform.LoadRunning | platform.LoadWaiting // too few fields
	}
	if x.load.Unreadable != 0 {
		x.g.metrics.unreadableLoads.Inc(1)
	}
	if fields := x.g.loads.record(a.target.Instance, x.load, time.Now()); fields != 0 {
		x.g.Info("msg", "target states a load that cannot be read", "target", a.target.Instance, "load", strconv.QuoteToASCII(text[:min(len(text), maxLoggedLoadBytes)]), "fields", fields)
	}
}

// speaksForTarget reports whether what the response says about its target can be relied on: it
// may be of another request, or another target may have the address.
func (x *exchange) speaksForTarget(res *forward.Response) bool {
	return (res.Named() || x.q.attempt == "") && res.Status != fasthttp.StatusMisdirectedRequest
}

// maxLoggedLoadBytes bounds how much of a load that cannot be read is logged. A readable
// one takes less than 30 bytes.
const maxLoggedLoadBytes = 64

// impliesNotRun reports whether callers take the status for a promise that the request has
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// strayHandler returns the function that is called when the target sends a response to
// another request before the one to this one.
func (x *exchange) strayHandler(a *assignment) func(status int, attempt string) {
	return func(status int, attempt string) {
		x.g.metrics.strayResponses.Inc(1)
		x.g.Info("msg", "response to another request", "request", x.q.attempt, "target", a.target.Instance, "status", status, "named", strconv.QuoteToASCII(attempt[:min(len(attempt), maxLoggedAttemptBytes)]))
	}
}

// maxLoggedAttemptBytes bounds how much of an unknown attempt ID is logged.
const maxLoggedAttemptBytes = 64

// logNotRun logs that a target did not run the request.
func (x *exchange) logNotRun(a *assignment, res *forward.Response) {
	idle, reused := res.Conn().Reused()
	x.g.Info("msg", "target did not run the request", "request", x.q.attempt, "target", a.target.Instance, "status", res.Status, "version", a.version, "reused", reused, "idle", idle)
	if res.Status == fasthttp.StatusMisdirectedRequest && x.g.fleet.Contradict(a.target) {
		x.g.Info("msg", "another target has this address", "target", a.target.Instance, "address", a.target.Address)
	}
}

// discard drops the body of a response to a request that may have run. One that ends with its
// connection is not waited for.
func (x *exchange) discard(a *assignment, res *forward.Response) {
	if res.EndsWithConnection() {
		x.abandon(a, res.Conn())
		return
	}
	x.finish(a, res, res.Discard())
}

// finish returns the connection to the pool, or abandons it after an error.
func (x *exchange) finish(a *assignment, res *forward.Response, err error) {
	if err != nil {
		x.abandon(a, res.Conn())
		return
	}
	x.g.pool.Release(res)
}

// maxResponseBytes bounds a response that is buffered before it is forwarded.
const maxResponseBytes = 16 << 20

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
			return body, errors.WithType(err, forward.ErrInvalidResponse)
		}
		if len(body) > maxResponseBytes {
			return body, errors.Annotatef(forward.ErrInvalidResponse, "response exceeds %d bytes", maxResponseBytes)
		}
	}
}
