// Package gateway serves callers on an entry VM of the users' platform. It reads
// their requests, chooses a target for each, forwards the request and returns the
// response.
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
	"github.com/hyssoproad/hyssoproad/pkg/explain"
	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/follow"
	"github.com/hyssoproad/hyssoproad/pkg/forecast"
	"github.com/hyssoproad/hyssoproad/pkg/forward"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/notice"
	"github.com/hyssoproad/hyssoproad/pkg/origin"
	"github.com/hyssoproad/hyssoproad/pkg/outlier"
	"github.com/hyssoproad/hyssoproad/pkg/placement"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
	"github.com/hyssoproad/hyssoproad/pkg/retry"
	"github.com/hyssoproad/hyssoproad/pkg/socket"
	"github.com/hyssoproad/hyssoproad/pkg/uptime"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Gateway accepts callers' connections and forwards their requests.
type Gateway struct {
	common.Common
	metrics   metrics
	node      platform.Node
	directory *directory.Table
	fleet     *fleet.View
	versions  *placement.Versions
	replicas  *placement.Replicas
	spread    *placement.Spread
	holdings  *placement.Holdings
	pool      *forward.Pool
	agents    *agentLinks
	loads     *loadTracker
	placing   *placing
	// pace returns how long work takes on a target's VM, in percent of the usual time, and
	// how old that is.
	pace func(ident.Target) (percent float64, age time.Duration, known bool)
	// quotaLeft returns what is known of the quota that an account has left for a request
	// of some cost, and how long the request would be refused.
	quotaLeft func(account platform.Account, cost float64) (state string, wait time.Duration)
	notices   *notice.Table
	permits   *permits
	quotas    *quotas
	synced    *syncState
	bodies    bodyBuffers
	// quarantine holds the parts of prompts that are refused, and bans their records in
	// the store.
	quarantine *quarantine.Table
	bans       *banStore
	// requests holds the evidence against whole requests under which targets have ended,
	// evidence its record in the store, and lost the processes that may have ended.
	requests *quarantine.Requests
	evidence *evidenceStore
	lost     *lostProcesses
	// halfClosed reports whether a caller has closed its sending side only, as far as its
	// host has told. Tests replace it.
	halfClosed func(net.Conn) bool
	// origins holds the software that began the streams of this gateway.
	origins *origin.Table
	// softwares are the versions that targets have stated of themselves.
	softwares *origin.Versions
	// runningAt returns the requests that run at the engine at an address.
	runningAt func(address string) ([]ident.Attempt, error)
	// settings reads the settings file as it is now.
	settings func() (platform.Node, error)
	// suspended returns how long the VM was suspended since it started. Tests replace it.
	suspended func() time.Duration
	// targetList is how current the list of targets is, and configurationCopy how current
	// the configuration is.
	targetList, configurationCopy *follow.Freshness
	// awaitTargetList waits until the list of targets is as of the given time. Tests replace it.
	awaitTargetList func(context.Context, time.Time) bool
	trust           trustState
	denialRows      *common.RowLimit // about requests refused for their keys
	sendingSetups   atomic.Bool

	budgetMu   sync.Mutex
	budgets    map[ident.Service]*budget
	detectors  map[ident.Service]*outlier.Detector
	entryCount retry.EntryCount

	listener      net.Listener
	stop          stopState
	eventInterval eventInterval
	stepTime      stepTime
	lateRows      *common.RowLimit // about late streams
	// lengths, firstEvents and plainTimes are of streams, until their first event and of
	// other requests, from their send on.
	lengths                 forecast.Lengths
	firstEvents, plainTimes forecast.Durations
	active                  atomic.Int64
	conns                   *connTable
}

// budget is a retry budget that is safe for concurrent use.
type budget struct {
	mu sync.Mutex
	b  *retry.Budget
}

func (b *budget) countRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.b.CountRequest(time.Now())
}

func (b *budget) allow(entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Allow(entries, time.Now())
}

// New returns a gateway without a configuration.
func New(c common.Common, node platform.Node) *Gateway {
	c = c.With("gateway")
	g := &Gateway{
		Common: c, metrics: newMetrics(c.Metrics), node: node,
		directory: directory.New(), fleet: fleet.New(), synced: newSyncState(),
		versions: placement.NewVersions(), replicas: placement.NewReplicas(), spread: placement.NewSpread(), holdings: placement.NewHoldings(),
		pool: forward.NewPool(), bodies: newBodyBuffers(node.MemoryBytes), origins: origin.NewTable(), softwares: origin.NewVersions(), runningAt: runningAt, suspended: uptime.Suspended, halfClosed: socket.HalfClosed,
		loads: newLoadTracker(), placing: newPlacing(), notices: notice.New(), permits: newPermits(), budgets: make(map[ident.Service]*budget), detectors: make(map[ident.Service]*outlier.Detector),
		conns: newConnTable(), stop: newStopState(),
		quarantine: quarantine.New(), bans: newBanStore(), requests: quarantine.NewRequests(), lost: newLostProcesses(),
		denialRows: common.NewRowLimit(1, denialLogInterval), lateRows: common.NewRowLimit(maxLateRows, lateRowsPeriod),
	}
	g.settings = func() (platform.Node, error) { return g.node, nil }
	suspendedNow := func() time.Duration { return g.suspended() }
	g.targetList, g.configurationCopy = &follow.Freshness{Suspended: suspendedNow}, &follow.Freshness{Suspended: suspendedNow}
	g.awaitTargetList = g.targetList.Await
	g.evidence = newEvidenceStore(g)
	g.pool.Observe = g.metrics.countConn
	g.agents = newAgentLinks(link.Identity{Role: wire.RoleEntry, VM: node.VM, Liveness: link.GrantLiveness}, node.PeerPort, g.tellKnown,
		link.Handlers{link.KindCrashReport: g.handleCrashReport, link.KindTargetNotice: g.handleTargetNotice})
	g.quotas, g.pace = newQuotas(g), g.loads.paceOf
	g.quotaLeft = g.quotas.left
	return g
}

