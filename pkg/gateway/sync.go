package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/follow"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// The pauses between two watches are shares of the time within which a change has
	// to be in force. The platform charges for each watch.
	configurationPauseShare = 0.05
	targetsPauseShare       = 0.6
	versionsPauseShare      = 0.2
	// maxRetryShare is the share of the shortest of these times that bounds the delay
	// after a failed call.
	maxRetryShare = 0.2
	// expiryHeartbeats is the least number of heartbeats that a live target can't write
	// before its record expires: it expires after three, and the last one may have been
	// written just before the first of them was due.
	expiryHeartbeats = 2
	// maintenanceInterval is how often setups are sent, idle connections closed and
	// expired targets removed.
	maintenanceInterval = 200 * time.Millisecond
)

// followers returns the followers that keep the gateway's copy of the store up to
// date.
func (g *Gateway) followers(source follow.Source) []*follow.Follower {
	bounds := g.node.Bounds
	timing := func(inForce time.Duration, pauseShare float64) follow.Timing {
		return follow.NewTiming(inForce, pauseShare, bounds.Settled)
	}
	outage := follow.NewOutage(g.Common, follow.OutageLimits{
		RetryDelay: follow.Share(min(bounds.Configuration, bounds.Draining, bounds.Version), maxRetryShare),
		Expiry:     expiryHeartbeats * g.node.TargetHeartbeat,
	}, g.fleet.RecordOutage)
	return []*follow.Follower{
		{
			Common: g.Common, Source: source, Kind: platform.KindConfiguration, Freshness: g.configurationCopy, Timing: timing(bounds.Configuration, configurationPauseShare), Outage: outage,
			MaxWait: g.maxConfigurationWait,
			OnConfirm: func() {
				g.trusted() // logs that it is again
				g.markListed(platform.KindConfiguration)
			},
			OnList: func(l follow.Listing) {
				for _, o := range l.Objects {
					g.applyConfiguration(o)
				}
			},
			OnChanges: changeHandler(g.applyConfiguration, nil),
		},
		{
			Common: g.Common, Source: source, Kind: platform.KindTargets, Freshness: g.targetList, Timing: timing(bounds.Draining, targetsPauseShare), Outage: outage,
			OnList: func(l follow.Listing) {
				g.observeUnseenVersions(source, l)
				g.replaceTargets(l)
			},
			OnChanges: changeHandler(g.putTarget, g.removeTarget),
		},
		{
			Common: g.Common, Source: source, Kind: platform.KindVersions, Freshness: new(follow.Freshness), Timing: timing(bounds.Version, versionsPauseShare), Outage: outage,
			OnList: func(l follow.Listing) {
				for _, o := range l.Objects {
					g.recordVersion(o)
				}
				g.markListed(platform.KindVersions)
			},
			OnChanges: changeHandler(g.recordVersion, nil),
		},
		g.banFollower(source, outage),
		g.evidenceFollower(source, outage),
	}
}

// syncState tracks which kinds were listed at least once.
type syncState struct {
	mu     sync.Mutex
	listed map[platform.Kind]bool
	done   chan struct{} // closed when all were listed
}

func newSyncState() *syncState {
	return &syncState{listed: make(map[platform.Kind]bool), done: make(chan struct{})}
}

// requiredKinds are the kinds that must be listed before a request can be placed.
var requiredKinds = []platform.Kind{platform.KindConfiguration, platform.KindTargets, platform.KindVersions}

// markListed records that a kind was listed. It reports whether this completes the
// sync.
func (s *syncState) markListed(k platform.Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed[k] = true
	for _, k := range requiredKinds {
		if !s.listed[k] {
			return false
		}
	}
	select {
	case <-s.done:
		return false
	default:
		close(s.done)
		return true
	}
}

func (s *syncState) complete() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// markListed records that a kind was listed and logs when the sync is complete.
func (g *Gateway) markListed(k platform.Kind) {
	if g.directory.Configuration() == nil && k == platform.KindConfiguration {
		return // no configuration has been written yet
	}
	if g.synced.markListed(k) {
		g.Info("msg", "in sync with the store", "targets", g.fleet.Size())
	}
}

// changeHandler returns a handler that passes changed objects to put and removed
// ones to removed, if it is not nil.
func changeHandler(put, removed func(platform.Object)) func([]platform.Event) {
	return func(events []platform.Event) {
		for _, e := range events {
			switch {
			case !e.Removed:
				put(e.Object)
			case removed != nil:
				removed(e.Object)
			}
		}
	}
}

