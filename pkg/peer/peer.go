// Package peer connects an entry to the other entries and to agents. It keeps
// the membership and the configuration current, serves the load budget, and
// routes ledger operations to the owners of their partitions.
package peer

import (
	"context"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/kernel"
	"github.com/hyssoproad/hyssoproad/pkg/lease"
	"github.com/hyssoproad/hyssoproad/pkg/ledger"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/member"
	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/pkg/rollout"
	"github.com/hyssoproad/hyssoproad/pkg/route"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "peer",
		Provide: []any{NewDependencies, New},
		Start:   func(*Peer) {},
	})
}

// Peer is an entry's connection to the other entries and to agents.
type Peer struct {
	common.Common
	settings settings.Entry
	self     link.Identity
	deps     Dependencies
	Registry *member.Registry
	Table    *route.Table
	Config   *rollout.Log
	Ledger   *ledger.Ledger
	Pool     *link.Pool
	budget   *budgetServer
	reports  *member.ReportTracker

	mu           sync.Mutex
	agents       map[ident.Target]*link.Conn // connections of agents that send heartbeats here
	draining     bool
	entriesCache entriesView
	// firstHomes caches the first home of each target. It is valid for the
	// list of entries with firstHomesHash.
	firstHomes     map[ident.Target]ident.VM
	firstHomesHash uint64

	listener net.Listener
	cancel   context.CancelFunc
	pushes   chan struct{}
}

// Dependencies are the external dependencies of a peer. Tests replace them.
type Dependencies struct {
	Objects objects.Objects
	VMs     func(context.Context) ([]objects.VMInfo, error)
	Listen  func() (net.Listener, error)
	Dial    func(ctx context.Context, address string) (net.Conn, error)
}

// NewDependencies returns the dependencies for the settings.
func NewDependencies(s settings.Entry, client *objects.Client) Dependencies {
	return Dependencies{
		Objects: client.Objects(),
		VMs:     client.VMs,
		Listen:  func() (net.Listener, error) { return net.Listen("tcp", s.Link) },
		Dial:    link.DialTCP,
	}
}

