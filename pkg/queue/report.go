package queue

import (
	"sort"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

const (
	defaultGrantWait   = 0.3 // s
	defaultLoadTime    = 0.25
	defaultServiceTime = 2.0
)

func (m smoothed) or(fallback float64) float64 {
	if m.set {
		return m.mean
	}
	return fallback
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// expectedWait estimates the wait of one more request of l.
func (s *Scheduler) expectedWait(now time.Time, l *line) time.Duration {
	switch {
	case l.state == loaded && !l.closing:
		return s.SeatWait()
	case l.state == loading:
		return s.SeatWait()
	}
	ahead := 0
	own := s.worth(now, l)
	for _, other := range s.wanted {
		if other != l && other.state == absent && s.worth(now, other) > own {
			ahead++
		}
	}
	if ahead == 0 {
		// Refusing on an old load's time would keep a new one from being seen.
		return 0
	}
	return seconds(float64(ahead)*s.interval() + s.loadTime.or(defaultLoadTime))
}

// interval estimates the time from one load of this engine to the next while
// several are wanted.
func (s *Scheduler) interval() float64 {
	return s.grantWait.or(defaultGrantWait)
}

// SeatWait estimates the wait for a seat of a request whose adapter is loaded.
func (s *Scheduler) SeatWait() time.Duration {
	if s.running < s.settings.Seats {
		return 0
	}
	ready := 0
	for _, l := range s.resident {
		ready += len(l.waiting)
	}
	perSeat := s.serviceTime.or(defaultServiceTime) / float64(s.settings.Seats)
	return seconds(float64(ready+1) * perSeat)
}

// LoadWait estimates the wait of a request whose adapter is not loaded.
func (s *Scheduler) LoadWait() time.Duration {
	return seconds(float64(len(s.wanted))*s.interval() + s.loadTime.or(defaultLoadTime))
}

func (s *Scheduler) drainTime() time.Duration {
	return max(time.Second, s.LoadWait()+s.SeatWait())
}

// EvictCost returns the recent request count of the adapter that the next load
// would evict: 0 with a free slot.
func (s *Scheduler) EvictCost(now time.Time) float64 {
	if len(s.resident) < s.settings.Slots {
		return 0
	}
	cost := -1.0
	for _, l := range s.resident {
		r := l.arrivals.value(now, s.settings.HalfLife)
		if cost < 0 || r < cost {
			cost = r
		}
	}
	return max(cost, 0)
}

// Running returns the number of requests started and not finished.
func (s *Scheduler) Running() int { return s.running }

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int { return s.waiting }

// Uses reports whether key is loaded, pinned or waited for.
func (s *Scheduler) Uses(key ident.AdapterVersion) bool {
	l, ok := s.lines[key]
	return ok && (l.state != absent || l.pins > 0 || len(l.waiting) > 0)
}

// Resident returns the adapters that are loaded, in order.
func (s *Scheduler) Resident() []ident.AdapterVersion {
	out := make([]ident.AdapterVersion, 0, len(s.resident))
	for key, l := range s.resident {
		if l.state == loaded && !l.closing {
			out = append(out, key)
		}
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i], out[j]) })
	return out
}

// WaitingRequests returns every waiting request, as when a drain hands them
// back.
func (s *Scheduler) WaitingRequests() []*Request {
	var out []*Request
	for _, r := range s.requests {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].rank.Before(out[j].rank) })
	return out
}
