// Package queue schedules the requests and adapter loads of one engine: which
// request starts, which adapter is loaded and which one is evicted. It does no
// I/O, and callers pass the current time.
package queue

import (
	"container/heap"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Errors that Enqueue returns.
const (
	// ErrFull is returned when MaxWaiting requests are waiting.
	ErrFull = errors.ConstError("queue full")
	// ErrDeadline is returned when the expected wait exceeds the deadline.
	ErrDeadline = errors.ConstError("deadline before expected start")
)

// Settings are the limits and weights of one engine's queue.
type Settings struct {
	Slots      int // adapters that the engine can hold
	MaxRunning int // requests that the engine can run at once
	MaxWaiting int
	// Balance weighs batch efficiency (0) against load stalls (1).
	Balance float64
	// PriorityStep is the waiting time that equals one priority level.
	PriorityStep time.Duration
	// HalfLife is the half-life of an adapter's recent request count.
	HalfLife time.Duration
	// StarvationLimit is the wait after which a request may close a loaded
	// adapter that is in use.
	StarvationLimit time.Duration
	// MinLoad is the shortest time that a load takes. A request whose
	// adapter is not loaded, loading or being evicted expires this long
	// before its deadline.
	MinLoad time.Duration
}

// WithDefaults returns the settings with defaults for the unset fields.
func (s Settings) WithDefaults() Settings {
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
	maxIdleAdapters   = 8192
	smoothingWeight   = 0.1
	// recoveryWeight is the weight of a sample below the mean. It is higher, so that
	// requests are not refused for long after a slow period has ended.
	recoveryWeight = 0.4
)

// Scheduler holds the queue of one engine. It is not safe for concurrent use.
type Scheduler struct {
	settings  Settings
	epoch     time.Time
	adapters  map[ident.AdapterVersion]*adapterState
	resident  map[ident.AdapterVersion]*adapterState // loading or loaded
	requested map[ident.AdapterVersion]*adapterState // with demand, and either not loaded or closing
	requests  map[ident.Request]*Request
	expiry    deadlineHeap
	running   int
	waiting   int

	grantWait      movingAverage // from when NextLoad first returns a load until BeginLoad; all averages are in seconds
	loadTime       movingAverage
	serviceTime    movingAverage // from the start to the end of a request
	requestedSince time.Time
}

// New returns an empty scheduler.
func New(settings Settings, now time.Time) *Scheduler {
	return &Scheduler{
		settings:  settings.WithDefaults(),
		epoch:     now,
		adapters:  make(map[ident.AdapterVersion]*adapterState),
		resident:  make(map[ident.AdapterVersion]*adapterState),
		requested: make(map[ident.AdapterVersion]*adapterState),
		requests:  make(map[ident.Request]*Request),
	}
}

type movingAverage struct {
	mean float64
	set  bool
}

func (m *movingAverage) add(x float64) {
	if !m.set {
		m.mean, m.set = x, true
		return
	}
	weight := smoothingWeight
	if x < m.mean {
		weight = recoveryWeight
	}
	m.mean += weight * (x - m.mean)
}

func (s *Scheduler) adapter(key ident.AdapterVersion) *adapterState {
	a, ok := s.adapters[key]
	if !ok {
		s.pruneIdle()
		a = &adapterState{key: key}
		s.adapters[key] = a
	}
	return a
}

// pruneIdle removes some of the adapters that are absent, unpinned and without
// demand, once the map has maxIdleAdapters entries. Their counts of requests and
// load failures are lost.
func (s *Scheduler) pruneIdle() {
	if len(s.adapters) < maxIdleAdapters {
		return
	}
	for key, a := range s.adapters {
		if a.state == absent && a.pins == 0 && a.demand() == 0 {
			delete(s.adapters, key)
			if len(s.adapters) < maxIdleAdapters*7/8 {
				return
			}
		}
	}
}

// Enqueue enqueues a request, or refuses it with ErrFull or ErrDeadline. A refusal
// comes with the time after which a retry is expected to succeed, or 0 if
// unknown.
func (s *Scheduler) Enqueue(now time.Time, r *Request) (retryAfter time.Duration, err error) {
	a := s.adapter(r.Key)
	a.arrivals.add(now, s.settings.HalfLife)
	if s.waiting >= s.settings.MaxWaiting {
		return s.fullRetryAfter(), ErrFull
	}
	a.expire(now, s.epoch, true)
	expected := s.expectedWait(now, a)
	if expected > r.Deadline.Sub(now) {
		return s.reserveRetry(now, a, r, expected), ErrDeadline
	}
	r.enqueuedAt = now
	r.rank = r.Arrival.Add(-time.Duration(r.Priority) * s.settings.PriorityStep)
	a.push(r, s.epoch)
	s.requests[r.ID] = r
	heap.Push(&s.expiry, r)
	s.waiting++
	if a.state != loaded || a.closing {
		s.requested[a.key] = a
	}
	return 0, nil
}

// Cancel removes a waiting request. It reports false for a request that is
// not waiting.
func (s *Scheduler) Cancel(id ident.Request) bool {
	r, ok := s.requests[id]
	if !ok || r.index < 0 {
		return false
	}
	s.removeWaiting(r)
	return true
}

func (s *Scheduler) removeWaiting(r *Request) {
	a := s.adapters[r.Key]
	a.remove(r, s.epoch)
	s.untrackWaiting(a, r)
}

func (s *Scheduler) untrackWaiting(a *adapterState, r *Request) {
	delete(s.requests, r.ID)
	s.waiting--
	if a.demand() == 0 {
		delete(s.requested, a.key)
	}
}

// Expire removes and returns the requests that can no longer start before their
// deadline.
func (s *Scheduler) Expire(now time.Time) []*Request {
	var out []*Request
	for len(s.expiry) > 0 {
		r := s.expiry[0]
		if r.index >= 0 && now.Before(s.startDeadline(r)) {
			break
		}
		heap.Pop(&s.expiry)
		if r.index >= 0 {
			s.removeWaiting(r)
			out = append(out, r)
		}
	}
	return out
}

func (s *Scheduler) startDeadline(r *Request) time.Time {
	if a := s.adapters[r.Key]; a.state == absent {
		return r.Deadline.Add(-s.settings.MinLoad)
	}
	return r.Deadline
}

// Start removes and returns the next request to run, and pins its adapter, or
// returns nil when no request can start now. Among requests of equal rank, the order
// of the adapters decides.
func (s *Scheduler) Start(now time.Time) *Request {
	if s.running >= s.settings.MaxRunning {
		return nil
	}
	var best *adapterState
	for _, a := range s.resident {
		if a.state != loaded || a.closing || len(a.waiting) == 0 {
			continue
		}
		if best == nil || a.before(best) {
			best = a
		}
	}
	if best == nil {
		return nil
	}
	r := best.pop(s.epoch)
	s.untrackWaiting(best, r)
	best.pins++
	s.running++
	if best.loadedAt.After(r.enqueuedAt) {
		r.Stall = best.loadedAt.Sub(r.enqueuedAt)
	}
	return r
}

// before reports whether the adapter's first request starts before the other's.
func (a *adapterState) before(other *adapterState) bool {
	if order := a.waiting[0].rank.Compare(other.waiting[0].rank); order != 0 {
		return order < 0
	}
	if a.key.Adapter != other.key.Adapter {
		return a.key.Adapter < other.key.Adapter
	}
	return a.key.Version < other.key.Version
}

// Finish unpins the adapter of a request that Start returned.
func (s *Scheduler) Finish(r *Request, took time.Duration) {
	a := s.adapters[r.Key]
	a.pins--
	s.running--
	s.serviceTime.add(took.Seconds())
}

// NextEvent returns the earliest time at which a request expires or a failed
// load may be retried, or the zero time if there is none.
func (s *Scheduler) NextEvent(now time.Time) time.Time {
	var next time.Time
	for len(s.expiry) > 0 && s.expiry[0].index < 0 {
		heap.Pop(&s.expiry)
	}
	if len(s.expiry) > 0 {
		next = s.startDeadline(s.expiry[0])
	}
	for _, a := range s.requested {
		if now.Before(a.retryAt) && (next.IsZero() || a.retryAt.Before(next)) {
			next = a.retryAt
		}
	}
	return next
}

type deadlineHeap []*Request

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*Request)) }

func (h *deadlineHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
