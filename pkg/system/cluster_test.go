package system

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/agent"
	"github.com/hyssoproad/hyssoproad/pkg/caller"
	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/kernel"
	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/pkg/peer"
	"github.com/hyssoproad/hyssoproad/pkg/rollout"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/pkg/target"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	entryCount   = 3
	draftCount   = 3
	deskCount    = 1
	serviceCount = 2
	adapterCount = 8
	token        = "token-of-the-tested-caller"
	storeRate    = 20
)

// brokenVariant selects a deliberate defect, which the oracle must detect.
type brokenVariant string

const (
	correctVariant  brokenVariant = ""
	claimsUnchecked brokenVariant = "claims are granted unchecked"
	unknownAsNotRun brokenVariant = "unknown outcomes are reported as not run"
	answersCrossed  brokenVariant = "answers are crossed"
	versionsMixed   brokenVariant = "another version answers"
	pinsIgnored     brokenVariant = "adapters in use are evicted"
	drainIgnored    brokenVariant = "a drained target gets new work"
	configReverts   brokenVariant = "a process goes back to an older configuration"
	appendsUndone   brokenVariant = "an accepted command is lost"
	answersCutShort brokenVariant = "answers are cut short"
)

// process is an entry or agent. It keeps its name across restarts.
type process struct {
	name    string // also its link address
	index   int
	isAgent bool
	current atomic.Pointer[instance]
}

// instance is one run of a process, from its start until it stops or is killed.
type instance struct {
	kernel  *kernel.Lifecycle
	dead    chan struct{} // closed at the end; nothing that the instance does has an effect after that
	once    sync.Once
	startup *startup
	// The fields below are set only for an entry.
	peer         *peer.Peer
	handler      fasthttp.RequestHandler
	stopping     atomic.Bool
	seenRevision ident.Revision // highest revision in force so far
	inFlight     atomic.Int64
}

func newInstance() *instance {
	return &instance{kernel: &kernel.Lifecycle{}, dead: make(chan struct{}), startup: newStartup()}
}

// end ends the instance and reports whether this call was the first to do so.
func (inst *instance) end() (first bool) {
	inst.once.Do(func() {
		close(inst.dead)
		first = true
	})
	return first
}

func (p *process) alive() bool {
	inst := p.current.Load()
	return inst != nil && !isClosed(inst.dead)
}

func (p *process) peer() *peer.Peer { return p.current.Load().peer }

// startup is the startup of one instance of a process.
type startup struct {
	done chan struct{}
	err  error
}

func newStartup() *startup { return &startup{done: make(chan struct{})} }

func (s *startup) finish(err error) {
	s.err = err
	close(s.done)
}

// succeeded waits for the startup and reports whether it succeeded.
func (s *startup) succeeded() bool {
	<-s.done
	return s.err == nil
}

// cluster is a whole system that runs against fakes.
type cluster struct {
	t          *testing.T
	dir        string
	variant    brokenVariant
	objects    *standin.Objects
	network    *standin.Network
	store      *standin.WeightStore
	engines    []*standin.Engine
	services   []*standin.PlainService
	targets    []settings.Target
	entries    []*process
	agents     []*process
	oracle     *oracle
	leavingMu  sync.Mutex
	leavingVMs []objects.VMInfo // VMs that the platform lists as leaving
}

func newCluster(t *testing.T, variant brokenVariant, seed uint64) *cluster {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "secret"), []byte("secret-of-the-tested-system"), 0o600))
	cl := &cluster{
		t: t, dir: dir, variant: variant,
		objects: standin.NewObjects(seed), network: standin.NewNetwork(),
		store:  standin.NewWeightStore(storeRate, 50*time.Millisecond, 8),
		oracle: newOracle(),
	}
	cl.addTargets(seed)
	for i := range entryCount {
		cl.entries = append(cl.entries, &process{name: fmt.Sprintf("10.0.0.%d:1", i+1), index: i})
		cl.start(cl.entries[i])
	}
	for i := range cl.targets {
		cl.agents = append(cl.agents, &process{name: fmt.Sprintf("10.0.1.%d:1", i+1), index: i, isAgent: true})
		cl.start(cl.agents[i])
	}
	cl.declareConfiguration()
	return cl
}

