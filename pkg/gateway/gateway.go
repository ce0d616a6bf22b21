// Package gateway serves callers on an entry VM of the users' platform: it reads
// their requests, finds a target for each, forwards it and passes the answer on.
package gateway

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/directory"
	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/forward"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/outlier"
	"github.com/hyssoproad/hyssoproad/pkg/placement"
	"github.com/hyssoproad/hyssoproad/pkg/retry"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Gateway is the process's service to callers.
type Gateway struct {
	common.Common
	meters    meters
	node      platform.Node
	directory *directory.Directory
	fleet     *fleet.View
	versions  *placement.Versions
	replicas  *placement.Replicas
	pool      *forward.Pool
	agents    *agents
	loads     *loads
	synced    *synced

	budgetMu  sync.Mutex
	budgets   map[ident.Service]*budget
	detectors map[ident.Service]*outlier.Detector
	sharers   retry.Sharers

	listener net.Listener
	stopping atomic.Bool
	// stopAt is when requests under way are given up, once the balancer has had
	// time to notice the stop.
	stopAt  atomic.Pointer[time.Time]
	pace    pace
	active  atomic.Int64
	connMu  sync.Mutex
	waiting map[*caller]bool // connections between two requests
}

// budget is a retry budget under its lock.
type budget struct {
	mu sync.Mutex
	b  *retry.Budget
}

func (b *budget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.b.Request(time.Now())
}

func (b *budget) take(entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Take(entries, time.Now())
}

// New returns a gateway that knows no configuration.
func New(c common.Common, node platform.Node) *Gateway {
	c = c.With("gateway")
	return &Gateway{
		Common: c, meters: newMeters(c.Metrics), node: node, directory: directory.New(), fleet: fleet.New(), versions: placement.NewVersions(), replicas: placement.NewReplicas(),
		pool:   forward.NewPool(),
		agents: newAgents(link.Identity{Role: wire.RoleEntry, VM: node.VM, Liveness: link.GrantLiveness}, node.PeerPort),
		loads:  newLoads(), synced: newSynced(), budgets: make(map[ident.Service]*budget), detectors: make(map[ident.Service]*outlier.Detector), waiting: make(map[*caller]bool),
	}
}

func (g *Gateway) budget(s ident.Service) *budget {
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	b := g.budgets[s]
	if b == nil {
		bounds := g.node.Bounds
		b = &budget{b: retry.New(retry.Limits{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow})}
		g.budgets[s] = b
	}
	return b
}

func (g *Gateway) limits() platform.Limits {
	if c := g.directory.Configuration(); c != nil {
		return c.Limits
	}
	return platform.DefaultLimits()
}

// spread lengthens a retry time by up to a half, so that callers do not return
// together.
func (g *Gateway) spread(d time.Duration) time.Duration { return d + rand.N(d/2+1) }

// usable returns the service's targets that are neither excluded nor passed over,
// or else those that are not excluded.
func (g *Gateway) usable(s ident.Service, excluded []ident.Target) []fleet.Target {
	all := g.fleet.Of(s)
	detector, now := g.detector(s), time.Now()
	passing := detector.Any(now)
	if len(excluded) == 0 && !passing {
		return all
	}
	var sound, rest []fleet.Target
	for _, t := range all {
		switch {
		case among(t.Instance, excluded):
		case passing && detector.Passed(t.Instance, now):
			rest = append(rest, t)
		default:
			sound = append(sound, t)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return rest
}

func (g *Gateway) detector(s ident.Service) *outlier.Detector {
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	d := g.detectors[s]
	if d == nil {
		d = outlier.New()
		g.detectors[s] = d
	}
	return d
}

func among(t ident.Target, list []ident.Target) bool {
	for _, other := range list {
		if other == t {
			return true
		}
	}
	return false
}

// homes returns the targets to ask for the weights, in order.
func (g *Gateway) homes(targets []fleet.Target, w ident.Weights) []fleet.Target {
	if w.IsZero() {
		return placement.Least(targets, g.loads.of, g.node.Domain, rand.Uint64())
	}
	return placement.Homes(targets, w)
}

func (g *Gateway) failed(t fleet.Target, step string, err error) {
	passed := g.detector(t.Service).Saw(t.Instance, true, time.Now())
	g.Info("msg", "target failed", "target", t.Instance, "service", t.Service, "step", step, "err", err, "passed-over", passed)
}

func (g *Gateway) succeeded(t fleet.Target) {
	g.detector(t.Service).Saw(t.Instance, false, time.Now())
}

func (g *Gateway) turnedAway(s *seat, a *forward.Answer) {
	g.Info("msg", "target turned request away", "target", s.target.Instance, "status", a.Status, "version", s.version)
}

// Start serves callers.
func (g *Gateway) Start(context.Context) error {
	listener, err := net.Listen("tcp4", g.node.Callers)
	if err != nil {
		return errors.Trace(err)
	}
	g.listener = listener
	go g.accept(listener)
	return nil
}

func (g *Gateway) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.Warn("msg", "accept failed", "err", err)
			time.Sleep(acceptPause)
			continue
		}
		go g.serve(nc)
	}
}

// acceptPause lets descriptors come free.
const acceptPause = 20 * time.Millisecond

func (g *Gateway) serve(nc net.Conn) {
	limits := g.limits()
	_ = nc.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	c := &caller{g: g, nc: nc, r: bufio.NewReaderSize(nc, limits.HeaderBytes), lastResort: g.stopAt.Load() != nil}
	g.idle(c, true)
	c.serve()
	g.idle(c, false)
}

// idle notes whether a connection waits for its next request.
func (g *Gateway) idle(c *caller, waits bool) {
	g.connMu.Lock()
	defer g.connMu.Unlock()
	if waits {
		g.waiting[c] = true
		return
	}
	delete(g.waiting, c)
}

const (
	// noticeTime is how long the balancer takes to see that the process is not
	// ready: two misses, one second apart, and a margin.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is left of the stop's grace when the last requests are given up;
	// the promises allow for its last sixth.
	stopMargin = 800 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
)

// Stop finishes the requests under way. New ones that can end in time are served
// to the end: where all entries of a failure domain stop at once, the balancer
// has nobody else to send them to.
func (g *Gateway) Stop(context.Context) error {
	began := time.Now()
	last := began.Add(g.node.Bounds.StopGrace - stopMargin)
	g.stopping.Store(true)
	g.Info("msg", "stopping", "active", g.active.Load())
	time.Sleep(noticeTime)
	g.stopAt.Store(&last)
	for g.active.Load() > 0 && time.Now().Before(last) {
		g.closeIdle()
		time.Sleep(stopPoll)
	}
	_ = g.listener.Close()
	g.closeIdle()
	g.Info("msg", "finished", "unfinished", g.active.Load(), "after", time.Since(began))
	return nil
}

// closeIdle ends the connections that wait for another request.
func (g *Gateway) closeIdle() {
	g.connMu.Lock()
	defer g.connMu.Unlock()
	for c := range g.waiting {
		if c.served {
			_ = c.nc.SetReadDeadline(time.Now())
		}
	}
}

// Ready returns why callers should not be sent here, or nil.
func (g *Gateway) Ready() error {
	switch {
	case g.stopping.Load():
		return errors.New("stopping")
	case !g.synced.ok():
		return errors.New("not in sync with the store")
	}
	return nil
}
