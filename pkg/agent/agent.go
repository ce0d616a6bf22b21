// Package agent controls one target. Only the agent sends orders to its target:
// it queues and runs requests, loads and evicts adapters, and drains the target.
package agent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/budget"
	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/kernel"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/pkg/order"
	"github.com/hyssoproad/hyssoproad/pkg/queue"
	"github.com/hyssoproad/hyssoproad/pkg/rollout"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
	"github.com/hyssoproad/hyssoproad/pkg/target"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "agent",
		Provide: []any{NewDependencies, New},
		Start:   func(*Agent) {},
	})
}

// Agent is the process that controls one target.
type Agent struct {
	common.Common
	settings     settings.Agent
	deps         Dependencies
	self         link.Identity
	log          *rollout.Log
	fence        *order.Fence
	attempts     *order.Attempts
	engine       *target.Engine
	service      *target.Service
	homes        *homes
	share        *budget.Share // guarded by mu
	reassemblers reassemblers
	metrics      metrics

	mu         sync.Mutex
	sched      *queue.Scheduler
	jobs       map[ident.Request]*job
	weights    map[ident.AdapterVersion]string // by adapter version, as submitted or adopted
	engineBoot string
	loads      int // load orders in progress
	untracked  untrackedPins
	acquiredAt time.Time // when the fencing token was acquired

	scheduleWake chan struct{}
	loadWake     chan struct{}
	draining     atomic.Bool
	role         atomic.Pointer[string]
	healthy      atomic.Bool
	cancel       context.CancelFunc
	listener     net.Listener
}

// Dependencies are an agent's external dependencies. Tests replace them.
type Dependencies struct {
	Objects objects.Objects
	Engine  *target.Engine  // nil for a plain service
	Service *target.Service // nil for an engine
	Listen  func() (net.Listener, error)
	Dial    func(ctx context.Context, address string) (net.Conn, error)
}

// NewDependencies returns the dependencies for the settings.
func NewDependencies(s settings.Agent, client *objects.Client) Dependencies {
	d := Dependencies{
		Objects: client.Objects(),
		Listen:  func() (net.Listener, error) { return net.Listen("tcp", s.Link) },
		Dial:    link.DialTCP,
	}
	if s.Target.Kind == wire.KindService {
		d.Service = target.NewService(s.Target.URL)
	} else {
		d.Engine = target.NewEngine(s.Target.URL)
	}
	return d
}

// New returns an agent.
func New(c common.Common, s settings.Agent, deps Dependencies, life *kernel.Lifecycle) (*Agent, error) {
	secret, err := s.Secret()
	if err != nil {
		return nil, errors.Annotate(err, "reading secret")
	}
	a := &Agent{
		Common:       c.With("agent"),
		settings:     s,
		deps:         deps,
		self:         link.Identity{Role: wire.RoleAgent, VM: s.VM, Secret: secret},
		engine:       deps.Engine,
		service:      deps.Service,
		log:          rollout.New(deps.Objects, catalog.New()),
		fence:        order.NewFence(deps.Objects, s.Target.Name),
		attempts:     order.NewAttempts(),
		jobs:         make(map[ident.Request]*job),
		weights:      make(map[ident.AdapterVersion]string),
		untracked:    make(untrackedPins),
		scheduleWake: make(chan struct{}, 1),
		loadWake:     make(chan struct{}, 1),
	}
	a.reassemblers.init()
	a.role.Store(&a.settings.Target.Role)
	a.metrics = newMetrics(a.Metrics)
	a.homes = newHomes(a)
	a.fence.Highest = a.homes.highest
	life.Append(kernel.Hook{Name: "agent", Start: a.start, Stop: a.stop, Ready: a.ready})
	return a, nil
}

func (a *Agent) limits() budget.Limits {
	s := a.settings.WeightStore
	if declared, ok := a.log.Catalog().StoreLimits(); ok {
		return budget.Limits{LoadsPerSecond: declared.LoadsPerSecond, InFlight: declared.InFlight, MaxEngines: declared.MaxEngines}
	}
	return budget.Limits{LoadsPerSecond: s.LoadsPerSecond, InFlight: s.InFlight, MaxEngines: s.MaxEngines}
}

