package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// trialDelay is the time between the last end of a target under a banned request, or the last
// trial, and the next trial.
const trialDelay = 10 * time.Second

// MayTry reports whether the process on a VM may send a banned request once more: another request
// was lost with each of the targets that ended under it, so that only one of them may be to
// blame. Of the processes that saw the last end one may, and each call that returns true counts
// as a trial.
func (r *Requests) MayTry(f Fingerprint, self ident.VM, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.suspicion(f)
	live := s.live(now)
	if !ban(live) || now.Sub(r.tried[f]) < trialDelay {
		return false
	}
	last := live[len(live)-1]
	if now.Sub(time.UnixMilli(last.AtMS)) < trialDelay || !r.tries(self, last, f) || !r.hasCompanion(f, live, now) {
		return false
	}
	if len(r.tried) >= maxRequests {
		clear(r.tried)
	}
	r.tried[f] = now
	return true
}

// tries reports whether the process on a VM is the first by name of those that saw the end of
// a target under a request. The caller holds mu.
func (r *Requests) tries(self ident.VM, end End, f Fingerprint) bool {
	if !r.own.has(end, f) {
		return false
	}
	for vm, e := range r.others {
		if vm < self && e.has(end, f) {
			return false
		}
	}
	return true
}

// hasCompanion reports whether another request was lost with each of the targets, and has not
// been answered since. The caller holds mu.
func (r *Requests) hasCompanion(f Fingerprint, ends []End, now time.Time) bool {
	companions := r.lostByAll(ends[0])
	delete(companions, f)
	for _, end := range ends[1:] {
		lost := r.lostByAll(end)
		maps.DeleteFunc(companions, func(other Fingerprint, _ bool) bool { return !lost[other] })
	}
	for other := range companions {
		s := r.suspicion(other)
		live := s.live(now)
		if !slices.ContainsFunc(ends, func(end End) bool { return !slices.ContainsFunc(live, end.sameProcess) }) {
			return true
		}
	}
	return false
}

// lostByAll returns the requests that all processes lost with a target's. The caller holds mu.
func (r *Requests) lostByAll(end End) map[Fingerprint]bool {
	out := make(map[Fingerprint]bool)
	for _, f := range r.own.lostWith(end) {
		out[f] = true
	}
	for _, e := range r.others {
		for _, f := range e.lostWith(end) {
			out[f] = true
		}
	}
	return out
}

// lostWith returns the requests that the process lost with a target's.
func (e Evidence) lostWith(end End) []Fingerprint {
	for _, known := range e.Ends {
		if known.sameProcess(end) {
			return known.Requests
		}
	}
	return nil
}

func (e Evidence) has(end End, f Fingerprint) bool { return slices.Contains(e.lostWith(end), f) }
