package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const model ident.Model = "m"

var start = time.Unix(1_000_000, 0)

func adapterOf(i int, v ident.Version) ident.AdapterVersion {
	return ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprintf("a%d", i)), Version: v}
}

func weightsOf(i int, v ident.Version) ident.Weights {
	return ident.Weights{Model: model, AdapterVersion: adapterOf(i, v)}
}

func setup(slots int) wire.EngineSetup {
	return wire.EngineSetup{
		Configuration: 1, Instance: "i-1", Slots: 4, KVTokens: 100_000, MB: 1000, AdapterSlots: slots,
		Models: []wire.ModelSetup{{Name: model, MB: 900, AdapterMB: 1}},
	}
}

// schedulerWith returns the scheduler of an engine that holds the given adapters at
// version 1.
func schedulerWith(slots int, held ...int) *Scheduler {
	sched := New()
	sched.Setup(setup(slots))
	r := Report{StartMS: 1, Models: []ident.Model{model}}
	for _, i := range held {
		r.Held = append(r.Held, weightsOf(i, 1))
	}
	sched.Observe(r, start)
	return sched
}

func request(id RequestID, adapter int, at time.Time) *Request {
	return &Request{ID: id, Enqueued: at, GrantRequest: wire.GrantRequest{
		Model: model, Adapter: adapterOf(adapter, 0), PromptTokens: 100, OutputTokens: 100, MaxWaitMS: 3000, ObjectiveMS: 800,
	}}
}

func TestRequestsForHeldAdaptersAreGrantedAtOnce(t *testing.T) {
	sched := schedulerWith(4, 1)
	sched.Enqueue(request(1, 1, start))
	replies := sched.Decide(start)
	require.Len(t, replies, 1)
	require.Equal(t, wire.GrantReply{Code: wire.GrantIssued, Version: 1, Instance: "i-1"}, replies[0].GrantReply)
}

// Requests for more adapters than fit evict the least recently used idle adapter,
// never one in use.
func TestEvictsLeastRecentlyUsedIdleAdapter(t *testing.T) {
	sched := schedulerWith(2, 1, 2)
	sched.Enqueue(request(1, 1, start))
	sched.Decide(start)
	sched.Enqueue(request(2, 3, start))
	require.Empty(t, sched.Decide(start))
	order, ok := sched.Order(start)
	require.True(t, ok)
	require.Equal(t, Order{Unload: true, Weights: weightsOf(2, 0), Instance: "i-1", Displaces: true}, order)
	sched.Accepted(order, start)
	order, ok = sched.Order(start)
	require.True(t, ok)
	require.Equal(t, Order{Weights: weightsOf(3, 0), Sequence: 1, Instance: "i-1"}, order)
}

// An engine drops an adapter only after the runs of the adapter have ended. Until a report
// shows that, the adapter takes a place, and no request is granted on it; if no report ever
// does, it counts as held again.
func TestUnloadingAdapterTakesAPlaceAndNoRequests(t *testing.T) {
	sched := schedulerWith(1, 1)
	sched.Enqueue(request(1, 2, start))
	require.Empty(t, sched.Decide(start))
	order, ok := sched.Order(start)
	require.True(t, ok)
	require.True(t, order.Unload)
	sched.Unloading(order, start)
	listed := Report{StartMS: 1, Sequence: 1, Models: []ident.Model{model}, Held: []ident.Weights{weightsOf(1, 1)}}
	sched.Observe(listed, start)
	_, ok = sched.Order(start)
	require.False(t, ok, "the place is not free")
	sched.Enqueue(request(2, 1, start))
	require.Empty(t, sched.Decide(start), "the engine refuses requests for the adapter")
	later := start.Add(time.Second)
	sched.Observe(Report{StartMS: 1, Sequence: 1, Models: []ident.Model{model}}, later)
	order, ok = sched.Order(later)
	require.True(t, ok)
	require.False(t, order.Unload)

	sched.Observe(listed, later)
	sched.Unloading(Order{Weights: weightsOf(1, 0), Unload: true}, later)
	sched.Withdraw(1, later)
	sched.Withdraw(2, later)
	end := later.Add(maxUnknownTime)
	sched.Enqueue(request(3, 1, end))
	replies := sched.Decide(end)
	require.Len(t, replies, 1)
	require.Equal(t, wire.GrantIssued, replies[0].Code)
}

