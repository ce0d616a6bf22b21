package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/declaration"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Tokens and names in a generated deployment.
const (
	CallerToken   = "caller-token-of-the-local-deployment"
	BatchToken    = "batch-token-of-the-local-deployment"
	OperatorToken = "operator-token-of-the-local-deployment"
	linkSecret    = "link-secret-of-the-local-deployment"

	model       = ident.Model("base-7b")
	drafting    = ident.Service("drafting")
	dispatching = ident.Service("dispatch")
	booking     = ident.Service("booking")
)

// Deployment describes a whole system on loopback addresses.
type Deployment struct {
	Dir       string
	BasePort  int
	Entries   int
	Drafting  int // engines of the drafting service
	Dispatch  int // engines of the dispatch service, which is non-idempotent
	Services  int // instances of the plain service
	Adapters  int
	Rate      float64 // of the weight store, in loads per second
	TokenTime time.Duration
	LogLevel  string
	// Proxied puts a fault-injecting proxy in front of each agent.
	Proxied bool
}

// Port offsets from the base port of a deployment.
const (
	platformPort = 0
	enginePort   = 10
	entryPort    = 1000
	agentPort    = 1100
	proxyPort    = 900
	portStride   = 4
)

var domains = []ident.Domain{"domain-a", "domain-b", "domain-c"}

func domain(i int) ident.Domain { return domains[i%len(domains)] }

func (d Deployment) address(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", d.BasePort+offset)
}

func (d Deployment) url(offset int) string { return "http://" + d.address(offset) }

// EntryLink returns the link address of entry i.
func (d Deployment) EntryLink(i int) string { return d.address(entryPort + portStride*i) }

// EntryStatus returns the status address of entry i.
func (d Deployment) EntryStatus(i int) string { return d.address(entryPort + portStride*i + 1) }

// CallersURL returns the base URL of the caller listener of entry i.
func (d Deployment) CallersURL(i int) string { return d.url(entryPort + portStride*i + 2) }

// OperatorsURL returns the base URL of the operator listener of entry i.
func (d Deployment) OperatorsURL(i int) string { return d.url(entryPort + portStride*i + 3) }

// PlatformURL returns the base URL of the platform stand-in.
func (d Deployment) PlatformURL() string { return d.url(platformPort) }

// TargetURL returns the base URL of target i.
func (d Deployment) TargetURL(i int) string { return d.url(enginePort + i) }

// Targets returns the settings of all targets: drafting engines, dispatch
// engines, then plain services. Slots and MaxRunning vary with the index, and every
// second engine of a role ignores fencing tokens.
func (d Deployment) Targets() []settings.Target {
	var out []settings.Target
	add := func(kind wire.TargetKind, role string, n int) {
		for i := range n {
			t := settings.Target{
				Name: ident.Target(fmt.Sprintf("%s-%d", role, i+1)), Kind: kind, Role: role,
				URL: d.TargetURL(len(out)), MaxRunning: 8 + 4*(i%3),
			}
			if kind == wire.KindEngine {
				t.Model = model
				t.Slots = 4 + 2*(i%3)
				t.IgnoresFencing = i%2 == 1
			}
			out = append(out, t)
		}
	}
	add(wire.KindEngine, string(drafting), d.Drafting)
	add(wire.KindEngine, string(dispatching), d.Dispatch)
	add(wire.KindService, string(booking), d.Services)
	return out
}

// StandInSettings are the settings of the stand-ins subcommand.
type StandInSettings struct {
	Platform    string             `json:"platform"` // listen address
	VMs         []objects.VMInfo   `json:"vms"`
	VMLag       settings.Duration  `json:"vm-lag"`
	WeightStore StandInWeightStore `json:"store"`
	Targets     []settings.Target  `json:"targets"`
	Proxies     []ProxySettings    `json:"proxies"`
	TokenTime   settings.Duration  `json:"token-time"`
	Seed        uint64             `json:"seed"`
}

// ProxySettings are the settings of a fault-injecting proxy in front of an agent.
type ProxySettings struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	To     string `json:"to"`
}

// StandInWeightStore describes the stand-in of the weight store.
type StandInWeightStore struct {
	LoadsPerSecond float64           `json:"loads-per-second"`
	LoadTime       settings.Duration `json:"load-time"`
	FullSpeed      int               `json:"full-speed"`
}