func (cl *cluster) addTargets(seed uint64) {
	for i := range draftCount + deskCount {
		role := "drafting"
		if i >= draftCount {
			role = "dispatch"
		}
		t := settings.Target{
			Name: ident.Target(fmt.Sprintf("%s-%d", role, i)), Kind: wire.KindEngine, URL: "http://10.0.2.1:1",
			Model: "base", Role: role, Slots: 2, MaxRunning: 3, IgnoresFencing: i%2 == 1,
		}
		cl.targets = append(cl.targets, t)
		cl.engines = append(cl.engines, standin.NewEngine(standin.EngineSettings{
			Name: string(t.Name), Slots: t.Slots, MaxRunning: t.MaxRunning, IgnoreFencing: t.IgnoresFencing,
			TokenTime: 20 * time.Millisecond, Fetch: func(string) bool { return cl.store.Load() },
		}, seed+uint64(i)))
	}
	for i := range serviceCount {
		cl.targets = append(cl.targets, settings.Target{
			Name: ident.Target(fmt.Sprintf("booking-%d", i)), Kind: wire.KindService, URL: "http://10.0.2.1:1", Role: "booking", MaxRunning: 2,
		})
		cl.services = append(cl.services, standin.NewPlainService(fmt.Sprint(i)))
	}
}

func (cl *cluster) domain(i int) ident.Domain { return ident.Domain(fmt.Sprintf("domain-%d", i%3)) }

func (cl *cluster) processSettings(p *process, i int) settings.Process {
	return settings.Process{
		VM: ident.VM(p.name), Domain: cl.domain(i), Link: p.name, Status: "127.0.0.1:1", Platform: "http://10.0.3.1:1",
		SecretFile: filepath.Join(cl.dir, "secret"), LogLevel: "error", StopGrace: settings.Duration(time.Minute),
	}
}