// Entries may learn from the store only later that the engine drains.
func TestDrainingEngineGrantsNothing(t *testing.T) {
	sched := schedulerWith(4, 1)
	sched.Enqueue(request(1, 2, start)) // waits for its adapter
	require.Empty(t, sched.Decide(start))
	sched.Observe(Report{StartMS: 1, Models: []ident.Model{model}, Held: []ident.Weights{weightsOf(1, 1)}}, start)
	sched.SetDraining(true)
	sched.Enqueue(request(2, 1, start))
	for _, reply := range sched.Decide(start) {
		require.Equal(t, wire.GrantReply{Code: wire.GrantUnable, Reason: wire.ReasonDraining}, reply.GrantReply)
	}
	waiting, running := sched.RequestCounts()
	require.Zero(t, waiting)
	require.Zero(t, running)
	_, due := sched.Order(start)
	require.False(t, due)
	sched.Observe(Report{StartMS: 2, Models: []ident.Model{model}, Held: []ident.Weights{weightsOf(1, 1)}}, start)
	sched.Enqueue(request(3, 1, start))
	require.Equal(t, wire.GrantIssued, sched.Decide(start)[0].Code)
}

// An engine states a third of the requests that come to it (load pattern: demand that
// stays above what the engine takes): it gets as many as it states, all others are
// redirected at once, and a request that can go nowhere else waits for its turn.
func TestEngineIsUsedUpToItsRateLimit(t *testing.T) {
	sched := schedulerWith(4, 1)
	sched.SetLimit(4, start)
	granted, redirected := 0, 0
	for i := range RequestID(120) {
		now := start.Add(time.Duration(i) * 83 * time.Millisecond)
		r := request(i, 1, now)
		r.HasAlternative = true
		sched.Enqueue(r)
		replies := sched.Decide(now)
		require.Len(t, replies, 1)
		switch reply := replies[0]; reply.Code {
		case wire.GrantIssued:
			granted++
			sched.Withdraw(i, now)
		case wire.GrantBusy:
			redirected++
			require.Equal(t, wire.ReasonRateLimited, reply.Reason)
			require.LessOrEqual(t, reply.WaitMS, int64(250))
		}
	}
	require.InDelta(t, 40, granted, 3, "in 10 s")
	require.Equal(t, 120, granted+redirected)

	now := start.Add(10 * time.Second)
	sched.Enqueue(request(200, 1, now))
	sched.Enqueue(request(201, 1, now))
	var waits []time.Duration
	for at := now; len(waits) < 2 && at.Before(now.Add(time.Second)); at = at.Add(10 * time.Millisecond) {
		for _, reply := range sched.Decide(at) {
			require.Equal(t, wire.GrantIssued, reply.Code)
			waits = append(waits, at.Sub(now))
		}
	}
	require.Len(t, waits, 2)
	require.InDelta(t, 250, (waits[1] - waits[0]).Milliseconds(), 15)
	sched.ClearLimit()
	sched.Enqueue(request(300, 1, now))
	require.Len(t, sched.Decide(now.Add(time.Second)), 1)
}

func TestRefusesWhenAllAdaptersAreInUse(t *testing.T) {
	sched := schedulerWith(1, 1)
	sched.Enqueue(request(1, 1, start))
	sched.Decide(start)
	req := request(2, 2, start)
	req.HasAlternative = true
	sched.Enqueue(req)
	replies := sched.Decide(start)
	require.Len(t, replies, 1)
	require.Equal(t, wire.GrantBusy, replies[0].Code)
	require.Equal(t, wire.ReasonAdaptersInUse, replies[0].Reason)
	_, ok := sched.Order(start)
	require.False(t, ok)
}

