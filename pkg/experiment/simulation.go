package experiment

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// request is the state of one request in a simulation.
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

// store is a fake weight store. Loads above the rate wait, and more than
// fullSpeedLoads loads in flight slow each other down.
type store struct {
	clock     *clock
	rate      float64
	slowdown  float64
	nextStart time.Time
	inFlight  int
	loads     int
	overRate  int // loads that waited for the rate longer than rateSlack allows
}

const (
	loadTime       = 250 * time.Millisecond
	fullSpeedLoads = 8
	// rateSlack is the share of the interval between two loads by which a load
	// may come early and still count as within the rate.
	rateSlack = 0.1
)

func (s *store) load(done func()) {
	s.inFlight++
	s.loads++
	interval := time.Duration(float64(time.Second) / s.rate * s.slowdown)
	wait := s.nextStart.Sub(s.clock.now)
	if wait > time.Duration(rateSlack*float64(interval)) {
		s.overRate++
	}
	if wait < 0 {
		s.nextStart, wait = s.clock.now, 0
	}
	s.nextStart = s.nextStart.Add(interval)
	s.clock.after(wait, func() {
		congestion := max(1, float64(s.inFlight)/fullSpeedLoads)
		s.clock.after(time.Duration(float64(loadTime)*congestion*s.slowdown), func() {
			s.inFlight--
			done()
		})
	})
}

// batch is a fake of an engine's continuous batching. It measures how full the
// batch is.
type batch struct {
	clock                 *clock
	spec                  EngineSpec
	running               int
	waiting               int
	lastChange            time.Time
	measureFrom           time.Time // start of the measured time
	measureTo             time.Time
	usedRequestSeconds    float64 // of running requests
	offeredRequestSeconds float64 // MaxRunning times the time with work
}

// account adds up the occupancy since the last change. It must be called before
// each change of running or waiting.
func (b *batch) account() {
	from, to := b.lastChange, b.clock.now
	b.lastChange = to
	if from.Before(b.measureFrom) {
		from = b.measureFrom
	}
	if to.After(b.measureTo) {
		to = b.measureTo
	}
	if d := to.Sub(from).Seconds(); d > 0 && b.running+b.waiting > 0 {
		b.usedRequestSeconds += d * float64(b.running)
		b.offeredRequestSeconds += d * float64(b.spec.MaxRunning)
	}
}

func (b *batch) addWaiting(n int) {
	b.account()
	b.waiting += n
}

// batchSlowdown is the relative increase of the time per token from an empty to a
// full batch.
const batchSlowdown = 0.45

// start counts a request as running until its response is complete.
func (b *batch) start(tokens int, done func(took time.Duration)) {
	b.account()
	b.running++
	occupancy := float64(b.running) / float64(b.spec.MaxRunning)
	took := time.Duration(float64(tokens) * float64(b.spec.TokenTime) * (1 + batchSlowdown*occupancy))
	b.clock.after(took, func() {
		b.account()
		b.running--
		done(took)
	})
}

// policy routes and schedules the requests of a run.
type policy interface {
	// submit passes a request to the policy, which must later start or refuse it.
	submit(req *request)
	// injectFault and clearFault start and end the workload's fault.
	injectFault(f Fault)
	clearFault(f Fault)
}

// simulation is a run of one workload under one policy.
type simulation struct {
	clock    *clock
	workload Workload
	store    *store
	batches  []*batch
	requests []*request
	// retries are the requests that callers sent again after a refusal, at the time
	// that the refusal gave.
	retries []*request
}

func newSimulation(w Workload) *simulation {
	c := newClock()
	s := &simulation{clock: c, workload: w, store: &store{clock: c, rate: w.Rate, slowdown: 1}}
	for _, spec := range w.Engines {
		s.batches = append(s.batches, &batch{
			clock: c, spec: spec, lastChange: epoch,
			measureFrom: epoch.Add(w.Warmup), measureTo: epoch.Add(w.Length()),
		})
	}
	return s
}

func (s *simulation) end() time.Time { return epoch.Add(s.workload.Length()) }

// start starts a request on its engine.
func (s *simulation) start(req *request, done func(took time.Duration)) {
	req.started = true
	s.batches[req.engine].start(req.tokens, done)
}
