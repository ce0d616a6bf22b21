// Package queue decides what an engine does next: which request starts, which
// adapter is loaded and which is evicted. It does no I/O, and its callers pass
// the time.
package queue

import (
	"container/heap"
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
