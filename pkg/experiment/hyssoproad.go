package experiment

import (
	"fmt"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/budget"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/queue"
	"github.com/hyssoproad/hyssoproad/pkg/route"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	entryCount        = 2
	heartbeatInterval = time.Second
	reportDelay       = 100 * time.Millisecond
	experimentModel   = ident.Model("base")
	experimentRole    = "drafting"
	maxAttempts       = 3
)

var experimentPool = route.Pool{Kind: wire.KindEngine, Model: experimentModel, Role: experimentRole}

// hyssoproadPolicy runs the decision code of the programs: the routing tables of
// two entries, which receive delayed reports, a scheduler per engine, and the load
// budget.
type hyssoproadPolicy struct {
	sim       *simulation
	tables    []*route.Table
	engines   []*engine
	holder    *budget.Holder
	packer    *route.Packer
	limits    budget.Limits
	outage    bool
	nextCheck time.Time // time of the next scheduled call of grantLoads
	nextEntry int
}

type engine struct {
	policy       *hyssoproadPolicy
	index        int
	target       ident.Target
	sched        *queue.Scheduler
	share        *budget.Share
	requests     map[ident.Request]*request
	sequence     uint64
	draining     bool
	unresponsive bool
	restarts     int
	nextWake     time.Time
}

func newHyssoproadPolicy(s *simulation) *hyssoproadPolicy {
	policy := &hyssoproadPolicy{sim: s, packer: route.NewPacker(), limits: budget.Limits{LoadsPerSecond: s.workload.Rate, InFlight: fullSpeedLoads, MaxEngines: len(s.workload.Engines)}}
	for range entryCount {
		policy.tables = append(policy.tables, route.New())
	}
	policy.holder = budget.NewHolder(policy.limits, 1, epoch)
	s.clock.after(0, func() { s.clock.every(time.Second, s.end(), policy.updatePackingShare) })
	for i, spec := range s.workload.Engines {
		e := &engine{
			policy: policy, index: i, target: ident.Target(fmt.Sprintf("engine-%03d", i)),
			share: budget.NewShare(policy.limits, epoch), requests: make(map[ident.Request]*request),
			sched: queue.New(queue.Settings{Slots: spec.Slots, MaxRunning: spec.MaxRunning, Balance: s.workload.Balance}, epoch),
		}
		policy.engines = append(policy.engines, e)
		phase := heartbeatInterval * time.Duration(i) / time.Duration(len(s.workload.Engines))
		e.sendReport()
		s.clock.after(phase, func() { s.clock.every(heartbeatInterval, s.end(), e.sendReport) })
	}
	return policy
}

// updatePackingShare computes the packing share and sets it in all routing tables.
func (p *hyssoproadPolicy) updatePackingShare() {
	share := 1.0
	if !p.outage {
		load := p.tables[0].ActiveLoad(experimentPool, p.sim.workload.Balance)
		share = p.packer.Step(p.holder.Utilization(p.sim.clock.now), load)
	}
	for _, t := range p.tables {
		t.SetPackingShare(share)
	}
}

func (e *engine) report() wire.Report {
	now := e.policy.sim.clock.now
	e.sequence++
	spec := e.policy.sim.workload.Engines[e.index]
	return wire.Report{
		Target: e.target, Incarnation: 1, Sequence: e.sequence,
		Kind: wire.KindEngine, Model: experimentModel, Role: experimentRole,
		Slots: spec.Slots, MaxRunning: spec.MaxRunning, Running: e.sched.Running(), Waiting: e.sched.Waiting(),
		WaitMS: e.sched.RunWait().Milliseconds(), LoadWaitMS: e.sched.LoadWait().Milliseconds(),
		EvictCost: e.sched.EvictCost(now), Ready: true, Draining: e.draining, Loaded: e.sched.LoadedAdapters(),
	}
}

func (e *engine) sendReport() {
	if e.unresponsive {
		return
	}
	report := e.report()
	e.policy.sim.clock.after(reportDelay, func() {
		for _, t := range e.policy.tables {
			t.Update(report, !report.Draining, e.policy.sim.clock.now)
		}
	})
}

func (p *hyssoproadPolicy) submit(req *request) {
	table := p.tables[p.nextEntry%entryCount]
	p.nextEntry++
	var exclude []ident.Target
	retryAfter := time.Duration(0)
	for attempt := range maxAttempts {
		choice, ok := table.Pick(route.Query{Pool: experimentPool, Key: req.key, Exclude: exclude, Balance: p.sim.workload.Balance}, p.sim.clock.now)
		if !ok {
			break
		}
		e := p.find(choice.Node.Target)
		after, ok := e.enqueue(req, attempt == 0)
		if ok {
			return
		}
		retryAfter = max(retryAfter, after)
		exclude = append(exclude, e.target)
	}
	req.refused = true
	if retryAfter > 0 && p.sim.workload.Retries {
		p.retry(req, retryAfter)
	}
}

// retry submits a refused request again after the given time.
func (p *hyssoproadPolicy) retry(req *request, after time.Duration) {
	retried := *req
	retried.id += "+"
	retried.refused = false
	retried.arrived = p.sim.clock.now.Add(after)
	retried.deadline = retried.arrived.Add(req.class.Deadline)
	p.sim.clock.at(retried.arrived, func() { p.submit(&retried) })
	p.sim.retries = append(p.sim.retries, &retried)
}

func (p *hyssoproadPolicy) find(t ident.Target) *engine {
	for _, e := range p.engines {
		if e.target == t {
			return e
		}
	}
	return nil
}