func (d Deployment) standInSettings() StandInSettings {
	s := StandInSettings{
		Platform: d.address(platformPort), VMLag: settings.Duration(2 * time.Second), Seed: 1,
		TokenTime:   settings.Duration(d.TokenTime),
		WeightStore: StandInWeightStore{LoadsPerSecond: d.Rate, LoadTime: settings.Duration(250 * time.Millisecond), FullSpeed: 8},
		Targets:     d.Targets(),
	}
	for i := range d.Entries {
		s.VMs = append(s.VMs, objects.VMInfo{VM: entryVM(i), Domain: domain(i), State: objects.VMLive, Entry: d.EntryLink(i)})
	}
	for i, t := range s.Targets {
		if d.Proxied {
			s.Proxies = append(s.Proxies, ProxySettings{Name: string(t.Name), Listen: d.address(proxyPort + i), To: d.address(agentPort + portStride*i)})
		}
		s.VMs = append(s.VMs, objects.VMInfo{VM: targetVM(i), Domain: domain(i), State: objects.VMLive, Targets: []string{string(t.Name)}})
	}
	return s
}

func entryVM(i int) ident.VM  { return ident.VM(fmt.Sprintf("entry-vm-%d", i+1)) }
func targetVM(i int) ident.VM { return ident.VM(fmt.Sprintf("target-vm-%d", i+1)) }

func (d Deployment) processSettings(vm ident.VM, i int, link, status string) settings.Process {
	return settings.Process{
		VM: vm, Domain: domain(i), Link: link, Status: status, Platform: d.PlatformURL(),
		SecretFile: filepath.Join(d.Dir, "secret"), LogLevel: d.LogLevel, StopGrace: settings.Duration(time.Minute),
	}
}

func (d Deployment) entryLinks() []string {
	var out []string
	for i := range d.Entries {
		out = append(out, d.EntryLink(i))
	}
	return out
}

func (d Deployment) weightStore() settings.WeightStore {
	return settings.WeightStore{LoadsPerSecond: d.Rate, InFlight: 8, MaxEngines: max(d.Drafting+d.Dispatch, 1)}
}

func (d Deployment) entrySettings(i int) settings.Entry {
	s := settings.DefaultEntry()
	s.Process = d.processSettings(entryVM(i), i, d.EntryLink(i), d.EntryStatus(i))
	s.SeedEntries = d.entryLinks()
	s.Callers.Listen = d.address(entryPort + portStride*i + 2)
	s.Operators.Listen = d.address(entryPort + portStride*i + 3)
	s.Operators.Tokens = []settings.OperatorToken{{Name: "local", Hash: catalog.HashToken(OperatorToken)}}
	s.WeightStore = d.weightStore()
	return s
}

func (d Deployment) agentSettings(i int, t settings.Target) settings.Agent {
	s := settings.DefaultAgent()
	link := d.address(agentPort + portStride*i)
	s.Process = d.processSettings(targetVM(i), i, link, d.address(agentPort+portStride*i+1))
	s.SeedEntries = d.entryLinks()
	if d.Proxied {
		s.Advertise = d.address(proxyPort + i)
	}
	s.Target = t
	s.WeightStore = d.weightStore()
	return s
}

// Declarations returns the initial configuration of the deployment.
func (d Deployment) Declarations() []wire.Change {
	changes := []wire.Change{
		{Store: &wire.WeightStore{LoadsPerSecond: d.Rate, InFlight: 8, MaxEngines: max(d.Drafting+d.Dispatch, 1)}},
		{Model: &wire.Model{Name: model}},
		{Service: &wire.Service{Name: drafting, Kind: wire.KindEngine, Model: model, Role: string(drafting), Balance: 0.8, Description: "guides and quote drafts", Objectives: []wire.Objective{{
			MinPriority: 3, Availability: 0.999, StallMS: 1000, StallShare: 0.95, FirstTokenMS: 1600, FirstTokenShare: 0.95, GapMS: 29, GapShare: 0.95,
		}}}},
		{Service: &wire.Service{Name: dispatching, Kind: wire.KindEngine, Model: model, Role: string(dispatching), Balance: 1, NonIdempotent: true, Description: "bookings made by a model"}},
		{Service: &wire.Service{Name: booking, Kind: wire.KindService, Role: string(booking), NonIdempotent: true, Description: "the booking desk", Objectives: []wire.Objective{{Availability: 0.999}}}},
		{Caller: newCaller("showroom", CallerToken, 5)},
		{Caller: newCaller("night-batch", BatchToken, 0)},
	}
	for i := range d.Adapters {
		changes = append(changes, wire.Change{Adapter: &wire.Adapter{
			Name: AdapterName(i), Service: drafting, Default: 1, Versions: adapterVersions(AdapterName(i)),
		}})
	}
	changes = append(changes, wire.Change{Adapter: &wire.Adapter{
		Name: DeskAdapter, Service: dispatching, Default: 1, Versions: adapterVersions(DeskAdapter),
	}})
	return changes
}

