package agent

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/budget"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/member"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	homesInDomain    = 2
	heartbeatTimeout = 900 * time.Millisecond
	// ackValidity is how long the highest incarnation that a home entry
	// reported is valid.
	ackValidity  = 2 * time.Second
	grantTimeout = 1500 * time.Millisecond
	// holderDrift allows for clock drift: the agent takes loads from its
	// static share only this long after the end of the budget holder's lease.
	holderDrift = time.Second
)

// homes are the home entries, which the agent sends its heartbeats to.
type homes struct {
	a       *Agent
	pool    *link.Pool
	reports *member.ReportTracker

	mu          sync.Mutex
	entries     []wire.EntryInfo
	entriesHash uint64
	sequence    uint64
	ackAt       time.Time
	ackHighest  ident.Incarnation
	holderUntil time.Time
	responsive  []string // addresses that answered the last heartbeat
}

func newHomes(a *Agent) *homes {
	h := &homes{a: a, pool: link.NewPool(a.self, a.handlers())}
	h.pool.Dial = a.deps.Dial
	h.reports = member.NewReportTracker()
	return h
}

func (h *homes) close() { h.pool.Close() }

func (h *homes) loop(ctx context.Context) {
	for ctx.Err() == nil {
		h.sendHeartbeats(ctx)
		sleep(ctx, settings.HeartbeatPeriod)
	}
}

// addresses returns the addresses of the home entries, or the configured entries
// until an entry has sent the list of entries.
func (h *homes) addresses() []string {
	h.mu.Lock()
	entries := h.entries
	h.mu.Unlock()
	s := h.a.settings
	var out []string
	for _, e := range member.Homes(s.Target.Name, s.Domain, entries, homesInDomain) {
		out = append(out, e.Address)
	}
	if len(out) == 0 {
		return s.SeedEntries
	}
	return out
}

// sendHeartbeats sends one heartbeat to every home entry and waits for the answers.
func (h *homes) sendHeartbeats(ctx context.Context) {
	report := h.a.report()
	h.mu.Lock()
	h.sequence++
	report.Sequence = h.sequence
	h.mu.Unlock()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var responsive []string
	for _, address := range h.addresses() {
		wg.Go(func() {
			if err := h.sendHeartbeat(ctx, address, report); err != nil {
				h.a.Debug("msg", "heartbeat failed", "entry", address, "err", err)
				return
			}
			mu.Lock()
			responsive = append(responsive, address)
			mu.Unlock()
		})
	}
	wg.Wait()
	h.setResponsive(responsive)
}

// setResponsive records the home entries that answered. If none did, the agent
// goes back to the configured entries.
func (h *homes) setResponsive(responsive []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.responsive = responsive
	if len(responsive) == 0 {
		h.entries, h.entriesHash = nil, 0
	}
}

func (h *homes) sendHeartbeat(ctx context.Context, address string, report wire.Report) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	conn, err := h.pool.Get(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	sent := time.Now()
	ack, err := h.exchange(ctx, conn, address, report)
	if err == nil && ack.NeedFull {
		h.reports.Reset(address)
		ack, err = h.exchange(ctx, conn, address, report)
	}
	if err != nil {
		h.reports.Reset(address)
		return errors.Trace(err)
	}
	h.applyAck(ack, sent)
	if ack.Revision > h.a.log.Catalog().Revision() {
		h.a.catchUp(ctx, conn, ack.Revision)
	}
	return nil
}

// exchange sends a heartbeat, with the full report if the entry may not have it.
func (h *homes) exchange(ctx context.Context, conn *link.Conn, address string, report wire.Report) (wire.HeartbeatAck, error) {
	h.mu.Lock()
	known := h.entriesHash
	h.mu.Unlock()
	heartbeat := wire.Heartbeat{
		ReportUpdate: member.NewReportUpdate(report), Full: h.reports.MarkSent(address, []wire.Report{report}), Entries: known,
	}
	var ack wire.HeartbeatAck
	err := conn.Call(ctx, link.KindHeartbeat, &heartbeat, link.KindHeartbeatAck, &ack)
	return ack, errors.Trace(err)
}

