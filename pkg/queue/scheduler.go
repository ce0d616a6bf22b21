// Package queue decides what an engine does next: which request starts, which
// adapter is loaded and which is evicted. It does no I/O, and its callers pass
// the time.
package queue

import (
	"container/heap"
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Errors of an adapter's admission to the queue.
const (
	// ErrFull is returned when the queue's limit is reached.
	ErrFull = errors.ConstError("queue full")
	// ErrDeadline is returned when the expected wait exceeds the deadline.
	ErrDeadline = errors.ConstError("deadline before expected start")
)

// Settings are the limits and weights of one engine's queue.
type Settings struct {
	Slots      int // adapters that the engine holds
	Seats      int // requests that the engine runs at once
	MaxWaiting int
	// Balance weighs batch efficiency (0) against load stalls (1).
	Balance float64
	// PriorityStep is the waiting time that one step of priority is worth.
	PriorityStep time.Duration
	// HalfLife is the time in which an adapter's request count halves.
	HalfLife time.Duration
	// StarvationLimit is the wait after which a request may close a busy
	// adapter's slot.
	StarvationLimit time.Duration
	// MinLoad is the shortest time that a load takes; a request whose
	// deadline is nearer is not worth a load.
	MinLoad time.Duration
}

// Defaults fills the unset fields.
func (s Settings) Defaults() Settings {
	if s.MaxWaiting == 0 {
		s.MaxWaiting = 4096
	}
	if s.PriorityStep == 0 {
		s.PriorityStep = 2 * time.Second
	}
	if s.HalfLife == 0 {
		s.HalfLife = 3 * time.Minute
	}
	if s.StarvationLimit == 0 {
		s.StarvationLimit = 5 * time.Second
	}
	if s.MinLoad == 0 {
		s.MinLoad = 250 * time.Millisecond
	}
	return s
}

const (
	failureBackoff    = 500 * time.Millisecond
	maxFailureBackoff = 30 * time.Second
	maxIdleLines      = 8192
	smoothing         = 0.1
	// recovery is the weight of a shorter time: requests are not refused for
	// long on the word of a slow spell that is over.
	recovery = 0.4
)

// Scheduler holds the queue of one engine. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	epoch    time.Time
	lines    map[ident.AdapterVersion]*line
	resident map[ident.AdapterVersion]*line // loading or loaded
	wanted   map[ident.AdapterVersion]*line // with waiting requests and not loaded
	requests map[ident.Request]*Request
	expiry   deadlineHeap
	running  int
	waiting  int

	grantWait   smoothed // from the first want to the permission to load, in s
	loadTime    smoothed
	serviceTime smoothed // from start to end of a request
	wantedSince time.Time
}

// New returns an empty scheduler.
func New(settings Settings, now time.Time) *Scheduler {
	return &Scheduler{
		settings: settings.Defaults(),
		epoch:    now,
		lines:    make(map[ident.AdapterVersion]*line),
		resident: make(map[ident.AdapterVersion]*line),
		wanted:   make(map[ident.AdapterVersion]*line),
		requests: make(map[ident.Request]*Request),
	}
}

type smoothed struct {
	mean float64
	set  bool
}

func (s *smoothed) add(x float64) {
	if !s.set {
		s.mean, s.set = x, true
		return
	}
	weight := smoothing
	if x < s.mean {
		weight = recovery
	}
	s.mean += weight * (x - s.mean)
}

func (s *Scheduler) line(key ident.AdapterVersion) *line {
	l, ok := s.lines[key]
	if !ok {
		s.trim()
		l = &line{key: key}
		s.lines[key] = l
	}
	return l
}

// trim forgets a few lines that hold nothing but an old request count.
func (s *Scheduler) trim() {
	if len(s.lines) < maxIdleLines {
		return
	}
	for key, l := range s.lines {
		if l.state == absent && l.pins == 0 && l.demand() == 0 {
			delete(s.lines, key)
			if len(s.lines) < maxIdleLines*7/8 {
				return
			}
		}
	}
}

