// Package soak runs the users' platform's programs as real processes against
// stand-ins under random faults, and checks from what callers and targets saw
// that the promises hold.
package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

// Promise names one promise of the system.
type Promise string

// The promises that a run checks.
const (
	PromiseWhole      Promise = "whole-answer"       // a success is the target's whole answer to this request
	PromiseOnce       Promise = "at-most-once"       // a request that is not idempotent runs once
	PromiseNotRun     Promise = "not-run-is-true"    // a refused request does not run
	PromiseAdapter    Promise = "named-adapter"      // a request runs on the adapter that it named
	PromiseVersion    Promise = "newest-version"     // not on one that was replaced a while ago
	PromisePinned     Promise = "pinned-adapter"     // an adapter in use is not unloaded
	PromisePlaces     Promise = "adapter-places"     // an engine is not overfilled
	PromiseHolder     Promise = "sole-holder"        // one process orders an engine
	PromiseLeaving    Promise = "leaving-target"     // it gets no new work
	PromiseService    Promise = "routed-service"     // a request runs on a service of its route
	PromisePlanned    Promise = "planned-stop"       // it cuts nothing
	PromiseRecovers   Promise = "serves-after-fault" // most requests are served once all faults have ended
	PromiseRouteAdded Promise = "configuration"      // a new route is served by all entries, and stays
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	Attempt ident.Attempt
	Detail  string
}

// Error describes the violation.
func (v Violation) Error() string { return fmt.Sprintf("%s: %s %s", v.Promise, v.Attempt, v.Detail) }

const (
	// versionTime is how long after its announcement an older version may still be
	// run, by the platform's rules; targetLeaves the same for a leaving target.
	versionTime  = 5 * time.Second
	targetLeaves = 2 * time.Second
	// clockMargin allows for the scheduling of real processes on a busy machine.
	clockMargin = time.Second
	// settleTime is how long after a fault the timed promises hold again.
	settleTime = 3 * time.Second
)

// Request is what a caller asked.
type Request struct {
	Attempt    ident.Attempt
	Service    ident.Service
	Adapter    ident.Adapter
	Idempotent bool // it may run again, or be resumed
	At         time.Time
}

// Answer is what the caller got.
type Answer struct {
	Status int  // 0 if the connection ended first
	Whole  bool // the body ended as it should
	Right  bool // it is the whole answer to this request
	Left   bool // the caller left early
	At     time.Time
}

// span is a time of disturbance; its end is zero while it lasts.
type span struct{ from, to time.Time }

// Oracle collects what callers and targets see. It holds no time of its own.
type Oracle struct {
	mu        sync.Mutex
	requests  map[ident.Attempt]Request
	answers   map[ident.Attempt]Answer
	runs      map[ident.Attempt][]standin.WorkerEvent
	holders   map[ident.Target]ident.VM
	announced map[ident.Adapter][]announcement
	leaving   map[ident.Target]time.Time
	faults    []*span
	found     []Violation
}

type announcement struct {
	version ident.Version
	at      time.Time
}

// NewOracle returns an oracle that has seen nothing.
func NewOracle() *Oracle {
	return &Oracle{
		requests: make(map[ident.Attempt]Request), answers: make(map[ident.Attempt]Answer), runs: make(map[ident.Attempt][]standin.WorkerEvent),
		holders: make(map[ident.Target]ident.VM), announced: make(map[ident.Adapter][]announcement), leaving: make(map[ident.Target]time.Time),
	}
}

// Asked records a request before it is sent.
func (o *Oracle) Asked(r Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[r.Attempt] = r
}

// Answered records a request's answer.
func (o *Oracle) Answered(attempt ident.Attempt, a Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers[attempt] = a
}

// Announced records a new version of an adapter.
func (o *Oracle) Announced(a ident.AdapterVersion, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.announced[a.Adapter] = append(o.announced[a.Adapter], announcement{a.Version, at})
}

// Leaves records that a target announced its end.
func (o *Oracle) Leaves(t ident.Target, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving[t] = at
}

// Fault records the begin of a fault and returns what records its end.
func (o *Oracle) Fault(at time.Time) (end func(time.Time)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := &span{from: at}
	o.faults = append(o.faults, s)
	return func(at time.Time) {
		o.mu.Lock()
		defer o.mu.Unlock()
		s.to = at
	}
}

// Broken records a violation that another part has found.
func (o *Oracle) Broken(v Violation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.found = append(o.found, v)
}

