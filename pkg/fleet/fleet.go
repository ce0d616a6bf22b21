// Package fleet decides which targets may receive requests, based on the list of
// targets in the platform's store, in which each target maintains its own record. It
// does no I/O, and its callers pass the current time.
//
// It handles draining targets, which must stop receiving new requests within the
// guaranteed delay of 2 s; outages of the store, after which live targets may be
// missing from the list for a short time; and a store that returns from an older copy, in
// which targets that have left are listed, and others are missing.
package fleet

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Target is a target as listed in the store.
type Target struct {
	Instance ident.Target
	Service  ident.Service
	Address  string
	Domain   ident.Domain
	Slots    int
	Draining bool
	// Software is the version of the target's software. Streams go on only at targets of the
	// version that began them.
	Software ident.Software
	StartMS  int64 // start time in Unix ms; 0 if unknown
	// Heartbeat is the number of the heartbeat that wrote the record, from the start of
	// the process on; 0 if unknown.
	Heartbeat uint64
	Models    Models
}

// Models is the set of base models that a target held when it last wrote its record.
// It is a string so that Target stays comparable.
type Models string

const modelSeparator = "\n"

// ModelsOf returns the set of the names.
func ModelsOf(names []ident.Model) Models {
	var out Models
	for _, n := range names {
		out += Models(n) + modelSeparator
	}
	return out
}

// Names returns the names in m.
func (m Models) Names() []ident.Model {
	var out []ident.Model
	for n := range strings.SplitSeq(strings.TrimSuffix(string(m), modelSeparator), modelSeparator) {
		if n != "" {
			out = append(out, ident.Model(n))
		}
	}
	return out
}

// Has reports whether m contains the model.
func (m Models) Has(name ident.Model) bool {
	return strings.Contains(modelSeparator+string(m), modelSeparator+string(name)+modelSeparator)
}

// relistGrace is how long a live target may be missing from the list after an
// outage of the store: about two seconds by the platform's protocol.
const relistGrace = 2200 * time.Millisecond

// View is one process's knowledge of the targets.
type View struct {
	mu      sync.RWMutex
	targets map[ident.Target]Target
	// missing maps each target that left the list around an outage to the time at
	// which it is removed from the view if it is not listed again.
	missing map[ident.Target]time.Time
	// past is what is known of targets and processes that have left.
	past pastTargets
	// lastOutage is the last time that the store was unreachable, and firstList the
	// time of the first complete list.
	lastOutage, firstList time.Time
	// contradicted holds targets whose address answered that it is another target's.
	contradicted map[ident.Target]bool
	services     map[ident.Service][]Target
}

// New returns a view without targets.
func New() *View {
	return &View{targets: make(map[ident.Target]Target), missing: make(map[ident.Target]time.Time), past: newPastTargets(), contradicted: make(map[ident.Target]bool)}
}

// Contradict records that the target's address answered that it is another target's.
// If another target is listed at that address, that one is used from now on, whatever
// their start times say: the clocks of their VMs may differ. It reports whether
// that is so.
func (v *View) Contradict(t Target) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, other := range v.targets {
		if id != t.Instance && other.Address == t.Address && !v.contradicted[id] {
			v.contradicted[t.Instance] = true
			v.rebuild()
			return true
		}
	}
	return false
}

// RecordOutage records that records of live targets may be missing from the list: the
// store could not be reached until the given time, for so long that they may have
// expired, or has returned from an older copy then.
func (v *View) RecordOutage(until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastOutage = until
}

// Replace replaces the view's targets with a complete list.
func (v *View) Replace(list []Target, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.firstList.IsZero() {
		v.firstList = now
	}
	listed := make(map[ident.Target]bool, len(list))
	for _, t := range list {
		if v.put(t) {
			listed[t.Instance] = true
		}
	}
	for id := range v.targets {
		if !listed[id] {
			v.drop(id, now)
		}
	}
	v.rebuild()
}

// Put adds or updates a target. It reports whether the target begins to drain.
func (v *View) Put(t Target) (drains bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, known := v.targets[t.Instance]
	_, missing := v.missing[t.Instance]
	v.put(t)
	if !missing && old.equalsButHeartbeat(t) {
		return false
	}
	v.rebuild()
	return known && v.targets[t.Instance].Draining && !old.Draining
}