// Add admits a request. It returns ErrFull or ErrDeadline, with the time after
// which a retry is expected to be admitted, when it does not.
func (s *Scheduler) Add(now time.Time, r *Request) (retryAfter time.Duration, err error) {
	l := s.line(r.Key)
	l.arrivals.add(now, s.settings.HalfLife)
	if s.waiting >= s.settings.MaxWaiting {
		return s.drainTime(), ErrFull
	}
	l.drop(now, s.epoch, true)
	expected := s.expectedWait(now, l)
	if expected > r.Deadline.Sub(now) {
		return s.promise(now, l, r, expected), ErrDeadline
	}
	r.enqueued = now
	r.rank = r.Arrival.Add(-time.Duration(r.Priority) * s.settings.PriorityStep)
	l.push(r, s.epoch)
	s.requests[r.ID] = r
	heap.Push(&s.expiry, r)
	s.waiting++
	if l.state != loaded || l.closing {
		s.wanted[l.key] = l
	}
	return 0, nil
}

// promise returns the time after which a refused request is expected to be
// served, and has the adapter loaded by then. It returns 0 when no time can be
// told.
func (s *Scheduler) promise(now time.Time, l *line, r *Request, expected time.Duration) time.Duration {
	wait := max(time.Duration(promiseMargin*float64(expected)), time.Second)
	if !r.Promise || wait > maxPromiseWait || l.state == loaded && !l.closing {
		return 0
	}
	if len(l.due) == 0 && s.promised(now) >= s.maxPromised() {
		return 0
	}
	l.add(now, now.Add(wait), s.epoch)
	s.wanted[l.key] = l
	return wait
}

// maxPromised bounds the adapters that are loaded for requests which may never
// come back.
func (s *Scheduler) maxPromised() int { return max(1, s.settings.Slots/promisedSlots) }

// promisedSlots is the number of slots for each of which one promise is kept.
const promisedSlots = 4

// promised counts the adapters with promises.
func (s *Scheduler) promised(now time.Time) int {
	n := 0
	for _, lines := range []map[ident.AdapterVersion]*line{s.wanted, s.resident} {
		for _, l := range lines {
			if len(l.due) == 0 {
				continue
			}
			if l.drop(now, s.epoch, false); len(l.due) > 0 {
				n++
			}
		}
	}
	return n
}

// Cancel removes a waiting request. It reports false for a request that is
// not waiting.
func (s *Scheduler) Cancel(id ident.Request) bool {
	r, ok := s.requests[id]
	if !ok || r.index < 0 {
		return false
	}
	s.withdraw(r)
	return true
}

func (s *Scheduler) withdraw(r *Request) {
	l := s.lines[r.Key]
	l.remove(r, s.epoch)
	s.forgetWaiting(l, r)
}

func (s *Scheduler) forgetWaiting(l *line, r *Request) {
	delete(s.requests, r.ID)
	s.waiting--
	if l.demand() == 0 {
		delete(s.wanted, l.key)
	}
}

// Expire removes and returns the requests that can no longer be started in
// time.
func (s *Scheduler) Expire(now time.Time) []*Request {
	var out []*Request
	for len(s.expiry) > 0 {
		r := s.expiry[0]
		if r.index >= 0 && now.Before(s.lastStart(r)) {
			break
		}
		heap.Pop(&s.expiry)
		if r.index >= 0 {
			s.withdraw(r)
			out = append(out, r)
		}
	}
	return out
}

func (s *Scheduler) lastStart(r *Request) time.Time {
	if l := s.lines[r.Key]; l.state == absent {
		return r.Deadline.Add(-s.settings.MinLoad)
	}
	return r.Deadline
}

// Start removes and returns the next request to run, and pins its adapter, or
// returns nil when no request can start now.
func (s *Scheduler) Start(now time.Time) *Request {
	if s.running >= s.settings.Seats {
		return nil
	}
	var best *line
	for _, l := range s.resident {
		if l.state != loaded || l.closing || len(l.waiting) == 0 {
			continue
		}
		if best == nil || l.waiting[0].rank.Before(best.waiting[0].rank) {
			best = l
		}
	}
	if best == nil {
		return nil
	}
	r := best.pop(s.epoch)
	s.forgetWaiting(best, r)
	best.pins++
	s.running++
	if best.loadedAt.After(r.enqueued) {
		r.Stall = best.loadedAt.Sub(r.enqueued)
	}
	return r
}

// Finish unpins the adapter of a request that Start returned.
func (s *Scheduler) Finish(r *Request, took time.Duration) {
	l := s.lines[r.Key]
	l.pins--
	s.running--
	s.serviceTime.add(took.Seconds())
}

