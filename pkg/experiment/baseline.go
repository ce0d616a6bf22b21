package experiment

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// choose picks an engine for a request among the usable ones.
type choose func(b *baseline, q *request, usable []int) int

// baseline is a routing rule before engines that load on demand, first come
// first served, and evict the least recently used idle adapter.
type baseline struct {
	run     *run
	choose  choose
	engines []*lruEngine
	random  *rand.Rand
}

func newBaseline(r *run, c choose) *baseline {
	b := &baseline{run: r, choose: c, random: rand.New(rand.NewPCG(r.workload.Seed, 7))}
	for i := range r.workload.Engines {
		b.engines = append(b.engines, newLRUEngine(r, i))
	}
	return b
}

func (b *baseline) arrive(q *request) {
	var usable []int
	for i, e := range b.engines {
		if !e.closed {
			usable = append(usable, i)
		}
	}
	q.engine = b.choose(b, q, usable)
	b.engines[q.engine].add(q)
}

func (b *baseline) strike(f Fault) {
	switch f {
	case FaultColdEngine:
		b.engines[0].restart()
	case FaultDrain:
		b.engines[0].closed = true
	case FaultLostDomain:
		for i := 0; i < len(b.engines); i += 3 {
			b.engines[i].closed = true
		}
	}
}

func (b *baseline) relieve(f Fault) {
	for _, e := range b.engines {
		e.closed = false
	}
}

func chooseRandom(b *baseline, _ *request, usable []int) int {
	return usable[b.random.IntN(len(usable))]
}

func chooseLeastLoaded(b *baseline, _ *request, usable []int) int {
	best, load := usable[0], 0.0
	for i, n := range usable {
		s := b.run.seats[n]
		if l := float64(s.running+s.waiting) / float64(s.spec.Seats); i == 0 || l < load {
			best, load = n, l
		}
	}
	return best
}

// chooseRendezvous sends an adapter to the engine with the highest hash.
func chooseRendezvous(_ *baseline, q *request, usable []int) int {
	best, top := usable[0], uint64(0)
	for _, n := range usable {
		if h := xxhash.Sum64String(string(q.key.Adapter) + "/" + string(rune('a'+n))); h >= top {
			best, top = n, h
		}
	}
	return best
}

// lruEngine queues by adapter and loads on demand.
type lruEngine struct {
	run     *run
	index   int
	closed  bool
	boot    int
	lines   map[ident.AdapterVersion]*lruLine
	order   []*lruLine // lines that wait for a load, oldest first
	holding int        // slots taken
}

type lruLine struct {
	key      ident.AdapterVersion
	waiting  []*request
	pins     int
	loaded   bool
	loading  bool
	loadedAt time.Time
	used     time.Time
}

func newLRUEngine(r *run, index int) *lruEngine {
	return &lruEngine{run: r, index: index, lines: make(map[ident.AdapterVersion]*lruLine)}
}

func (e *lruEngine) seats() *seats { return e.run.seats[e.index] }

func (e *lruEngine) add(q *request) {
	l := e.lines[q.key]
	if l == nil {
		l = &lruLine{key: q.key}
		e.lines[q.key] = l
	}
	now := e.run.clock.now
	q.enqueued = now
	l.waiting = append(l.waiting, q)
	l.used = now
	if !l.loaded && !l.loading && len(l.waiting) == 1 {
		e.order = append(e.order, l)
	}
	e.seats().queue(1)
	e.run.clock.at(q.deadline, func() { e.expire(l, q) })
	e.work()
}

func (e *lruEngine) expire(l *lruLine, q *request) {
	if q.started || q.refused {
		return
	}
	q.refused = true
	e.seats().queue(-1)
	for i, other := range l.waiting {
		if other == q {
			l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
			break
		}
	}
	if len(l.waiting) == 0 {
		e.dropOrder(l)
	}
}

func (e *lruEngine) dropOrder(l *lruLine) {
	for i, other := range e.order {
		if other == l {
			e.order = append(e.order[:i:i], e.order[i+1:]...)
			return
		}
	}
}

func (e *lruEngine) work() {
	for e.startNext() {
	}
	for len(e.order) > 0 && e.makeRoom() {
		l := e.order[0]
		e.order = e.order[1:]
		e.load(l)
	}
}

// startNext starts the oldest request whose adapter is loaded.
func (e *lruEngine) startNext() bool {
	if e.seats().running >= e.seats().spec.Seats {
		return false
	}
	var best *lruLine
	for _, l := range e.ready() {
		if best == nil || l.waiting[0].arrived.Before(best.waiting[0].arrived) {
			best = l
		}
	}
	if best == nil {
		return false
	}
	q := best.waiting[0]
	best.waiting = best.waiting[1:]
	best.pins++
	if best.loadedAt.After(q.enqueued) {
		q.stall = best.loadedAt.Sub(q.arrived)
	}
	e.seats().queue(-1)
	e.run.start(q, func(time.Duration) {
		best.pins--
		best.used = e.run.clock.now
		e.work()
	})
	return true
}

func (e *lruEngine) ready() []*lruLine {
	var out []*lruLine
	for _, l := range e.lines {
		if l.loaded && len(l.waiting) > 0 {
			out = append(out, l)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key.Adapter < out[j].key.Adapter })
	return out
}

func (e *lruEngine) makeRoom() bool {
	if e.holding < e.seats().spec.Slots {
		return true
	}
	var victim *lruLine
	for _, l := range e.lines {
		if !l.loaded || l.pins > 0 || len(l.waiting) > 0 {
			continue
		}
		if victim == nil || l.used.Before(victim.used) || l.used.Equal(victim.used) && l.key.Adapter < victim.key.Adapter {
			victim = l
		}
	}
	if victim == nil {
		return false
	}
	victim.loaded = false
	e.holding--
	return true
}

func (e *lruEngine) load(l *lruLine) {
	l.loading = true
	e.holding++
	boot := e.boot
	e.run.store.load(func() {
		if boot != e.boot {
			return
		}
		l.loading = false
		l.loaded = true
		l.loadedAt = e.run.clock.now
		e.work()
	})
}

// restart drops all that is loaded; what waits must wait for a load again.
func (e *lruEngine) restart() {
	e.boot++
	e.holding = 0
	e.order = nil
	for _, l := range e.lines {
		l.loaded, l.loading = false, false
		if len(l.waiting) > 0 {
			e.order = append(e.order, l)
		}
	}
	sort.Slice(e.order, func(i, j int) bool { return e.order[i].waiting[0].arrived.Before(e.order[j].waiting[0].arrived) })
	e.work()
}
