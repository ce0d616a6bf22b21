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
	// Changes gather for a pause between two watches, since each watch is a
	// priced call. The pauses stay well below what the promises allow: 2 s for
	// the configuration and for leaving targets, 5 s for adapter versions.
	configurationPause = 100 * time.Millisecond
	targetsPause       = 1200 * time.Millisecond
	versionsPause      = 500 * time.Millisecond
	// upkeepInterval is how often links are kept up and expired targets dropped.
	upkeepInterval = 200 * time.Millisecond
)

// followers returns what keeps the gateway's view of the store up to date.
func (g *Gateway) followers(source follow.Source) []*follow.Follower {
	return []*follow.Follower{
		{
			Common: g.Common, Source: source, Kind: platform.KindConfiguration, Pause: configurationPause,
			Listed: func(list []platform.Object) {
				for _, o := range list {
					g.configure(o)
				}
				g.learned(platform.KindConfiguration)
			},
			Changed: changed(func(o platform.Object) {
				g.configure(o)
				g.learned(platform.KindConfiguration)
			}, nil),
		},
		{
			Common: g.Common, Source: source, Kind: platform.KindTargets, Pause: targetsPause,
			Listed:  g.listTargets,
			Changed: changed(g.putTarget, func(o platform.Object) { g.fleet.Remove(ident.Target(o.Name), time.Now()) }),
			Failed:  func(error) { g.fleet.Trouble(time.Now()) },
		},
		{
			Common: g.Common, Source: source, Kind: platform.KindVersions, Pause: versionsPause,
			Listed: func(list []platform.Object) {
				for _, o := range list {
					g.announce(o)
				}
				g.learned(platform.KindVersions)
			},
			Changed: changed(g.announce, nil),
		},
	}
}

// synced collects which kinds were listed once.
type synced struct {
	mu   sync.Mutex
	kind map[platform.Kind]bool
	done chan struct{} // closed when all were
}

func newSynced() *synced {
	return &synced{kind: make(map[platform.Kind]bool), done: make(chan struct{})}
}

// syncedKinds are the kinds without which a request cannot be placed.
var syncedKinds = []platform.Kind{platform.KindConfiguration, platform.KindTargets, platform.KindVersions}

// listed records a kind and reports whether it was the last.
func (s *synced) listed(k platform.Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kind[k] = true
	for _, k := range syncedKinds {
		if !s.kind[k] {
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

func (s *synced) ok() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// learned notes that a kind was listed.
func (g *Gateway) learned(k platform.Kind) {
	if g.directory.Configuration() == nil && k == platform.KindConfiguration {
		return // the operator has not written one yet
	}
	if g.synced.listed(k) {
		g.Info("msg", "in sync with the store", "targets", g.fleet.Size())
	}
}

// changed returns a handler that passes each change to put or removed.
func changed(put, removed func(platform.Object)) func([]platform.Event) {
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

func (g *Gateway) configure(o platform.Object) {
	if o.Name != platform.ConfigurationName {
		return
	}
	c, err := platform.ParseConfiguration(o.Spec)
	if err != nil {
		g.Warn("msg", "configuration not usable", "revision", o.Revision, "err", err)
		return
	}
	if g.directory.Use(c) {
		g.Info("msg", "configuration in force", "version", c.Version, "revision", o.Revision, "routes", len(c.Routes))
	}
}

func (g *Gateway) listTargets(list []platform.Object) {
	var targets []fleet.Target
	for _, o := range list {
		if t, ok := g.parseTarget(o); ok {
			targets = append(targets, t)
		}
	}
	g.fleet.Replace(targets, time.Now())
	g.learned(platform.KindTargets)
}

func (g *Gateway) putTarget(o platform.Object) {
	t, ok := g.parseTarget(o)
	if !ok {
		g.fleet.Remove(ident.Target(o.Name), time.Now())
		return
	}
	g.fleet.Put(t)
}

func (g *Gateway) parseTarget(o platform.Object) (fleet.Target, bool) {
	i, err := platform.ParseTarget(o)
	if err != nil {
		g.Debug("msg", "target entry passed over", "revision", o.Revision, "err", err)
		return fleet.Target{}, false
	}
	return fleet.Target{
		Instance: i.Instance, Service: i.Service, Address: i.Address, Domain: i.Domain,
		Slots: i.Slots, Draining: i.Draining, Born: i.Born, Models: fleet.ModelsOf(i.Models),
	}, true
}

func (g *Gateway) announce(o platform.Object) {
	model, adapter, err := platform.ParseVersion(o)
	if err != nil {
		g.Warn("msg", "version record not usable", "name", o.Name, "err", err)
		return
	}
	w := ident.Weights{Model: model, AdapterVersion: adapter}
	if g.versions.Learn(w) {
		g.Debug("msg", "version announced", "weights", w)
	}
}

// upkeep keeps the agents told and the kept connections fresh.
func (g *Gateway) upkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if g.fleet.Expire(time.Now()) {
			g.Info("msg", "targets gone", "targets", g.fleet.Size())
		}
		g.pool.Sweep()
		g.tellAgents(ctx)
	}
}

func (g *Gateway) tellAgents(ctx context.Context) {
	c := g.directory.Configuration()
	if c == nil {
		return
	}
	for _, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		for _, t := range g.fleet.Of(s.Name) {
			if _, err := g.agents.tell(ctx, t, c, s); err != nil {
				g.Debug("msg", "agent not told", "target", t.Instance, "err", err)
			}
		}
	}
}

const (
	// syncShare is the share of a caller's time that a request waits for a
	// process that has just started; what is left must do to serve it.
	syncShare = 0.4
	// maxSyncWait bounds the memory of waiting requests in a long outage.
	maxSyncWait = 4 * time.Second
	// syncRetryAfter is when the store may be back.
	syncRetryAfter = time.Second
)

// awaitSync waits until the process knows enough to place requests. Callers
// return only once or twice, so that refusing them at each start costs more than
// the wait.
func (g *Gateway) awaitSync(ctx context.Context, deadline time.Duration) bool {
	if g.synced.ok() {
		return true
	}
	wait := maxSyncWait
	if deadline > 0 {
		wait = min(wait, time.Duration(syncShare*float64(deadline)))
	}
	select {
	case <-g.synced.done:
		return true
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return false
}