func (a *Agent) start(ctx context.Context) error {
	number, err := a.fence.Acquire(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	a.acquiredAt = time.Now()
	a.Info("msg", "fencing token acquired", "incarnation", number)
	if a.settings.Target.IgnoresFencing {
		select {
		case <-time.After(order.TakeoverWait):
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	a.share = budget.NewShare(a.limits(), time.Now())
	a.sched = queue.New(queue.Settings{
		Slots: a.slots(), MaxRunning: a.settings.Target.MaxRunning,
		MaxWaiting: a.settings.Queue.MaxWaiting, Balance: a.settings.Queue.Balance,
	}, time.Now())
	if a.service != nil {
		a.sched.Adopt(time.Now(), ident.AdapterVersion{})
	}
	if a.listener, err = a.deps.Listen(); err != nil {
		return errors.Trace(err)
	}
	a.launch()
	return nil
}

// slots returns the number of slots. A plain service counts as one loaded adapter,
// so it has one slot.
func (a *Agent) slots() int { return max(a.settings.Target.Slots, 1) }

func (a *Agent) launch() {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	go func() {
		if err := link.Serve(a.listener, a.self, a.handlers(), a.Log); err != nil {
			a.Warn("msg", "link listener failed", "err", err)
		}
	}()
	go a.probeLoop(ctx)
	go a.scheduleLoop(ctx)
	go a.homes.loop(ctx)
	go a.roleLoop(ctx)
	if a.engine != nil {
		go a.loadLoop(ctx)
	}
}

func (a *Agent) handlers() link.Handlers {
	return link.Handlers{
		link.KindSubmit:       a.serveSubmit,
		link.KindAttemptQuery: a.serveAttemptQuery,
		link.KindConfigDelta:  a.serveConfigDelta,
	}
}

func (a *Agent) ready() error {
	switch {
	case a.fence.Superseded():
		return order.ErrSuperseded
	case !a.healthy.Load():
		return errors.New("target does not answer")
	}
	return nil
}

const (
	probePeriod     = time.Second
	maxFailedProbes = 3
)

func (a *Agent) probeLoop(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if err := a.probe(); err != nil {
			failures++
			if failures == maxFailedProbes {
				a.Warn("msg", "target does not answer", "err", err)
				a.healthy.Store(false)
			}
		} else {
			failures = 0
			a.healthy.Store(true)
		}
		if a.engine != nil {
			a.checkUntracked()
		}
		sleep(ctx, probePeriod)
	}
}

// probe returns nil if the target answers. It also detects engine restarts.
func (a *Agent) probe() error {
	if a.service != nil {
		return a.service.Probe()
	}
	_, boot, err := a.engine.ListAdapters()
	if err == nil {
		a.observeBoot(boot)
	}
	return errors.Trace(err)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// observeBoot records the engine's boot ID. When the ID changes, the engine has
// restarted and no adapter is loaded.
func (a *Agent) observeBoot(boot string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if boot == "" || boot == a.engineBoot {
		return
	}
	if a.engineBoot != "" && a.sched != nil {
		a.Warn("msg", "engine restarted")
		a.sched.EngineRestarted()
		a.metrics.engineRestarts.Inc(1)
	}
	a.engineBoot = boot
	signal(a.loadWake)
}

func (a *Agent) serveAttemptQuery(_ context.Context, s *link.Stream, f link.Frame) error {
	var q wire.AttemptQuery
	if _, err := q.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	reply := wire.AttemptReply{State: wire.AttemptUnknown}
	if q.Incarnation == a.fence.Number() {
		reply = a.attempts.Query(q.Attempt)
	}
	return s.Send(link.KindAttemptReply, &reply)
}

func (a *Agent) serveConfigDelta(ctx context.Context, s *link.Stream, f link.Frame) error {
	var d wire.ConfigDelta
	if _, err := d.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	if !d.Full {
		a.log.Apply(d.Records)
	}
	if a.log.Catalog().Revision() < d.Revision {
		if err := a.pull(ctx, s.Conn()); err != nil {
			a.Warn("msg", "failed to pull the configuration", "revision", d.Revision, "err", err)
		}
	}
	a.applyConfig()
	return s.Send(link.KindConfigAck, &wire.ConfigAck{Revision: a.log.Catalog().Revision()})
}

// applyConfig applies the load limits of the current configuration, and refuses
// the waiting requests if the target accepts no more work.
func (a *Agent) applyConfig() {
	a.mu.Lock()
	a.share.SetLimits(a.limits(), time.Now())
	a.mu.Unlock()
	if a.refusesWork() {
		a.refuseWaiting()
	}
}

// refusesWork reports whether the target accepts no new requests.
func (a *Agent) refusesWork() bool {
	declared := a.log.Catalog().TargetSettings(a.settings.Target.Name)
	return a.draining.Load() || declared.Draining || a.wantedRole(declared) != *a.role.Load()
}

const (
	drainPoll = 10 * time.Millisecond
	// flushGrace is the time allowed for the last events to reach their entries.
	flushGrace = 500 * time.Millisecond
)

// stop drains the agent: it refuses the waiting requests and lets the running ones
// finish.
func (a *Agent) stop(ctx context.Context) error {
	a.Info("msg", "draining")
	a.draining.Store(true)
	a.homes.sendHeartbeats(ctx)
	err := a.drain()
	a.cancel()
	a.homes.close()
	if closeErr := a.listener.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}

// drain refuses the waiting requests until no request is left. It repeats this,
// since an attempt may be admitted while the stop begins.
func (a *Agent) drain() error {
	deadline := time.Now().Add(a.settings.StopGrace.Std())
	for a.hasWork() {
		if time.Now().After(deadline) {
			return errors.Errorf("requests still running after %s", a.settings.StopGrace.Std())
		}
		a.refuseWaiting()
		time.Sleep(drainPoll)
	}
	time.Sleep(flushGrace)
	return nil
}

func (a *Agent) hasWork() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.jobs) > 0 || a.loads > 0
}

// refuseWaiting refuses every waiting request, so that its entry routes it again.
func (a *Agent) refuseWaiting() {
	a.mu.Lock()
	var jobs []*job
	for _, r := range a.sched.WaitingRequests() {
		if !a.sched.Cancel(r.ID) {
			continue
		}
		jobs = append(jobs, a.jobs[r.ID])
	}
	a.mu.Unlock()
	for _, j := range jobs {
		a.refuse(j, reasonDraining, 0)
	}
}
