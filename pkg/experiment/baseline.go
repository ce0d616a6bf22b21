package experiment

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// engineSelector picks an engine for a request among the usable ones.
type engineSelector func(b *baseline, req *request, usable []int) int

// baseline routes requests by a fixed rule to engines that load adapters on
// demand, in order of arrival, and evict the least recently used idle adapter.
type baseline struct {
	sim          *simulation
	selectEngine engineSelector
	engines      []*lruEngine
	random       *rand.Rand
}

func newBaseline(s *simulation, selector engineSelector) *baseline {
	b := &baseline{sim: s, selectEngine: selector, random: rand.New(rand.NewPCG(s.workload.Seed, 7))}
	for i := range s.workload.Engines {
		b.engines = append(b.engines, newLRUEngine(s, i))
	}
	return b
}

func (b *baseline) submit(req *request) {
	var usable []int
	for i, e := range b.engines {
		if !e.unavailable {
			usable = append(usable, i)
		}
	}
	req.engine = b.selectEngine(b, req, usable)
	b.engines[req.engine].enqueue(req)
}

func (b *baseline) injectFault(f Fault) {
	switch f {
	case FaultColdEngine:
		b.engines[0].restart()
	case FaultDrain:
		b.engines[0].unavailable = true
	case FaultDomainFailure:
		for i := 0; i < len(b.engines); i += 3 {
			b.engines[i].unavailable = true
		}
	}
}

func (b *baseline) clearFault(f Fault) {
	for _, e := range b.engines {
		e.unavailable = false
	}
}

func selectRandom(b *baseline, _ *request, usable []int) int {
	return usable[b.random.IntN(len(usable))]
}

func selectLeastLoaded(b *baseline, _ *request, usable []int) int {
	best, load := usable[0], 0.0
	for i, n := range usable {
		s := b.sim.batches[n]
		if l := float64(s.running+s.waiting) / float64(s.spec.MaxRunning); i == 0 || l < load {
			best, load = n, l
		}
	}
	return best
}

// selectRendezvous returns the engine with the highest hash of adapter and engine.
func selectRendezvous(_ *baseline, req *request, usable []int) int {
	best, top := usable[0], uint64(0)
	for _, n := range usable {
		if h := xxhash.Sum64String(string(req.key.Adapter) + "/" + string(rune('a'+n))); h >= top {
			best, top = n, h
		}
	}
	return best
}

// lruEngine keeps a queue per adapter and loads adapters on demand.
type lruEngine struct {
	sim         *simulation
	index       int
	unavailable bool
	generation  int
	queues      map[ident.AdapterVersion]*adapterQueue
	loadOrder   []*adapterQueue // queues that wait for a load, oldest first
	usedSlots   int             // includes slots of adapters that are still loading
}

type adapterQueue struct {
	key      ident.AdapterVersion
	waiting  []*request
	running  int
	loaded   bool
	loading  bool
	loadedAt time.Time
	lastUsed time.Time
}

func newLRUEngine(s *simulation, index int) *lruEngine {
	return &lruEngine{sim: s, index: index, queues: make(map[ident.AdapterVersion]*adapterQueue)}
}

func (e *lruEngine) batch() *batch { return e.sim.batches[e.index] }

func (e *lruEngine) enqueue(req *request) {
	q := e.queues[req.key]
	if q == nil {
		q = &adapterQueue{key: req.key}
		e.queues[req.key] = q
	}
	now := e.sim.clock.now
	req.enqueued = now
	q.waiting = append(q.waiting, req)
	q.lastUsed = now
	if !q.loaded && !q.loading && len(q.waiting) == 1 {
		e.loadOrder = append(e.loadOrder, q)
	}
	e.batch().addWaiting(1)
	e.sim.clock.at(req.deadline, func() { e.expire(q, req) })
	e.schedule()
}

func (e *lruEngine) expire(q *adapterQueue, req *request) {
	if req.started || req.refused {
		return
	}
	req.refused = true
	e.batch().addWaiting(-1)
	for i, other := range q.waiting {
		if other == req {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			break
		}
	}
	if len(q.waiting) == 0 {
		e.removeFromLoadOrder(q)
	}
}

func (e *lruEngine) removeFromLoadOrder(q *adapterQueue) {
	for i, other := range e.loadOrder {
		if other == q {
			e.loadOrder = append(e.loadOrder[:i:i], e.loadOrder[i+1:]...)
			return
		}
	}
}

func (e *lruEngine) schedule() {
	for e.startNext() {
	}
	for len(e.loadOrder) > 0 && e.freeSlot() {
		q := e.loadOrder[0]
		e.loadOrder = e.loadOrder[1:]
		e.load(q)
	}
}

// startNext starts the oldest waiting request whose adapter is loaded.
func (e *lruEngine) startNext() bool {
	if e.batch().running >= e.batch().spec.MaxRunning {
		return false
	}
	var best *adapterQueue
	for _, q := range e.readyQueues() {
		if best == nil || q.waiting[0].arrived.Before(best.waiting[0].arrived) {
			best = q
		}
	}
	if best == nil {
		return false
	}
	req := best.waiting[0]
	best.waiting = best.waiting[1:]
	best.running++
	if best.loadedAt.After(req.enqueued) {
		req.stall = best.loadedAt.Sub(req.arrived)
	}
	e.batch().addWaiting(-1)
	e.sim.start(req, func(time.Duration) {
		best.running--
		best.lastUsed = e.sim.clock.now
		e.schedule()
	})
	return true
}

func (e *lruEngine) readyQueues() []*adapterQueue {
	var out []*adapterQueue
	for _, q := range e.queues {
		if q.loaded && len(q.waiting) > 0 {
			out = append(out, q)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key.Adapter < out[j].key.Adapter })
	return out
}

func (e *lruEngine) freeSlot() bool {
	if e.usedSlots < e.batch().spec.Slots {
		return true
	}
	var victim *adapterQueue
	for _, q := range e.queues {
		if !q.loaded || q.running > 0 || len(q.waiting) > 0 {
			continue
		}
		if victim == nil || q.lastUsed.Before(victim.lastUsed) || q.lastUsed.Equal(victim.lastUsed) && q.key.Adapter < victim.key.Adapter {
			victim = q
		}
	}
	if victim == nil {
		return false
	}
	victim.loaded = false
	e.usedSlots--
	return true
}

func (e *lruEngine) load(q *adapterQueue) {
	q.loading = true
	e.usedSlots++
	generation := e.generation
	e.sim.store.load(func() {
		if generation != e.generation {
			return
		}
		q.loading = false
		q.loaded = true
		q.loadedAt = e.sim.clock.now
		e.schedule()
	})
}

// restart drops all adapters. Waiting requests need their adapter to be loaded
// again.
func (e *lruEngine) restart() {
	e.generation++
	e.usedSlots = 0
	e.loadOrder = nil
	for _, q := range e.queues {
		q.loaded, q.loading = false, false
		if len(q.waiting) > 0 {
			e.loadOrder = append(e.loadOrder, q)
		}
	}
	sort.Slice(e.loadOrder, func(i, j int) bool {
		return e.loadOrder[i].waiting[0].arrived.Before(e.loadOrder[j].waiting[0].arrived)
	})
	e.schedule()
}
