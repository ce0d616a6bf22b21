// Package member keeps what is known of the fleet's targets and entries, and
// decides from heartbeats who is live.
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

// The states of liveness.
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
	// SuspectAfter is the silence after which a member gets no new work
	// while a live one exists.
	SuspectAfter = 5 * time.Second
	// DeadAfter is the silence after which a member gets no work.
	DeadAfter = 8 * time.Second
	// ForgetAfter is the silence after which a member is forgotten.
	ForgetAfter = 10 * time.Minute

	shardCount = 16
)

// Member is what is known of one target.
type Member struct {
	Report wire.Report
	Heard  time.Time // when its newest report was made, as far as is known
	Direct bool      // the newest report came over a link from its own agent
	static uint64
}

// StateAt returns the member's liveness.
func (m Member) StateAt(now time.Time) State { return stateOf(now.Sub(m.Heard)) }

func stateOf(silence time.Duration) State {
	switch {
	case silence >= DeadAfter:
		return Dead
	case silence >= SuspectAfter:
		return Suspect
	}
	return Live
}

// Entry is what is known of one entry.
type Entry struct {
	Info  wire.EntryInfo
	Heard time.Time
}

type shard struct {
	mu      sync.RWMutex
	members map[ident.Target]Member
}

// Registry holds the members known to one entry, in shards, each under its own
// lock.
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

// Observe records a report and returns whether it is news. A report of an
// older incarnation, or an older report of the same one, is not.
func (r *Registry) Observe(report wire.Report, now time.Time, direct bool) bool {
	s := r.shard(report.Target)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.members[report.Target]
	if known && !newer(report, old.Report) {
		return false
	}
	s.members[report.Target] = Member{Report: report, Heard: now, Direct: direct, static: staticHash(report)}
	return true
}

func newer(a, b wire.Report) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Get returns a member.
func (r *Registry) Get(t ident.Target) (Member, bool) {
	s := r.shard(t)
	s.mu.RLock()
	defer s.mu.RUnlock()
	m, ok := s.members[t]
	return m, ok
}

// Highest returns the highest incarnation heard of for a target.
func (r *Registry) Highest(t ident.Target) ident.Incarnation {
	m, _ := r.Get(t)
	return m.Report.Incarnation
}

// Members returns all members by target, and forgets those long silent.
func (r *Registry) Members(now time.Time) []Member {
	var out []Member
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for t, m := range s.members {
			if now.Sub(m.Heard) > ForgetAfter {
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

// SetLeaving replaces the set of targets that the platform's list of VMs shows
// as leaving.
func (r *Registry) SetLeaving(targets map[ident.Target]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = targets
}

// Leaving reports whether the platform is about to take the target away.
func (r *Registry) Leaving(t ident.Target) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.leaving[t]
}

// ObserveEntry records what an entry says of itself.
func (r *Registry) ObserveEntry(info wire.EntryInfo, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[info.VM] = Entry{Info: info, Heard: now}
}

// ProposeEntry records an entry that the platform's list names and that has
// not been heard yet.
func (r *Registry) ProposeEntry(info wire.EntryInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.entries[info.VM]; !known {
		r.entries[info.VM] = Entry{Info: info}
	}
}

// ForgetEntry removes an entry that the platform no longer lists, unless it
// was heard recently.
func (r *Registry) ForgetEntry(vm ident.VM, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[vm]; ok && stateOf(now.Sub(e.Heard)) == Dead {
		delete(r.entries, vm)
	}
}

// Entries returns all known entries by VM.
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
		if stateOf(now.Sub(e.Heard)) != Dead && !e.Info.Draining {
			out = append(out, e.Info)
		}
	}
	return out
}
