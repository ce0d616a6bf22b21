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
	// candidates is the number of entries that try to hold the budget.
	candidates = 2
	wantWait   = time.Second
	maxTick    = 100 * time.Millisecond
	normalLoad = 250 * time.Millisecond
)

// budgetDesk holds the load budget while this entry has its lease, and passes
// requests on to the holder otherwise.
type budgetDesk struct {
	p     *Peer
	lease *lease.Lease

	mu        sync.Mutex
	holder    *budget.Holder
	packer    *route.Packer
	countedAt time.Time
	term      uint64
	waiters   map[ident.Target]chan budget.GrantID
	known     wire.BudgetInfo
	until     time.Time // end of the known holder's lease
	wake      chan struct{}
}

func newBudgetDesk(p *Peer, l *lease.Lease) *budgetDesk {
	return &budgetDesk{p: p, lease: l, waiters: make(map[ident.Target]chan budget.GrantID), wake: make(chan struct{}, 1)}
}

func (d *budgetDesk) limits() budget.Limits {
	s := d.p.settings.Store
	if declared, ok := d.p.Config.Catalog().Store(); ok {
		return budget.Limits{LoadsPerSecond: declared.LoadsPerSecond, InFlight: declared.InFlight, Engines: declared.Engines}
	}
	return budget.Limits{LoadsPerSecond: s.LoadsPerSecond, InFlight: s.InFlight, Engines: s.Engines}
}

func (d *budgetDesk) loop(ctx context.Context) {
	go every(ctx, lease.Period, d.campaign)
	for ctx.Err() == nil {
		next := d.tick(time.Now())
		d.p.Table.SetShare(d.share(time.Now()))
		select {
		case <-time.After(next):
		case <-d.wake:
		case <-ctx.Done():
		}
	}
}

// campaign takes part in the election if this entry is a candidate.
func (d *budgetDesk) campaign(ctx context.Context) {
	ranked := member.Rank("budget", d.p.Entries())
	for _, e := range ranked[:min(candidates, len(ranked))] {
		if e.VM != d.p.settings.VM {
			continue
		}
		if err := d.lease.Step(ctx); err != nil {
			d.p.Debug("msg", "budget lease not renewed", "err", err)
		}
	}
}

// tick grants what is permitted and returns the time until the next look.
func (d *budgetDesk) tick(now time.Time) time.Duration {
	tenure, held := d.lease.Held()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !held {
		d.holder = nil
		return maxTick
	}
	if d.holder == nil || d.term != tenure.Term {
		d.holder = budget.NewHolder(d.limits(), tenure.Term, now)
		d.packer = route.NewPacker()
		d.term = tenure.Term
		d.known.ShareMilli = fullShare
	}
	d.known = wire.BudgetInfo{Address: d.p.settings.Address(), Term: tenure.Term, ShareMilli: d.known.ShareMilli}
	d.until = tenure.Until
	d.holder.SetLimits(d.limits(), now)
	d.count(now)
	for _, g := range d.holder.Grants(now) {
		if waiter, ok := d.waiters[g.Target]; ok {
			waiter <- g.ID
			delete(d.waiters, g.Target)
		}
	}
	if next := d.holder.NextGrant(now); !next.IsZero() {
		return min(max(next.Sub(now), time.Millisecond), maxTick)
	}
	return maxTick
}

const (
	fullShare   = 1000
	countPeriod = time.Second
)

// count looks at the fleet once a second. It is called with the lock held.
func (d *budgetDesk) count(now time.Time) {
	if now.Sub(d.countedAt) < countPeriod {
		return
	}
	d.countedAt = now
	d.holder.SetReached(d.liveEngines(now), now)
	d.pack(now)
}

// pack steps the packing share.
func (d *budgetDesk) pack(now time.Time) {
	load := 0.0
	for _, s := range d.p.Config.Catalog().Services() {
		pool := route.Pool{Kind: s.Kind, Model: s.Model, Role: s.Role}
		load = max(load, d.p.Table.ActiveLoad(pool, s.Balance))
	}
	d.known.ShareMilli = int(fullShare * d.packer.Step(d.holder.Pressure(now), load))
}

