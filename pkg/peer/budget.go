package peer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/budget"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/lease"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/member"
	"github.com/hyssoproad/hyssoproad/pkg/route"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	// maxCandidates is the number of entries that compete for the budget lease.
	maxCandidates  = 2
	grantTimeout   = time.Second
	maxTickPeriod  = 100 * time.Millisecond
	normalLoadTime = 250 * time.Millisecond
)

// budgetServer grants loads from the load budget while this entry holds the
// budget lease. Otherwise it forwards requests to the holder.
type budgetServer struct {
	p     *Peer
	lease *lease.Candidate

	mu               sync.Mutex
	holder           *budget.Holder
	packer           *route.Packer
	enginesCountedAt time.Time
	term             uint64
	waiters          map[ident.Target]chan budget.GrantID
	holderInfo       wire.BudgetInfo
	holderUntil      time.Time // end of the holder's lease, as known here
	wake             chan struct{}
}

func newBudgetServer(p *Peer, c *lease.Candidate) *budgetServer {
	return &budgetServer{p: p, lease: c, waiters: make(map[ident.Target]chan budget.GrantID), wake: make(chan struct{}, 1)}
}

func (b *budgetServer) limits() budget.Limits {
	s := b.p.settings.WeightStore
	if declared, ok := b.p.Config.Catalog().StoreLimits(); ok {
		return budget.Limits{LoadsPerSecond: declared.LoadsPerSecond, InFlight: declared.InFlight, MaxEngines: declared.MaxEngines}
	}
	return budget.Limits{LoadsPerSecond: s.LoadsPerSecond, InFlight: s.InFlight, MaxEngines: s.MaxEngines}
}

func (b *budgetServer) loop(ctx context.Context) {
	go runEvery(ctx, lease.Period, b.campaign)
	for ctx.Err() == nil {
		next := b.tick(time.Now())
		b.p.Table.SetPackingShare(b.packingShare(time.Now()))
		select {
		case <-time.After(next):
		case <-b.wake:
		case <-ctx.Done():
		}
	}
}

// campaign tries to acquire or renew the budget lease if this entry is a
// candidate.
func (b *budgetServer) campaign(ctx context.Context) {
	ranked := member.Rank("budget", b.p.Entries())
	for _, e := range ranked[:min(maxCandidates, len(ranked))] {
		if e.VM != b.p.settings.VM {
			continue
		}
		if err := b.lease.Step(ctx); err != nil {
			b.p.Debug("msg", "failed to acquire or renew the budget lease", "err", err)
		}
	}
}

// tick grants the loads that are permitted now and returns the time until the
// next call.
func (b *budgetServer) tick(now time.Time) time.Duration {
	tenure, held := b.lease.Held()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !held {
		b.holder = nil
		return maxTickPeriod
	}
	if b.holder == nil || b.term != tenure.Term {
		b.holder = budget.NewHolder(b.limits(), tenure.Term, now)
		b.packer = route.NewPacker()
		b.term = tenure.Term
		b.holderInfo.PackedShareMilli = fullShareMilli
	}
	b.holderInfo = wire.BudgetInfo{Address: b.p.settings.Address(), Term: tenure.Term, PackedShareMilli: b.holderInfo.PackedShareMilli}
	b.holderUntil = tenure.Until
	b.holder.SetLimits(b.limits(), now)
	b.countEngines(now)
	for _, g := range b.holder.Grants(now) {
		if waiter, ok := b.waiters[g.Target]; ok {
			waiter <- g.ID
			delete(b.waiters, g.Target)
		}
	}
	if next := b.holder.NextGrantAt(now); !next.IsZero() {
		return min(max(next.Sub(now), time.Millisecond), maxTickPeriod)
	}
	return maxTickPeriod
}

const (
	fullShareMilli = 1000
	countPeriod    = time.Second
)

// countEngines updates the number of reachable engines and the packing share,
// at most once per countPeriod. The caller must hold b.mu.
func (b *budgetServer) countEngines(now time.Time) {
	if now.Sub(b.enginesCountedAt) < countPeriod {
		return
	}
	b.enginesCountedAt = now
	b.holder.SetReachable(b.reachableEngines(now), now)
	b.updateShare(now)
}

// updateShare updates the packing share. The caller must hold b.mu.
func (b *budgetServer) updateShare(now time.Time) {
	load := 0.0
	for _, s := range b.p.Config.Catalog().Services() {
		pool := route.Pool{Kind: s.Kind, Model: s.Model, Role: s.Role}
		load = max(load, b.p.Table.ActiveLoad(pool, s.Balance))
	}
	b.holderInfo.PackedShareMilli = int(fullShareMilli * b.packer.Step(b.holder.Utilization(now), load))
}

