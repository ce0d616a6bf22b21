package dispatch

import (
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/route"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// staleConfig is the reason of an agent that refuses an attempt because it is
// at another configuration revision.
const staleConfig = "stale-config"

// sendAttempt sends one attempt to the chosen target and handles its events.
func (r *run) sendAttempt(choice route.Choice) attemptOutcome {
	target := choice.Node.Target
	report := choice.Report
	conn, err := r.d.Connect(r.ctx, report.Address)
	if err != nil {
		r.d.breakers.recordFailure(target, time.Now())
		r.recordFailure(target, "unreachable", 0)
		return refused
	}
	s, err := conn.Open(link.KindSubmit, r.submitMessage(report))
	if err != nil {
		r.d.breakers.recordFailure(target, time.Now())
		r.recordFailure(target, "unreachable", 0)
		return r.sendFailureOutcome(err)
	}
	defer s.Close()
	r.result.Target = target
	r.active.setState(target, "waiting")
	return r.receiveEvents(s, choice)
}

// sendFailureOutcome returns the outcome of an attempt whose message could not
// be sent. Only a message that the link refused, because it is too large or a
// limit of the link is reached, has certainly not been sent.
func (r *run) sendFailureOutcome(err error) attemptOutcome {
	if errors.Is(err, errors.NotValid) || errors.Is(err, errors.QuotaLimitExceeded) {
		return refused
	}
	return uncertain
}

func (r *run) submitMessage(report *wire.Report) *wire.Submit {
	j := r.job
	now := time.Now()
	out := &wire.Submit{
		Request: j.Request, Attempt: r.attempt, Revision: j.Revision,
		Service: j.Service.Name, Caller: j.Caller, Adapter: j.Adapter, Weights: j.Weights, Priority: j.Priority,
		WaitedMS: now.Sub(j.Arrival).Milliseconds(), DeadlineMS: j.Deadline.Sub(now).Milliseconds(),
		NonIdempotent: j.IdempotencyKey != "", Key: j.IdempotencyKey, ReserveRetry: r.result.Attempts == 1,
		ResumeFrom: r.nextToken, MaxTokens: j.MaxTokens, Prompt: j.Prompt,
		Method: j.Method, Path: j.Path, ContentType: j.ContentType, Body: j.Body,
	}
	if out.NonIdempotent {
		out.Incarnation = report.Incarnation
	}
	return out
}

// receiveEvents handles the events of an attempt until the last one.
func (r *run) receiveEvents(s *link.Stream, choice route.Choice) attemptOutcome {
	for {
		f, err := s.Receive(r.ctx)
		if err != nil {
			r.recordLostConnection(choice, err)
			return uncertain
		}
		var e wire.Event
		if _, err := e.UnmarshalMsg(f.Body); err != nil {
			return uncertain
		}
		if outcome, done := r.handleEvent(e, choice); done {
			return outcome
		}
	}
}

func (r *run) recordLostConnection(choice route.Choice, err error) {
	target := choice.Node.Target
	if r.ctx.Err() == nil {
		r.d.breakers.recordFailure(target, time.Now())
		r.d.Debug("msg", "lost connection to target during attempt", "request", r.job.Request, "attempt", r.attempt, "target", target, "err", err)
	}
	r.recordFailure(target, "lost", 0)
}

// handleEvent handles one event and reports whether it ends the attempt.
func (r *run) handleEvent(e wire.Event, choice route.Choice) (attemptOutcome, bool) {
	switch e.Kind {
	case wire.EventStarted:
		r.handleStarted(e)
	case wire.EventTokens:
		return uncertain, !r.deliverTokens(e)
	case wire.EventFinished:
		return r.handleFinished(e), true
	case wire.EventAnswer:
		r.d.breakers.recordSuccess(choice.Node.Target)
		r.result.Status, r.result.ContentType, r.result.Body = e.Status, e.ContentType, e.Body
		return answered, true
	case wire.EventRefused:
		r.handleRefused(e, choice)
		return refused, true
	case wire.EventFailed:
		r.recordFailure(choice.Node.Target, e.Reason, 0)
		return uncertain, true
	}
	return uncertain, false
}

func (r *run) handleStarted(e wire.Event) {
	r.silenceTimer.Stop()
	r.active.setState(r.result.Target, "running")
	r.result.Adapter = e.Adapter
	r.result.LoadStall = time.Duration(e.StallMS) * time.Millisecond
	r.result.QueueTime = time.Duration(e.QueueMS) * time.Millisecond
	if r.output.Started != nil && r.nextToken == 0 {
		r.output.Started(e.Adapter, r.result.Target, r.result.LoadStall)
	}
}

// deliverTokens passes on the tokens that the caller lacks. It reports whether
// the attempt may continue.
func (r *run) deliverTokens(e wire.Event) bool {
	if e.Adapter != r.job.Adapter || e.Offset > r.nextToken {
		return false // tokens of another adapter, or a gap
	}
	skip := r.nextToken - e.Offset
	if skip >= len(e.Tokens) {
		return true
	}
	fresh := e.Tokens[skip:]
	if r.output.Tokens == nil {
		r.result.Tokens = append(r.result.Tokens, fresh...)
	} else if r.output.Tokens(r.nextToken, fresh) != nil {
		return false
	}
	r.nextToken += len(fresh)
	r.recordTokenTimes(time.Now())
	return true
}

// recordTokenTimes updates the time to the first token and the mean time
// between tokens.
func (r *run) recordTokenTimes(now time.Time) {
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = now
		r.result.FirstToken = now.Sub(r.job.Arrival)
	}
	if r.nextToken > 1 {
		r.result.TokenInterval = now.Sub(r.firstTokenAt) / time.Duration(r.nextToken-1)
	}
}

func (r *run) handleFinished(e wire.Event) attemptOutcome {
	if e.TotalTokens != r.nextToken || e.Adapter != r.job.Adapter {
		return uncertain
	}
	r.d.breakers.recordSuccess(r.result.Target)
	r.result.TokenCount, r.result.FinishReason, r.result.Adapter = e.TotalTokens, e.FinishReason, e.Adapter
	r.result.Status, r.result.ContentType, r.result.Body = e.Status, e.ContentType, e.Body
	return answered
}

func (r *run) handleRefused(e wire.Event, choice route.Choice) {
	r.d.Debug("msg", "agent refused attempt", "request", r.job.Request, "attempt", r.attempt, "target", choice.Node.Target, "reason", e.Reason)
	if e.Reason != staleConfig {
		r.recordFailure(choice.Node.Target, e.Reason, time.Duration(e.RetryAfterMS)*time.Millisecond)
		return
	}
	r.reason = e.Reason
	if e.Revision > r.job.Revision {
		if err := r.d.UpdateConfigTo(r.ctx, e.Revision); err != nil {
			r.d.Warn("msg", "failed to catch up with the agent's configuration", "err", err)
		}
	}
}
