package grant

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Report is the engine's account of itself.
type Report struct {
	Born     int64 // when it started, in ms of Unix time; 0 if unknown
	Sequence uint64
	Busy     bool
	Models   []ident.Model
	Held     []ident.Weights // adapters
	Flying   []ident.Weights // adapters on their way
	// OnDisk and InMemory are the models of whose weights the engine has copies.
	OnDisk, InMemory []ident.Model
}

// Observe puts the engine's newest report in force.
func (b *Book) Observe(r Report, now time.Time) {
	if b.up && (r.Born != b.born || r.Sequence < b.sequence) {
		b.forget()
	}
	if r.Busy && !b.busy {
		b.busySince = now
	}
	b.up, b.born, b.sequence, b.busy = true, r.Born, r.Sequence, r.Busy
	b.models = make(map[ident.Model]bool, len(r.Models))
	for _, m := range r.Models {
		b.models[m] = true
	}
	b.onDisk, b.inMemory = r.OnDisk, r.InMemory
	b.observeHeld(r.Held, now)
	flying := make(map[ident.Weights]flight, len(r.Flying))
	for _, w := range r.Flying {
		f, known := b.flying[w.Unversioned()]
		if !known {
			f = flight{since: now, warm: b.hasCopy(w)}
		}
		f.version = w.Version
		flying[w.Unversioned()] = f
	}
	b.flying = flying
}

// unknownTime is the longest that a request which was not granted here may run: the
// time limits of the users' routes are up to 30 s.
const unknownTime = 30 * time.Second

// Shows reports whether a report of the given time shows all requests that have ended
// here: the engine may notice only later that an entry has left one.
func (b *Book) Shows(reported time.Time) bool { return reported.After(b.ended) }

// Displace decides, by the requests that run at the engine, whether an adapter may
// make way. A request that was granted before this process started, or whose entry
// was lost, may use any of those held.
func (b *Book) Displace(runs []ident.Attempt, now time.Time) {
	if !b.anyUnknown(runs) {
		b.unknownSince = time.Time{}
		return
	}
	if b.unknownSince.IsZero() {
		b.unknownSince = now
	}
	b.unknownAt = now
}

// Pinned reports whether all adapters held count as in use.
func (b *Book) Pinned() bool {
	return !b.unknownSince.IsZero() && b.unknownAt.Sub(b.unknownSince) < unknownTime
}

func (b *Book) anyUnknown(runs []ident.Attempt) bool {
	granted := make(map[ident.Attempt]bool, len(b.running))
	for _, r := range b.running {
		granted[r.Attempt] = true
	}
	for _, id := range runs {
		if !granted[id] {
			return true
		}
	}
	return false
}

func (b *Book) observeHeld(weights []ident.Weights, now time.Time) {
	held := make(map[ident.Weights]*adapter, len(weights))
	for _, w := range weights {
		key := w.Unversioned()
		a := b.held[key]
		if a == nil {
			a = &adapter{lastUse: now}
		}
		if f, flew := b.flying[key]; flew && (f.version == 0 || f.version == w.Version) {
			b.arrived(w, f, now)
		}
		a.version = w.Version
		held[key] = a
	}
	b.held = held
	b.recount()
}

// recount counts the uses of the held adapters anew: an engine that restarted
// may hold an adapter again that requests of before still name.
func (b *Book) recount() {
	for _, a := range b.held {
		a.uses = 0
	}
	for _, r := range b.running {
		if a := b.held[r.weights().Unversioned()]; a != nil {
			a.uses++
		}
	}
}

// Down records that the engine does not answer.
func (b *Book) Down() {
	b.up = false
	b.forget()
}

// Carried records that the engine accepted an order.
func (b *Book) Carried(o Order, now time.Time) {
	b.sequence++
	switch {
	case o.Weights.IsZero():
		b.busy, b.busySince = true, now
	case o.Unload:
		delete(b.held, o.Weights.Unversioned())
	default:
		b.flying[o.Weights.Unversioned()] = flight{version: o.Weights.Version, since: now, warm: b.hasCopy(o.Weights)}
	}
}