// packingShare returns the current packing share. While no holder is known, it
// is 1: all targets are used.
func (b *budgetServer) packingShare(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !now.Before(b.holderUntil) || b.holderInfo.PackedShareMilli == 0 {
		return 1
	}
	return float64(b.holderInfo.PackedShareMilli) / fullShareMilli
}

// reachableEngines returns the number of engines whose agents can reach this
// holder. Engines without a live agent may be loading from their static
// shares.
func (b *budgetServer) reachableEngines(now time.Time) int {
	limits := b.limits()
	silent := 0
	for _, m := range b.p.Registry.Members(now) {
		if m.Report.Kind == wire.KindEngine && m.StateAt(now) != member.Live {
			silent++
		}
	}
	return max(limits.MaxEngines-silent, 0)
}

func (b *budgetServer) info() wire.BudgetInfo {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := time.Until(b.holderUntil)
	if left <= 0 {
		return wire.BudgetInfo{}
	}
	out := b.holderInfo
	out.LeftMS = left.Milliseconds()
	return out
}

// BudgetHolder returns the known holder of the load budget, or the zero value.
func (p *Peer) BudgetHolder() wire.BudgetInfo { return p.budget.info() }

// learnHolder updates the known holder from the information of another entry.
func (b *budgetServer) learnHolder(info wire.BudgetInfo) {
	if info.Address == "" {
		return
	}
	until := time.Now().Add(time.Duration(info.LeftMS) * time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holder == nil && (info.Term > b.holderInfo.Term || info.Term == b.holderInfo.Term && until.After(b.holderUntil)) {
		b.holderInfo = info
		b.holderUntil = until
	}
}

func (b *budgetServer) serveLoadRequest(ctx context.Context, s *link.Stream, f link.Frame) error {
	var in wire.LoadRequest
	if _, err := in.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	grant, err := b.requestGrant(ctx, in)
	if err != nil {
		return errors.Trace(err)
	}
	return s.Send(link.KindLoadGrant, &grant)
}

func (b *budgetServer) requestGrant(ctx context.Context, in wire.LoadRequest) (wire.LoadGrant, error) {
	b.mu.Lock()
	if b.holder == nil {
		address := b.holderInfo.Address
		b.mu.Unlock()
		return b.forwardLoadRequest(ctx, address, in)
	}
	waiter := make(chan budget.GrantID, 1)
	b.waiters[in.Target] = waiter
	b.holder.Request(budget.LoadRequest{Target: in.Target, Value: in.Value})
	b.mu.Unlock()
	signal(b.wake)
	return b.awaitGrant(ctx, in.Target, waiter), nil
}

func (b *budgetServer) awaitGrant(ctx context.Context, t ident.Target, waiter chan budget.GrantID) wire.LoadGrant {
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case id := <-waiter:
		return granted(id)
	case <-timer.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiters[t] == waiter {
		delete(b.waiters, t)
		if b.holder != nil {
			b.holder.Withdraw(t)
		}
	}
	select {
	case id := <-waiter:
		if ctx.Err() == nil {
			return granted(id)
		}
		// The agent has disconnected. Return the grant, so that it does not
		// count as in flight.
		if b.holder != nil {
			b.holder.Release(id)
		}
	default:
	}
	return wire.LoadGrant{}
}

func granted(id budget.GrantID) wire.LoadGrant {
	return wire.LoadGrant{Granted: true, ID: uint64(id), ValidMS: budget.GrantValidity.Milliseconds()}
}

func (b *budgetServer) forwardLoadRequest(ctx context.Context, address string, in wire.LoadRequest) (wire.LoadGrant, error) {
	var out wire.LoadGrant
	if address == "" || address == b.p.settings.Address() {
		return out, errors.New("no holder of the load budget is known")
	}
	conn, err := b.p.Pool.Get(ctx, address)
	if err != nil {
		return out, errors.Trace(err)
	}
	return out, errors.Trace(conn.Call(ctx, link.KindLoadRequest, &in, link.KindLoadGrant, &out))
}

func (b *budgetServer) serveDone(ctx context.Context, s *link.Stream, f link.Frame) error {
	var in wire.LoadDone
	if _, err := in.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	b.mu.Lock()
	holder, address := b.holder, b.holderInfo.Address
	if holder != nil {
		holder.Done(budget.GrantID(in.ID), time.Duration(in.TookMS)*time.Millisecond, normalLoadTime, in.Failed, time.Now())
	}
	b.mu.Unlock()
	if holder != nil {
		signal(b.wake)
		return nil
	}
	if address == "" || address == b.p.settings.Address() {
		return nil
	}
	conn, err := b.p.Pool.Get(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	forward, err := conn.Open(link.KindLoadDone, &in)
	if err != nil {
		return errors.Trace(err)
	}
	defer forward.Close()
	_, _ = forward.Receive(ctx)
	return nil
}
