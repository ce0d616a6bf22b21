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
	entries         = 2
	heartbeat       = time.Second
	reportLag       = 100 * time.Millisecond
	experimentModel = ident.Model("base")
	experimentRole  = "drafting"
	maxTries        = 3
)

var experimentPool = route.Pool{Kind: wire.KindEngine, Model: experimentModel, Role: experimentRole}

// ours runs the decisions that the programs run: routing tables of two
// entries, fed by lagging reports, a scheduler for each engine, and the load
// budget.
type ours struct {
	run     *run
	tables  []*route.Table
	engines []*ourEngine
	holder  *budget.Holder
	packer  *route.Packer
	limits  budget.Limits
	outage  bool
	tick    time.Time // of the next look at the budget
	next    int
}

type ourEngine struct {
	o        *ours
	index    int
	target   ident.Target
	sched    *queue.Scheduler
	share    *budget.Share
	requests map[ident.Request]*request
	sequence uint64
	closed   bool
	silent   bool
	boot     int
	wakeAt   time.Time
}

func newOurs(r *run) *ours {
	o := &ours{run: r, packer: route.NewPacker(), limits: budget.Limits{LoadsPerSecond: r.workload.Rate, InFlight: fullSpeed, Engines: len(r.workload.Engines)}}
	for range entries {
		o.tables = append(o.tables, route.New())
	}
	o.holder = budget.NewHolder(o.limits, 1, epoch)
	r.clock.after(0, func() { r.clock.every(time.Second, r.end(), o.pack) })
	for i, spec := range r.workload.Engines {
		e := &ourEngine{
			o: o, index: i, target: ident.Target(fmt.Sprintf("engine-%03d", i)),
			share: budget.NewShare(o.limits, epoch), requests: make(map[ident.Request]*request),
			sched: queue.New(queue.Settings{Slots: spec.Slots, Seats: spec.Seats, Balance: r.workload.Balance}, epoch),
		}
		o.engines = append(o.engines, e)
		phase := heartbeat * time.Duration(i) / time.Duration(len(r.workload.Engines))
		e.beat()
		r.clock.after(phase, func() { r.clock.every(heartbeat, r.end(), e.beat) })
	}
	return o
}

// pack spreads the holder's packing share to the entries.
func (o *ours) pack() {
	share := 1.0
	if !o.outage {
		load := o.tables[0].ActiveLoad(experimentPool, o.run.workload.Balance)
		share = o.packer.Step(o.holder.Utilization(o.run.clock.now), load)
	}
	for _, t := range o.tables {
		t.SetPackingShare(share)
	}
}

func (e *ourEngine) report() wire.Report {
	now := e.o.run.clock.now
	e.sequence++
	spec := e.o.run.workload.Engines[e.index]
	return wire.Report{
		Target: e.target, Incarnation: 1, Sequence: e.sequence,
		Kind: wire.KindEngine, Model: experimentModel, Role: experimentRole,
		Slots: spec.Slots, Seats: spec.Seats, Running: e.sched.Running(), Waiting: e.sched.Waiting(),
		WaitMS: e.sched.SeatWait().Milliseconds(), LoadWaitMS: e.sched.LoadWait().Milliseconds(),
		EvictCost: e.sched.EvictCost(now), Ready: true, Draining: e.closed, Loaded: e.sched.LoadedAdapters(),
	}
}

func (e *ourEngine) beat() {
	if e.silent {
		return
	}
	report := e.report()
	e.o.run.clock.after(reportLag, func() {
		for _, t := range e.o.tables {
			t.Update(report, !report.Draining, e.o.run.clock.now)
		}
	})
}

func (o *ours) arrive(q *request) {
	table := o.tables[o.next%entries]
	o.next++
	var exclude []ident.Target
	retryAfter := time.Duration(0)
	for try := range maxTries {
		choice, ok := table.Pick(route.Query{Pool: experimentPool, Key: q.key, Exclude: exclude, Balance: o.run.workload.Balance}, o.run.clock.now)
		if !ok {
			break
		}
		e := o.find(choice.Node.Target)
		after, ok := e.add(q, try == 0)
		if ok {
			return
		}
		retryAfter = max(retryAfter, after)
		exclude = append(exclude, e.target)
	}
	q.refused = true
	if retryAfter > 0 && o.run.workload.Retries {
		o.retry(q, retryAfter)
	}
}

// retry lets a refused caller come back when it was told to.
func (o *ours) retry(q *request, after time.Duration) {
	again := *q
	again.id += "+"
	again.refused = false
	again.arrived = o.run.clock.now.Add(after)
	again.deadline = again.arrived.Add(q.class.Deadline)
	o.run.clock.at(again.arrived, func() { o.arrive(&again) })
	o.run.retries = append(o.run.retries, &again)
}

func (o *ours) find(t ident.Target) *ourEngine {
	for _, e := range o.engines {
		if e.target == t {
			return e
		}
	}
	return nil
}

