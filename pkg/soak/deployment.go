package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Settings are the parameters of a run.
type Settings struct {
	// Dir is the directory for the settings files of the processes. The script
	// that starts them writes their process IDs to Dir/pids.
	Dir       string
	Seed      uint64
	FaultTime time.Duration // time with faults; a period without faults follows
	// Planned restricts the faults to planned operations, which may not interrupt
	// any request.
	Planned bool
	// Only restricts the faults to one kind, unless it is empty.
	Only                            FaultKind
	Gateways, Engines, PlainTargets int
	Clients                         int
	SlowClients                     int // that read responses slowly, beside the others
	// SecondOctet is the second octet of the loopback addresses. Runs with different
	// values can run at the same time.
	SecondOctet int
}

const (
	model        ident.Model   = "soak-model"
	draftService ident.Service = "drafts"
	deskService  ident.Service = "desk"

	callersPort, readinessPort, peerPort, workerPort, storePort = 8080, 8081, 7380, 8000, 8142

	engineSlots, adapterSlots = 16, 6
	adapters                  = 40
	// engineMemory is the memory of an engine in tokens.
	engineMemory = 9000
	memoryMB     = 284 // memory of the users' entry VMs
	stopGrace    = 8 * time.Second
)

// subnet is the third octet of an address: it depends on what listens there.
type subnet int

const (
	gatewayNet subnet = iota + 1
	engineNet
	engineProxyNet
	plainNet
	plainProxyNet
	storeNet
	storeProxyNet
)

func (s Settings) ip(n subnet, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.SecondOctet, n, i+1)
}

func (s Settings) address(n subnet, i, port int) string {
	return net.JoinHostPort(s.ip(n, i), strconv.Itoa(port))
}

// target is a worker with its listener and the proxy in front of it.
type target struct {
	*standin.Worker
	listen       string         // address of the worker
	proxyAddress string         // address published in the store: the proxy in front of the worker
	link         *standin.Proxy // to the worker
	server       *http.Server
	stopping     atomic.Bool // it is down or draining
}

// process is one process of the system under test.
type process struct {
	name  string
	links []*standin.Proxy // to the store, and to the process
}

// deployment holds the stand-ins around the processes under test.
type deployment struct {
	Settings
	oracle    *Oracle
	store     *standin.Objects
	balancer  *standin.Balancer
	accounts  *accountBook
	targets   []*target
	processes []*process

	deadlyPart    atomic.Pointer[ident.PromptPart] // part of prompts that ends engines, if any
	deadly        atomic.Pointer[clientRequest]    // request that ends targets, if any
	mu            sync.Mutex
	version       uint64
	configuration json.RawMessage // the newest one
	versions      map[ident.Adapter]ident.Version
	addedPrefixes []string // prefixes of the routes added during the run
}