// DeskAdapter is the adapter of the non-idempotent dispatch service.
const DeskAdapter = ident.Adapter("desk")

// AdapterName returns the name of adapter i.
func AdapterName(i int) ident.Adapter { return ident.Adapter(fmt.Sprintf("guide-%05d", i)) }

func adapterVersions(name ident.Adapter) []wire.AdapterVersion {
	return []wire.AdapterVersion{
		{Number: 1, Weights: string(name) + "/1"},
		{Number: 2, Weights: string(name) + "/2"},
	}
}

func newCaller(name ident.Caller, token string, priority ident.Priority) *wire.Caller {
	return &wire.Caller{Name: name, TokenHash: catalog.HashToken(token), Rules: []wire.CallerRule{
		{Service: drafting, Priority: priority},
		{Service: dispatching, Priority: priority},
		{Service: booking, Priority: priority},
	}}
}

// Write writes the deployment's settings and declarations to its directory.
func (d Deployment) Write() error {
	if err := d.clear(); err != nil {
		return errors.Trace(err)
	}
	for name, token := range map[string]string{"secret": linkSecret, "operator-token": OperatorToken, "caller-token": CallerToken} {
		if err := os.WriteFile(filepath.Join(d.Dir, name), []byte(token+"\n"), 0o600); err != nil {
			return errors.Trace(err)
		}
	}
	if err := d.writeSettings("stand-ins", d.standInSettings()); err != nil {
		return errors.Trace(err)
	}
	for i := range d.Entries {
		if err := d.writeSettings(fmt.Sprintf("entry-%02d", i+1), d.entrySettings(i)); err != nil {
			return errors.Trace(err)
		}
	}
	for i, t := range d.Targets() {
		if err := d.writeSettings("agent-"+string(t.Name), d.agentSettings(i, t)); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(declaration.Write(filepath.Join(d.Dir, "declarations"), d.Declarations()))
}

// clear creates the directory and removes the settings and declarations of an
// earlier deployment.
func (d Deployment) clear() error {
	if err := os.MkdirAll(d.Dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	for _, pattern := range []string{"entry-*.hujson", "agent-*.hujson", "declarations/*.hujson"} {
		files, err := filepath.Glob(filepath.Join(d.Dir, pattern))
		if err != nil {
			return errors.Trace(err)
		}
		for _, name := range files {
			if err := os.Remove(name); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

func (d Deployment) writeSettings(name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(filepath.Join(d.Dir, name+".hujson"), append(data, '\n'), 0o644))
}

func (t *tool) deployment() *ffcli.Command {
	fs := t.flags("deployment")
	var d Deployment
	fs.StringVar(&d.Dir, "dir", "build/local", "directory to write to")
	fs.IntVar(&d.BasePort, "base-port", 17000, "first port on loopback")
	fs.IntVar(&d.Entries, "entries", 2, "entries")
	fs.IntVar(&d.Drafting, "drafting", 3, "drafting engines")
	fs.IntVar(&d.Dispatch, "dispatch", 1, "dispatch engines")
	fs.IntVar(&d.Services, "services", 1, "instances of the plain service")
	fs.IntVar(&d.Adapters, "adapters", 300, "adapters")
	fs.Float64Var(&d.Rate, "rate", 3, "rate of the weight store, in loads per second")
	fs.DurationVar(&d.TokenTime, "token-time", 10*time.Millisecond, "time per generated token")
	fs.BoolVar(&d.Proxied, "proxied", false, "put a fault-injecting proxy in front of each agent")
	fs.StringVar(&d.LogLevel, "log-level", "info", "lowest level to log")
	return &ffcli.Command{
		Name: "deployment", ShortHelp: "write the settings of a system on loopback", FlagSet: fs,
		Exec: func(context.Context, []string) error { return d.Write() },
	}
}