func (h *homes) applyAck(ack wire.HeartbeatAck, sent time.Time) {
	h.a.fence.ObserveHighest(ack.Highest)
	h.mu.Lock()
	defer h.mu.Unlock()
	if sent.After(h.ackAt) {
		h.ackAt = sent
	}
	signal(h.a.scheduleWake)
	h.ackHighest = max(h.ackHighest, ack.Highest)
	if len(ack.Entries) > 0 {
		h.entries, h.entriesHash = ack.Entries, ack.EntriesHash
	}
	if ack.Budget.Address != "" {
		until := sent.Add(time.Duration(ack.Budget.LeftMS) * time.Millisecond)
		if until.After(h.holderUntil) {
			h.holderUntil = until
		}
	}
}

// startLease is how long the agent may start requests after it sent a heartbeat
// that a home entry answered. It is shorter than order.TakeoverWait.
const startLease = 3 * time.Second

// leased reports whether a home entry confirmed this incarnation recently.
func (h *homes) leased(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.ackAt) < startLease && !h.a.fence.Superseded()
}

// highest returns the highest incarnation that a home entry reported, and whether
// a home entry answered recently.
func (h *homes) highest() (ident.Incarnation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ackHighest, time.Since(h.ackAt) < ackValidity
}

// holderActive reports whether a budget holder may still be granting loads.
func (h *homes) holderActive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.holderUntil.Add(holderDrift))
}

type grant struct {
	granted bool
	id      budget.GrantID
	address string // of the entry that forwarded it
	until   time.Time
}

// requestLoad asks the budget holder, through a home entry, to grant one load.
func (h *homes) requestLoad(ctx context.Context, value float64) (grant, error) {
	h.mu.Lock()
	addresses := h.responsive
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	err := errors.New("no home entry answers")
	for _, address := range addresses {
		var g grant
		if g, err = h.requestLoadFrom(ctx, address, value); err == nil {
			return g, nil
		}
	}
	return grant{}, err
}

func (h *homes) requestLoadFrom(ctx context.Context, address string, value float64) (grant, error) {
	conn, err := h.pool.Get(ctx, address)
	if err != nil {
		return grant{}, errors.Trace(err)
	}
	request := wire.LoadRequest{Target: h.a.settings.Target.Name, Value: value}
	var reply wire.LoadGrant
	if err := conn.Call(ctx, link.KindLoadRequest, &request, link.KindLoadGrant, &reply); err != nil {
		return grant{}, errors.Trace(err)
	}
	return grant{
		granted: reply.Granted, id: budget.GrantID(reply.ID), address: address,
		until: time.Now().Add(time.Duration(reply.ValidMS) * time.Millisecond),
	}, nil
}

// loadDone reports the end of a load to release its grant. If the report is lost,
// the budget holder releases the grant after a timeout.
func (h *homes) loadDone(g grant, took time.Duration, failed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	if err := h.sendLoadDone(ctx, g, took, failed); err != nil {
		h.a.Debug("msg", "failed to report the end of a load", "entry", g.address, "err", err)
	}
}

func (h *homes) sendLoadDone(ctx context.Context, g grant, took time.Duration, failed bool) error {
	conn, err := h.pool.Get(ctx, g.address)
	if err != nil {
		return errors.Trace(err)
	}
	s, err := conn.Open(link.KindLoadDone, &wire.LoadDone{ID: uint64(g.id), Failed: failed, TookMS: took.Milliseconds()})
	if err != nil {
		return errors.Trace(err)
	}
	defer s.Close()
	// The entry only answers by closing the stream.
	if _, err := s.Receive(ctx); err != nil && !errors.Is(err, link.ErrClosed) {
		return errors.Trace(err)
	}
	return nil
}

// report returns the current state of the agent and its target.
func (a *Agent) report() wire.Report {
	t := a.settings.Target
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	r := wire.Report{
		Target: t.Name, Incarnation: a.fence.Number(), Revision: a.log.Catalog().Revision(),
		VM: a.settings.VM, Domain: a.settings.Domain, Address: a.settings.Address(),
		Kind: t.Kind, Model: t.Model, Role: *a.role.Load(), Slots: t.Slots, MaxRunning: t.MaxRunning,
		Running: a.sched.Running(), Waiting: a.sched.Waiting(),
		WaitMS: a.sched.RunWait().Milliseconds(), LoadWaitMS: a.sched.LoadWait().Milliseconds(),
		EvictCost: a.sched.EvictCost(now), Draining: a.refusesWork(),
		Ready: a.healthy.Load() && !a.fence.Superseded(),
	}
	if a.engine != nil {
		r.Loaded = a.sched.LoadedAdapters()
	}
	return r
}