func (g *Gateway) applyConfiguration(o platform.Object) {
	if o.Name != platform.ConfigurationName {
		return
	}
	c, err := platform.ParseConfiguration(o.Spec)
	if err != nil {
		g.Warn("msg", "invalid configuration", "revision", o.Revision, "err", err)
		return
	}
	inForce, err := g.directory.Update(c)
	if err != nil {
		g.Warn("msg", "invalid configuration", "version", c.Version, "revision", o.Revision, "err", err)
		return
	}
	if inForce {
		routes := make(map[string]bool, len(c.Routes))
		for _, r := range c.Routes {
			routes[r.Name] = true
		}
		isKept := func(route string) bool { return routes[route] }
		g.lengths.Retain(isKept)
		g.firstEvents.Retain(isKept)
		g.plainTimes.Retain(isKept)
		g.Info("msg", "configuration in force", "version", c.Version, "revision", o.Revision, "routes", len(c.Routes), "accounts", len(c.Accounts))
	}
}

func (g *Gateway) replaceTargets(l follow.Listing) {
	if l.Restored {
		g.fleet.RecordOutage(time.Now())
	}
	var targets []fleet.Target
	for _, o := range l.Objects {
		if t, ok := g.parseTarget(o); ok {
			targets = append(targets, t)
		}
	}
	g.fleet.Replace(targets, time.Now())
	g.retainEngines()
	g.markListed(platform.KindTargets)
}

func (g *Gateway) removeTarget(o platform.Object) {
	if kept, known := g.fleet.Remove(ident.Target(o.Name), time.Now()); known {
		g.Info("msg", "target no longer listed", "target", o.Name, "revision", o.Revision, "kept", kept)
	}
	g.retainEngines()
}

// retainEngines forgets what engines hold that are not listed any more.
func (g *Gateway) retainEngines() {
	addresses := g.fleet.Addresses()
	g.holdings.Retain(addresses)
	g.placing.known.Retain(addresses)
}

func (g *Gateway) putTarget(o platform.Object) {
	t, ok := g.parseTarget(o)
	if !ok {
		g.removeTarget(o)
		return
	}
	if g.fleet.Put(t) {
		g.Info("msg", "target is draining", "target", t.Instance, "revision", o.Revision)
	}
}

func (g *Gateway) parseTarget(o platform.Object) (fleet.Target, bool) {
	i, err := platform.ParseTarget(o)
	if err != nil {
		g.Debug("msg", "ignoring invalid target record", "revision", o.Revision, "err", err)
		return fleet.Target{}, false
	}
	var held []ident.Weights
	var models []ident.Model
	for _, m := range i.Models {
		held = append(held, m.Weights()...)
		models = append(models, m.Name)
	}
	g.holdings.Observe(i.Address, held)
	g.softwares.Observe(i.Service, i.Software, time.Now())
	return fleet.Target{
		Instance: i.Instance, Service: i.Service, Address: i.Address, Domain: i.Domain,
		Slots: i.Slots, Draining: i.Draining, Software: i.Software, StartMS: i.StartMS, Heartbeat: i.Heartbeat, Models: fleet.ModelsOf(models),
	}, true
}

func (g *Gateway) recordVersion(o platform.Object) {
	model, adapter, err := platform.ParseVersion(o)
	if err != nil {
		g.Warn("msg", "invalid version record", "name", o.Name, "err", err)
		return
	}
	w := ident.Weights{Model: model, AdapterVersion: adapter}
	if g.versions.Update(w) {
		g.Debug("msg", "learned of an adapter version", "weights", w)
	}
}

// maintain periodically removes expired targets, closes expired idle connections
// and sends engine setups.
func (g *Gateway) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if g.fleet.Expire(time.Now()) {
			g.Info("msg", "removed expired targets", "targets", g.fleet.Size())
		}
		g.trusted() // logs that it is no longer
		g.notices.Retain(func(t ident.Target) bool { _, known := g.fleet.Find(t); return known }, time.Now())
		g.renewPermits()
		g.pool.Sweep()
		g.maintainEngineSetups(ctx)
		g.quotas.maintain(g.agents.linkTo)
	}
}

const (
	// syncShare is the share of a caller's timeout that a request may wait for a
	// process that has just started. The rest has to suffice to serve it.
	syncShare = 0.4
	// maxSyncWait limits the memory that waiting requests take during a long
	// outage.
	maxSyncWait = 4 * time.Second
	// syncRetryAfter is the Retry-After time while the store is unreachable.
	syncRetryAfter = time.Second
)

// awaitSync waits until the process knows enough to place requests. Callers retry
// only once or twice, so refusing requests at each start costs more than letting
// them wait, except while the process is stopping.
func (g *Gateway) awaitSync(ctx context.Context, callerTimeout time.Duration) bool {
	if g.synced.complete() {
		return true
	}
	wait := maxSyncWait
	if callerTimeout > 0 {
		wait = min(wait, time.Duration(syncShare*float64(callerTimeout)))
	}
	select {
	case <-g.synced.done:
		return true
	case <-ctx.Done():
	case <-g.stop.done:
	case <-time.After(wait):
	}
	return g.synced.complete()
}