// put adds or updates a target, unless the record is older than what is known. It reports
// whether the target is listed. Once a process says that it drains, it never takes that
// back.
func (v *View) put(t Target) (listed bool) {
	known, current := v.targets[t.Instance]
	switch {
	case current && known.StartMS == t.StartMS:
		if t.olderThan(known) {
			t, known = known, t
		}
		t.Draining = t.Draining || known.Draining
	case v.past.contains(t, known, current):
		return false
	case current && known.Draining && t.StartMS < known.StartMS:
		return false // a late record of an earlier process does not take back that this one drains
	case v.past.mayBeLate(t, known, current) && !v.past.writesAgain(t):
		return false
	case current:
		v.past.add(known)
		delete(v.contradicted, t.Instance) // it has started again
	}
	v.targets[t.Instance] = t
	delete(v.missing, t.Instance)
	return true
}

// Remove records that a target is no longer listed. It returns how long the view keeps
// the target, and whether it knew it.
func (v *View) Remove(id ident.Target, now time.Time) (kept time.Duration, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known = v.targets[id]; !known {
		return 0, false
	}
	v.drop(id, now)
	v.rebuild()
	if until, missing := v.missing[id]; missing {
		kept = until.Sub(now)
	}
	return kept, true
}

func (v *View) drop(id ident.Target, now time.Time) {
	if _, known := v.targets[id]; !known {
		return
	}
	if v.lastOutage.IsZero() || now.Sub(v.lastOutage) > relistGrace {
		v.leave(id)
		return
	}
	if _, alreadyMissing := v.missing[id]; !alreadyMissing {
		v.missing[id] = v.lastOutage.Add(relistGrace)
	}
}

// leave removes a target from the view.
func (v *View) leave(id ident.Target) {
	v.past.add(v.targets[id])
	delete(v.targets, id)
	delete(v.missing, id)
}

// Expire removes the missing targets whose grace period has ended. It reports
// whether there were any.
func (v *View) Expire(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	removed := false
	for id, at := range v.missing {
		if !now.Before(at) {
			v.leave(id)
			removed = true
		}
	}
	if removed {
		v.rebuild()
	}
	return removed
}

// rebuild groups the targets that may receive requests by service, in a fixed
// order. Of two targets with the same address only the newer one is alive.
func (v *View) rebuild() {
	byAddress := make(map[string]Target, len(v.targets))
	for _, t := range v.targets {
		other, found := byAddress[t.Address]
		if !found || v.newer(t, other) {
			byAddress[t.Address] = t
		}
	}
	for id := range v.contradicted {
		if _, listed := v.targets[id]; !listed {
			delete(v.contradicted, id)
		}
	}
	services := make(map[ident.Service][]Target)
	for _, t := range byAddress {
		if !t.Draining {
			services[t.Service] = append(services[t.Service], t)
		}
	}
	for _, list := range services {
		sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
	}
	v.services = services
}

// newer reports whether t rather than other is alive at the address of both.
func (v *View) newer(t, other Target) bool {
	if x, y := v.contradicted[t.Instance], v.contradicted[other.Instance]; x != y {
		return y
	}
	if t.StartMS != other.StartMS {
		return t.StartMS > other.StartMS
	}
	return t.Instance > other.Instance
}

// Available returns the targets of a service that may receive requests. The caller
// must not change the list.
func (v *View) Available(s ident.Service) []Target {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.services[s]
}

// Known returns all known targets of a service, in the order of their names: also those that
// may receive no requests.
func (v *View) Known(s ident.Service) []Target {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var out []Target
	for _, t := range v.targets {
		if t.Service == s {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// Settling reports whether live targets may be missing from the list: the store may
// have been unreachable until just before the first list, or it was since.
func (v *View) Settling(now time.Time) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return now.Sub(v.firstList) < relistGrace || now.Sub(v.lastOutage) < relistGrace
}

// Usable reports whether a target may still receive requests.
func (v *View) Usable(t Target) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	current, known := v.targets[t.Instance]
	return known && !current.Draining && current.Service == t.Service && current.Address == t.Address
}

// Find returns a target that is listed or was until recently.
func (v *View) Find(id ident.Target) (Target, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	t, known := v.targets[id]
	return t, known
}

// Addresses returns the addresses of the known targets, including draining ones.
func (v *View) Addresses() map[string]bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make(map[string]bool, len(v.targets))
	for _, t := range v.targets {
		out[t.Address] = true
	}
	return out
}

// Size returns the number of known targets, including draining ones.
func (v *View) Size() int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return len(v.targets)
}
