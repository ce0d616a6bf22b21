package peer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/member"
	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	vmListPeriod   = 2 * time.Second
	digestTimeout  = 900 * time.Millisecond
	livenessPeriod = 500 * time.Millisecond
)

func runEvery(ctx context.Context, period time.Duration, step func(context.Context)) {
	for ctx.Err() == nil {
		step(ctx)
		select {
		case <-time.After(period):
		case <-ctx.Done():
		}
	}
}

func (p *Peer) vmListLoop(ctx context.Context) { runEvery(ctx, vmListPeriod, p.readVMs) }

// readVMs reads the platform's list of VMs. The list proposes entries, marks
// targets as leaving, and removes unlisted entries that are dead. Liveness is
// decided by heartbeats and digests.
func (p *Peer) readVMs(ctx context.Context) {
	vms, err := p.deps.VMs(ctx)
	if err != nil {
		p.Debug("msg", "failed to read the VM list", "err", err)
		return
	}
	listed := make(map[ident.VM]bool, len(vms))
	leaving := make(map[ident.Target]bool)
	for _, vm := range vms {
		listed[vm.VM] = true
		if vm.Entry != "" && vm.State == objects.VMLive {
			p.Registry.ProposeEntry(wire.EntryInfo{VM: vm.VM, Domain: vm.Domain, Address: vm.Entry})
		}
		for _, t := range vm.Targets {
			leaving[ident.Target(t)] = vm.State == objects.VMLeaving
		}
	}
	p.Registry.SetLeaving(leaving)
	for _, e := range p.Registry.Entries() {
		if !listed[e.Info.VM] {
			p.Registry.RemoveEntry(e.Info.VM, time.Now())
		}
	}
}

func (p *Peer) serveHeartbeat(_ context.Context, s *link.Stream, f link.Frame) error {
	var in wire.Heartbeat
	if _, err := in.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	ack := wire.HeartbeatAck{Revision: p.Config.Catalog().Revision(), Budget: p.budget.info()}
	ack.NeedFull = p.observeAll(in.Full, []wire.ReportUpdate{in.ReportUpdate}, true) != nil
	ack.Highest = p.Registry.HighestIncarnation(in.ReportUpdate.Target)
	p.mu.Lock()
	p.agents[in.ReportUpdate.Target] = s.Conn()
	p.mu.Unlock()
	v := p.cachedEntries()
	if ack.EntriesHash = v.hash; ack.EntriesHash != in.Entries {
		ack.Entries = v.entries
	}
	return s.Send(link.KindHeartbeatAck, &ack)
}

// observeAll records full reports and updates. It returns the targets whose
// updates cannot be expanded because their full report is unknown here.
func (p *Peer) observeAll(reports []wire.Report, updates []wire.ReportUpdate, direct bool) []ident.Target {
	var unknown []ident.Target
	for _, r := range reports {
		p.observe(r, direct)
	}
	for _, u := range updates {
		r, ok := p.Registry.Expand(u)
		if !ok {
			unknown = append(unknown, u.Target)
			continue
		}
		p.observe(r, direct)
	}
	return unknown
}

func (p *Peer) observe(r wire.Report, direct bool) {
	now := time.Now()
	if p.Registry.Observe(r, now, direct) {
		p.Table.Update(r, p.usable(r), now)
	}
}

// usable reports whether a target may get new work.
func (p *Peer) usable(r wire.Report) bool {
	return r.Ready && !r.Draining && !p.Registry.Leaving(r.Target) && !p.Config.Catalog().TargetSettings(r.Target).Draining
}

func (p *Peer) livenessLoop(ctx context.Context) { runEvery(ctx, livenessPeriod, p.checkLiveness) }

func (p *Peer) checkLiveness(context.Context) {
	now := time.Now()
	for _, m := range p.Registry.Members(now) {
		state := m.StateAt(now)
		p.Table.SetUsable(m.Report.Target, state == member.Live && p.usable(m.Report))
		if state == member.Dead {
			p.Table.Remove(m.Report.Target)
			p.Pool.Drop(m.Report.Address)
			p.removeAgent(m.Report.Target)
		}
	}
}

