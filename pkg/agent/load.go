package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/order"
	"github.com/hyssoproad/hyssoproad/pkg/target"
)

const (
	wantPause   = 50 * time.Millisecond
	maxWantWait = time.Second
)

// permit is the right to order one load.
type permit struct {
	grant  grant
	shared bool // of the static share, not of a holder
	until  time.Time
}

// loadLoop asks for permission to load whenever a load is wanted, and orders
// the load that is worth most once permission comes.
func (a *Agent) loadLoop(ctx context.Context) {
	a.reconcile()
	for ctx.Err() == nil {
		value, wanted := a.want()
		if !wanted {
			select {
			case <-a.wantWake:
			case <-time.After(maxWantWait):
			case <-ctx.Done():
			}
			continue
		}
		p, ok := a.permit(ctx, value)
		if !ok {
			sleep(ctx, wantPause)
			continue
		}
		a.useOrReturn(ctx, p)
	}
}

func (a *Agent) want() (float64, bool) {
	if a.fence.Superseded() || !a.healthy.Load() || a.closed() {
		return 0, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_, value, wanted := a.sched.Want(time.Now())
	return value, wanted
}

// permit gets a grant from the budget's holder or, while there is no holder,
// uses the static share.
func (a *Agent) permit(ctx context.Context, value float64) (permit, bool) {
	if a.homes.holderActive() {
		a.mu.Lock()
		a.share.Reset(time.Now())
		a.mu.Unlock()
		g, err := a.homes.requestLoad(ctx, value)
		if err != nil {
			a.Debug("msg", "no load grant", "err", err)
			return permit{}, false
		}
		return permit{grant: g, until: g.until}, g.granted
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	return permit{shared: true, until: now.Add(maxWantWait)}, a.share.Take(now)
}

func (a *Agent) returnPermit(p permit, took time.Duration, failed bool) {
	if p.shared {
		a.mu.Lock()
		a.share.Done()
		a.mu.Unlock()
		return
	}
	a.homes.loadDone(p.grant, took, failed)
}

func (a *Agent) useOrReturn(ctx context.Context, p permit) {
	now := time.Now()
	a.mu.Lock()
	key, _, wanted := a.sched.Want(now)
	var evict ident.AdapterVersion
	if wanted && now.Before(p.until) {
		evict, wanted = a.sched.Load(now, key)
	} else {
		wanted = false
	}
	weights := a.weights[key]
	if wanted {
		a.loads++
	}
	a.mu.Unlock()
	if !wanted {
		a.returnPermit(p, 0, false)
		return
	}
	go a.load(ctx, p, key, evict, weights)
}

// load carries out one load order and tells the scheduler how it ended.
func (a *Agent) load(ctx context.Context, p permit, key, evict ident.AdapterVersion, weights string) {
	began := time.Now()
	err := a.order(ctx, p, key, evict, weights)
	took := time.Since(began)
	if err != nil && !errors.Is(err, order.ErrSuperseded) && a.held(key) {
		err = nil // the answer was lost, not the load
	}
	a.returnPermit(p, took, err != nil)
	a.mu.Lock()
	a.loads--
	a.sched.Loaded(time.Now(), key, took, err != nil)
	a.mu.Unlock()
	a.metrics.loads.Inc(1)
	if err != nil {
		a.metrics.loadFailures.Inc(1)
		a.Warn("msg", "adapter not loaded", "adapter", key, "err", err)
		a.reconcile()
	}
	a.metrics.loadTime.RecordDuration(took)
	signal(a.wake)
}

func (a *Agent) order(ctx context.Context, p permit, key, evict ident.AdapterVersion, weights string) error {
	if !evict.IsZero() {
		defer a.evicted(evict)
	}
	if err := a.checkFence(ctx); err != nil {
		return errors.Trace(err)
	}
	if !evict.IsZero() {
		if err := a.unload(evict); err != nil {
			return errors.Trace(err)
		}
		a.evicted(evict)
	}
	if time.Now().After(p.until) {
		return errors.Timeoutf("load permit")
	}
	err := a.engine.Load(target.AdapterOrder{Name: key.String(), Weights: weights}, a.fence.Number())
	return a.noteStale(err)
}

func (a *Agent) evicted(key ident.AdapterVersion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sched.Evicted(key)
}

// checkFence returns nil while no later incarnation can be ordering.
func (a *Agent) checkFence(ctx context.Context) error {
	good, err := a.fence.Check(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if time.Now().After(good) {
		return errors.Timeoutf("fencing check")
	}
	return nil
}

func (a *Agent) unload(key ident.AdapterVersion) error {
	a.metrics.evictions.Inc(1)
	err := a.engine.Unload(target.AdapterOrder{Name: key.String()}, a.fence.Number())
	return errors.Annotatef(a.noteStale(err), "evicting %s", key)
}

func (a *Agent) noteStale(err error) error {
	if errors.Is(err, target.ErrStale) {
		a.fence.Supersede(a.fence.Number() + 1)
	}
	return errors.Trace(err)
}

// held asks the engine whether it holds key.
func (a *Agent) held(key ident.AdapterVersion) bool {
	list, mark, err := a.engine.Loaded()
	if err != nil {
		return false
	}
	a.observeBoot(mark)
	for _, m := range list {
		if m.ID == key.String() {
			return true
		}
	}
	return false
}

// reconcile compares what the engine holds with what the scheduler believes,
// adopts what it can and unloads what nothing accounts for.
func (a *Agent) reconcile() {
	list, mark, err := a.engine.Loaded()
	if err != nil {
		a.Warn("msg", "engine's adapters not read", "err", err)
		return
	}
	a.observeBoot(mark)
	for _, m := range list {
		key, err := ident.ParseAdapterVersion(m.ID)
		if err != nil || key.Version == 0 {
			a.Warn("msg", "engine holds an unknown adapter", "adapter", m.ID)
			continue
		}
		if !a.adopt(key, m.Root) {
			a.discard(key)
		}
	}
}

// discard unloads an adapter that the scheduler does not account for.
func (a *Agent) discard(key ident.AdapterVersion) {
	a.mu.Lock()
	free := a.sched.BeginEvict(key)
	a.mu.Unlock()
	if !free {
		return
	}
	defer a.evicted(key)
	if err := a.checkFence(context.Background()); err != nil {
		return
	}
	if err := a.unload(key); err != nil {
		a.Warn("msg", "adapter not unloaded", "adapter", key, "err", err)
	}
}

// adopt reports whether the scheduler accounts for key. An adapter that a
// former agent loaded may still be serving that agent's requests.
func (a *Agent) adopt(key ident.AdapterVersion, weights string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, ordered := a.weights[key]
	if ordered && known != weights {
		return a.sched.Pins(key) > 0
	}
	if !a.sched.AdoptIfRoom(time.Now(), key) {
		return false
	}
	if !ordered {
		a.holds.add(a.sched, key, time.Now())
	}
	a.weights[key] = weights
	return true
}
