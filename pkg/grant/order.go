package grant

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Order returns the next order to give, if any. At most one may be under way.
func (b *Book) Order(now time.Time) (Order, bool) {
	if !b.up || b.instance == "" || b.busy {
		return Order{}, false
	}
	b.considerSwitch(now)
	if model, ok := b.leavingModel(); ok {
		o := b.order(true, ident.Weights{Model: model})
		o.Displaces = true
		return o, !b.Pinned()
	}
	if model, ok := b.missingModel(); ok {
		return b.order(false, ident.Weights{Model: model}), true
	}
	for _, w := range b.waiting {
		if o, ok := b.bring(w, now); ok {
			return o, true
		}
	}
	return Order{}, false
}

func (b *Book) order(unload bool, w ident.Weights) Order {
	return Order{Unload: unload, Weights: w, Sequence: b.sequence, Instance: b.instance}
}

// missingModel returns the base model that an engine without one should load:
// the one that is waited for, or else the first of its service.
func (b *Book) missingModel() (ident.Model, bool) {
	room := b.room()
	if m, ok := b.model(b.to); ok && !b.models[b.to] {
		return m.Name, m.MB <= room
	}
	for _, w := range b.waiting {
		if m, ok := b.model(w.Model); ok && !b.models[w.Model] && m.MB <= room {
			return m.Name, true
		}
	}
	if len(b.models) == 0 && len(b.setup.Models) > 0 && b.setup.Models[0].MB <= room {
		return b.setup.Models[0].Name, true
	}
	return "", false
}

// room is the memory, in MB, that the models held leave free.
func (b *Book) room() float64 {
	room := b.setup.MB
	for _, m := range b.setup.Models {
		if b.models[m.Name] {
			room -= m.MB
		}
	}
	return room
}

func (b *Book) model(name ident.Model) (wire.ModelSetup, bool) {
	for _, m := range b.setup.Models {
		if m.Name == name {
			return m, true
		}
	}
	return wire.ModelSetup{}, false
}

// bring returns the next order towards holding what the want needs.
func (b *Book) bring(w *Want, now time.Time) (Order, bool) {
	if w.Adapter.IsZero() || !b.serves(w.Model) || b.replacing(w.weights()) || !b.mayLoad(w.weights(), now) {
		return Order{}, false
	}
	key := w.weights().Unversioned()
	old := b.held[key]
	if old != nil && (old.version >= w.Adapter.Version || b.inUse(old)) {
		return Order{}, false // a replacement waits for its runs, and new requests with it
	}
	if !b.full() {
		o := b.order(false, w.weights())
		o.Displaces = old != nil
		return o, true
	}
	victim := b.victim()
	if victim.IsZero() && old != nil {
		victim = key
	}
	o := b.order(true, victim)
	o.Displaces = true
	return o, !victim.IsZero()
}

// full reports whether no further adapter fits. A replacement needs a place of its
// own until it has taken the older version's: an overfilled engine crashes.
func (b *Book) full() bool { return len(b.held)+len(b.flying) >= b.places() }

// places is the number of adapters that fit the engine.
func (b *Book) places() int {
	room, largest := b.setup.MB, 0.0
	for _, m := range b.setup.Models {
		if b.models[m.Name] {
			room -= m.MB
			largest = max(largest, m.AdapterMB)
		}
	}
	if largest <= 0 {
		return b.setup.AdapterSlots
	}
	return min(b.setup.AdapterSlots, int(room/largest))
}

func (b *Book) inUse(a *adapter) bool { return a.uses > 0 || b.Pinned() }

// victim returns the idle adapter that was used least recently, or zero
// weights. Adapters that are waited for stay.
func (b *Book) victim() ident.Weights {
	wanted := make(map[ident.Weights]bool)
	for _, w := range b.waiting {
		wanted[w.weights().Unversioned()] = true
	}
	var out ident.Weights
	var oldest time.Time
	for key, a := range b.held {
		if b.inUse(a) || wanted[key] {
			continue
		}
		if out.IsZero() || a.lastUse.Before(oldest) {
			out, oldest = key, a.lastUse
		}
	}
	return out
}
