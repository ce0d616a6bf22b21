package queue

import (
	"math"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Pin pins an adapter that may be in use by a request unknown to this
// scheduler.
func (s *Scheduler) Pin(key ident.AdapterVersion) { s.adapter(key).pins++ }

// Unpin undoes one Pin.
func (s *Scheduler) Unpin(key ident.AdapterVersion) { s.adapters[key].pins-- }

// Pins returns the number of running requests and Pin calls that pin an adapter.
func (s *Scheduler) Pins(key ident.AdapterVersion) int {
	if a, ok := s.adapters[key]; ok {
		return a.pins
	}
	return 0
}

// NextLoad returns the adapter with the highest load value and that value, which
// is in request-seconds at balance 1. It reports false when no load is possible
// or needed.
func (s *Scheduler) NextLoad(now time.Time) (ident.AdapterVersion, float64, bool) {
	var best *adapterState
	value := 0.0
	for _, a := range s.requested {
		if a.state != absent || now.Before(a.retryAt) || !s.stillWanted(now, a) {
			continue
		}
		if v := s.loadValue(now, a); best == nil || v > value || v == value && less(a.key, best.key) {
			best, value = a, v
		}
	}
	if best == nil {
		s.reopen()
	}
	if best == nil || !s.hasRoom(now, best) {
		s.requestedSince = time.Time{}
		return ident.AdapterVersion{}, 0, false
	}
	if s.requestedSince.IsZero() {
		s.requestedSince = now
	}
	return best.key, value, true
}

// stillWanted reports whether the adapter has demand once its expired
// reservations are removed.
func (s *Scheduler) stillWanted(now time.Time, a *adapterState) bool {
	if len(a.reserved) > 0 && len(a.waiting) == 0 {
		a.expire(now, s.epoch, false)
	}
	if a.demand() == 0 {
		delete(s.requested, a.key)
		return false
	}
	return true
}

func less(a, b ident.AdapterVersion) bool {
	return a.Adapter < b.Adapter || a.Adapter == b.Adapter && a.Version < b.Version
}

// loadValue returns the number of waiting requests and reserved retries times
// their mean age, plus MinLoad, to the power of the balance: at balance 0 only
// the number counts. A reserved retry that is due soon raises the value.
func (s *Scheduler) loadValue(now time.Time, a *adapterState) float64 {
	age := a.meanAge(now, s.epoch) + s.settings.MinLoad.Seconds()
	value := float64(a.demand()) * math.Pow(age, s.settings.Balance)
	if len(a.reserved) > 0 && a.reserved[0].retryAt.Sub(now) < reservationLead {
		value *= reservationWeight
	}
	return value
}

// hasRoom reports whether a slot is free or can be freed now for a. If not, and a
// request of a waits longer than the starvation limit, it closes the loaded
// adapter with the fewest recent requests.
func (s *Scheduler) hasRoom(now time.Time, a *adapterState) bool {
	if len(s.resident) < s.settings.Slots {
		return true
	}
	if s.victim(now) != nil {
		return true
	}
	if len(a.waiting) > 0 && now.Sub(a.waiting[0].Arrival) > s.settings.StarvationLimit {
		s.close(now)
	}
	return false
}

// victim returns the adapter to evict for the next load: an unpinned closed one,
// or else the evictable one with the fewest recent requests. It returns nil when
// none can be evicted, or when it costs less to wait until a pinned one is
// released.
func (s *Scheduler) victim(now time.Time) *adapterState {
	var best, pinned *adapterState
	bestCount, pinnedCount := 0.0, 0.0
	for _, a := range s.resident {
		if a.state != loaded || len(a.waiting) > 0 && !a.closing {
			continue
		}
		if a.expire(now, s.epoch, false); len(a.reserved) > 0 && !a.closing {
			continue // a reserved retry is expected soon
		}
		count := a.arrivals.value(now, s.settings.HalfLife)
		switch {
		case a.pins > 0:
			if pinned == nil || count < pinnedCount {
				pinned, pinnedCount = a, count
			}
		case a.closing:
			return a
		case best == nil || count < bestCount || count == bestCount && less(a.key, best.key):
			best, bestCount = a, count
		}
	}
	if best != nil && pinned != nil && pinnedCount*keepFactor < bestCount && s.worthWaiting() {
		return nil
	}
	return best
}

// keepFactor is how many times more recent requests an idle adapter must have
// than a pinned one for the scheduler to wait for the pinned one.
const keepFactor = 4

// worthWaiting reports whether the wait for a load, which the evicted adapter
// will need again, is longer than the time a running request takes.
func (s *Scheduler) worthWaiting() bool {
	return s.LoadWait().Seconds() > s.serviceTime.valueOr(defaultServiceTime)
}

func (s *Scheduler) close(now time.Time) {
	var best *adapterState
	rate := 0.0
	for _, a := range s.resident {
		if a.state != loaded {
			continue
		}
		if a.closing {
			return
		}
		r := a.arrivals.value(now, s.settings.HalfLife)
		if best == nil || r < rate || r == rate && less(a.key, best.key) {
			best, rate = a, r
		}
	}
	if best == nil {
		return
	}
	best.closing = true
	if best.demand() > 0 {
		s.requested[best.key] = best
	}
}

// reopen lets requests of closed adapters start again.
func (s *Scheduler) reopen() {
	for _, a := range s.resident {
		if a.closing {
			a.closing = false
			delete(s.requested, a.key)
		}
	}
}

// BeginLoad takes a slot for key, and returns the adapter that must be unloaded
// first, if any. The caller calls EndEvict after unloading that adapter, and
// EndLoad when the load ends. It reports false when the load is no longer
// possible.
func (s *Scheduler) BeginLoad(now time.Time, key ident.AdapterVersion) (evict ident.AdapterVersion, ok bool) {
	a := s.adapter(key)
	if a.state != absent {
		return evict, false
	}
	if len(s.resident) >= s.settings.Slots {
		v := s.victim(now)
		if v == nil {
			return evict, false
		}
		s.release(v)
		v.state = evicting
		evict = v.key
	}
	s.reopen() // an adapter that is still starving closes one again
	a.state = loading
	s.resident[key] = a
	if !s.requestedSince.IsZero() {
		s.grantWait.add(now.Sub(s.requestedSince).Seconds())
		s.requestedSince = time.Time{}
	}
	return evict, true
}

// BeginEvict reports whether an adapter that takes no slot of the scheduler may
// be unloaded. If so, the caller calls EndEvict after unloading it.
func (s *Scheduler) BeginEvict(key ident.AdapterVersion) bool {
	a := s.adapter(key)
	if a.state != absent || a.pins > 0 {
		return false
	}
	a.state = evicting
	return true
}

// EndEvict records the end of an order to unload key. Until then key can be
// neither loaded nor adopted.
func (s *Scheduler) EndEvict(key ident.AdapterVersion) {
	if a := s.adapters[key]; a != nil && a.state == evicting {
		a.state = absent
	}
}

func (s *Scheduler) release(a *adapterState) {
	a.state = absent
	a.closing = false
	delete(s.resident, a.key)
	if a.demand() > 0 {
		s.requested[a.key] = a
	}
}

// EndLoad records the end of a load that BeginLoad began.
func (s *Scheduler) EndLoad(now time.Time, key ident.AdapterVersion, took time.Duration, failed bool) {
	a := s.adapters[key]
	if a == nil || a.state != loading {
		return
	}
	if failed {
		s.release(a)
		a.failures++
		a.retryAt = now.Add(backoffAfter(a.failures))
		return
	}
	s.loadTime.add(took.Seconds())
	s.Adopt(now, key)
}

func backoffAfter(failures int) time.Duration {
	shift := min(failures-1, 10)
	return min(failureBackoff<<shift, maxFailureBackoff)
}

// Adopt records that the engine holds key, also when this scheduler did not
// order the load.
func (s *Scheduler) Adopt(now time.Time, key ident.AdapterVersion) {
	a := s.adapter(key)
	a.state = loaded
	a.loadedAt = now
	a.failures = 0
	s.resident[key] = a
	delete(s.requested, key)
}

// EngineRestarted records that the engine no longer holds any adapter, as after a restart.
// Running requests keep their adapters pinned until Finish.
func (s *Scheduler) EngineRestarted() {
	for _, a := range s.resident {
		if a.state == loaded {
			s.release(a)
		}
	}
}

// AdoptIfRoom records that the engine holds key, unless all slots are taken by
// others. It reports whether key has a slot, is being evicted or is pinned.
func (s *Scheduler) AdoptIfRoom(now time.Time, key ident.AdapterVersion) bool {
	if a, known := s.adapters[key]; known && a.state != absent {
		return true
	}
	if len(s.resident) >= s.settings.Slots {
		return s.Pins(key) > 0
	}
	s.Adopt(now, key)
	return true
}