// share returns the packing share in force: all targets while no holder is
// known.
func (d *budgetDesk) share(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !now.Before(d.until) || d.known.ShareMilli == 0 {
		return 1
	}
	return float64(d.known.ShareMilli) / fullShare
}

// liveEngines counts the engines whose agents can hear of this holder. Others
// may be using their static shares.
func (d *budgetDesk) liveEngines(now time.Time) int {
	limits := d.limits()
	silent := 0
	for _, m := range d.p.Registry.Members(now) {
		if m.Report.Kind == wire.KindEngine && m.StateAt(now) != member.Live {
			silent++
		}
	}
	return max(limits.Engines-silent, 0)
}

func (d *budgetDesk) info() wire.BudgetInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	left := time.Until(d.until)
	if left <= 0 {
		return wire.BudgetInfo{}
	}
	out := d.known
	out.LeftMS = left.Milliseconds()
	return out
}

// Budget tells who holds the load budget.
func (p *Peer) Budget() wire.BudgetInfo { return p.budget.info() }

// learn takes what another entry says of the holder.
func (d *budgetDesk) learn(info wire.BudgetInfo) {
	if info.Address == "" {
		return
	}
	until := time.Now().Add(time.Duration(info.LeftMS) * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holder == nil && (info.Term > d.known.Term || info.Term == d.known.Term && until.After(d.until)) {
		d.known = info
		d.until = until
	}
}

func (d *budgetDesk) serveWant(ctx context.Context, s *link.Stream, f link.Frame) error {
	var in wire.LoadWant
	if _, err := in.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	grant, err := d.want(ctx, in)
	if err != nil {
		return errors.Trace(err)
	}
	return s.Send(link.KindLoadGrant, &grant)
}

func (d *budgetDesk) want(ctx context.Context, in wire.LoadWant) (wire.LoadGrant, error) {
	d.mu.Lock()
	if d.holder == nil {
		address := d.known.Address
		d.mu.Unlock()
		return d.forwardWant(ctx, address, in)
	}
	waiter := make(chan budget.GrantID, 1)
	d.waiters[in.Target] = waiter
	d.holder.Want(budget.Want{Target: in.Target, Value: in.Value})
	d.mu.Unlock()
	signal(d.wake)
	return d.await(ctx, in.Target, waiter), nil
}

func (d *budgetDesk) await(ctx context.Context, t ident.Target, waiter chan budget.GrantID) wire.LoadGrant {
	timer := time.NewTimer(wantWait)
	defer timer.Stop()
	select {
	case id := <-waiter:
		return granted(id)
	case <-timer.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiters[t] == waiter {
		delete(d.waiters, t)
		if d.holder != nil {
			d.holder.Withdraw(t)
		}
	}
	select {
	case id := <-waiter:
		if ctx.Err() == nil {
			return granted(id)
		}
		// The agent is gone; its place must not stay taken.
		if d.holder != nil {
			d.holder.GiveBack(id)
		}
	default:
	}
	return wire.LoadGrant{}
}

func granted(id budget.GrantID) wire.LoadGrant {
	return wire.LoadGrant{Granted: true, ID: uint64(id), ValidMS: budget.GrantValidity.Milliseconds()}
}

func (d *budgetDesk) forwardWant(ctx context.Context, address string, in wire.LoadWant) (wire.LoadGrant, error) {
	var out wire.LoadGrant
	if address == "" || address == d.p.settings.Address() {
		return out, errors.New("no budget holder known")
	}
	conn, err := d.p.Pool.Get(ctx, address)
	if err != nil {
		return out, errors.Trace(err)
	}
	return out, errors.Trace(conn.Call(ctx, link.KindLoadWant, &in, link.KindLoadGrant, &out))
}

func (d *budgetDesk) serveDone(ctx context.Context, s *link.Stream, f link.Frame) error {
	var in wire.LoadDone
	if _, err := in.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	d.mu.Lock()
	holder, address := d.holder, d.known.Address
	if holder != nil {
		holder.Done(budget.GrantID(in.ID), time.Duration(in.TookMS)*time.Millisecond, normalLoad, in.Failed, time.Now())
	}
	d.mu.Unlock()
	if holder != nil {
		signal(d.wake)
		return nil
	}
	if address == "" || address == d.p.settings.Address() {
		return nil
	}
	conn, err := d.p.Pool.Get(ctx, address)
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
