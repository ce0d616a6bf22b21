// Package peer is an entry's side of the system's own links: membership,
// configuration, the load budget and the ledger's partitions.
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
		Provide: []any{NewParts, New},
		Start:   func(*Peer) {},
	})
}

// Peer is one entry among the others.
type Peer struct {
	common.Common
	settings settings.Entry
	self     link.Identity
	parts    Parts
	Registry *member.Registry
	Table    *route.Table
	Config   *rollout.Log
	Ledger   *ledger.Ledger
	Pool     *link.Pool
	budget   *budgetDesk
	outbox   *member.Outbox

	mu       sync.Mutex
	agents   map[ident.Target]*link.Conn // of agents whose home this entry is
	draining bool
	seen     entriesView
	// The first home of each target, for the entries with homesHash.
	homesOf   map[ident.Target]ident.VM
	homesHash uint64

	listener net.Listener
	cancel   context.CancelFunc
	pushes   chan struct{}
}

// Parts are a peer's connections to the world. Tests replace them.
type Parts struct {
	Objects objects.Objects
	VMs     func(context.Context) ([]objects.VMInfo, error)
	Listen  func() (net.Listener, error)
	Dial    func(ctx context.Context, address string) (net.Conn, error)
}

// NewParts returns the parts that the settings name.
func NewParts(s settings.Entry, client *objects.Client) Parts {
	return Parts{
		Objects: client.Objects(),
		VMs:     client.VMs,
		Listen:  func() (net.Listener, error) { return net.Listen("tcp", s.Link) },
		Dial:    link.DialTCP,
	}
}

// New returns an entry's peer.
func New(c common.Common, s settings.Entry, parts Parts, life *kernel.Lifecycle) (*Peer, error) {
	secret, err := s.Secret()
	if err != nil {
		return nil, errors.Annotate(err, "reading secret")
	}
	objects := parts.Objects
	p := &Peer{
		Common:   c.With("peer"),
		settings: s,
		self:     link.Identity{Role: wire.RoleEntry, VM: s.VM, Secret: secret},
		parts:    parts,
		Registry: member.New(),
		Table:    route.New(),
		Config:   rollout.New(objects, catalog.New()),
		Ledger: ledger.New(objects, ledger.Settings{
			Partitions: s.Ledger.Partitions, Interval: s.Ledger.Interval.Std(),
			Window: s.Ledger.Window.Std(), WritesPerSecond: s.Ledger.WritesPerSecond,
		}),
		outbox: member.NewOutbox(),
		agents: make(map[ident.Target]*link.Conn),
		pushes: make(chan struct{}, 1),
	}
	p.Pool = link.NewPool(p.self, p.handlers())
	p.Pool.Dial = parts.Dial
	p.budget = newBudgetDesk(p, lease.New(objects, "budget", s.VM, s.Address()))
	p.Config.Applied = func(ident.Revision) { signal(p.pushes) }
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
		link.KindLoadWant: p.budget.serveWant,
		link.KindLoadDone: p.budget.serveDone,
		link.KindClaim:    p.serveClaim,
		link.KindSettle:   p.serveSettle,
	}
}

func (p *Peer) start(ctx context.Context) error {
	listener, err := p.parts.Listen()
	if err != nil {
		return errors.Trace(err)
	}
	p.listener = listener
	go func() {
		if err := link.Serve(listener, p.self, p.handlers(), p.Log); err != nil {
			p.Warn("msg", "link listener ended", "err", err)
		}
	}()
	if err := p.Config.Refresh(ctx); err != nil {
		p.Warn("msg", "configuration not read at start", "err", err)
	}
	run, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	for _, loop := range []func(context.Context){
		p.vmLoop, p.digestLoop, p.livenessLoop, p.configLoop, p.pushLoop, p.sweepLoop, p.budget.loop,
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

// Drain tells the other processes that this entry is about to stop.
func (p *Peer) Drain(ctx context.Context) {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	p.sendDigests(ctx)
}

// ready returns nil once the configuration is known to be the latest.
func (p *Peer) ready() error {
	if err := p.Admissible(); err != nil {
		return errors.Trace(err)
	}
	if behind := p.Config.Highest(); behind > p.Config.Catalog().Revision() {
		return errors.Errorf("configuration at revision %d, %d heard of", p.Config.Catalog().Revision(), behind)
	}
	return nil
}

// Admissible returns nil while requests may be admitted: the configuration in
// force is known to be the latest or, in an outage of the object API, most
// entries are heard and none of them can have accepted a change.
func (p *Peer) Admissible() error {
	fresh := p.Config.Fresh()
	if fresh.IsZero() {
		return errors.New("no configuration was read yet")
	}
	age := time.Since(fresh)
	if age <= p.settings.ConfigMaxAge.Std() || p.newestKnown() {
		return nil
	}
	return errors.Errorf("configuration not confirmed for %s", age.Round(time.Second))
}

// newestKnown reports whether most entries are heard and none has a later
// configuration.
func (p *Peer) newestKnown() bool {
	return p.Majority() && p.Config.Highest() <= p.Config.Catalog().Revision()
}

// Majority reports whether most of the known entries, this one included, are
// heard.
func (p *Peer) Majority() bool {
	now := time.Now()
	known, heard := 1, 1
	for _, e := range p.Registry.Entries() {
		if e.Info.VM == p.settings.VM {
			continue
		}
		known++
		if now.Sub(e.Heard) < member.DeadAfter {
			heard++
		}
	}
	return 2*heard > known
}

// Info is what this entry says of itself.
func (p *Peer) Info() wire.EntryInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	info := wire.EntryInfo{
		VM: p.settings.VM, Domain: p.settings.Domain, Address: p.settings.Address(),
		Revision: p.Config.Catalog().Revision(), Draining: p.draining, FreshMS: wire.NeverFresh,
	}
	if fresh := p.Config.Fresh(); !fresh.IsZero() {
		info.FreshMS = time.Since(fresh).Milliseconds()
	}
	return info
}

// entriesAge is how long a view of the live entries is used.
const entriesAge = 200 * time.Millisecond

// entriesView is the live entries as of a while ago, and their hash.
type entriesView struct {
	at      time.Time
	entries []wire.EntryInfo
	hash    uint64
}

// view returns the live entries, this one included, as of entriesAge ago at
// most. Callers must not change them.
func (p *Peer) view() entriesView {
	now := time.Now()
	p.mu.Lock()
	v := p.seen
	p.mu.Unlock()
	if !v.at.IsZero() && now.Sub(v.at) < entriesAge {
		return v
	}
	v = entriesView{at: now, entries: p.liveEntries()}
	v.hash = member.EntriesHash(v.entries)
	p.mu.Lock()
	p.seen = v
	p.mu.Unlock()
	return v
}

// Entries returns the live entries, this one included.
func (p *Peer) Entries() []wire.EntryInfo { return p.view().entries }

// liveEntries returns the live entries in the order in which all entries list
// them, so that agents meet the same list everywhere.
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
