package queue

import (
	"math"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

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
	if best == nil {
		s.reopen()
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

// reopen lets a closed slot's adapter be served again.
func (s *Scheduler) reopen() {
	for _, l := range s.resident {
		if l.closing {
			l.closing = false
			delete(s.wanted, l.key)
		}
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
	s.reopen() // whoever starves still closes a slot again
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