func (p *Peer) removeAgent(t ident.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.agents, t)
}

func (p *Peer) digestLoop(ctx context.Context) {
	for ctx.Err() == nil {
		p.sendDigests(ctx)
		sleep(ctx, member.DigestPeriod(len(p.Entries())))
	}
}

// sendDigests sends the reports that this entry passes on to every other entry.
func (p *Peer) sendDigests(ctx context.Context) {
	reports := p.firstHomeReports()
	digest := wire.Digest{From: p.Info(), Budget: p.budget.info()}
	for _, r := range reports {
		digest.ReportUpdates = append(digest.ReportUpdates, member.NewReportUpdate(r))
	}
	for _, address := range p.otherEntries() {
		message := digest
		message.Reports = p.reports.MarkSent(address, reports)
		go p.sendDigest(ctx, address, message)
	}
}

func (p *Peer) otherEntries() []string {
	seen := map[string]bool{p.settings.Address(): true}
	var out []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			out = append(out, address)
		}
	}
	for _, e := range p.Registry.Entries() {
		add(e.Info.Address)
	}
	for _, address := range p.settings.SeedEntries {
		add(address)
	}
	return out
}

// firstHomeReports returns the reports of the agents whose first home is this
// entry. Only the first home passes a report on, so that every other entry
// receives it once.
func (p *Peer) firstHomeReports() []wire.Report {
	now := time.Now()
	v := p.cachedEntries()
	var out []wire.Report
	for _, m := range p.Registry.Members(now) {
		if !m.Direct || m.StateAt(now) == member.Dead {
			continue
		}
		if p.firstHome(m.Report, v) == p.settings.VM {
			out = append(out, m.Report)
		}
	}
	return out
}

// firstHome returns the first of a target's homes.
func (p *Peer) firstHome(r wire.Report, v entriesView) ident.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstHomesHash != v.hash || len(p.firstHomes) > maxFirstHomes {
		p.firstHomes, p.firstHomesHash = make(map[ident.Target]ident.VM), v.hash
	}
	home, known := p.firstHomes[r.Target]
	if !known {
		if homes := member.Homes(r.Target, r.Domain, v.entries, 1); len(homes) > 0 {
			home = homes[0].VM
		}
		p.firstHomes[r.Target] = home
	}
	return home
}

const maxFirstHomes = 8192

func (p *Peer) sendDigest(ctx context.Context, address string, digest wire.Digest) {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	conn, err := p.Pool.Get(ctx, address)
	if err != nil {
		p.reports.Reset(address)
		return
	}
	var ack wire.DigestAck
	if err := conn.Call(ctx, link.KindDigest, &digest, link.KindDigestAck, &ack); err != nil {
		p.reports.Reset(address)
		p.Debug("msg", "failed to send digest", "entry", address, "err", err)
		return
	}
	p.reports.MarkMissing(address, ack.Unknown...)
	p.observeEntry(ctx, conn, ack.From)
}

func (p *Peer) serveDigest(ctx context.Context, s *link.Stream, f link.Frame) error {
	var in wire.Digest
	if _, err := in.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	unknown := p.observeAll(in.Reports, in.ReportUpdates, false)
	p.budget.learnHolder(in.Budget)
	p.observeEntry(ctx, s.Conn(), in.From)
	return s.Send(link.KindDigestAck, &wire.DigestAck{From: p.Info(), Unknown: unknown})
}

// observeEntry records the information of another entry, and pulls its
// configuration if that is newer.
func (p *Peer) observeEntry(ctx context.Context, conn *link.Conn, info wire.EntryInfo) {
	now := time.Now()
	p.Registry.ObserveEntry(info, now)
	if info.Revision > p.Config.Catalog().Revision() {
		p.pull(ctx, conn)
	}
	if info.ConfirmedAgeMS != wire.NeverConfirmed {
		p.Config.Confirm(info.Revision, now.Add(-time.Duration(info.ConfirmedAgeMS)*time.Millisecond))
	}
}
