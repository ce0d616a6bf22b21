package experiment

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// request is one request on its way through a run.
type request struct {
	arrival
	id       ident.Request
	key      ident.AdapterVersion
	class    Class
	arrived  time.Time
	deadline time.Time
	engine   int
	enqueued time.Time
	started  bool
	stall    time.Duration
	refused  bool
}

// store is the fake weight store: loads above the rate wait, and many in
// flight slow each other.
type store struct {
	clock    *clock
	rate     float64
	slowdown float64
	next     time.Time
	flying   int
	loads    int
	queued   int // loads that found the rate used up
}

const (
	loadTime  = 250 * time.Millisecond
	fullSpeed = 8
	// rateSlack is the earliness, as a share of the rate's interval, that
	// still counts as within the rate.
	rateSlack = 0.1
)

func (s *store) load(done func()) {
	s.flying++
	s.loads++
	interval := time.Duration(float64(time.Second) / s.rate * s.slowdown)
	wait := s.next.Sub(s.clock.now)
	if wait > time.Duration(rateSlack*float64(interval)) {
		s.queued++
	}
	if wait < 0 {
		s.next, wait = s.clock.now, 0
	}
	s.next = s.next.Add(interval)
	s.clock.after(wait, func() {
		crowd := max(1, float64(s.flying)/fullSpeed)
		s.clock.after(time.Duration(float64(loadTime)*crowd*s.slowdown), func() {
			s.flying--
			done()
		})
	})
}

// seats is the fake of an engine's continuous batching, and measures how full
// the batch is.
type seats struct {
	clock   *clock
	spec    EngineSpec
	running int
	waiting int
	changed time.Time
	from    time.Time // measure from here
	to      time.Time
	used    float64 // seat-seconds occupied
	offered float64 // seat-seconds while there was work
}

// account adds the time since the last change. It is called before a change.
func (s *seats) account() {
	from, to := s.changed, s.clock.now
	s.changed = to
	if from.Before(s.from) {
		from = s.from
	}
	if to.After(s.to) {
		to = s.to
	}
	if d := to.Sub(from).Seconds(); d > 0 && s.running+s.waiting > 0 {
		s.used += d * float64(s.running)
		s.offered += d * float64(s.spec.Seats)
	}
}

func (s *seats) queue(n int) {
	s.account()
	s.waiting += n
}

// crowding is the growth of a token's time from an empty to a full batch.
const crowding = 0.45

// start occupies a seat until the answer is complete.
func (s *seats) start(tokens int, done func(took time.Duration)) {
	s.account()
	s.running++
	full := float64(s.running) / float64(s.spec.Seats)
	took := time.Duration(float64(tokens) * float64(s.spec.TokenTime) * (1 + crowding*full))
	s.clock.after(took, func() {
		s.account()
		s.running--
		done(took)
	})
}

// policy routes and schedules the requests of a run.
type policy interface {
	// arrive takes a request. The policy must later start or refuse it.
	arrive(r *request)
	// strike and relieve begin and end the workload's fault.
	strike(f Fault)
	relieve(f Fault)
}

// run is one workload under one policy.
type run struct {
	clock    *clock
	workload Workload
	store    *store
	seats    []*seats
	requests []*request
	// retries are the requests of callers that came back when told to.
	retries []*request
}

func newRun(w Workload) *run {
	c := newClock()
	r := &run{clock: c, workload: w, store: &store{clock: c, rate: w.Rate, slowdown: 1}}
	for _, spec := range w.Engines {
		r.seats = append(r.seats, &seats{
			clock: c, spec: spec, changed: epoch,
			from: epoch.Add(w.Warmup), to: epoch.Add(w.Length()),
		})
	}
	return r
}

func (r *run) end() time.Time { return epoch.Add(r.workload.Length()) }

// start runs a request on its engine.
func (r *run) start(q *request, done func(took time.Duration)) {
	q.started = true
	r.seats[q.engine].start(q.tokens, done)
}
