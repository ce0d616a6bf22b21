package grant

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Order returns the next order to send, if any. At most one may be outstanding.
func (s *Scheduler) Order(now time.Time) (Order, bool) {
	if !s.up || s.draining || s.instance == "" || s.busy {
		return Order{}, false
	}
	s.updateSwitch(now)
	if model, ok := s.modelToUnload(); ok {
		o := s.newOrder(true, ident.Weights{Model: model})
		o.Displaces = true
		return o, !s.Pinned()
	}
	if model, ok := s.modelToLoad(); ok {
		return s.newOrder(false, ident.Weights{Model: model}), true
	}
	for _, req := range s.waiting {
		if o, ok := s.adapterOrder(req, now); ok {
			return o, true
		}
	}
	return Order{}, false
}

// Sending records that an order is on its way to the engine. Until it is answered no request
// is granted on the adapter that it displaces.
func (s *Scheduler) Sending(o Order) {
	if o.Displaces {
		s.displacing = o.Weights.Unversioned()
	}
}

// Answered records that the order on its way, if any, has been answered, or that a later
// report shows whether the engine has accepted it.
func (s *Scheduler) Answered() { s.displacing = ident.Weights{} }

// isDisplaced reports whether an order that displaces the adapter is on its way.
func (s *Scheduler) isDisplaced(w ident.Weights) bool {
	return !s.displacing.IsZero() && s.displacing == w.Unversioned()
}

func (s *Scheduler) newOrder(unload bool, w ident.Weights) Order {
	return Order{Unload: unload, Weights: w, Sequence: s.sequence, Instance: s.instance}
}

// modelToLoad returns the base model that the engine should load next, if any: the
// one it is switching to, one that requests wait for, or, on an empty engine, the
// first model of its service.
func (s *Scheduler) modelToLoad() (ident.Model, bool) {
	free := s.freeMB()
	if m, ok := s.model(s.switchTo); ok && !s.models[s.switchTo] {
		return m.Name, m.MB <= free
	}
	for _, req := range s.waiting {
		if m, ok := s.model(req.Model); ok && !s.models[req.Model] && m.MB <= free {
			return m.Name, true
		}
	}
	if len(s.models) == 0 && len(s.setup.Models) > 0 && s.setup.Models[0].MB <= free {
		return s.setup.Models[0].Name, true
	}
	return "", false
}

// freeMB returns the memory that the held models leave free.
func (s *Scheduler) freeMB() float64 {
	free := s.setup.MB
	for _, m := range s.setup.Models {
		if s.models[m.Name] {
			free -= m.MB
		}
	}
	return free
}

func (s *Scheduler) model(name ident.Model) (wire.ModelSetup, bool) {
	for _, m := range s.setup.Models {
		if m.Name == name {
			return m, true
		}
	}
	return wire.ModelSetup{}, false
}

// adapterOrder returns the next order needed to load the request's adapter.
func (s *Scheduler) adapterOrder(req *Request, now time.Time) (Order, bool) {
	if req.Adapter.IsZero() || !s.serves(req.Model) || s.isLoading(req.weights()) || !s.mayLoad(req.weights(), now) {
		return Order{}, false
	}
	key := req.weights().Unversioned()
	old := s.held[key]
	if old != nil && (old.version >= req.Adapter.Version || s.inUse(old) || old.isUnloading(now)) {
		return Order{}, false // the new version, and the requests for it, wait until the old one is idle
	}
	if !s.full() {
		o := s.newOrder(false, req.weights())
		o.Displaces = old != nil
		return o, true
	}
	victim := s.victim(now)
	if victim.IsZero() && old != nil {
		victim = key
	}
	o := s.newOrder(true, victim)
	o.Displaces = true
	return o, !victim.IsZero()
}

// full reports whether no further adapter fits. A new version needs its own slot
// while it loads, since the engine still holds the old one and crashes if
// it must hold more adapters than it has slots.
func (s *Scheduler) full() bool { return len(s.held)+len(s.loading) >= s.adapterCapacity() }

// adapterCapacity returns the number of adapters that fit the engine.
func (s *Scheduler) adapterCapacity() int {
	free, largest := s.setup.MB, 0.0
	for _, m := range s.setup.Models {
		if s.models[m.Name] {
			free -= m.MB
			largest = max(largest, m.AdapterMB)
		}
	}
	if largest <= 0 {
		return s.setup.AdapterSlots
	}
	return min(s.setup.AdapterSlots, int(free/largest))
}

func (s *Scheduler) inUse(a *heldAdapter) bool { return a.uses > 0 || s.Pinned() }

// victim returns the least recently used idle adapter, or zero weights. Adapters
// that waiting requests need are kept.
func (s *Scheduler) victim(now time.Time) ident.Weights {
	requested := make(map[ident.Weights]bool)
	for _, req := range s.waiting {
		requested[req.weights().Unversioned()] = true
	}
	var victim ident.Weights
	var oldest time.Time
	for key, a := range s.held {
		if s.inUse(a) || a.isUnloading(now) || requested[key] {
			continue
		}
		if victim.IsZero() || a.lastUse.Before(oldest) {
			victim, oldest = key, a.lastUse
		}
	}
	return victim
}