// Saw records what a target did.
func (o *Oracle) Saw(e standin.WorkerEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch e.Kind {
	case standin.WorkerRan:
		o.runs[e.Attempt] = append(o.runs[e.Attempt], e)
	case standin.WorkerOrdered:
		if before, ordered := o.holders[e.Instance]; ordered && before != e.Holder {
			o.found = append(o.found, Violation{PromiseHolder, "", fmt.Sprintf("%s ordered by %s and %s", e.Instance, before, e.Holder)})
		}
		o.holders[e.Instance] = e.Holder
	case standin.WorkerOverfilled:
		o.found = append(o.found, Violation{PromisePlaces, "", fmt.Sprintf("%s ordered by %s to load %v at %s", e.Instance, e.Holder, e.Adapter, e.At.Format(time.StampMilli))})
	case standin.WorkerEvicted:
		o.found = append(o.found, Violation{PromisePinned, "", fmt.Sprintf("%s ordered by %s to give up %v at %s", e.Instance, e.Holder, e.Adapter, e.At.Format(time.StampMilli))})
	}
}

// Check returns all violations. In a planned run nothing but planned work
// happened.
func (o *Oracle) Check(planned bool) []Violation {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := append([]Violation(nil), o.found...)
	for attempt, runs := range o.runs {
		request, known := o.requests[attempt]
		if !known {
			out = append(out, Violation{PromiseWhole, attempt, "no caller sent it"})
			continue
		}
		out = append(out, o.checkRuns(request, runs)...)
	}
	for attempt, a := range o.answers {
		out = append(out, o.checkAnswer(o.requests[attempt], a, planned)...)
	}
	return out
}

func (o *Oracle) checkRuns(r Request, runs []standin.WorkerEvent) []Violation {
	var out []Violation
	if !r.Idempotent && len(runs) > 1 {
		out = append(out, Violation{PromiseOnce, r.Attempt, fmt.Sprintf("ran %d times", len(runs))})
	}
	for _, e := range runs {
		if e.Service != r.Service {
			out = append(out, Violation{PromiseService, r.Attempt, fmt.Sprintf("ran on %s, not %s", e.Service, r.Service)})
		}
		if e.Adapter.Adapter != r.Adapter {
			out = append(out, Violation{PromiseAdapter, r.Attempt, fmt.Sprintf("ran on %v, not %s", e.Adapter, r.Adapter)})
		}
		for _, a := range o.announced[r.Adapter] {
			if e.Adapter.Version < a.version && e.At.Sub(a.at) > versionTime+clockMargin && o.calm(a.at, e.At) {
				out = append(out, Violation{PromiseVersion, r.Attempt, fmt.Sprintf("ran on %v %s after version %d", e.Adapter, e.At.Sub(a.at), a.version)})
			}
		}
		if left, leaves := o.leaving[e.Instance]; leaves && e.At.Sub(left) > targetLeaves+clockMargin && o.calm(left, e.At) {
			out = append(out, Violation{PromiseLeaving, r.Attempt, fmt.Sprintf("ran on %s %s after it announced its end", e.Instance, e.At.Sub(left))})
		}
	}
	return out
}

func (o *Oracle) checkAnswer(r Request, a Answer, planned bool) []Violation {
	runs := o.runs[r.Attempt]
	var out []Violation
	success := a.Status >= 200 && a.Status < 300
	if success && a.Whole && !a.Right {
		out = append(out, Violation{PromiseWhole, r.Attempt, "another body or signature"})
	}
	if success && len(runs) == 0 {
		out = append(out, Violation{PromiseWhole, r.Attempt, "a success that no target made"})
	}
	if (a.Status == 429 || a.Status == 503) && !r.Idempotent && len(runs) > 0 {
		out = append(out, Violation{PromiseNotRun, r.Attempt, fmt.Sprintf("status %d", a.Status)})
	}
	if planned && !a.Left && !a.Whole && len(runs) > 0 {
		out = append(out, Violation{PromisePlanned, r.Attempt, fmt.Sprintf("cut, status %d", a.Status)})
	}
	return out
}

// calm reports whether no fault struck from settleTime before the first time to
// the second.
func (o *Oracle) calm(from, to time.Time) bool {
	for _, f := range o.faults {
		if f.from.Before(to) && (f.to.IsZero() || f.to.Add(settleTime).After(from)) {
			return false
		}
	}
	return true
}

// Served returns the requests sent between two times, and those of them that got
// their whole answer. Callers that left early don't count.
func (o *Oracle) Served(from, to time.Time) (asked, served int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for attempt, r := range o.requests {
		a, answered := o.answers[attempt]
		if r.At.Before(from) || !r.At.Before(to) || answered && a.Left {
			continue
		}
		asked++
		if a.Status == 200 && a.Right {
			served++
		}
	}
	return asked, served
}
