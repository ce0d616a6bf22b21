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
	permitRetryPause   = 50 * time.Millisecond
	maxLoadRequestWait = time.Second
)

// permit is the right to order one load.
type permit struct {
	grant     grant
	fromShare bool // taken from the static share, not granted by a holder
	until     time.Time
}

// loadLoop gets a permit whenever a load is requested, and then orders the load with
// the highest value.
func (a *Agent) loadLoop(ctx context.Context) {
	a.reconcile()
	for ctx.Err() == nil {
		value, requested := a.nextLoadValue()
		if !requested {
			select {
			case <-a.loadWake:
			case <-time.After(maxLoadRequestWait):
			case <-ctx.Done():
			}
			continue
		}
		p, ok := a.permit(ctx, value)
		if !ok {
			sleep(ctx, permitRetryPause)
			continue
		}
		a.usePermit(ctx, p)
	}
}

func (a *Agent) nextLoadValue() (float64, bool) {
	if a.fence.Superseded() || !a.healthy.Load() || a.refusesWork() {
		return 0, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_, value, requested := a.sched.NextLoad(time.Now())
	return value, requested
}

// permit gets a grant from the budget holder or, while there is no holder, takes
// one load from the static share.
func (a *Agent) permit(ctx context.Context, value float64) (permit, bool) {
	if a.homes.holderActive() {
		a.mu.Lock()
		a.share.Reset(time.Now())
		a.mu.Unlock()
		g, err := a.homes.requestLoad(ctx, value)
		if err != nil {
			a.Debug("msg", "failed to request a load grant", "err", err)
			return permit{}, false
		}
		return permit{grant: g, until: g.until}, g.granted
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	return permit{fromShare: true, until: now.Add(maxLoadRequestWait)}, a.share.Take(now)
}

func (a *Agent) returnPermit(p permit, took time.Duration, failed bool) {
	if p.fromShare {
		a.mu.Lock()
		a.share.Done()
		a.mu.Unlock()
		return
	}
	a.homes.loadDone(p.grant, took, failed)
}

func (a *Agent) usePermit(ctx context.Context, p permit) {
	now := time.Now()
	a.mu.Lock()
	key, _, requested := a.sched.NextLoad(now)
	var evict ident.AdapterVersion
	if requested && now.Before(p.until) {
		evict, requested = a.sched.BeginLoad(now, key)
	} else {
		requested = false
	}
	weights := a.weights[key]
	if requested {
		a.loads++
	}
	a.mu.Unlock()
	if !requested {
		a.returnPermit(p, 0, false)
		return
	}
	go a.load(ctx, p, key, evict, weights)
}

// load executes one load order and reports the result to the scheduler.
func (a *Agent) load(ctx context.Context, p permit, key, evict ident.AdapterVersion, weights string) {
	started := time.Now()
	err := a.orderLoad(ctx, p, key, evict, weights)
	took := time.Since(started)
	if err != nil && !errors.Is(err, order.ErrSuperseded) && a.engineHolds(key) {
		err = nil // the load succeeded and only its answer was lost
	}
	a.returnPermit(p, took, err != nil)
	a.mu.Lock()
	a.loads--
	a.sched.EndLoad(time.Now(), key, took, err != nil)
	a.mu.Unlock()
	a.metrics.loads.Inc(1)
	if err != nil {
		a.metrics.loadFailures.Inc(1)
		a.Warn("msg", "failed to load adapter", "adapter", key, "err", err)
		a.reconcile()
	}
	a.metrics.loadTime.RecordDuration(took)
	signal(a.scheduleWake)
}

func (a *Agent) orderLoad(ctx context.Context, p permit, key, evict ident.AdapterVersion, weights string) error {
	if !evict.IsZero() {
		defer a.endEvict(evict)
	}
	if err := a.checkFence(ctx); err != nil {
		return errors.Trace(err)
	}
	if !evict.IsZero() {
		if err := a.unload(evict); err != nil {
			return errors.Trace(err)
		}
		a.endEvict(evict)
	}
	if time.Now().After(p.until) {
		return errors.Timeoutf("load permit")
	}
	err := a.engine.Load(target.AdapterOrder{Name: key.String(), Weights: weights}, a.fence.Number())
	return a.supersedeIfStale(err)
}

func (a *Agent) endEvict(key ident.AdapterVersion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sched.EndEvict(key)
}

// checkFence returns nil if no later incarnation can be sending orders.
func (a *Agent) checkFence(ctx context.Context) error {
	validUntil, err := a.fence.Check(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if time.Now().After(validUntil) {
		return errors.Timeoutf("fencing check")
	}
	return nil
}

func (a *Agent) unload(key ident.AdapterVersion) error {
	a.metrics.evictions.Inc(1)
	err := a.engine.Unload(target.AdapterOrder{Name: key.String()}, a.fence.Number())
	return errors.Annotatef(a.supersedeIfStale(err), "evicting %s", key)
}

func (a *Agent) supersedeIfStale(err error) error {
	if errors.Is(err, target.ErrStaleToken) {
		a.fence.ObserveHighest(a.fence.Number() + 1)
	}
	return errors.Trace(err)
}

// engineHolds asks the engine whether it holds key.
func (a *Agent) engineHolds(key ident.AdapterVersion) bool {
	list, boot, err := a.engine.ListAdapters()
	if err != nil {
		return false
	}
	a.observeBoot(boot)
	for _, m := range list {
		if m.ID == key.String() {
			return true
		}
	}
	return false
}

// reconcile compares the adapters that the engine holds with the scheduler's
// state, adopts those that fit and unloads those that the scheduler does not
// account for.
func (a *Agent) reconcile() {
	list, boot, err := a.engine.ListAdapters()
	if err != nil {
		a.Warn("msg", "failed to list the engine's adapters", "err", err)
		return
	}
	a.observeBoot(boot)
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
	defer a.endEvict(key)
	if err := a.checkFence(context.Background()); err != nil {
		return
	}
	if err := a.unload(key); err != nil {
		a.Warn("msg", "failed to unload adapter", "adapter", key, "err", err)
	}
}

// adopt reports whether the scheduler accounts for key, adopting it if possible.
// An adapter that a former agent loaded is pinned, since it may still serve that
// agent's requests.
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
		a.untracked.add(a.sched, key, time.Now())
	}
	a.weights[key] = weights
	return true
}
