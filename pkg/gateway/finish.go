package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// failWrite ends the response after an error of a write to the caller.
func (x *exchange) failWrite(err error) {
	x.c.closeAfterResponse = true
	if x.stopped() || isTimeout(err) && !x.callerDisconnected() {
		x.c.logCut(x.q, err)
		return
	}
	x.cancel(errors.WithType(err, errCallerDisconnected))
	x.finishDisconnected(outcomeUnknown)
}

// finishDisconnected ends a request whose caller has closed its connection, after the outcome
// of its last send.
func (x *exchange) finishDisconnected(o outcome) bool {
	result := "not-run"
	switch {
	case x.streamStarted:
		result = "unfinished"
	case x.runs > 0 || o == outcomeUnknown:
		result = "unknown"
	}
	x.g.metrics.disconnects.Inc(1)
	x.g.Info("msg", "caller disconnected", "request", x.q.attempt, "service", x.service.Name, "target", x.last.target, "step", x.last.step, "err", context.Cause(x.ctx),
		"outcome", result, "sends", x.sends, "last-event", x.lastEvent, "after", time.Since(x.began), "stopping", x.g.stop.begun())
	return false
}

// finishUnserved ends a request for which no target returned a complete response.
func (x *exchange) finishUnserved(why refusal) bool {
	if x.callerDisconnected() {
		return x.finishDisconnected(outcomeNotRun)
	}
	if x.stopped() {
		why = x.stopRefusal()
	}
	if why.denied != denialNone {
		x.logDenial(why.denied)
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
		reason := "target failed"
		if x.stopped() {
			reason = why.reason
		}
		return x.c.writeError(fasthttp.StatusBadGateway, reason+", outcome unknown", 0) == nil
	}
	if why.denied != denialNone {
		return x.answerDenial(why.denied)
	}
	x.g.metrics.refused.Inc(1)
	x.g.Info("msg", "refused", "request", x.q.attempt, "service", x.service.Name, "weights", x.q.weights, "reason", why.reason, "cause", why.cause, "detail", why.detail, "forecast", why.wait, "sends", x.sends, "target", x.last.target, "step", x.last.step, "after", time.Since(x.began))
	if why.tooLarge {
		return x.c.writeError(fasthttp.StatusRequestEntityTooLarge, why.reason, 0) == nil // no later time is better
	}
	return x.c.writeError(fasthttp.StatusServiceUnavailable, why.reason, x.g.addJitter(why.retryAfter())) == nil
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

// minRetryAfter is the least Retry-After time of a refused request, unless another entry
// serves it.
const minRetryAfter = 200 * time.Millisecond

// retryAfter returns the time after which the request may succeed.
func (r refusal) retryAfter() time.Duration {
	if r.reason == reasonStopping {
		return r.wait
	}
	return max(r.wait, minRetryAfter)
}

// finishTimedOut ends a request that timed out or whose caller disconnected.
func (x *exchange) finishTimedOut(o outcome) bool {
	if x.callerDisconnected() {
		return x.finishDisconnected(o)
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

// logSend logs a send with what is known of the list of targets that allows it.
func (x *exchange) logSend(a *assignment, now time.Time) {
	list := x.g.targetList
	age := list.Age(now)
	x.g.metrics.listAge.RecordDuration(age)
	limit, limited := x.g.notices.Limit(a.target.Instance)
	if limited {
		x.g.metrics.limitedSends.Inc(1)
	}
	x.g.Debug("msg", "sending", "request", x.q.attempt, "target", a.target.Instance, "list-era", list.Position().Era, "list-revision", list.Position().Revision, "list-age", age, "held", now.Sub(x.began), "software", a.target.Software, "begun-by", x.origin.software,
		"limited", limited, "limit", limit.PerSecond, "limit-age", limit.Age(now))
}

// logSendEnd counts and logs how a send ended: with a later "sending" row of the same
// request, what the gateway knew of the target before it went on.
func (x *exchange) logSendEnd(a *assignment, o outcome) {
	x.g.metrics.outcomes[o].Inc(1)
	x.g.Debug("msg", "send ended", "request", x.q.attempt, "target", a.target.Instance, "outcome", o, "step", x.last.step, "err", x.last.err, "last-event", x.lastEvent, "after", time.Since(x.began))
}

// begin records the step that is taken next.
func (x *exchange) begin(a *assignment, step string) {
	x.last = attemptStep{target: a.target.Instance, step: step}
}

// fail records and logs the failure of a step, unless the caller has disconnected, or the
// process has stopped or the request timed out too soon to blame the target.
func (x *exchange) fail(a *assignment, step string, err error) {
	x.last = attemptStep{target: a.target.Instance, step: step, err: err}
	if x.callerDisconnected() || x.stopped() || x.expired() && (step != stepAnswer || time.Since(x.began) < muteObjectives*x.route.Objective) {
		return
	}
	if errors.Is(err, httphead.ErrMalformed) {
		x.g.metrics.malformedHeads.Inc(1)
	}
	x.reportLost(a, step, err)
	x.recordLost(a)
	x.g.placing.known.Drop(a.target.Address) // the engine may have ended
	ejected := x.g.detector(a.target.Service).Record(a.target.Instance, true, time.Now())
	row := []any{"msg", "target failed", "request", x.q.attempt, "target", a.target.Instance, "service", a.target.Service, "step", step, "err", err, "passed-over", ejected, "first-event", x.eventSeen, "parts", fmt.Sprint(x.q.parts)}
	if x.connectionEnded() {
		row = append(row, "fingerprint", x.fingerprint())
	}
	x.g.Info(row...)
}