// Hold pins an adapter that a request of which this scheduler does not know
// may be using.
func (s *Scheduler) Hold(key ident.AdapterVersion) { s.line(key).pins++ }

// Unhold ends a Hold.
func (s *Scheduler) Unhold(key ident.AdapterVersion) { s.lines[key].pins-- }

// Pins returns the number of requests and holds that pin an adapter.
func (s *Scheduler) Pins(key ident.AdapterVersion) int {
	if l, ok := s.lines[key]; ok {
		return l.pins
	}
	return 0
}

// Want returns the adapter whose load is worth most now and that worth, in
// request-seconds. It reports false when no load is possible or needed.
func (s *Scheduler) Want(now time.Time) (ident.AdapterVersion, float64, bool) {
	var best *line
	worth := 0.0
	for _, l := range s.wanted {
		if l.state != absent || now.Before(l.retryAt) || !s.stillWanted(now, l) {
			continue
		}
		if w := s.worth(now, l); best == nil || w > worth || w == worth && less(l.key, best.key) {
			best, worth = l, w
		}
	}
	if best == nil || !s.room(now, best) {
		s.wantedSince = time.Time{}
		return ident.AdapterVersion{}, 0, false
	}
	if s.wantedSince.IsZero() {
		s.wantedSince = now
	}
	return best.key, worth, true
}

// stillWanted forgets promises whose time is over.
func (s *Scheduler) stillWanted(now time.Time, l *line) bool {
	if len(l.due) > 0 && len(l.waiting) == 0 {
		l.drop(now, s.epoch, false)
	}
	if l.demand() == 0 {
		delete(s.wanted, l.key)
		return false
	}
	return true
}

func less(a, b ident.AdapterVersion) bool {
	return a.Adapter < b.Adapter || a.Adapter == b.Adapter && a.Version < b.Version
}

// worth is the number of waiting requests, weighted by their age as far as
// the balance asks for.
func (s *Scheduler) worth(now time.Time, l *line) float64 {
	age := l.age(now, s.epoch) + s.settings.MinLoad.Seconds()
	worth := float64(l.demand()) * math.Pow(age, s.settings.Balance)
	if len(l.due) > 0 && l.due[0].due.Sub(now) < promiseLead {
		worth *= promiseWeight
	}
	return worth
}

const (
	// promiseLead is the time before a promise's by which its adapter goes
	// before most others.
	promiseLead   = 12 * time.Second
	promiseWeight = 20
)

// room reports whether a slot is free or can be freed now for l. When none
// can and a request of l starves, it closes the slot worth least.
func (s *Scheduler) room(now time.Time, l *line) bool {
	if len(s.resident) < s.settings.Slots {
		return true
	}
	if s.victim(now) != nil {
		return true
	}
	if len(l.waiting) > 0 && now.Sub(l.waiting[0].Arrival) > s.settings.StarvationLimit {
		s.close(now)
	}
	return false
}

// victim returns the line to evict for the next load: the evictable one with
// the fewest recent requests. It returns nil when none can be evicted, or when
// waiting for a pinned one costs less.
func (s *Scheduler) victim(now time.Time) *line {
	var best, pinned *line
	bestCount, pinnedCount := 0.0, 0.0
	for _, l := range s.resident {
		if l.state != loaded || len(l.waiting) > 0 && !l.closing {
			continue
		}
		if l.drop(now, s.epoch, false); len(l.due) > 0 && !l.closing {
			continue // a promised request is about to come back
		}
		count := l.arrivals.value(now, s.settings.HalfLife)
		switch {
		case l.pins > 0:
			if pinned == nil || count < pinnedCount {
				pinned, pinnedCount = l, count
			}
		case l.closing:
			return l
		case best == nil || count < bestCount || count == bestCount && less(l.key, best.key):
			best, bestCount = l, count
		}
	}
	if best != nil && pinned != nil && pinnedCount*keepFactor < bestCount && s.worthWaiting() {
		return nil
	}
	return best
}

// keepFactor is how many times more recent requests an idle adapter must have
// than a pinned one to be kept in its place.
const keepFactor = 4

// worthWaiting reports whether a load, which an eviction will make necessary
// again, is slower to come than the end of a running request.
func (s *Scheduler) worthWaiting() bool {
	return s.LoadWait().Seconds() > s.serviceTime.or(defaultServiceTime)
}

