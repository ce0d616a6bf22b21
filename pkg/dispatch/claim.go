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
	claimTries    = 3
	queryTimeout  = time.Second
	queryTries    = 5
	queryPause    = 200 * time.Millisecond
	settleTimeout = 5 * time.Second
)

// claim records the attempt of a non-idempotent request in the ledger as the
// only one that may run. It reports repeated if an earlier request with the
// same key has run; the result then holds the stored answer.
func (r *run) claim(choice route.Choice) (refusal *Refusal, repeated bool) {
	if r.job.IdempotencyKey == "" {
		return nil, false
	}
	for range claimTries {
		reply := r.d.Claim(r.ctx, r.newClaim(choice))
		if fingerprintDiffers(reply, r.job.Fingerprint) {
			return &Refusal{Outcome: wire.NotRun, Reason: ReasonKeyReused, Status: 422, Detail: "the idempotency key belongs to another request"}, false
		}
		switch reply.State {
		case wire.ClaimGranted:
			r.claimedAttempt = r.attempt
			return nil, false
		case wire.ClaimDone:
			r.useStoredAnswer(reply.Holder.Answer)
			return nil, true
		case wire.ClaimHeld:
			refusal, repeated, freed := r.resolveHeldKey(reply.Holder)
			if !freed {
				return refusal, repeated
			}
		case wire.ClaimExpired:
			return &Refusal{Outcome: wire.Unknown, Reason: ReasonKeyExpired, Status: 409, Detail: "the idempotency key is older than the ledger remembers"}, false
		default:
			return r.claimFailedRefusal(reply.Reason), false
		}
	}
	return r.inDoubt(), false
}

func (r *run) newClaim(choice route.Choice) wire.Claim {
	report := choice.Report
	return wire.Claim{
		Key: r.job.IdempotencyKey, Caller: r.job.Caller, Fingerprint: r.job.Fingerprint,
		Attempt: r.attempt, Target: choice.Node.Target, Incarnation: report.Incarnation,
		Address: report.Address, Replaces: r.claimedAttempt,
	}
}

func fingerprintDiffers(reply wire.ClaimReply, fingerprint uint64) bool {
	known := reply.State == wire.ClaimHeld || reply.State == wire.ClaimDone
	return known && reply.Fingerprint != fingerprint
}

// claimFailedRefusal returns the refusal of a request whose claim was not
// confirmed. The attempt is not sent, and the agent that refused any earlier
// attempt has fenced it.
func (r *run) claimFailedRefusal(reason string) *Refusal {
	if r.claimedAttempt != "" {
		return r.inDoubt()
	}
	return &Refusal{
		Outcome: wire.NotRun, Reason: reason, Status: 503, RetryAfter: 2 * time.Second,
		Detail: "the request could not be recorded before it runs",
	}
}

func (r *run) useStoredAnswer(answer wire.StoredAnswer) {
	r.result.Repeated = true
	r.result.Status, r.result.ContentType = answer.Status, answer.ContentType
	r.result.Body, r.result.Truncated = answer.Body, answer.Truncated
}

// resolveHeldKey asks the agent that received a key's attempt for its state. It
// reports freed if the key may be claimed again.
func (r *run) resolveHeldKey(holder wire.LedgerEntry) (refusal *Refusal, repeated, freed bool) {
	reply := r.queryAttempt(holder.Address, holder.Attempt, holder.Incarnation)
	switch reply.State {
	case wire.AttemptFenced:
		// The reply is not needed: whichever release the ledger stores, the
		// next claim is decided by the ledger's state at that time.
		r.d.Settle(r.ctx, r.job.Caller, wire.Settle{Key: r.job.IdempotencyKey, Attempt: holder.Attempt, Release: true})
		return nil, false, true
	case wire.AttemptDone:
		r.storeAnswer(holder.Attempt, reply.Answer)
		r.useStoredAnswer(reply.Answer)
		return nil, true, false
	case wire.AttemptWaiting, wire.AttemptRunning:
		return &Refusal{Outcome: wire.Unknown, Reason: ReasonInProgress, Status: 409, RetryAfter: 2 * time.Second, Detail: "an earlier request with this idempotency key is being run"}, false, false
	}
	return r.inDoubt(), false, false
}

func (r *run) queryAttempt(address string, attempt ident.Attempt, incarnation ident.Incarnation) wire.AttemptReply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), queryTimeout)
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

// resolveUncertain asks the agent for the outcome of an attempt whose last
// event did not arrive.
func (r *run) resolveUncertain(choice route.Choice) attemptOutcome {
	report := choice.Report
	for range queryTries {
		reply := r.queryAttempt(report.Address, r.attempt, report.Incarnation)
		switch reply.State {
		case wire.AttemptFenced:
			return refused
		case wire.AttemptDone:
			r.useStoredAnswer(reply.Answer)
			return answered
		case wire.AttemptFailed:
			return uncertain
		}
		if r.ctx.Err() != nil {
			return uncertain
		}
		time.Sleep(queryPause)
	}
	return uncertain
}

// settle stores the answer of a claimed request in the ledger, without waiting,
// so that repeats of the request get the same answer.
func (r *run) settle() {
	if r.claimedAttempt == "" {
		return
	}
	answer := order.TruncateAnswer(wire.StoredAnswer{Status: r.result.Status, ContentType: r.result.ContentType, Body: r.result.Body})
	go r.storeAnswer(r.claimedAttempt, answer)
}

func (r *run) storeAnswer(attempt ident.Attempt, answer wire.StoredAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), settleTimeout)
	defer cancel()
	if !r.d.Settle(ctx, r.job.Caller, wire.Settle{Key: r.job.IdempotencyKey, Attempt: attempt, Answer: answer}) {
		r.d.Warn("msg", "failed to store the answer in the ledger", "request", r.job.Request, "attempt", attempt)
	}
}

// release frees the key of a request whose attempts were all refused. It
// returns false if the last attempt no longer held the key, in which case a
// repeat of the request may be running, or if the ledger did not confirm it.
func (r *run) release() bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), settleTimeout)
	defer cancel()
	return r.d.Settle(ctx, r.job.Caller, wire.Settle{Key: r.job.IdempotencyKey, Attempt: r.claimedAttempt, Release: true})
}