func (cl *cluster) entryAddresses() []string {
	var out []string
	for i := range entryCount {
		out = append(out, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	return out
}

// newGate returns a function that blocks while the process is paused, and fails once
// the instance is dead.
func (cl *cluster) newGate(p *process, inst *instance) func() error {
	dead := inst.dead
	return func() error {
		cl.network.Wait(p.name)
		select {
		case <-dead:
			return errors.New("process is dead")
		default:
			return nil
		}
	}
}

func (cl *cluster) objectsClient(p *process, inst *instance) objects.Objects {
	gate, c := cl.newGate(p, inst), cl.objects.Client()
	return objects.Objects{
		Get: func(ctx context.Context, key string) (objects.Object, error) {
			if err := gate(); err != nil {
				return objects.Object{}, err
			}
			return c.Get(ctx, key)
		},
		Put: func(ctx context.Context, key string, value []byte, v objects.ObjectVersion) (objects.ObjectVersion, error) {
			if err := gate(); err != nil {
				return 0, err
			}
			return c.Put(ctx, key, value, v)
		},
		Delete: func(ctx context.Context, key string, v objects.ObjectVersion) error {
			if err := gate(); err != nil {
				return err
			}
			return c.Delete(ctx, key, v)
		},
		List: c.List,
		Era:  c.Era,
		Watch: func(ctx context.Context, key string, v objects.ObjectVersion, wait time.Duration) (objects.Object, error) {
			if err := gate(); err != nil {
				return objects.Object{}, err
			}
			return c.Watch(ctx, key, v, wait)
		},
	}
}

func (cl *cluster) dialer(p *process, inst *instance) func(context.Context, string) (net.Conn, error) {
	gate := cl.newGate(p, inst)
	return func(ctx context.Context, address string) (net.Conn, error) {
		if err := gate(); err != nil {
			return nil, err
		}
		return cl.network.Dial(ctx, p.name, address)
	}
}

// listener returns a function that opens the listener of a process, and fails if the
// instance was killed in the meantime.
func (cl *cluster) listener(p *process, inst *instance) func() (net.Listener, error) {
	dead := inst.dead
	return func() (net.Listener, error) {
		listener, err := cl.network.Listen(p.name)
		if err != nil || !isClosed(dead) {
			return listener, err
		}
		_ = listener.Close()
		return nil, errors.New("process is dead")
	}
}

func (cl *cluster) startEntry(p *process, old *instance) {
	s := settings.DefaultEntry()
	s.Process = cl.processSettings(p, p.index)
	s.SeedEntries = cl.entryAddresses()
	s.Callers.DrainDelay = settings.Duration(time.Second)
	s.WeightStore = settings.WeightStore{LoadsPerSecond: storeRate, InFlight: 8, MaxEngines: len(cl.engines)}
	inst := newInstance()
	deps := peer.Dependencies{
		Objects: cl.objectsClient(p, inst), Dial: cl.dialer(p, inst),
		VMs:    func(context.Context) ([]objects.VMInfo, error) { return cl.vms(), nil },
		Listen: cl.listener(p, inst),
	}
	var err error
	inst.peer, err = peer.New(common.Discard(), s, deps, inst.kernel)
	require.NoError(cl.t, err)
	d := caller.NewDispatcher(common.Discard(), inst.peer, s)
	cl.breakDispatcher(d)
	cl.traceDispatcher(p, d)
	server := caller.NewServer(common.Discard(), s.Callers, inst.peer.Config.Catalog(), inst.peer.CheckAdmission)
	server.UseDispatcher(d)
	inst.handler = cl.breakHandler(server.Handler())
	if !p.current.CompareAndSwap(old, inst) {
		return // another goroutine started the process first
	}
	inst.startup.finish(inst.kernel.Start(context.Background()))
	require.True(cl.t, inst.startup.err == nil || isClosed(inst.dead), "%v", inst.startup.err)
}

func (cl *cluster) vms() []objects.VMInfo {
	cl.leavingMu.Lock()
	out := append([]objects.VMInfo(nil), cl.leavingVMs...)
	cl.leavingMu.Unlock()
	for i, address := range cl.entryAddresses() {
		out = append(out, objects.VMInfo{VM: ident.VM(address), Domain: cl.domain(i), State: objects.VMLive, Entry: address})
	}
	return out
}

func (cl *cluster) breakHandler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	if cl.variant != unknownAsNotRun {
		return next
	}
	return func(ctx *fasthttp.RequestCtx) {
		next(ctx)
		body := strings.Replace(string(ctx.Response.Body()), `"unknown"`, `"not-run"`, 1)
		ctx.Response.SetBodyString(body)
	}
}

// traceDispatcher traces the claims and settlements of each key for violation reports.
func (cl *cluster) traceDispatcher(p *process, d *dispatch.Dispatcher) {
	claim, settle := d.Claim, d.Settle
	d.Claim = func(ctx context.Context, c wire.Claim) wire.ClaimReply {
		reply := claim(ctx, c)
		cl.oracle.trace(c.Key, "%s claims for %s on %s, replacing %s, peek %t: %d %s, holder %s done %t",
			p.name, c.Attempt, c.Address, c.Replaces, c.Peek, reply.State, reply.Reason, reply.Holder.Attempt, reply.Holder.Done)
		return reply
	}
	d.Settle = func(ctx context.Context, caller ident.Caller, s wire.Settle) bool {
		stored := settle(ctx, caller, s)
		cl.oracle.trace(s.Key, "%s settles %s, release %t: %t", p.name, s.Attempt, s.Release, stored)
		return stored
	}
}

func (cl *cluster) breakDispatcher(d *dispatch.Dispatcher) {
	if cl.variant == claimsUnchecked {
		d.Claim = func(context.Context, wire.Claim) wire.ClaimReply { return wire.ClaimReply{State: wire.ClaimGranted} }
	}
}

func (cl *cluster) startAgent(p *process, old *instance) {
	s := settings.DefaultAgent()
	s.Process = cl.processSettings(p, p.index)
	s.SeedEntries = cl.entryAddresses()
	s.Target = cl.targets[p.index]
	s.WeightStore = settings.WeightStore{LoadsPerSecond: storeRate, InFlight: 8, MaxEngines: len(cl.engines)}
	inst := newInstance()
	deps := agent.Dependencies{
		Objects: cl.objectsClient(p, inst), Dial: cl.dialer(p, inst),
		Listen: cl.listener(p, inst),
	}
	if s.Target.Kind == wire.KindService {
		deps.Service = cl.serviceClient(p, inst)
	} else {
		deps.Engine = cl.engineClient(p, inst)
	}
	_, err := agent.New(common.Discard(), s, deps, inst.kernel)
	require.NoError(cl.t, err)
	if !p.current.CompareAndSwap(old, inst) {
		return // another goroutine started the process first
	}
	// Startup waits for the object API, which may be unavailable.
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-inst.dead
		cancel()
	}()
	go func() { inst.startup.finish(inst.kernel.Start(ctx)) }()
}