// Prompts for a popular adapter arrive faster than the engine can prefill them:
// later requests are redirected at once.
func TestRedirectsPromptsBeyondThePrefillWindow(t *testing.T) {
	sched := schedulerWith(4, 1)
	sched.window = maxPrefillWindow
	for id := RequestID(1); id <= 3; id++ {
		req := request(id, 1, start)
		req.PromptTokens, req.HasAlternative = 6_000, true
		sched.Enqueue(req)
	}
	replies := sched.Decide(start)
	require.Len(t, replies, 2, "the second request may wait")
	require.Equal(t, wire.GrantIssued, replies[0].Code)
	require.Equal(t, RequestID(3), replies[1].ID)
	require.Equal(t, wire.GrantBusy, replies[1].Code)
	require.Equal(t, wire.ReasonPrefill, replies[1].Reason)
	require.Equal(t, int64(800), replies[1].WaitMS, "18,000 tokens at 15 tokens per ms, less the window of 400 ms")
}

func TestGrantsNoMoreRequestsThanSlots(t *testing.T) {
	sched := schedulerWith(4, 1)
	for id := RequestID(1); id <= 6; id++ {
		sched.Enqueue(request(id, 1, start))
	}
	require.Len(t, sched.Decide(start), 4)
	sched.Withdraw(1, start.Add(time.Second))
	require.Len(t, sched.Decide(start.Add(time.Second)), 1)
}

// Many engines load adapters from a weight store that serves only a few loads at
// full speed: an engine adapts its number of concurrent loads to the load times it
// observes.
func TestReducesLoadConcurrencyWhenTheWeightStoreIsCongested(t *testing.T) {
	load := func(sched *Scheduler, i int, at time.Time, took time.Duration) {
		sched.Enqueue(request(RequestID(i), i, at))
		sched.Decide(at)
		o, ok := sched.Order(at)
		require.True(t, ok)
		sched.Accepted(o, at)
		r := Report{StartMS: 1, Sequence: sched.sequence, Models: []ident.Model{model}}
		for j := 10; j <= i; j++ {
			r.Held = append(r.Held, weightsOf(j, 1))
		}
		sched.Observe(r, at.Add(took))
		sched.Decide(at.Add(took))
		sched.Withdraw(RequestID(i), at.Add(took))
	}
	sched := schedulerWith(100)
	at := start
	for i := 10; i < 20; i++ {
		took := time.Second
		if i == 10 {
			took = 250 * time.Millisecond // the first load sets the baseline of the weight store
		}
		load(sched, i, at, took)
		at = at.Add(time.Minute)
	}
	require.True(t, sched.congested())
	req := request(50, 50, at)
	req.HeldElsewhere, req.HasAlternative = true, true
	sched.Enqueue(req)
	replies := sched.Decide(at)
	require.Len(t, replies, 1, "the other engine should serve it")
	require.Equal(t, wire.GrantBusy, replies[0].Code)
	for i := 20; i < 60; i++ {
		load(sched, i, at, 250*time.Millisecond)
		at = at.Add(time.Minute)
	}
	require.False(t, sched.congested())
}

// In a deployment with large adapters each load takes three times the assumed time,
// even from an otherwise idle weight store. That is not congestion.
func TestUniformlySlowLoadsAreNoCongestion(t *testing.T) {
	l := newLoads()
	at := start
	for i := range 20 {
		l.finished(weightsOf(i, 1), adapterLoad{since: at}, at.Add(750*time.Millisecond))
		require.False(t, l.congested())
		at = at.Add(time.Second)
	}
	require.True(t, l.mayLoad(weightsOf(50, 1), at))
}

func TestLoadsTooLateForTheObjectiveStartLast(t *testing.T) {
	sched := schedulerWith(4)
	old, young := request(1, 1, start), request(2, 2, start.Add(700*time.Millisecond))
	sched.Enqueue(old)
	sched.Enqueue(young)
	now := start.Add(710 * time.Millisecond)
	sched.Decide(now)
	o, ok := sched.Order(now)
	require.True(t, ok)
	require.Equal(t, weightsOf(2, 0), o.Weights)
}

