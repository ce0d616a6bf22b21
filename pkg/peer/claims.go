package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/ledger"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/member"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	claimTimeout = 2500 * time.Millisecond
	sweepPeriod  = 5 * time.Minute
)

// partitionOwner returns the entry that batches a ledger partition's updates.
// If entries disagree on the owner, updates conflict and are retried, but a
// key is still granted only once.
func (p *Peer) partitionOwner(partition int) wire.EntryInfo {
	return member.Rank(fmt.Sprintf("ledger/%d", partition), p.Entries())[0]
}

// LedgerOwners returns the owner of each ledger partition.
func (p *Peer) LedgerOwners() []ident.VM {
	out := make([]ident.VM, p.settings.Ledger.Partitions)
	for i := range out {
		out[i] = p.partitionOwner(i).VM
	}
	return out
}

// Claim asks the ledger for the right to run the request with a key.
func (p *Peer) Claim(ctx context.Context, c wire.Claim) wire.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var reply wire.ClaimReply
	if p.forwardToOwner(ctx, c.Caller, c.Key, link.KindClaim, &c, link.KindClaimReply, &reply) {
		return reply
	}
	return p.Ledger.Claim(ctx, c)
}

// Settle records the answer of a claimed attempt, or releases its claim. It
// returns false if the attempt no longer held the key or the ledger did not
// confirm the update.
func (p *Peer) Settle(ctx context.Context, caller ident.Caller, s wire.Settle) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var reply wire.SettleReply
	in := wire.SettleRequest{Caller: caller, Settle: s}
	if p.forwardToOwner(ctx, caller, s.Key, link.KindSettle, &in, link.KindSettleReply, &reply) {
		return reply.Stored
	}
	return p.Ledger.Settle(ctx, caller, s)
}

// forwardToOwner sends an operation to the owner of its partition. It reports
// false if this entry is the owner or the owner did not answer. The caller
// then performs the operation itself, which is safe even if the owner has done
// so.
func (p *Peer) forwardToOwner(ctx context.Context, caller ident.Caller, key string, kind link.Kind, m link.Message, want link.Kind, reply link.Decodable) bool {
	owner := p.partitionOwner(p.Ledger.Partition(caller, key))
	if owner.VM == p.settings.VM {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout/2)
	defer cancel()
	conn, err := p.Pool.Get(ctx, owner.Address)
	if err != nil {
		return false
	}
	return conn.Call(ctx, kind, m, want, reply) == nil
}

func (p *Peer) serveClaim(ctx context.Context, s *link.Stream, f link.Frame) error {
	var in wire.Claim
	if _, err := in.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	reply := p.Ledger.Claim(ctx, in)
	return s.Send(link.KindClaimReply, &reply)
}

func (p *Peer) serveSettle(ctx context.Context, s *link.Stream, f link.Frame) error {
	var in wire.SettleRequest
	if _, err := in.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	return s.Send(link.KindSettleReply, &wire.SettleReply{Stored: p.Ledger.Settle(ctx, in.Caller, in.Settle)})
}

func (p *Peer) sweepLoop(ctx context.Context) {
	runEvery(ctx, sweepPeriod, func(ctx context.Context) {
		for partition := range p.settings.Ledger.Partitions {
			if p.partitionOwner(partition).VM != p.settings.VM {
				continue
			}
			if err := p.Ledger.Sweep(ctx, partition); err != nil {
				p.Debug("msg", "failed to sweep ledger partition", "partition", partition, "err", err)
			}
		}
	})
}

func (p *Peer) historyLoop(ctx context.Context) {
	runEvery(ctx, ledger.HistoryPeriod, func(context.Context) {
		if n := p.Ledger.CheckHistory(); n > 0 {
			p.Warn("msg", "store returned from an older copy; ledger buckets are checked", "buckets", n)
		}
	})
}