// New returns an entry's peer.
func New(c common.Common, s settings.Entry, deps Dependencies, life *kernel.Lifecycle) (*Peer, error) {
	secret, err := s.Secret()
	if err != nil {
		return nil, errors.Annotate(err, "reading secret")
	}
	objects := deps.Objects
	p := &Peer{
		Common:   c.With("peer"),
		settings: s,
		self:     link.Identity{Role: wire.RoleEntry, VM: s.VM, Secret: secret},
		deps:     deps,
		Registry: member.New(),
		Table:    route.New(),
		Config:   rollout.New(objects, catalog.New()),
		Ledger: ledger.New(objects, ledger.Settings{
			Partitions: s.Ledger.Partitions, Interval: s.Ledger.Interval.Std(),
			Window: s.Ledger.Window.Std(), WritesPerSecond: s.Ledger.WritesPerSecond,
		}),
		reports: member.NewReportTracker(),
		agents:  make(map[ident.Target]*link.Conn),
		pushes:  make(chan struct{}, 1),
	}
	p.Pool = link.NewPool(p.self, p.handlers())
	p.Pool.Dial = deps.Dial
	p.budget = newBudgetServer(p, lease.New(objects, "budget", s.VM, s.Address()))
	p.Config.OnChange = func(ident.Revision) { signal(p.pushes) }
	p.Config.OnRecovery = func(stored, written ident.Revision) {
		p.Warn("msg", "store returned from an older copy; configuration written again", "stored-revision", stored, "revision", written)
	}
	life.Append(kernel.Hook{Name: "peer", Start: p.start, Stop: p.stop, Ready: p.ready})
	return p, nil
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (p *Peer) handlers() link.Handlers {
	return link.Handlers{
		link.KindHeartbeat:  p.serveHeartbeat,
		link.KindDigest:     p.serveDigest,
		link.KindConfigPull: p.serveConfigPull,
		link.KindConfigDelta: func(ctx context.Context, s *link.Stream, f link.Frame) error {
			return p.serveConfigDelta(ctx, s, f)
		},
		link.KindLoadRequest: p.budget.serveLoadRequest,
		link.KindLoadDone:    p.budget.serveDone,
		link.KindClaim:       p.serveClaim,
		link.KindSettle:      p.serveSettle,
	}
}

func (p *Peer) start(ctx context.Context) error {
	listener, err := p.deps.Listen()
	if err != nil {
		return errors.Trace(err)
	}
	p.listener = listener
	go func() {
		if err := link.Serve(listener, p.self, p.handlers(), p.Log); err != nil {
			p.Warn("msg", "link listener failed", "err", err)
		}
	}()
	if err := p.Config.Refresh(ctx); err != nil {
		p.Warn("msg", "failed to read the configuration at start", "err", err)
	}
	run, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	for _, loop := range []func(context.Context){
		p.vmListLoop, p.digestLoop, p.livenessLoop, p.configLoop, p.pushLoop, p.sweepLoop, p.historyLoop, p.budget.loop,
	} {
		go loop(run)
	}
	return nil
}

func (p *Peer) stop(context.Context) error {
	p.cancel()
	p.Pool.Close()
	return errors.Trace(p.listener.Close())
}

// AnnounceDrain announces to the other entries that this entry is about to stop.
func (p *Peer) AnnounceDrain(ctx context.Context) {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	p.sendDigests(ctx)
}

// ready returns nil once the configuration is known to be the latest.
func (p *Peer) ready() error {
	if err := p.CheckAdmission(); err != nil {
		return errors.Trace(err)
	}
	if highest := p.Config.HighestKnown(); highest > p.Config.Catalog().Revision() {
		return errors.Errorf("configuration is at revision %d, but revision %d is known", p.Config.Catalog().Revision(), highest)
	}
	return nil
}

// CheckAdmission returns nil while requests may be admitted. The configuration must
// have been confirmed as the latest within its maximum age. During an outage of
// the object API, it is enough that this entry hears from most entries and knows
// of no later revision: none of those entries can have accepted a change.
func (p *Peer) CheckAdmission() error {
	confirmedAt := p.Config.ConfirmedAt()
	if confirmedAt.IsZero() {
		return errors.New("no configuration has been read yet")
	}
	age := time.Since(confirmedAt)
	if age <= p.settings.ConfigMaxAge.Std() || p.majorityConfirms() {
		return nil
	}
	return errors.Errorf("configuration has not been confirmed as the latest for %s", age.Round(time.Second))
}

// majorityConfirms reports whether this entry hears from most entries and
// knows of no later revision than its own.
func (p *Peer) majorityConfirms() bool {
	return p.HearsMajority() && p.Config.HighestKnown() <= p.Config.Catalog().Revision()
}

// HearsMajority reports whether this entry hears from most of the known entries,
// counting itself.
func (p *Peer) HearsMajority() bool {
	now := time.Now()
	known, heard := 1, 1
	for _, e := range p.Registry.Entries() {
		if e.Info.VM == p.settings.VM {
			continue
		}
		known++
		if now.Sub(e.LastHeard) < member.DeadAfter {
			heard++
		}
	}
	return 2*heard > known
}

// Info returns the information that this entry sends to others about itself.
func (p *Peer) Info() wire.EntryInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	info := wire.EntryInfo{
		VM: p.settings.VM, Domain: p.settings.Domain, Address: p.settings.Address(),
		Revision: p.Config.Catalog().Revision(), Draining: p.draining, ConfirmedAgeMS: wire.NeverConfirmed,
	}
	if confirmedAt := p.Config.ConfirmedAt(); !confirmedAt.IsZero() {
		info.ConfirmedAgeMS = time.Since(confirmedAt).Milliseconds()
	}
	return info
}

// maxEntriesAge is the time for which the list of live entries is cached.
const maxEntriesAge = 200 * time.Millisecond

// entriesView is a cached list of the live entries with its hash.
type entriesView struct {
	at      time.Time
	entries []wire.EntryInfo
	hash    uint64
}

// cachedEntries returns the live entries, this one included. The list is at
// most maxEntriesAge old, and callers must not modify it.
func (p *Peer) cachedEntries() entriesView {
	now := time.Now()
	p.mu.Lock()
	v := p.entriesCache
	p.mu.Unlock()
	if !v.at.IsZero() && now.Sub(v.at) < maxEntriesAge {
		return v
	}
	v = entriesView{at: now, entries: p.liveEntries()}
	v.hash = member.EntriesHash(v.entries)
	p.mu.Lock()
	p.entriesCache = v
	p.mu.Unlock()
	return v
}

// Entries returns the live entries, this one included.
func (p *Peer) Entries() []wire.EntryInfo { return p.cachedEntries().entries }

// liveEntries returns the live entries sorted by VM, so that every entry sends
// agents the same list.
func (p *Peer) liveEntries() []wire.EntryInfo {
	out := []wire.EntryInfo{p.Info()}
	for _, e := range p.Registry.LiveEntries(time.Now()) {
		if e.VM != p.settings.VM {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}
