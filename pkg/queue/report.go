package queue

import (
	"sort"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

const (
	defaultGrantWait   = 0.3 // in seconds, as the next two; used until the first measurement
	defaultLoadTime    = 0.25
	defaultServiceTime = 2.0
)

func (m movingAverage) valueOr(fallback float64) float64 {
	if m.set {
		return m.mean
	}
	return fallback
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// expectedWait estimates how long a new request of a waits.
func (s *Scheduler) expectedWait(now time.Time, a *adapterState) time.Duration {
	switch {
	case a.state == loaded && !a.closing:
		return s.RunWait()
	case a.state == loading:
		return s.RunWait()
	}
	ahead := 0
	own := s.loadValue(now, a)
	for _, other := range s.requested {
		if other != a && other.state == absent && s.loadValue(now, other) > own {
			ahead++
		}
	}
	if ahead == 0 {
		// If one slow load made the scheduler refuse every request, no new load
		// would show that loads are fast again.
		return 0
	}
	return seconds(float64(ahead)*s.loadInterval() + s.loadTime.valueOr(defaultLoadTime))
}

// loadInterval estimates the time in seconds between two loads of this engine
// while several are requested.
func (s *Scheduler) loadInterval() float64 {
	return s.grantWait.valueOr(defaultGrantWait)
}

// RunWait estimates how long a request whose adapter is loaded waits until
// it runs.
func (s *Scheduler) RunWait() time.Duration {
	if s.running < s.settings.MaxRunning {
		return 0
	}
	ready := 0
	for _, a := range s.resident {
		ready += len(a.waiting)
	}
	perRequest := s.serviceTime.valueOr(defaultServiceTime) / float64(s.settings.MaxRunning)
	return seconds(float64(ready+1) * perRequest)
}

// LoadWait estimates how long a request whose adapter is not loaded waits for
// the load.
func (s *Scheduler) LoadWait() time.Duration {
	return seconds(float64(len(s.requested))*s.loadInterval() + s.loadTime.valueOr(defaultLoadTime))
}

func (s *Scheduler) fullRetryAfter() time.Duration {
	return max(time.Second, s.LoadWait()+s.RunWait())
}

// EvictCost returns the lowest recent request count of the resident adapters, as
// an estimate of what the next load evicts. It returns 0 when a slot is free.
func (s *Scheduler) EvictCost(now time.Time) float64 {
	if len(s.resident) < s.settings.Slots {
		return 0
	}
	cost := -1.0
	for _, a := range s.resident {
		r := a.arrivals.value(now, s.settings.HalfLife)
		if cost < 0 || r < cost {
			cost = r
		}
	}
	return max(cost, 0)
}

// Running returns the number of started requests that have not finished.
func (s *Scheduler) Running() int { return s.running }

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return s.waiting }

// InUse reports whether key is loading, loaded, being evicted, pinned or has
// waiting requests.
func (s *Scheduler) InUse(key ident.AdapterVersion) bool {
	a, ok := s.adapters[key]
	return ok && (a.state != absent || a.pins > 0 || len(a.waiting) > 0)
}

// LoadedAdapters returns the loaded adapters in order, without the closed ones.
func (s *Scheduler) LoadedAdapters() []ident.AdapterVersion {
	out := make([]ident.AdapterVersion, 0, len(s.resident))
	for key, a := range s.resident {
		if a.state == loaded && !a.closing {
			out = append(out, key)
		}
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i], out[j]) })
	return out
}

// WaitingRequests returns every waiting request in rank order, for a drain to
// refuse them.
func (s *Scheduler) WaitingRequests() []*Request {
	var out []*Request
	for _, r := range s.requests {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].rank.Before(out[j].rank) })
	return out
}