// add returns the time after which a refused request may be retried.
func (e *ourEngine) add(q *request, reserveRetry bool) (retryAfter time.Duration, ok bool) {
	now := e.o.run.clock.now
	if e.closed || e.silent {
		return 0, false
	}
	r := &queue.Request{ID: q.id, Key: q.key, Priority: q.class.Priority, Arrival: q.arrived, Deadline: q.deadline, ReserveRetry: reserveRetry}
	if after, err := e.sched.Enqueue(now, r); err != nil {
		e.work()
		return after, false
	}
	q.engine = e.index
	q.enqueued = now
	e.requests[q.id] = q
	e.o.run.seats[e.index].queue(1)
	e.work()
	return 0, true
}

// work starts and expires requests, and asks for a load if one is requested.
func (e *ourEngine) work() {
	now := e.o.run.clock.now
	seats := e.o.run.seats[e.index]
	for _, r := range e.sched.Expire(now) {
		e.requests[r.ID].refused = true
		delete(e.requests, r.ID)
		seats.queue(-1)
	}
	for r := e.sched.Start(now); r != nil; r = e.sched.Start(now) {
		e.startOne(r)
	}
	if _, value, ok := e.sched.NextLoad(now); ok && !e.silent {
		e.requestLoad(value)
	} else {
		e.o.holder.Withdraw(e.target)
	}
	e.wake(now)
}

func (e *ourEngine) startOne(r *queue.Request) {
	q := e.requests[r.ID]
	delete(e.requests, r.ID)
	q.stall = 0
	if r.Stall > 0 {
		q.stall = r.Stall + q.enqueued.Sub(q.arrived)
	}
	e.o.run.seats[e.index].queue(-1)
	e.o.run.start(q, func(took time.Duration) {
		e.sched.Finish(r, took)
		e.work()
	})
}

func (e *ourEngine) wake(now time.Time) {
	next := e.sched.NextEvent(now)
	if next.IsZero() || next.Equal(e.wakeAt) {
		return
	}
	e.wakeAt = next
	e.o.run.clock.at(next.Add(time.Millisecond), e.work)
}

func (e *ourEngine) requestLoad(value float64) {
	now := e.o.run.clock.now
	if e.o.outage {
		if e.share.Take(now) {
			e.load(0)
		} else {
			e.o.run.clock.at(e.share.NextAt(now).Add(time.Millisecond), func() {
				if e.o.outage {
					e.work()
				}
			})
		}
		return
	}
	e.o.holder.Request(budget.LoadRequest{Target: e.target, Value: value})
	e.o.look()
}

// look grants what the budget permits, now or when it next permits something.
func (o *ours) look() {
	now := o.run.clock.now
	if o.outage {
		return
	}
	for _, g := range o.holder.Grants(now) {
		e := o.find(g.Target)
		o.run.clock.after(grantLag, func() { e.load(g.ID) })
	}
	next := o.holder.NextGrantAt(now)
	if next.IsZero() || next.Equal(o.tick) {
		return
	}
	o.tick = next
	o.run.clock.at(next.Add(time.Millisecond), o.look)
}

// grantLag is the way of a grant from the holder to the agent.
const grantLag = 3 * time.Millisecond

func (e *ourEngine) load(grant budget.GrantID) {
	now := e.o.run.clock.now
	done := func(took time.Duration, failed bool) {
		if grant == 0 {
			e.share.Done()
		} else {
			e.o.holder.Done(grant, took, loadTime, failed, e.o.run.clock.now)
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
	boot := e.boot
	e.o.run.store.load(func() {
		took := e.o.run.clock.now.Sub(now)
		done(took, boot != e.boot)
		e.sched.EndLoad(e.o.run.clock.now, key, took, boot != e.boot)
		e.work()
		e.o.look()
	})
	e.work()
}

func (o *ours) strike(f Fault) {
	switch f {
	case FaultColdEngine:
		o.engines[0].boot++
		o.engines[0].sched.EngineRestarted()
		o.engines[0].work()
	case FaultOutage:
		// The holder's lease lapses; what it granted is still under way.
		o.outage = true
		for _, e := range o.engines {
			e.share.Reset(o.run.clock.now)
			e.work()
		}
	case FaultDrain:
		o.engines[0].drain()
	case FaultLostDomain:
		for i := 0; i < len(o.engines); i += 3 {
			o.engines[i].drain()
			o.engines[i].silent = true
		}
	}
}

// drain hands the queue back to be routed anew.
func (e *ourEngine) drain() {
	e.closed = true
	e.beat()
	for _, r := range e.sched.WaitingRequests() {
		if !e.sched.Cancel(r.ID) {
			continue
		}
		q := e.requests[r.ID]
		delete(e.requests, r.ID)
		e.o.run.seats[e.index].queue(-1)
		e.o.run.clock.after(reportLag, func() { e.o.arrive(q) })
	}
}

func (o *ours) relieve(f Fault) {
	o.outage = false
	if f == FaultOutage {
		o.holder = budget.NewHolder(o.limits, 2, o.run.clock.now)
	}
	for _, e := range o.engines {
		e.closed, e.silent = false, false
		e.beat()
		e.work()
	}
}