// After a restart many adapters are missing at once: a popular one loads before
// rare ones that were requested earlier.
func TestLoadsWithMoreWaitingRequestsStartFirst(t *testing.T) {
	sched := schedulerWith(4)
	sched.Enqueue(request(1, 1, start))
	sched.Enqueue(request(2, 2, start.Add(time.Millisecond)))
	sched.Enqueue(request(3, 2, start.Add(2*time.Millisecond)))
	now := start.Add(3 * time.Millisecond)
	sched.Decide(now)
	o, ok := sched.Order(now)
	require.True(t, ok)
	require.Equal(t, weightsOf(2, 0), o.Weights)
}

func TestEmptyEngineLoadsItsModelWithoutRequests(t *testing.T) {
	sched := New()
	sched.Setup(setup(4))
	sched.Observe(Report{StartMS: 1}, start)
	o, ok := sched.Order(start)
	require.True(t, ok)
	require.Equal(t, Order{Weights: ident.Weights{Model: model}, Instance: "i-1"}, o)
	sched.Accepted(o, start)
	_, ok = sched.Order(start)
	require.False(t, ok, "one order at a time")
}

// After a restart the engine loads the model from its own disk. Requests that can
// wait for the load do so; the others are refused with the forecast wait.
func TestRequestsWaitForTheBaseModel(t *testing.T) {
	sched := New()
	s := setup(4)
	s.Models[0].LoadMS, s.Models[0].DiskMS = 60_000, 2_000
	sched.Setup(s)
	sched.Observe(Report{StartMS: 1, OnDisk: []ident.Model{model}}, start)
	o, ok := sched.Order(start)
	require.True(t, ok)
	sched.Accepted(o, start)
	impatient := request(1, 1, start)
	impatient.MaxWaitMS = 1_000
	sched.Enqueue(impatient)
	sched.Enqueue(request(2, 1, start))
	replies := sched.Decide(start)
	require.Len(t, replies, 1)
	require.Equal(t, wire.GrantReply{Code: wire.GrantBusy, Reason: wire.ReasonModelAbsent, WaitMS: 2_000}, replies[0].GrantReply)
	later := start.Add(1500 * time.Millisecond)
	sched.Enqueue(&Request{ID: 3, Enqueued: later, GrantRequest: impatient.GrantRequest})
	require.Empty(t, sched.Decide(later))
}

func TestRestartedEngineIsAskedForItsName(t *testing.T) {
	sched := New()
	s := setup(4)
	s.HealthPath = "/health"
	sched.Setup(s)
	sched.Observe(Report{StartMS: 1, Sequence: 7, Models: []ident.Model{model}, Held: []ident.Weights{weightsOf(1, 1)}}, start)
	path, due := sched.Unidentified()
	require.True(t, due)
	require.Equal(t, "/health", path)
	sched.Identify("i-1", 1)
	_, due = sched.Unidentified()
	require.False(t, due)
	sched.Observe(Report{StartMS: 2}, start)
	_, due = sched.Unidentified()
	require.True(t, due)
	held, _ := sched.AdapterCounts()
	require.Zero(t, held)
}

// A newer version loads once the older one is idle. Requests for it wait or are
// redirected until then.
func TestNewVersionLoadsOnceTheOldOneIsIdle(t *testing.T) {
	sched := schedulerWith(4, 1)
	sched.Enqueue(request(1, 1, start))
	sched.Decide(start)
	req := request(2, 1, start)
	req.Adapter.Version = 2
	sched.Enqueue(req)
	require.Empty(t, sched.Decide(start))
	_, ok := sched.Order(start)
	require.False(t, ok)
	sched.Withdraw(1, start)
	o, ok := sched.Order(start)
	require.True(t, ok)
	require.Equal(t, weightsOf(1, 2), o.Weights)
	sched.Accepted(o, start)
	late := request(3, 1, start)
	sched.Enqueue(late)
	require.Empty(t, sched.Decide(start), "the engine would refuse requests for the old version during the load")
}

