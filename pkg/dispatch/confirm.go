package dispatch

import (
	"context"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const confirmTimeout = 1500 * time.Millisecond

// ConfirmRefusal checks a not-run refusal of a request with an idempotency key against
// the ledger, because an earlier request with the key may have run. It returns
// the refusal with the outcome that holds for the key. If the ledger cannot be
// read, the outcome stays not-run only for a caller that sends the key for the
// first time.
func (d *Dispatcher) ConfirmRefusal(caller ident.Caller, key string, repeat bool, refusal *Refusal) *Refusal {
	if refusal.Outcome != wire.NotRun || refusal.settled {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	reply := d.Claim(ctx, wire.Claim{Key: key, Caller: caller, Peek: true})
	out := *refusal
	switch reply.State {
	case wire.ClaimFree:
	case wire.ClaimDone:
		out.Outcome = wire.Ran
		out.Detail += "; an earlier request with this idempotency key ran"
	case wire.ClaimHeld, wire.ClaimExpired:
		out.Outcome = wire.Unknown
		out.Detail += "; an earlier request with this idempotency key may have run"
	default:
		if repeat {
			out.Outcome = wire.Unknown
			out.Detail += "; whether an earlier request with this idempotency key ran cannot be read now"
		}
	}
	return &out
}
