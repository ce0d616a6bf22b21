package standin

import (
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// WeightStoreFaults are the faults that the weight store injects.
type WeightStoreFaults struct {
	// Slowdown divides the load rate and multiplies the load time.
	Slowdown float64 `json:"slowdown"`
	FailAll  bool    `json:"fail-all"`
}

// WeightStoreStats holds the counters of the weight store.
type WeightStoreStats struct {
	Loads        int64 `json:"loads"`
	PeakInFlight int   `json:"max-in-flight"`
	// Queued counts the loads that waited because the rate was exceeded.
	Queued int64 `json:"queued"`
}

// WeightStore is a fake of the rate-limited weight store. Loads above the rate
// wait. A load takes loadTime while at most fullSpeedLoads loads are in flight.
// With more in flight, its time grows in proportion to their number.
type WeightStore struct {
	rate           float64
	loadTime       time.Duration
	fullSpeedLoads int

	mu        sync.Mutex
	nextStart time.Time
	inFlight  int
	faults    WeightStoreFaults
	stats     WeightStoreStats
}

// NewWeightStore returns a weight store with the given rate in loads per second.
func NewWeightStore(rate float64, loadTime time.Duration, fullSpeedLoads int) *WeightStore {
	return &WeightStore{rate: rate, loadTime: loadTime, fullSpeedLoads: fullSpeedLoads, faults: WeightStoreFaults{Slowdown: 1}}
}

// SetFaults replaces the faults.
func (s *WeightStore) SetFaults(f WeightStoreFaults) {
	if f.Slowdown < 1 {
		f.Slowdown = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Stats returns a copy of the counters.
func (s *WeightStore) Stats() WeightStoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// rateSlack is the longest wait, as a share of the interval between loads, that
// isn't counted as queued.
const rateSlack = 0.1

// Load blocks for the duration of one load and reports whether it succeeded.
func (s *WeightStore) Load() bool {
	time.Sleep(s.reserve())
	s.mu.Lock()
	overload := float64(s.inFlight) / float64(s.fullSpeedLoads)
	took := time.Duration(float64(s.loadTime) * s.faults.Slowdown * max(1, overload))
	s.mu.Unlock()
	time.Sleep(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	return !s.faults.FailAll
}

func (s *WeightStore) reserve() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.stats.Loads++
	s.inFlight++
	s.stats.PeakInFlight = max(s.stats.PeakInFlight, s.inFlight)
	interval := time.Duration(float64(time.Second) / s.rate * s.faults.Slowdown)
	wait := s.nextStart.Sub(now)
	if wait > time.Duration(rateSlack*float64(interval)) {
		s.stats.Queued++
	}
	if wait < 0 {
		s.nextStart, wait = now, 0
	}
	s.nextStart = s.nextStart.Add(interval)
	return wait
}

// Register adds the store's HTTP routes to the router.
func (s *WeightStore) Register(r *router.Router) {
	r.GET("/weights/{path:*}", func(ctx *fasthttp.RequestCtx) {
		if !s.Load() {
			ctx.Error("weight store failed", fasthttp.StatusServiceUnavailable)
		}
	})
	r.GET("/store", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, s.Stats()) })
	r.POST("/faults/store", func(ctx *fasthttp.RequestCtx) {
		var f WeightStoreFaults
		if readJSON(ctx, &f) {
			s.SetFaults(f)
		}
	})
}
