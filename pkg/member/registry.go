// Package member tracks the targets and entries of the fleet, and decides from
// heartbeats which of them are live.
package member

import (
	"hash/maphash"
	"sort"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// State is the liveness of a target or entry.
type State uint8

// Liveness states.
const (
	Live State = iota
	Suspect
	Dead
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	}
	return "dead"
}

const (
	// SuspectAfter is the time without a report after which a target gets no
	// new requests.
	SuspectAfter = 5 * time.Second
	// DeadAfter is the time without a report after which a target is removed
	// from routing, and without a message after which an entry counts as dead.
	DeadAfter = 8 * time.Second
	// RemoveAfter is the time without a report after which a member is
	// removed.
	RemoveAfter = 10 * time.Minute

	shardCount = 16
)

// Member is the registry's record of a target.
type Member struct {
	Report    wire.Report
	LastHeard time.Time // time of the newest report, as far as known
	Direct    bool      // the newest report came from the target's own agent
	static    uint64
}

// StateAt returns the member's liveness.
func (m Member) StateAt(now time.Time) State { return stateOf(now.Sub(m.LastHeard)) }

func stateOf(sinceHeard time.Duration) State {
	switch {
	case sinceHeard >= DeadAfter:
		return Dead
	case sinceHeard >= SuspectAfter:
		return Suspect
	}
	return Live
}

// Entry is the registry's record of an entry.
type Entry struct {
	Info      wire.EntryInfo
	LastHeard time.Time
}

type shard struct {
	mu      sync.RWMutex
	members map[ident.Target]Member
}

// Registry holds the targets and entries known to one entry. Targets are kept in
// shards that each have a lock.
type Registry struct {
	seed   maphash.Seed
	shards [shardCount]shard

	mu      sync.RWMutex
	entries map[ident.VM]Entry
	leaving map[ident.Target]bool
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{seed: maphash.MakeSeed(), entries: make(map[ident.VM]Entry), leaving: make(map[ident.Target]bool)}
	for i := range r.shards {
		r.shards[i].members = make(map[ident.Target]Member)
	}
	return r
}

func (r *Registry) shard(t ident.Target) *shard {
	return &r.shards[maphash.String(r.seed, string(t))%shardCount]
}

// Observe records a report and returns whether it is newer than the recorded one.
// Reports of an older incarnation, and older reports of the same incarnation, are
// ignored.
func (r *Registry) Observe(report wire.Report, now time.Time, direct bool) bool {
	s := r.shard(report.Target)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.members[report.Target]
	if known && !newer(report, old.Report) {
		return false
	}
	s.members[report.Target] = Member{Report: report, LastHeard: now, Direct: direct, static: staticHash(report)}
	return true
}

func newer(a, b wire.Report) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Get returns the member for a target, and whether it is known.
func (r *Registry) Get(t ident.Target) (Member, bool) {
	s := r.shard(t)
	s.mu.RLock()
	defer s.mu.RUnlock()
	m, ok := s.members[t]
	return m, ok
}

// HighestIncarnation returns the highest known incarnation of a target.
func (r *Registry) HighestIncarnation(t ident.Target) ident.Incarnation {
	m, _ := r.Get(t)
	return m.Report.Incarnation
}

// Members returns all members sorted by target. It removes those that have sent
// no report for longer than RemoveAfter.
func (r *Registry) Members(now time.Time) []Member {
	var out []Member
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for t, m := range s.members {
			if now.Sub(m.LastHeard) > RemoveAfter {
				delete(s.members, t)
				continue
			}
			out = append(out, m)
		}
		s.mu.Unlock()
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Report.Target < out[j].Report.Target })
	return out
}

// SetLeaving replaces the set of targets that are leaving according to the
// platform's list of VMs.
func (r *Registry) SetLeaving(targets map[ident.Target]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = targets
}

// Leaving reports whether the platform is about to remove the target.
func (r *Registry) Leaving(t ident.Target) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.leaving[t]
}

// ObserveEntry records the information that an entry sent about itself.
func (r *Registry) ObserveEntry(info wire.EntryInfo, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[info.VM] = Entry{Info: info, LastHeard: now}
}

// ProposeEntry records an entry from the platform's list of VMs, unless it is
// already known.
func (r *Registry) ProposeEntry(info wire.EntryInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.entries[info.VM]; !known {
		r.entries[info.VM] = Entry{Info: info}
	}
}

// RemoveEntry removes an entry that the platform no longer lists, unless it sent
// a message within DeadAfter.
func (r *Registry) RemoveEntry(vm ident.VM, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[vm]; ok && stateOf(now.Sub(e.LastHeard)) == Dead {
		delete(r.entries, vm)
	}
}

// Entries returns all known entries sorted by VM.
func (r *Registry) Entries() []Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Info.VM < out[j].Info.VM })
	return out
}

// LiveEntries returns the entries that are not dead and not draining.
func (r *Registry) LiveEntries(now time.Time) []wire.EntryInfo {
	var out []wire.EntryInfo
	for _, e := range r.Entries() {
		if stateOf(now.Sub(e.LastHeard)) != Dead && !e.Info.Draining {
			out = append(out, e.Info)
		}
	}
	return out
}