// enqueue queues a request. If it refuses the request, it returns the time after
// which the request may be retried.
func (e *engine) enqueue(req *request, reserveRetry bool) (retryAfter time.Duration, ok bool) {
	now := e.policy.sim.clock.now
	if e.draining || e.unresponsive {
		return 0, false
	}
	r := &queue.Request{ID: req.id, Key: req.key, Priority: req.class.Priority, Arrival: req.arrived, Deadline: req.deadline, ReserveRetry: reserveRetry}
	if after, err := e.sched.Enqueue(now, r); err != nil {
		e.schedule()
		return after, false
	}
	req.engine = e.index
	req.enqueued = now
	e.requests[req.id] = req
	e.policy.sim.batches[e.index].addWaiting(1)
	e.schedule()
	return 0, true
}

// schedule starts and expires requests and, if the scheduler needs a load, requests
// a grant for it.
func (e *engine) schedule() {
	now := e.policy.sim.clock.now
	batch := e.policy.sim.batches[e.index]
	for _, r := range e.sched.Expire(now) {
		e.requests[r.ID].refused = true
		delete(e.requests, r.ID)
		batch.addWaiting(-1)
	}
	for r := e.sched.Start(now); r != nil; r = e.sched.Start(now) {
		e.startOne(r)
	}
	if _, value, ok := e.sched.NextLoad(now); ok && !e.unresponsive {
		e.requestGrant(value)
	} else {
		e.policy.holder.Withdraw(e.target)
	}
	e.wake(now)
}

func (e *engine) startOne(r *queue.Request) {
	req := e.requests[r.ID]
	delete(e.requests, r.ID)
	req.stall = 0
	if r.Stall > 0 {
		req.stall = r.Stall + req.enqueued.Sub(req.arrived)
	}
	e.policy.sim.batches[e.index].addWaiting(-1)
	e.policy.sim.start(req, func(took time.Duration) {
		e.sched.Finish(r, took)
		e.schedule()
	})
}

func (e *engine) wake(now time.Time) {
	next := e.sched.NextEvent(now)
	if next.IsZero() || next.Equal(e.nextWake) {
		return
	}
	e.nextWake = next
	e.policy.sim.clock.at(next.Add(time.Millisecond), e.schedule)
}

func (e *engine) requestGrant(value float64) {
	now := e.policy.sim.clock.now
	if e.policy.outage {
		if e.share.Take(now) {
			e.load(0)
		} else {
			e.policy.sim.clock.at(e.share.NextAt(now).Add(time.Millisecond), func() {
				if e.policy.outage {
					e.schedule()
				}
			})
		}
		return
	}
	e.policy.holder.Request(budget.LoadRequest{Target: e.target, Value: value})
	e.policy.grantLoads()
}

// grantLoads issues the grants that the budget permits now and schedules itself for
// the next one.
func (p *hyssoproadPolicy) grantLoads() {
	now := p.sim.clock.now
	if p.outage {
		return
	}
	for _, g := range p.holder.Grants(now) {
		e := p.find(g.Target)
		p.sim.clock.after(grantDelay, func() { e.load(g.ID) })
	}
	next := p.holder.NextGrantAt(now)
	if next.IsZero() || next.Equal(p.nextCheck) {
		return
	}
	p.nextCheck = next
	p.sim.clock.at(next.Add(time.Millisecond), p.grantLoads)
}

// grantDelay is the time that a grant takes from the holder to the agent.
const grantDelay = 3 * time.Millisecond

func (e *engine) load(grant budget.GrantID) {
	now := e.policy.sim.clock.now
	done := func(took time.Duration, failed bool) {
		if grant == 0 {
			e.share.Done()
		} else {
			e.policy.holder.Done(grant, took, loadTime, failed, e.policy.sim.clock.now)
		}
	}
	key, _, ok := e.sched.NextLoad(now)
	if ok {
		var evict ident.AdapterVersion
		evict, ok = e.sched.BeginLoad(now, key)
		e.sched.EndEvict(evict)
	}
	if !ok {
		done(0, false)
		return
	}
	restarts := e.restarts
	e.policy.sim.store.load(func() {
		took := e.policy.sim.clock.now.Sub(now)
		done(took, restarts != e.restarts)
		e.sched.EndLoad(e.policy.sim.clock.now, key, took, restarts != e.restarts)
		e.schedule()
		e.policy.grantLoads()
	})
	e.schedule()
}

func (p *hyssoproadPolicy) injectFault(f Fault) {
	switch f {
	case FaultColdEngine:
		p.engines[0].restarts++
		p.engines[0].sched.EngineRestarted()
		p.engines[0].schedule()
	case FaultOutage:
		// The holder's lease expires. Loads that it granted stay in progress.
		p.outage = true
		for _, e := range p.engines {
			e.share.Reset(p.sim.clock.now)
			e.schedule()
		}
	case FaultDrain:
		p.engines[0].drain()
	case FaultDomainFailure:
		for i := 0; i < len(p.engines); i += 3 {
			p.engines[i].drain()
			p.engines[i].unresponsive = true
		}
	}
}

// drain routes all waiting requests again, to other engines.
func (e *engine) drain() {
	e.draining = true
	e.sendReport()
	for _, r := range e.sched.WaitingRequests() {
		if !e.sched.Cancel(r.ID) {
			continue
		}
		req := e.requests[r.ID]
		delete(e.requests, r.ID)
		e.policy.sim.batches[e.index].addWaiting(-1)
		e.policy.sim.clock.after(reportDelay, func() { e.policy.submit(req) })
	}
}

func (p *hyssoproadPolicy) clearFault(f Fault) {
	p.outage = false
	if f == FaultOutage {
		p.holder = budget.NewHolder(p.limits, 2, p.sim.clock.now)
	}
	for _, e := range p.engines {
		e.draining, e.unresponsive = false, false
		e.sendReport()
		e.schedule()
	}
}