// An adapter that is loading takes a slot in addition to the version it replaces,
// which the engine still holds.
func TestReplacementsNeedTheirOwnSlot(t *testing.T) {
	sched := schedulerWith(2, 1, 2)
	req := request(1, 1, start)
	req.Adapter.Version = 2
	sched.Enqueue(req)
	sched.Decide(start)
	o, ok := sched.Order(start)
	require.True(t, ok)
	require.Equal(t, Order{Unload: true, Weights: weightsOf(2, 0), Instance: "i-1", Displaces: true}, o)
	sched.Accepted(o, start)
	o, ok = sched.Order(start)
	require.True(t, ok)
	require.Equal(t, weightsOf(1, 2), o.Weights)
	sched.Accepted(o, start)
	sched.Enqueue(request(2, 3, start))
	sched.Decide(start)
	_, ok = sched.Order(start)
	require.False(t, ok, "one held and one loading adapter fill both slots")
}

func TestReplacementUnloadsTheOldVersionFromTheOnlySlot(t *testing.T) {
	sched := schedulerWith(1, 1)
	req := request(1, 1, start)
	req.Adapter.Version = 2
	sched.Enqueue(req)
	sched.Decide(start)
	o, ok := sched.Order(start)
	require.True(t, ok)
	require.Equal(t, Order{Unload: true, Weights: weightsOf(1, 0), Instance: "i-1", Displaces: true}, o)
}

// A process that starts beside a busy engine, or that lost an entry, does not know
// all requests on the engine. While one runs that was not granted here, all held
// adapters count as in use.
func TestAdaptersOfUnknownRequestsAreNotUnloaded(t *testing.T) {
	sched := schedulerWith(1, 1)
	known := request(1, 1, start)
	known.Attempt = "known"
	sched.Enqueue(known)
	require.Len(t, sched.Decide(start), 1)
	sched.ObserveRuns([]ident.Attempt{"known"}, start)
	require.False(t, sched.Pinned())
	sched.Withdraw(1, start)
	require.False(t, sched.IsCurrent(start), "the engine may still run the request that was just withdrawn")
	require.True(t, sched.IsCurrent(start.Add(1)))
	sched.Enqueue(request(2, 2, start))
	sched.Decide(start)
	o, ok := sched.Order(start)
	require.True(t, ok)
	require.Equal(t, Order{Unload: true, Weights: weightsOf(1, 0), Instance: "i-1", Displaces: true}, o)

	sched.ObserveRuns([]ident.Attempt{"earlier"}, start)
	require.True(t, sched.Pinned())
	_, ok = sched.Order(start)
	require.False(t, ok)
	redirect := request(3, 3, start)
	redirect.HasAlternative = true
	sched.Enqueue(redirect)
	replies := sched.Decide(start)
	require.Len(t, replies, 1)
	require.Equal(t, wire.ReasonAdaptersInUse, replies[0].Reason)

	sched.ObserveRuns([]ident.Attempt{"earlier"}, start.Add(maxUnknownTime-1))
	require.True(t, sched.Pinned())
	sched.ObserveRuns([]ident.Attempt{"earlier"}, start.Add(maxUnknownTime))
	require.False(t, sched.Pinned(), "no request can run that long")
	sched.ObserveRuns(nil, start.Add(maxUnknownTime))
	require.False(t, sched.Pinned())
}

// fakeEngine is an engine whose loads take time and whose replies to orders may be
// lost.
type fakeEngine struct {
	startMS  int64
	sequence uint64
	held     map[ident.Weights]ident.Version
	loading  map[ident.Weights]ident.Version
}

func (e *fakeEngine) report() Report {
	r := Report{StartMS: e.startMS, Sequence: e.sequence, Models: []ident.Model{model}}
	for w, v := range e.held {
		w.Version = v
		r.Held = append(r.Held, w)
	}
	for w, v := range e.loading {
		w.Version = v
		r.Loading = append(r.Loading, w)
	}
	return r
}

func (e *fakeEngine) execute(o Order) bool {
	if o.Sequence != e.sequence {
		return false
	}
	e.sequence++
	key := o.Weights.Unversioned()
	if o.Unload {
		delete(e.held, key)
		return true
	}
	e.loading[key] = max(o.Weights.Version, 1)
	return true
}

