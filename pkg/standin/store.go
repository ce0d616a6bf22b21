package standin

import (
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// StoreFaults are the faults of the weight store.
type StoreFaults struct {
	// Slowdown divides the rate and multiplies the time of a load.
	Slowdown float64 `json:"slowdown"`
	FailAll  bool    `json:"fail-all"`
}

// StoreRecord is what the weight store saw.
type StoreRecord struct {
	Loads       int64 `json:"loads"`
	MaxInFlight int   `json:"max-in-flight"`
	// Queued counts the loads that found the rate used up, and waited.
	Queued int64 `json:"queued"`
}

// Store is the rate-limited weight store. Loads above the rate wait; a load
// takes the load time while at most the full-speed number are in flight, and
// in proportion longer beyond.
type Store struct {
	rate      float64
	loadTime  time.Duration
	fullSpeed int

	mu       sync.Mutex
	next     time.Time
	inFlight int
	faults   StoreFaults
	record   StoreRecord
}

// NewStore returns a store with a rate in loads per second.
func NewStore(rate float64, loadTime time.Duration, fullSpeed int) *Store {
	return &Store{rate: rate, loadTime: loadTime, fullSpeed: fullSpeed, faults: StoreFaults{Slowdown: 1}}
}

// SetFaults switches faults.
func (s *Store) SetFaults(f StoreFaults) {
	if f.Slowdown < 1 {
		f.Slowdown = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Record returns what the store saw.
func (s *Store) Record() StoreRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// rateSlack is the earliness of a load, as a share of the rate's interval,
// that still counts as within the rate.
const rateSlack = 0.1

// Load waits as long as one load takes and reports whether it succeeded.
func (s *Store) Load() bool {
	time.Sleep(s.enter())
	s.mu.Lock()
	crowd := float64(s.inFlight) / float64(s.fullSpeed)
	took := time.Duration(float64(s.loadTime) * s.faults.Slowdown * max(1, crowd))
	s.mu.Unlock()
	time.Sleep(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	return !s.faults.FailAll
}

func (s *Store) enter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.record.Loads++
	s.inFlight++
	s.record.MaxInFlight = max(s.record.MaxInFlight, s.inFlight)
	interval := time.Duration(float64(time.Second) / s.rate * s.faults.Slowdown)
	wait := s.next.Sub(now)
	if wait > time.Duration(rateSlack*float64(interval)) {
		s.record.Queued++
	}
	if wait < 0 {
		s.next, wait = now, 0
	}
	s.next = s.next.Add(interval)
	return wait
}

// Register serves the store.
func (s *Store) Register(r *router.Router) {
	r.GET("/weights/{path:*}", func(ctx *fasthttp.RequestCtx) {
		if !s.Load() {
			ctx.Error("weight store failed", fasthttp.StatusServiceUnavailable)
		}
	})
	r.GET("/store", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, s.Record()) })
	r.POST("/faults/store", func(ctx *fasthttp.RequestCtx) {
		var f StoreFaults
		if readJSON(ctx, &f) {
			s.SetFaults(f)
		}
	})
}