// engineClient returns the engine client of an agent. Orders of a paused agent wait,
// and those of a dead agent fail.
func (cl *cluster) engineClient(p *process, inst *instance) *target.Engine {
	e, gate := cl.engines[p.index], cl.newGate(p, inst)
	c := e.Client()
	return &target.Engine{
		Generate: func(in target.CompletionRequest, key string, _ time.Time, deliver func(target.CompletionChunk)) error {
			if err := gate(); err != nil {
				return err
			}
			cl.oracle.trace(engineTrace(p.index), "%s generates %s %s from %d", p.name, in.ID, in.Model, in.ResumeFrom)
			defer cl.oracle.trace(engineTrace(p.index), "%s done with %s", p.name, in.ID)
			cl.oracle.trace(key, "%s generates %s from %d", p.name, in.ID, in.ResumeFrom)
			return e.Generate(cl.breakRequest(in), key, func(c target.CompletionChunk) {
				if gate() == nil {
					deliver(cl.breakChunk(in, c))
				}
			})
		},
		Load: func(o target.AdapterOrder, n ident.Incarnation) error {
			if err := gate(); err != nil {
				return err
			}
			cl.oracle.trace(engineTrace(p.index), "%s loads %s as %d", p.name, o.Name, n)
			cl.breakPins(e, n)
			cl.breakDrain(e)
			return c.Load(o, n)
		},
		Unload: func(o target.AdapterOrder, n ident.Incarnation) error {
			if err := gate(); err != nil {
				return err
			}
			cl.oracle.trace(engineTrace(p.index), "%s unloads %s as %d", p.name, o.Name, n)
			return c.Unload(o, n)
		},
		ListAdapters: func() ([]target.LoadedAdapter, string, error) {
			if err := gate(); err != nil {
				return nil, "", err
			}
			return c.ListAdapters()
		},
		Cancel: func(id string) error {
			if err := gate(); err != nil {
				return err
			}
			return c.Cancel(id)
		},
		InUse: func() ([]string, error) {
			if err := gate(); err != nil {
				return nil, err
			}
			return c.InUse()
		},
		SetRole: func(o target.RoleOrder, n ident.Incarnation) error {
			if err := gate(); err != nil {
				return err
			}
			return c.SetRole(o, n)
		},
	}
}

// breakRequest makes an engine answer a prompt that differs from the request.
func (cl *cluster) breakRequest(in target.CompletionRequest) target.CompletionRequest {
	if cl.variant == answersCrossed {
		in.Prompt += " of somebody else"
	}
	return in
}

func (cl *cluster) breakChunk(in target.CompletionRequest, c target.CompletionChunk) target.CompletionChunk {
	switch {
	case cl.variant == versionsMixed && c.ID == in.ID:
		c.Choices = []target.Choice{{
			Text: standin.Token("adapter-0@9", in.Prompt, c.Choices[0].TokenOffset), TokenOffset: c.Choices[0].TokenOffset, Finish: c.Choices[0].Finish,
		}}
	case cl.variant == answersCutShort && c.Choices[0].TokenOffset == 2:
		c.Usage = &target.Usage{CompletionTokens: 3}
	}
	return c
}

// breakDrain makes a drained target run a request that no agent sent.
func (cl *cluster) breakDrain(e *standin.Engine) {
	if cl.variant != drainIgnored {
		return
	}
	for i, other := range cl.engines {
		if cl.oracle.drained[cl.targets[i].Name] == nil {
			continue
		}
		list, _, _ := other.Loaded()
		for _, loaded := range list {
			go func() {
				_ = other.Generate(target.CompletionRequest{ID: "stray", Model: loaded.ID, MaxTokens: 1}, "", func(target.CompletionChunk) {})
			}()
		}
	}
}

func (cl *cluster) breakPins(e *standin.Engine, n ident.Incarnation) {
	if cl.variant != pinsIgnored {
		return
	}
	list, _, _ := e.Loaded()
	for _, loaded := range list {
		_ = e.Unload(target.AdapterOrder{Name: loaded.ID}, n)
	}
}

func (cl *cluster) serviceClient(p *process, inst *instance) *target.Service {
	s, gate := cl.services[p.index-len(cl.engines)].Client(), cl.newGate(p, inst)
	return &target.Service{Call: func(in target.ServiceCall, deadline time.Time) (target.ServiceAnswer, error) {
		if err := gate(); err != nil {
			return target.ServiceAnswer{}, err
		}
		cl.oracle.trace(in.Key, "%s calls the service", p.name)
		out, err := s.Call(in, deadline)
		if gateErr := gate(); gateErr != nil {
			return target.ServiceAnswer{}, gateErr
		}
		return out, err
	}}
}

