package grant

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Report is the state that the engine reports.
type Report struct {
	StartMS  int64 // start of the engine process in Unix milliseconds, 0 if unknown
	Sequence uint64
	Busy     bool
	Models   []ident.Model
	Held     []ident.Weights // adapters
	Loading  []ident.Weights // adapters that are loading
	// OnDisk and InMemory list the models whose weights the engine has cached.
	OnDisk, InMemory []ident.Model
}

// Observe updates the scheduler from the engine's newest report.
func (s *Scheduler) Observe(r Report, now time.Time) {
	if s.up && (r.StartMS != s.startMS || r.Sequence < s.sequence) {
		s.reset()
	}
	if r.StartMS != s.startMS {
		s.draining = false
	}
	if r.Busy && !s.busy {
		s.busySince = now
	}
	s.up, s.startMS, s.sequence, s.busy = true, r.StartMS, r.Sequence, r.Busy
	s.models = make(map[ident.Model]bool, len(r.Models))
	for _, m := range r.Models {
		s.models[m] = true
	}
	s.onDisk, s.inMemory = r.OnDisk, r.InMemory
	s.observeHeld(r.Held, now)
	loading := make(map[ident.Weights]adapterLoad, len(r.Loading))
	for _, w := range r.Loading {
		load, known := s.loading[w.Unversioned()]
		if !known {
			load = adapterLoad{since: now, warm: s.hasCopy(w)}
		}
		load.version = w.Version
		loading[w.Unversioned()] = load
	}
	s.loading = loading
}

// maxUnknownTime is the longest that a request not granted here may run: routes
// have time limits of up to 30 s.
const maxUnknownTime = 30 * time.Second

// IsCurrent reports whether an engine report requested at the given time is newer
// than the last end of a request. An older report is out of date, since the engine
// may notice only later that an entry has abandoned a request.
func (s *Scheduler) IsCurrent(reported time.Time) bool { return reported.After(s.lastEnd) }

// ObserveRuns checks the requests that run on the engine for any that were not
// granted here. While there are any, but for no longer than maxUnknownTime, Pinned
// returns true and nothing is evicted: a request that was granted before this process
// started, or whose entry was lost, may use any of the held adapters.
func (s *Scheduler) ObserveRuns(runs []ident.Attempt, now time.Time) {
	if !s.hasUnknown(runs) {
		s.unknownSince = time.Time{}
		return
	}
	if s.unknownSince.IsZero() {
		s.unknownSince = now
	}
	s.unknownLastSeen = now
}

// Pinned reports whether all held adapters count as in use because the engine runs
// unknown requests.
func (s *Scheduler) Pinned() bool {
	return !s.unknownSince.IsZero() && s.unknownLastSeen.Sub(s.unknownSince) < maxUnknownTime
}

func (s *Scheduler) hasUnknown(runs []ident.Attempt) bool {
	granted := make(map[ident.Attempt]bool, len(s.running))
	for _, r := range s.running {
		granted[r.Attempt] = true
	}
	for _, id := range runs {
		if !granted[id] {
			return true
		}
	}
	return false
}

func (s *Scheduler) observeHeld(weights []ident.Weights, now time.Time) {
	held := make(map[ident.Weights]*heldAdapter, len(weights))
	for _, w := range weights {
		key := w.Unversioned()
		a := s.held[key]
		if a == nil {
			a = &heldAdapter{lastUse: now}
		}
		if load, loading := s.loading[key]; loading && (load.version == 0 || load.version == w.Version) {
			s.finished(w, load, now)
		}
		a.version = w.Version
		held[key] = a
	}
	s.held = held
	s.recount()
}

// recount recomputes the use counts of the held adapters. An engine that restarted
// may again hold an adapter that requests from before the restart still refer to.
func (s *Scheduler) recount() {
	for _, a := range s.held {
		a.uses = 0
	}
	for _, r := range s.running {
		if a := s.held[r.weights().Unversioned()]; a != nil {
			a.uses++
		}
	}
}

// Down records that the engine does not answer.
func (s *Scheduler) Down() {
	s.up = false
	s.reset()
}

// Unloading records that the engine drops an adapter once the runs of the adapter have
// ended. It counts as held, but not as ready, until a report no longer lists it.
func (s *Scheduler) Unloading(o Order, now time.Time) {
	s.sequence++
	if a := s.held[o.Weights.Unversioned()]; a != nil {
		a.unloadingSince = now
	}
}

// isUnloading reports whether the engine still waits to drop the adapter. No run lasts
// longer than maxUnknownTime.
func (a *heldAdapter) isUnloading(now time.Time) bool {
	return !a.unloadingSince.IsZero() && now.Sub(a.unloadingSince) < maxUnknownTime
}

// Accepted records that the engine accepted an order.
func (s *Scheduler) Accepted(o Order, now time.Time) {
	s.sequence++
	switch {
	case o.Weights.IsZero():
		s.busy, s.busySince = true, now
	case o.Unload:
		delete(s.held, o.Weights.Unversioned())
	default:
		s.loading[o.Weights.Unversioned()] = adapterLoad{version: o.Weights.Version, since: now, warm: s.hasCopy(o.Weights)}
	}
}