func (g *Gateway) budget(s ident.Service) *budget {
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	b := g.budgets[s]
	if b == nil {
		bounds := g.node.Bounds
		b = &budget{b: retry.New(retry.Limits{Ratio: bounds.RetryRatio, MinRetries: bounds.RetrySlack, Window: bounds.RetryWindow})}
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

// addJitter adds random jitter of up to half of d, so that callers do not retry at
// the same moment.
func (g *Gateway) addJitter(d time.Duration) time.Duration { return d + rand.N(d/2+1) }

// eligibleTargets returns the service's targets that want requests and are neither
// excluded nor ejected by outlier detection. If there are none, it returns the ejected
// ones that want requests and are not excluded.
func (g *Gateway) eligibleTargets(s ident.Service, excluded []ident.Target) []fleet.Target {
	return g.eligibleOf(g.fleet.Available(s), s, excluded)
}

// eligibleOf is like eligibleTargets for some of the service's targets.
func (g *Gateway) eligibleOf(all []fleet.Target, s ident.Service, excluded []ident.Target) []fleet.Target {
	now := time.Now()
	detector, known := g.knownDetector(s)
	anyEjected := known && detector.AnyEjected(now)
	if len(excluded) == 0 && !anyEjected && g.notices.Empty() {
		return all
	}
	var healthy, ejected []fleet.Target
	for _, t := range all {
		switch g.exclusion(t, excluded, now) {
		case explain.NotExcluded:
			healthy = append(healthy, t)
		case explain.Ejected:
			ejected = append(ejected, t)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return ejected
}

// exclusion returns why a listed target gets no request that was already sent to the
// excluded ones, if there is a reason.
func (g *Gateway) exclusion(t fleet.Target, excluded []ident.Target, now time.Time) explain.Exclusion {
	p := processOf(t)
	switch {
	case contains(t.Instance, excluded):
		return explain.Excluded
	case g.notices.Leaving(p):
		return explain.Leaving
	case g.paused(p, now):
		return explain.Paused
	}
	if d, known := g.knownDetector(t.Service); known && d.Ejected(t.Instance, now) {
		return explain.Ejected
	}
	return explain.NotExcluded
}

// knownDetector returns the detector of a service that has had requests.
func (g *Gateway) knownDetector(s ident.Service) (*outlier.Detector, bool) {
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	d, known := g.detectors[s]
	return d, known
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

func contains(t ident.Target, list []ident.Target) bool {
	for _, other := range list {
		if other == t {
			return true
		}
	}
	return false
}

// homes returns the targets to ask for the weights, in order of preference.
func (g *Gateway) homes(targets []fleet.Target, w ident.Weights) []fleet.Target {
	if w.IsZero() {
		return placement.ByLoad(targets, g.loads.perSlot, g.node.Domain, rand.Uint64())
	}
	return placement.Homes(targets, w)
}

func (g *Gateway) recordSuccess(t fleet.Target) {
	g.detector(t.Service).Record(t.Instance, false, time.Now())
}

// callerSendBuffer is what the kernel holds for a caller that has not read it. By default
// it takes up to 4 MB, which hundreds of slow callers would exhaust a VM's memory with, and
// takes more only once a third of that has been read, which hides a slow caller's progress.
const callerSendBuffer = 128 << 10

// Start listens for callers and serves them.
func (g *Gateway) Start(ctx context.Context) error {
	config := net.ListenConfig{Control: socket.SendBuffer(callerSendBuffer)}
	listener, err := config.Listen(ctx, "tcp4", g.node.CallerAddress)
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
			time.Sleep(acceptRetryDelay)
			continue
		}
		go g.serve(nc)
	}
}

// acceptRetryDelay gives connections time to close and free file descriptors after
// a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

func (g *Gateway) serve(nc net.Conn) {
	limits := g.limits()
	_ = nc.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	c := &callerConn{g: g, nc: nc, r: bufio.NewReaderSize(nc, limits.HeaderBytes)}
	g.stop.observeAccept(time.Now())
	g.conns.set(c, connIdle)
	defer g.conns.remove(c)
	c.serve()
}

// Ready returns nil if the balancer may send callers here, or else the reason
// against it.
func (g *Gateway) Ready() error {
	switch {
	case g.stop.begun():
		return errors.New("stopping")
	case !g.synced.complete():
		return errors.New("not in sync with the store")
	}
	return nil
}
