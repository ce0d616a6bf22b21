// Package fleet decides which targets may get work, from the list that targets
// keep of themselves in the platform's store. It does no I/O, and its callers
// pass the time.
//
// It answers planned departures, which must stop new work within the drain
// notice, and outages of the store, after which live targets are missing from
// the list for a moment.
package fleet

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Target is one target that may get work.
type Target struct {
	Instance ident.Target
	Service  ident.Service
	Address  string
	Domain   ident.Domain
	Slots    int
	Draining bool
	Born     int64 // in ms of Unix time; 0 if unknown
	Models   Models
}

// Models are the base models that a target held when it last told. The type is
// comparable, as targets are.
type Models string

const modelSeparator = "\n"

// ModelsOf returns the names as Models.
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

// Has reports whether the model is among m.
func (m Models) Has(name ident.Model) bool {
	return strings.Contains(modelSeparator+string(m), modelSeparator+string(name)+modelSeparator)
}

// returnGrace is how long after an outage of the store a live target may be
// missing from its list: about two seconds by the platform's protocol.
const returnGrace = 2200 * time.Millisecond

// View is what one process knows of the targets.
type View struct {
	mu      sync.RWMutex
	targets map[ident.Target]Target
	// missing holds the targets that fell out of the list around an outage, and
	// when they count as gone.
	missing map[ident.Target]time.Time
	// troubled is the newest moment at which the store was out of reach.
	troubled time.Time
	services map[ident.Service][]Target
}

// New returns a view without targets.
func New() *View {
	return &View{targets: make(map[ident.Target]Target), missing: make(map[ident.Target]time.Time)}
}

// Trouble records that the store could not be reached.
func (v *View) Trouble(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.troubled = now
}

// Replace puts a whole list in force.
func (v *View) Replace(list []Target, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := make(map[ident.Target]bool, len(list))
	for _, t := range list {
		listed[t.Instance] = true
		v.put(t)
	}
	for id := range v.targets {
		if !listed[id] {
			v.drop(id, now)
		}
	}
	v.rebuild()
}

// Put adds or changes a target.
func (v *View) Put(t Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.put(t)
	v.rebuild()
}

func (v *View) put(t Target) {
	v.targets[t.Instance] = t
	delete(v.missing, t.Instance)
}

// Remove records that a target is no longer listed.
func (v *View) Remove(id ident.Target, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.drop(id, now)
	v.rebuild()
}

func (v *View) drop(id ident.Target, now time.Time) {
	if _, known := v.targets[id]; !known {
		return
	}
	if v.troubled.IsZero() || now.Sub(v.troubled) > returnGrace {
		delete(v.targets, id)
		delete(v.missing, id)
		return
	}
	if _, waiting := v.missing[id]; !waiting {
		v.missing[id] = v.troubled.Add(returnGrace)
	}
}

// Expire drops the targets whose grace has ended. It reports whether any did.
func (v *View) Expire(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	gone := false
	for id, at := range v.missing {
		if !now.Before(at) {
			delete(v.missing, id)
			delete(v.targets, id)
			gone = true
		}
	}
	if gone {
		v.rebuild()
	}
	return gone
}

// rebuild lists the targets that may get work, by service and in a fixed order.
// Of two targets at one address the newer one is alive.
func (v *View) rebuild() {
	at := make(map[string]Target, len(v.targets))
	for _, t := range v.targets {
		other, taken := at[t.Address]
		if !taken || other.Born < t.Born || other.Born == t.Born && other.Instance < t.Instance {
			at[t.Address] = t
		}
	}
	services := make(map[ident.Service][]Target)
	for _, t := range at {
		if !t.Draining {
			services[t.Service] = append(services[t.Service], t)
		}
	}
	for _, list := range services {
		sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
	}
	v.services = services
}

// Of returns the targets of a service that may get work. The caller does not
// change the list.
func (v *View) Of(s ident.Service) []Target {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.services[s]
}

// Usable reports whether a target may still get work.
func (v *View) Usable(t Target) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	now, known := v.targets[t.Instance]
	return known && !now.Draining && now.Service == t.Service && now.Address == t.Address
}

// Size returns the number of targets known, leaving ones among them.
func (v *View) Size() int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return len(v.targets)
}