// kill ends a process immediately.
func (cl *cluster) kill(p *process) {
	inst := p.current.Load()
	if inst == nil || !inst.end() {
		return
	}
	cl.oracle.trace(engineTrace(p.index), "%s killed", p.name)
	cl.network.Kill(p.name)
	// A real kill ends all goroutines. Here they are stopped, and have no effect
	// meanwhile.
	go func() {
		if inst.startup.succeeded() {
			_ = inst.kernel.Stop(context.Background())
		}
	}()
}

// drainEntry does what the listener of an entry does during a stop: it fails the
// readiness check and waits for the requests in flight.
func drainEntry(inst *instance) {
	inst.stopping.Store(true)
	inst.peer.AnnounceDrain(context.Background())
	time.Sleep(time.Second)
	for inst.inFlight.Load() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
}

// stop stops a process gracefully and returns once it has stopped.
func (cl *cluster) stop(p *process) {
	inst := p.current.Load()
	if inst == nil || isClosed(inst.dead) || !inst.startup.succeeded() {
		return
	}
	if inst.peer != nil {
		drainEntry(inst)
	}
	_ = inst.kernel.Stop(context.Background())
	if inst.end() {
		cl.network.Kill(p.name)
	}
}

func (cl *cluster) start(p *process) {
	old := p.current.Load()
	if old != nil && !isClosed(old.dead) {
		return
	}
	if p.isAgent {
		cl.startAgent(p, old)
	} else {
		cl.startEntry(p, old)
	}
}

func (cl *cluster) processes() []*process {
	return append(append([]*process(nil), cl.entries...), cl.agents...)
}

// close ends every process, so that no goroutine outlives the test.
func (cl *cluster) close() {
	cl.endFaults()
	for _, p := range cl.processes() {
		cl.kill(p)
	}
	time.Sleep(30 * time.Minute)
}

// endFaults ends every fault.
func (cl *cluster) endFaults() {
	cl.objects.SetFaults(standin.ObjectFaults{})
	cl.store.SetFaults(standin.WeightStoreFaults{})
	for _, e := range cl.engines {
		e.SetFaults(standin.EngineFaults{})
	}
	for _, s := range cl.services {
		s.SetFaults(standin.ServiceFaults{})
	}
	for _, p := range cl.processes() {
		cl.network.Resume(p.name)
		for _, q := range cl.processes() {
			cl.network.Heal(p.name, q.name)
		}
	}
}

func (cl *cluster) declareConfiguration() {
	changes := []wire.Change{
		{Store: &wire.WeightStore{LoadsPerSecond: storeRate, InFlight: 8, MaxEngines: len(cl.engines)}},
		{Model: &wire.Model{Name: "base"}},
		{Service: &wire.Service{Name: "drafting", Kind: wire.KindEngine, Model: "base", Role: "drafting", Balance: 0.8}},
		{Service: &wire.Service{Name: "dispatch", Kind: wire.KindEngine, Model: "base", Role: "dispatch", Balance: 1, NonIdempotent: true}},
		{Service: &wire.Service{Name: "booking", Kind: wire.KindService, Role: "booking", NonIdempotent: true}},
		{Caller: &wire.Caller{Name: "tester", TokenHash: catalog.HashToken(token), Rules: []wire.CallerRule{
			{Service: "drafting", Priority: 3}, {Service: "dispatch", Priority: 3}, {Service: "booking", Priority: 3},
		}}},
	}
	for i := range adapterCount {
		changes = append(changes, wire.Change{Adapter: newAdapter(i, "drafting", 0)})
	}
	desk := newAdapter(adapterCount, "dispatch", 0)
	desk.Name = "desk"
	changes = append(changes, wire.Change{Adapter: desk})
	time.Sleep(3 * time.Second)
	record, err := cl.entries[0].peer().Config.Append(context.Background(), rollout.Proposal{Command: "declare", Operator: "tester", Changes: changes})
	require.NoError(cl.t, err)
	cl.oracle.recordAccepted(record)
	time.Sleep(3 * time.Second)
}

// newAdapter returns an adapter with two versions, one of which may be retired.
func newAdapter(i int, service ident.Service, retired ident.Version) *wire.Adapter {
	name := ident.Adapter(fmt.Sprintf("adapter-%d", i))
	return &wire.Adapter{Name: name, Service: service, Versions: []wire.AdapterVersion{
		{Number: 1, Weights: string(name) + "/1", Retired: retired == 1},
		{Number: 2, Weights: string(name) + "/2", Retired: retired == 2},
	}}
}
