package dispatch

import (
	"context"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/order"
	"github.com/hyssoproad/hyssoproad/pkg/route"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	claimTries     = 3
	inquiryTimeout = time.Second
	inquiryTries   = 5
	inquiryPause   = 200 * time.Millisecond
	settleTimeout  = 5 * time.Second
)

// claim makes a non-idempotent request's attempt the only one, durably. It
// reports true if the request's outcome is already known; the result then
// holds it.
func (r *run) claim(choice route.Choice) (refusal *Refusal, repeated bool) {
	if r.job.IdempotencyKey == "" {
		return nil, false
	}
	for range claimTries {
		reply := r.d.Claim(r.ctx, r.claimOf(choice))
		if mismatched(reply, r.job.Fingerprint) {
			return &Refusal{Outcome: wire.NotRun, Reason: ReasonKeyReused, Status: 422, Detail: "the idempotency key belongs to another request"}, false
		}
		switch reply.State {
		case wire.ClaimGranted:
			r.claimed = r.attempt
			return nil, false
		case wire.ClaimDone:
			r.repeat(reply.Holder.Answer)
			return nil, true
		case wire.ClaimHeld:
			refusal, repeated, freed := r.resolve(reply.Holder)
			if !freed {
				return refusal, repeated
			}
		case wire.ClaimExpired:
			return &Refusal{Outcome: wire.Unknown, Reason: ReasonKeyExpired, Status: 409, Detail: "the idempotency key is older than the ledger remembers"}, false
		default:
			return r.unclaimed(reply.Reason), false
		}
	}
	return r.doubt(), false
}

func (r *run) claimOf(choice route.Choice) wire.Claim {
	report := choice.Report
	return wire.Claim{
		Key: r.job.IdempotencyKey, Caller: r.job.Caller, Fingerprint: r.job.Fingerprint,
		Attempt: r.attempt, Target: choice.Node.Target, Incarnation: report.Incarnation,
		Address: report.Address, Replaces: r.claimed,
	}
}

func mismatched(reply wire.ClaimReply, fingerprint uint64) bool {
	known := reply.State == wire.ClaimHeld || reply.State == wire.ClaimDone
	return known && reply.Fingerprint != fingerprint
}

// unclaimed is the refusal of a request whose claim was not confirmed. Its
// attempt is never sent. An earlier attempt was refused by its agent, which
// fenced it.
func (r *run) unclaimed(reason string) *Refusal {
	if r.claimed != "" {
		return r.doubt()
	}
	return &Refusal{
		Outcome: wire.NotRun, Reason: reason, Status: 503, RetryAfter: 2 * time.Second,
		Detail: "the request could not be recorded before it runs",
	}
}

func (r *run) repeat(answer wire.StoredAnswer) {
	r.result.Repeated = true
	r.result.Status, r.result.ContentType = answer.Status, answer.ContentType
	r.result.Body, r.result.Truncated = answer.Body, answer.Truncated
}

// resolve asks the agent that holds a key's attempt what became of it. It
// reports freed when the key may be claimed again.
func (r *run) resolve(holder wire.LedgerEntry) (refusal *Refusal, repeated, freed bool) {
	reply := r.query(holder.Address, holder.Attempt, holder.Incarnation)
	switch reply.State {
	case wire.AttemptFenced:
		// Whether this release or another's is stored, the next claim
		// meets the ledger as it is then.
		r.d.Settle(r.ctx, r.job.Caller, wire.Settle{Key: r.job.IdempotencyKey, Attempt: holder.Attempt, Release: true})
		return nil, false, true
	case wire.AttemptDone:
		r.store(holder.Attempt, reply.Answer)
		r.repeat(reply.Answer)
		return nil, true, false
	case wire.AttemptWaiting, wire.AttemptRunning:
		return &Refusal{Outcome: wire.Unknown, Reason: ReasonInProgress, Status: 409, RetryAfter: 2 * time.Second, Detail: "an earlier request with this idempotency key is being run"}, false, false
	}
	return r.doubt(), false, false
}

func (r *run) query(address string, attempt ident.Attempt, incarnation ident.Incarnation) wire.AttemptReply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), inquiryTimeout)
	defer cancel()
	var reply wire.AttemptReply
	conn, err := r.d.Connect(ctx, address)
	if err != nil {
		return wire.AttemptReply{}
	}
	q := wire.AttemptQuery{Attempt: attempt, Incarnation: incarnation}
	if err := conn.Call(ctx, link.KindAttemptQuery, &q, link.KindAttemptReply, &reply); err != nil {
		return wire.AttemptReply{}
	}
	return reply
}

// inquire settles an attempt whose end was not seen, as far as its agent can
// tell.
func (r *run) inquire(choice route.Choice) verdict {
	report := choice.Report
	for range inquiryTries {
		reply := r.query(report.Address, r.attempt, report.Incarnation)
		switch reply.State {
		case wire.AttemptFenced:
			return refused
		case wire.AttemptDone:
			r.repeat(reply.Answer)
			return answered
		case wire.AttemptFailed:
			return uncertain
		}
		if r.ctx.Err() != nil {
			return uncertain
		}
		time.Sleep(inquiryPause)
	}
	return uncertain
}

// settle records a claimed request's answer, so that repeats get it.
func (r *run) settle() {
	if r.claimed == "" {
		return
	}
	answer := order.Trim(wire.StoredAnswer{Status: r.result.Status, ContentType: r.result.ContentType, Body: r.result.Body})
	go r.store(r.claimed, answer)
}

func (r *run) store(attempt ident.Attempt, answer wire.StoredAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), settleTimeout)
	defer cancel()
	if !r.d.Settle(ctx, r.job.Caller, wire.Settle{Key: r.job.IdempotencyKey, Attempt: attempt, Answer: answer}) {
		r.d.Warn("msg", "answer not recorded in the ledger", "request", r.job.Request, "attempt", attempt)
	}
}

// release frees the key of a request whose attempts were all refused. It
// reports whether the last attempt still held the key: if not, a repeat may be
// running by now.
func (r *run) release() bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), settleTimeout)
	defer cancel()
	return r.d.Settle(ctx, r.job.Caller, wire.Settle{Key: r.job.IdempotencyKey, Attempt: r.claimed, Release: true})
}