// newDeployment starts the stand-ins and writes the processes' settings files.
func newDeployment(s Settings, oracle *Oracle) (*deployment, error) {
	d := &deployment{Settings: s, oracle: oracle, store: standin.NewObjects(s.Seed), accounts: newAccountBook(), versions: make(map[ident.Adapter]ident.Version)}
	r := router.New()
	d.store.Register(r)
	listener, err := net.Listen("tcp4", s.address(storeNet, 0, storePort))
	if err != nil {
		return nil, errors.Trace(err)
	}
	go func() { _ = fasthttp.Serve(listener, r.Handler) }() // serves until the program exits
	if err := d.publishConfiguration(""); err != nil {
		return nil, errors.Trace(err)
	}
	for _, a := range d.accounts.operatorAccounts() {
		for _, key := range a.Keys {
			oracle.RecordKeyAdded(key, time.Now())
		}
	}
	var entries []standin.BalancedEntry
	for i := range s.Gateways {
		node := standin.NodeSettings{Callers: s.address(gatewayNet, i, callersPort), Readiness: s.address(gatewayNet, i, readinessPort), IP: s.ip(gatewayNet, i)}
		entries = append(entries, standin.BalancedEntry{Callers: node.Callers, Readiness: node.Readiness})
		if _, err := d.addProcess(fmt.Sprintf("gateway-%d", i+1), node); err != nil {
			return nil, errors.Trace(err)
		}
	}
	d.balancer = standin.NewBalancer(entries)
	for i := range s.Engines {
		if err := d.addEngine(i); err != nil {
			return nil, errors.Trace(err)
		}
	}
	for i := range s.PlainTargets {
		if err := d.addTarget(i, standin.WorkerSettings{Service: deskService, Slots: 30, Work: 10 * time.Millisecond}, plainNet, plainProxyNet); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return d, nil
}

func (d *deployment) addEngine(i int) error {
	err := d.addTarget(i, standin.WorkerSettings{
		Service: draftService, Model: model, Slots: engineSlots, AdapterSlots: adapterSlots,
		ModelLoad: 600 * time.Millisecond, AdapterLoad: 120 * time.Millisecond, EventPause: 10 * time.Millisecond,
		KVTokens: engineMemory, UnreadTime: unreadTime,
		Newest: d.newestVersion,
	}, engineNet, engineProxyNet)
	if err != nil {
		return errors.Trace(err)
	}
	node := standin.NodeSettings{IP: d.ip(engineNet, i), Engine: d.address(engineNet, i, workerPort)}
	p, err := d.addProcess(fmt.Sprintf("orderer-%d", i+1), node)
	if err != nil {
		return errors.Trace(err)
	}
	link, err := standin.NewProxy(d.address(engineProxyNet, i, peerPort), d.address(engineNet, i, peerPort))
	p.links = append(p.links, link)
	return errors.Trace(err)
}

func (d *deployment) addTarget(i int, w standin.WorkerSettings, direct, proxied subnet) error {
	w.Seed, w.OnEvent = d.Seed*100+uint64(len(d.targets)), d.oracle.RecordEvent
	t := &target{Worker: standin.NewWorker(w), listen: d.address(direct, i, workerPort), proxyAddress: d.address(proxied, i, workerPort)}
	t.OnCrash = func() { d.crashAndRestart(t) }
	t.SetSoftware(softwareVersions[i%len(softwareVersions)])
	link, err := standin.NewProxy(t.proxyAddress, t.listen)
	if err != nil {
		return errors.Trace(err)
	}
	t.link = link
	d.targets = append(d.targets, t)
	return errors.Trace(d.startTarget(t))
}

// softwareVersions are the versions of their software that targets run side by side. What two
// of them write does not fit together.
var softwareVersions = []ident.Software{"v1", "v2"}

// otherSoftware returns another version than v.
func otherSoftware(v ident.Software) ident.Software {
	if v == softwareVersions[0] {
		return softwareVersions[1]
	}
	return softwareVersions[0]
}

// startTarget starts the listener of a target and publishes the target.
func (d *deployment) startTarget(t *target) error {
	listener, err := net.Listen("tcp4", t.listen)
	if err != nil {
		return errors.Trace(err)
	}
	t.server = t.Serve(listener)
	return errors.Trace(d.store.Publish(platform.KindTargets, string(t.Instance()), t.Entry(t.proxyAddress)))
}

// close ends a target without an announcement.
func (t *target) close() error {
	t.End()
	return t.server.Close()
}

// restartTarget restarts a target that has stopped.
func (d *deployment) restartTarget(t *target) error {
	t.Restart()
	err := d.startTarget(t)
	t.stopping.Store(false)
	return err
}

func (d *deployment) addProcess(name string, node standin.NodeSettings) (*process, error) {
	i := len(d.processes)
	node.VM, node.PeerPort, node.MemoryMB, node.StopGrace = ident.VM(name), peerPort, memoryMB, stopGrace
	node.Revoke = revokeTime
	node.Store = d.address(storeProxyNet, i, storePort)
	link, err := standin.NewProxy(node.Store, d.address(storeNet, 0, storePort))
	if err != nil {
		return nil, errors.Trace(err)
	}
	file, err := node.Encode()
	if err != nil {
		return nil, errors.Trace(err)
	}
	if file, err = standin.WithQuotaBounds(file); err != nil {
		return nil, errors.Trace(err)
	}
	p := &process{name: name, links: []*standin.Proxy{link}}
	d.processes = append(d.processes, p)
	return p, errors.Trace(os.WriteFile(filepath.Join(d.Dir, name+".json"), file, 0o644))
}

// pid returns the ID of a process that the script has started.
func (d *deployment) pid(p *process) (int, error) {
	text, err := os.ReadFile(filepath.Join(d.Dir, "pids", p.name))
	if err != nil {
		return 0, errors.Trace(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	return pid, errors.Trace(err)
}

// publishConfiguration publishes a new configuration. If added is not empty, the
// configuration has another route with that prefix.
func (d *deployment) publishConfiguration(added string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 3 // versions increase, but need not be consecutive
	if added != "" {
		d.addedPrefixes = append(d.addedPrefixes, added)
	}
	routes := []standin.OperatorRoute{
		{Prefix: draftPrefix, RetryPolicy: platform.RunStream, Resume: true, Service: draftService, Timeout: 15 * time.Second, Objective: 800 * time.Millisecond, Attempts: 3},
		{Prefix: notePrefix, RetryPolicy: platform.RunStream, Service: draftService, Timeout: 8 * time.Second, Objective: time.Second, Attempts: 2},
		{Prefix: bookPrefix, RetryPolicy: platform.RunAtMostOnce, Service: deskService, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond, Attempts: 2},
		{Prefix: lookPrefix, RetryPolicy: platform.RunIdempotent, Service: deskService, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond, Attempts: 2},
		{Prefix: openPrefix, RetryPolicy: platform.RunIdempotent, Service: deskService, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond, Attempts: 2, Public: true},
	}
	for _, prefix := range d.addedPrefixes {
		routes = append(routes, standin.OperatorRoute{Prefix: prefix, RetryPolicy: platform.RunIdempotent, Service: deskService, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond, Attempts: 2})
	}
	var err error
	d.configuration, err = standin.EncodeConfiguration(d.version, routes, []standin.OperatorService{
		{Name: draftService, Model: model, Slots: engineSlots, KVTokens: engineMemory, AdapterSlots: adapterSlots}, {Name: deskService},
	}, d.accounts.operatorAccounts()...)
	if err != nil {
		return errors.Trace(err)
	}
	if d.configuration, err = standin.WithQuotas(d.configuration, quotaAccountList()); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(d.store.Publish(platform.KindConfiguration, platform.ConfigurationName, d.configuration))
}

// rewrite writes what the operator and the targets want to have in the store.
func (d *deployment) rewrite() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.store.Publish(platform.KindConfiguration, platform.ConfigurationName, d.configuration); err != nil {
		return errors.Trace(err)
	}
	d.recordRewrite()
	for adapter, version := range d.versions {
		name, spec, err := standin.EncodeVersion(model, ident.AdapterVersion{Adapter: adapter, Version: version})
		if err != nil {
			return errors.Trace(err)
		}
		if err := d.store.Publish(platform.KindVersions, name, spec); err != nil {
			return errors.Trace(err)
		}
	}
	for _, t := range d.targets {
		if t.stopping.Load() && !t.Draining() {
			continue // down
		}
		if err := d.store.Publish(platform.KindTargets, string(t.Instance()), t.Entry(t.proxyAddress)); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// withdrawGone removes the records of targets that no longer exist.
func (d *deployment) withdrawGone() {
	alive := make(map[string]bool)
	for _, t := range d.targets {
		alive[string(t.Instance())] = true
	}
	d.store.WithdrawExcept(platform.KindTargets, alive)
}

func (d *deployment) newestVersion(a ident.Adapter) ident.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.versions[a], 1)
}

// publishVersion publishes a new version of an adapter.
func (d *deployment) publishVersion(a ident.Adapter) error {
	d.mu.Lock()
	d.versions[a] = max(d.versions[a], 1) + 1
	version := ident.AdapterVersion{Adapter: a, Version: d.versions[a]}
	d.mu.Unlock()
	name, spec, err := standin.EncodeVersion(model, version)
	if err != nil {
		return errors.Trace(err)
	}
	if err := d.store.Publish(platform.KindVersions, name, spec); err != nil {
		return errors.Trace(err)
	}
	d.oracle.RecordVersion(version, time.Now())
	return nil
}

// awaitReady waits until the balancer has all gateways in rotation.
func (d *deployment) awaitReady(ctx context.Context) error {
	for d.balancer.Ready() < d.Gateways {
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "%d of %d gateways are ready", d.balancer.Ready(), d.Gateways)
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}