// Under any sequence of requests, orders, lost replies and restarts, no adapter in
// use is unloaded, the engine never holds more adapters than it has slots, and no
// request is granted for an adapter that the engine does not hold.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3
		engine := &fakeEngine{startMS: 1, held: map[ident.Weights]ident.Version{}, loading: map[ident.Weights]ident.Version{}}
		sched := New()
		sched.Setup(setup(slots))
		now := start
		sched.Observe(engine.report(), now)
		var next RequestID
		enqueued := map[RequestID]*Request{}
		uses := map[RequestID]ident.Weights{}
		decide := func() {
			for _, r := range sched.Decide(now) {
				req := enqueued[r.ID]
				delete(enqueued, r.ID)
				if r.Code != wire.GrantIssued {
					continue
				}
				key := req.weights().Unversioned()
				require.GreaterOrEqual(t, engine.held[key], max(req.Adapter.Version, 1), "granted although the engine does not hold the adapter")
				require.NotContains(t, engine.loading, key, "granted while the adapter is being replaced")
				uses[r.ID] = key
				require.LessOrEqual(t, len(uses), 4)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"add-request": func(t *rapid.T) {
				next++
				req := request(next, rapid.IntRange(1, 6).Draw(t, "adapter"), now)
				req.Adapter.Version = ident.Version(rapid.IntRange(0, 2).Draw(t, "version"))
				req.HasAlternative, req.HeldElsewhere = rapid.Bool().Draw(t, "elsewhere"), rapid.Bool().Draw(t, "spare")
				enqueued[next] = req
				sched.Enqueue(req)
				decide()
			},
			"end": func(t *rapid.T) {
				for id := range uses {
					delete(uses, id)
					sched.Withdraw(id, now)
					break
				}
				decide()
			},
			"order": func(t *rapid.T) {
				o, ok := sched.Order(now)
				if !ok {
					return
				}
				key := o.Weights.Unversioned()
				for _, u := range uses {
					require.NotEqual(t, u, key, "order on an adapter in use")
				}
				accepted := engine.execute(o)
				if accepted && rapid.IntRange(0, 3).Draw(t, "answered") > 0 {
					sched.Accepted(o, now)
				} else {
					sched.Observe(engine.report(), now) // the reply was lost; the report shows the outcome
				}
				require.LessOrEqual(t, len(engine.held)+len(engine.loading), slots, "engine overfilled")
				require.LessOrEqual(t, len(engine.loading), maxLoading)
			},
			"load-done": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(10, 900).Draw(t, "ms")) * time.Millisecond)
				for key, v := range engine.loading {
					engine.held[key] = v
					delete(engine.loading, key)
					break
				}
				sched.Observe(engine.report(), now)
				decide()
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") > 0 {
					return
				}
				*engine = fakeEngine{startMS: engine.startMS + 1, held: map[ident.Weights]ident.Version{}, loading: map[ident.Weights]ident.Version{}}
				for id := range uses {
					delete(uses, id)
					sched.Withdraw(id, now)
				}
				sched.Observe(engine.report(), now)
				decide()
			},
			"": func(t *rapid.T) {
				require.GreaterOrEqual(t, sched.kvTokens, 0)
				require.GreaterOrEqual(t, sched.pendingPrefill, 0)
				_, running := sched.RequestCounts()
				require.Equal(t, len(uses), running)
			},
		})
	})
}

// An entry that is behind sends the setup of an engine that has left (load pattern: a
// server is replaced at its address while processes restart). The name that the
// running engine has reported itself stays in use.
func TestSetupOfAnEngineThatHasLeftDoesNotRenameTheRunningOne(t *testing.T) {
	sched := New()
	current := setup(2)
	current.Instance, current.HealthPath, current.Configuration = "i-2", "/health", 7
	old := current
	old.Instance, old.Configuration = "i-1", 3
	sched.Setup(old) // after a restart of this process, the entry that is behind is first
	sched.Observe(Report{StartMS: 5, Models: []ident.Model{model}}, start)
	_, due := sched.Unidentified()
	require.True(t, due)
	sched.Identify("i-2", 5)
	sched.Setup(current)
	sched.Setup(old)
	require.Equal(t, ident.Target("i-2"), sched.Instance())
	sched.Observe(Report{StartMS: 6, Models: []ident.Model{model}}, start)
	_, due = sched.Unidentified()
	require.True(t, due, "a restarted engine is asked again")
}