func (s *Scheduler) close(now time.Time) {
	var best *line
	rate := 0.0
	for _, l := range s.resident {
		if l.state != loaded {
			continue
		}
		if l.closing {
			return
		}
		r := l.arrivals.value(now, s.settings.HalfLife)
		if best == nil || r < rate || r == rate && less(l.key, best.key) {
			best, rate = l, r
		}
	}
	if best == nil {
		return
	}
	best.closing = true
	if best.demand() > 0 {
		s.wanted[best.key] = best
	}
}

// Load reserves a slot for key, and names the adapter that must be unloaded
// first, if any; the caller then calls Evicted. It reports false when the load
// is no longer possible.
func (s *Scheduler) Load(now time.Time, key ident.AdapterVersion) (evict ident.AdapterVersion, ok bool) {
	l := s.line(key)
	if l.state != absent {
		return evict, false
	}
	if len(s.resident) >= s.settings.Slots {
		v := s.victim(now)
		if v == nil {
			return evict, false
		}
		s.drop(v)
		v.state = evicting
		evict = v.key
	}
	l.state = loading
	s.resident[key] = l
	if !s.wantedSince.IsZero() {
		s.grantWait.add(now.Sub(s.wantedSince).Seconds())
		s.wantedSince = time.Time{}
	}
	return evict, true
}

// BeginEvict reports whether an adapter that the scheduler does not account for
// may be unloaded. If so, the caller calls Evicted once it is.
func (s *Scheduler) BeginEvict(key ident.AdapterVersion) bool {
	l := s.line(key)
	if l.state != absent || l.pins > 0 {
		return false
	}
	l.state = evicting
	return true
}

// Evicted records the end of an order to unload key. Until then key is neither
// loaded nor adopted.
func (s *Scheduler) Evicted(key ident.AdapterVersion) {
	if l := s.lines[key]; l != nil && l.state == evicting {
		l.state = absent
	}
}

func (s *Scheduler) drop(l *line) {
	l.state = absent
	l.closing = false
	delete(s.resident, l.key)
	if l.demand() > 0 {
		s.wanted[l.key] = l
	}
}

// Loaded records the end of a load that Load reserved.
func (s *Scheduler) Loaded(now time.Time, key ident.AdapterVersion, took time.Duration, failed bool) {
	l := s.lines[key]
	if l == nil || l.state != loading {
		return
	}
	if failed {
		s.drop(l)
		l.failures++
		l.retryAt = now.Add(backoffAfter(l.failures))
		return
	}
	s.loadTime.add(took.Seconds())
	s.Adopt(now, key)
}

func backoffAfter(failures int) time.Duration {
	shift := min(failures-1, 10)
	return min(failureBackoff<<shift, maxFailureBackoff)
}

// Adopt records that the engine holds key without a load of this scheduler.
func (s *Scheduler) Adopt(now time.Time, key ident.AdapterVersion) {
	l := s.line(key)
	l.state = loaded
	l.loadedAt = now
	l.failures = 0
	s.resident[key] = l
	delete(s.wanted, key)
}

// Lost records that the engine holds nothing any more, as after a restart. The
// requests that were running stay pinned until Finish.
func (s *Scheduler) Lost() {
	for _, l := range s.resident {
		if l.state == loaded {
			s.drop(l)
		}
	}
}

// NextEvent returns the earliest time at which time alone changes what the
// scheduler does, or the zero time.
func (s *Scheduler) NextEvent(now time.Time) time.Time {
	var next time.Time
	for len(s.expiry) > 0 && s.expiry[0].index < 0 {
		heap.Pop(&s.expiry)
	}
	if len(s.expiry) > 0 {
		next = s.lastStart(s.expiry[0])
	}
	for _, l := range s.wanted {
		if now.Before(l.retryAt) && (next.IsZero() || l.retryAt.Before(next)) {
			next = l.retryAt
		}
	}
	return next
}

type deadlineHeap []*Request

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *deadlineHeap) Push(x any)        { *h = append(*h, x.(*Request)) }
func (h *deadlineHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}

// AdoptIfRoom records that the engine holds key, unless all slots are taken by
// others. It reports whether key is accounted for.
func (s *Scheduler) AdoptIfRoom(now time.Time, key ident.AdapterVersion) bool {
	if l, known := s.lines[key]; known && l.state != absent {
		return true
	}
	if len(s.resident) >= s.settings.Slots {
		return s.Pins(key) > 0
	}
	s.Adopt(now, key)
	return true
}
