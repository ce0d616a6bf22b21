package dispatch

import (
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/route"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// staleConfig is the reason of agents that act on another configuration.
const staleConfig = "stale-config"

// try makes one attempt at the chosen target.
func (r *run) try(choice route.Choice) verdict {
	target := choice.Node.Target
	report := choice.Report
	conn, err := r.d.Connect(r.ctx, report.Address)
	if err != nil {
		r.d.breakers.fail(target, time.Now())
		r.note(target, "unreachable", 0)
		return refused
	}
	s, err := conn.Open(link.KindSubmit, r.submit(report))
	if err != nil {
		r.d.breakers.fail(target, time.Now())
		r.note(target, "unreachable", 0)
		return r.unsent(err)
	}
	defer s.Close()
	r.result.Target = target
	r.active.set(target, "waiting")
	return r.follow(s, choice)
}

// unsent judges an error of sending. A message that was too large was never
// sent; any other may have been.
func (r *run) unsent(err error) verdict {
	if errors.Is(err, errors.NotValid) || errors.Is(err, errors.QuotaLimitExceeded) {
		return refused
	}
	return uncertain
}

func (r *run) submit(report *wire.Report) *wire.Submit {
	j := r.job
	now := time.Now()
	out := &wire.Submit{
		Request: j.Request, Attempt: r.attempt, Revision: j.Revision,
		Service: j.Service.Name, Caller: j.Caller, Adapter: j.Key, Weights: j.Weights, Priority: j.Priority,
		WaitedMS: now.Sub(j.Arrival).Milliseconds(), DeadlineMS: j.Deadline.Sub(now).Milliseconds(),
		NonIdempotent: j.IdempotencyKey != "", Key: j.IdempotencyKey, Promise: r.result.Tries == 1,
		Resume: r.next, MaxTokens: j.MaxTokens, Prompt: j.Prompt,
		Method: j.Method, Path: j.Path, ContentType: j.ContentType, Body: j.Body,
	}
	if out.NonIdempotent {
		out.Incarnation = report.Incarnation
	}
	return out
}

// follow takes the attempt's events to its end.
func (r *run) follow(s *link.Stream, choice route.Choice) verdict {
	for {
		f, err := s.Receive(r.ctx)
		if err != nil {
			r.lost(choice, err)
			return uncertain
		}
		var e wire.Event
		if _, err := e.UnmarshalMsg(f.Body); err != nil {
			return uncertain
		}
		if end, done := r.take(e, choice); done {
			return end
		}
	}
}

func (r *run) lost(choice route.Choice, err error) {
	target := choice.Node.Target
	if r.ctx.Err() == nil {
		r.d.breakers.fail(target, time.Now())
		r.d.Debug("msg", "attempt lost", "request", r.job.Request, "attempt", r.attempt, "target", target, "err", err)
	}
	r.note(target, "lost", 0)
}

// take handles one event and reports whether it was the last.
func (r *run) take(e wire.Event, choice route.Choice) (verdict, bool) {
	switch e.Kind {
	case wire.EventStarted:
		r.started(e)
	case wire.EventTokens:
		return uncertain, !r.tokens(e)
	case wire.EventFinished:
		return r.finished(e), true
	case wire.EventAnswer:
		r.d.breakers.succeed(choice.Node.Target)
		r.result.Status, r.result.ContentType, r.result.Body = e.Status, e.ContentType, e.Body
		return answered, true
	case wire.EventRefused:
		r.refusedBy(e, choice)
		return refused, true
	case wire.EventFailed:
		r.note(choice.Node.Target, e.Reason, 0)
		return uncertain, true
	}
	return uncertain, false
}

func (r *run) started(e wire.Event) {
	r.silence.Stop()
	r.active.set(r.result.Target, "running")
	r.result.Adapter = e.Adapter
	r.result.Stall = time.Duration(e.StallMS) * time.Millisecond
	r.result.Queue = time.Duration(e.QueueMS) * time.Millisecond
	if r.out.Started != nil && r.next == 0 {
		r.out.Started(e.Adapter, r.result.Target, r.result.Stall)
	}
}

// tokens passes text on and reports whether the attempt is to go on.
func (r *run) tokens(e wire.Event) bool {
	if e.Adapter != r.job.Key || e.Offset > r.next {
		return false // another adapter's text, or a gap
	}
	skip := r.next - e.Offset
	if skip >= len(e.Tokens) {
		return true
	}
	fresh := e.Tokens[skip:]
	if r.out.Tokens == nil {
		r.result.Tokens = append(r.result.Tokens, fresh...)
	} else if r.out.Tokens(r.next, fresh) != nil {
		return false
	}
	r.next += len(fresh)
	r.timeTokens(time.Now())
	return true
}

// timeTokens keeps the times of the first and the newest text.
func (r *run) timeTokens(now time.Time) {
	if r.firstAt.IsZero() {
		r.firstAt = now
		r.result.FirstToken = now.Sub(r.job.Arrival)
	}
	if r.next > 1 {
		r.result.Gap = now.Sub(r.firstAt) / time.Duration(r.next-1)
	}
}

func (r *run) finished(e wire.Event) verdict {
	if e.Total != r.next || e.Adapter != r.job.Key {
		return uncertain
	}
	r.d.breakers.succeed(r.result.Target)
	r.result.Total, r.result.Finish, r.result.Adapter = e.Total, e.Finish, e.Adapter
	r.result.Status, r.result.ContentType, r.result.Body = e.Status, e.ContentType, e.Body
	return answered
}

func (r *run) refusedBy(e wire.Event, choice route.Choice) {
	r.d.Debug("msg", "attempt refused", "request", r.job.Request, "attempt", r.attempt, "target", choice.Node.Target, "reason", e.Reason)
	if e.Reason != staleConfig {
		r.note(choice.Node.Target, e.Reason, time.Duration(e.RetryAfterMS)*time.Millisecond)
		return
	}
	r.reason = e.Reason
	if e.Revision > r.job.Revision {
		if err := r.d.CatchUp(r.ctx, e.Revision); err != nil {
			r.d.Warn("msg", "configuration not caught up", "err", err)
		}
	}
}
