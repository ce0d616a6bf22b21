// Package soak runs the programs of the users' platform as real processes against
// stand-ins, injects random faults, and checks the guarantees against what callers
// and targets observed.
package soak

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

// Guarantee names one guarantee of the system.
type Guarantee string

// Guarantees that a run checks.
const (
	GuaranteeCompleteAnswer Guarantee = "whole-answer"         // a successful response is the target's complete response to this request
	GuaranteeAtMostOnce     Guarantee = "at-most-once"         // a non-idempotent request runs at most once
	GuaranteeNotRun         Guarantee = "not-run-is-true"      // a refused request does not run
	GuaranteeAdapter        Guarantee = "named-adapter"        // a request runs on the adapter that it named
	GuaranteeVersion        Guarantee = "newest-version"       // a request does not run on a version replaced more than versionGrace ago
	GuaranteePinned         Guarantee = "pinned-adapter"       // an adapter in use is not unloaded
	GuaranteeAdapterSlots   Guarantee = "adapter-places"       // an engine is not ordered to hold more adapters than it has slots
	GuaranteeSoleHolder     Guarantee = "sole-holder"          // only one process sends orders to an engine
	GuaranteeDraining       Guarantee = "leaving-target"       // a draining target gets no new requests
	GuaranteeService        Guarantee = "routed-service"       // a request runs on a service of its route
	GuaranteePlannedStop    Guarantee = "planned-stop"         // a planned stop interrupts no request
	GuaranteeRecovery       Guarantee = "serves-after-fault"   // most requests are served once all faults have ended
	GuaranteeCrashes        Guarantee = "crashing-part"        // requests that end engines are stopped
	GuaranteeCrashBudget    Guarantee = "crashing-request"     // a request that ends targets reaches few more of them
	GuaranteeLimit          Guarantee = "stated-limit"         // a target gets no more requests than the rate limit that it states allows
	GuaranteeOneEngine      Guarantee = "one-engine-at-a-time" // a stream goes on at another engine only once the one before has ended it
	GuaranteeEngineMemory   Guarantee = "engine-memory"        // the requests at an engine stay within its memory
	GuaranteeMemory         Guarantee = "memory-limit"         // no process takes more memory than its VM has
	GuaranteeSoftware       Guarantee = "one-software-version" // a stream goes on at the software version that began it only
	GuaranteeRoutes         Guarantee = "configuration"        // all gateways serve a new route and keep serving it
)

// Violation is one violation of a guarantee.
type Violation struct {
	Guarantee Guarantee
	Attempt   ident.Attempt
	Detail    string
}

// Error describes the violation.
func (v Violation) Error() string { return fmt.Sprintf("%s: %s %s", v.Guarantee, v.Attempt, v.Detail) }

const (
	// versionGrace is how long the platform's rules let requests run on an older
	// version after a new one is announced. drainGrace is how long a target may
	// still get new requests after it announces that it is draining.
	versionGrace = 5 * time.Second
	drainGrace   = 2 * time.Second
	// endGrace is how long the platform's rules let an engine work on a request after it
	// has gone on at another one.
	endGrace = 400 * time.Millisecond
	// schedulingMargin allows for scheduling delays of real processes on a busy machine.
	schedulingMargin = time.Second
	// recoveryGrace is the time after the end of a fault until the timed guarantees
	// hold again.
	recoveryGrace = 3 * time.Second
)

// Request is a request that a caller sent.
type Request struct {
	Attempt    ident.Attempt
	Service    ident.Service
	Adapter    ident.Adapter
	Idempotent bool             // it may run more than once or be resumed
	Resumes    ident.Attempt    // that brought the first event of the stream that it takes up, if it does
	DeadlyPart ident.PromptPart // part of its prompt that ends engines, if any
	Deadly     deadlyName       // what ends the targets that run it, if it does
	At         time.Time
	// NeedsKey says that its route is not public. Key is the key that it carries, and
	// Account the client account that holds or held it; empty if none ever did.
	NeedsKey bool
	Key      string
	Account  ident.Account
	// Invalid says that the key is not held, so that the request is not to be served.
	Invalid bool
}

// Answer is the response that the caller received.
type Answer struct {
	Status       int  // 0 if the connection closed first
	Complete     bool // the whole body was received
	Correct      bool // it is the expected response to this request
	Events       int  // of a stream that were received whole
	Disconnected bool // the caller disconnected before the end
	At           time.Time
}

// faultInterval is the time during which a fault acts. to is zero until it ends.
type faultInterval struct {
	from, to time.Time
	isolates bool // processes may not run, or not reach targets
}

// run is a run of a request at a target. end is zero until it ends.
type run struct {
	standin.WorkerEvent
	end time.Time
}

// Oracle collects what callers and targets observe. It reads no clock: all times
// come with the events.
type Oracle struct {
	mu         sync.Mutex
	requests   map[ident.Attempt]Request
	answers    map[ident.Attempt]Answer
	runs       map[ident.Attempt][]*run
	holders    map[ident.Target]ident.VM
	versions   map[ident.Adapter][]announcement
	crashes    map[ident.PromptPart][]time.Time // ends of targets under each part, in order
	limited    map[statedLimit][]time.Time      // requests that reached targets with a limit, in order
	draining   map[ident.Target]time.Time
	quotas     quotaLedger
	keys       keyHistory
	faults     []*faultInterval
	violations []Violation
	cutUnread  int // responses that engines cut off because they stayed unread
	deadly     deadlyHistory
}

// statedLimit is a rate limit that a target has stated since a time.
type statedLimit struct {
	target    ident.Target
	perSecond float64
	since     time.Time
}

type announcement struct {
	version ident.Version
	at      time.Time
}

// NewOracle returns an oracle without events.
func NewOracle() *Oracle {
	return &Oracle{
		requests: make(map[ident.Attempt]Request), answers: make(map[ident.Attempt]Answer), runs: make(map[ident.Attempt][]*run),
		holders: make(map[ident.Target]ident.VM), versions: make(map[ident.Adapter][]announcement), draining: make(map[ident.Target]time.Time), crashes: make(map[ident.PromptPart][]time.Time),
		limited: make(map[statedLimit][]time.Time), keys: newKeyHistory(),
	}
}

// RecordRequest records a request before it is sent.
func (o *Oracle) RecordRequest(r Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[r.Attempt] = r
}

// RecordAnswer records the response to a request.
func (o *Oracle) RecordAnswer(attempt ident.Attempt, a Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers[attempt] = a
}

// RecordVersion records a new version of an adapter.
func (o *Oracle) RecordVersion(a ident.AdapterVersion, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions[a.Adapter] = append(o.versions[a.Adapter], announcement{a.Version, at})
}

// RecordDraining records that a target announced that it is draining.
func (o *Oracle) RecordDraining(t ident.Target, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining[t] = at
}

// RecordFault records the start of a fault and returns a function that records
// its end. isolates says that processes may not run, or not reach targets, meanwhile.
func (o *Oracle) RecordFault(at time.Time, isolates bool) (end func(time.Time)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := &faultInterval{from: at, isolates: isolates}
	o.faults = append(o.faults, f)
	return func(at time.Time) {
		o.mu.Lock()
		defer o.mu.Unlock()
		f.to = at
	}
}

// RecordViolation records a violation that was found outside the oracle.
func (o *Oracle) RecordViolation(v Violation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, v)
}

// RecordEvent records an event of a target.
func (o *Oracle) RecordEvent(e standin.WorkerEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if (e.Kind == standin.WorkerRan || e.Kind == standin.WorkerRejected) && e.Limit > 0 {
		l := statedLimit{e.Instance, e.Limit, e.LimitedSince}
		o.limited[l] = append(o.limited[l], e.At)
	}
	o.deadly.observe(o.requests[e.Attempt].Deadly, e)
	switch e.Kind {
	case standin.WorkerRan:
		o.runs[e.Attempt] = append(o.runs[e.Attempt], &run{WorkerEvent: e})
	case standin.WorkerEnded:
		for _, r := range o.runs[e.Attempt] {
			if r.Instance == e.Instance && r.end.IsZero() {
				r.end = e.At
			}
		}
	case standin.WorkerCrashed:
		part := o.requests[e.Attempt].DeadlyPart
		if part == "" {
			break
		}
		o.crashes[part] = append(o.crashes[part], e.At)
	case standin.WorkerOverfilled:
		o.violations = append(o.violations, Violation{GuaranteeEngineMemory, e.Attempt, fmt.Sprintf("%s ends at %s", e.Instance, e.At.Format(time.StampMilli))})
	case standin.WorkerCutUnread:
		o.cutUnread++
	case standin.WorkerOrderAccepted:
		if before, ordered := o.holders[e.Instance]; ordered && before != e.Holder {
			o.violations = append(o.violations, Violation{GuaranteeSoleHolder, "", fmt.Sprintf("%s ordered by %s and %s", e.Instance, before, e.Holder)})
		}
		o.holders[e.Instance] = e.Holder
	case standin.WorkerOvercommitted:
		o.violations = append(o.violations, Violation{GuaranteeAdapterSlots, "", fmt.Sprintf("%s ordered by %s to load %v at %s", e.Instance, e.Holder, e.Adapter, e.At.Format(time.StampMilli))})
	case standin.WorkerEvictedInUse:
		o.violations = append(o.violations, Violation{GuaranteePinned, "", fmt.Sprintf("%s ordered by %s to evict %v in use at %s", e.Instance, e.Holder, e.Adapter, e.At.Format(time.StampMilli))})
	}
}

// CutUnread returns the number of responses that engines cut off because they stayed
// unread.
func (o *Oracle) CutUnread() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cutUnread
}

// Check returns all violations. planned means that the run had only planned
// operations, which may not interrupt a request.
func (o *Oracle) Check(planned bool) []Violation {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := append([]Violation(nil), o.violations...)
	for attempt, runs := range o.runs {
		request, known := o.requests[attempt]
		if !known {
			out = append(out, Violation{GuaranteeCompleteAnswer, attempt, "ran, but no caller sent it"})
			continue
		}
		out = append(out, o.checkRuns(request, runs)...)
		out = append(out, o.keys.checkRuns(request, runs)...)
	}
	for part, crashes := range o.crashes {
		out = append(out, checkCrashes(part, crashes)...)
	}
	out = append(out, o.checkQuotas()...)
	out = append(out, o.checkDeadly()...)
	for l, arrivals := range o.limited {
		out = append(out, checkLimit(l, arrivals)...)
	}
	for attempt, a := range o.answers {
		out = append(out, o.checkAnswer(o.requests[attempt], a, planned)...)
		out = append(out, o.checkRefusedKey(o.requests[attempt], a)...)
	}
	return out
}

// limitWindow is the time over which the platform's rules count the requests to a target
// with a rate limit. They allow limitFactor times what it allows, and limitSlack.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

func checkLimit(l statedLimit, arrivals []time.Time) []Violation {
	allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
	first := sort.Search(len(arrivals), func(i int) bool { return arrivals[i].Sub(l.since) >= recoveryGrace+schedulingMargin })
	for i := first; i < len(arrivals); i++ {
		for arrivals[i].Sub(arrivals[first]) >= limitWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			return []Violation{{GuaranteeLimit, "", fmt.Sprintf("%s got %d requests in %s at %.1f a second", l.target, n, limitWindow, l.perSecond)}}
		}
	}
	return nil
}

func (o *Oracle) checkRuns(r Request, runs []*run) []Violation {
	out := append(o.checkOverlaps(r, runs), o.checkSoftware(r, runs)...)
	if !r.Idempotent && len(runs) > 1 {
		out = append(out, Violation{GuaranteeAtMostOnce, r.Attempt, fmt.Sprintf("ran %d times", len(runs))})
	}
	for _, e := range runs {
		if e.Service != r.Service {
			out = append(out, Violation{GuaranteeService, r.Attempt, fmt.Sprintf("ran on %s, not %s", e.Service, r.Service)})
		}
		if e.Adapter.Adapter != r.Adapter {
			out = append(out, Violation{GuaranteeAdapter, r.Attempt, fmt.Sprintf("ran on %v, not %s", e.Adapter, r.Adapter)})
		}
		for _, a := range o.versions[r.Adapter] {
			if e.Adapter.Version < a.version && e.At.Sub(a.at) > versionGrace+schedulingMargin && o.faultFree(a.at, e.At) {
				out = append(out, Violation{GuaranteeVersion, r.Attempt, fmt.Sprintf("ran on %v %s after version %d was announced", e.Adapter, e.At.Sub(a.at), a.version)})
			}
		}
		if since, draining := o.draining[e.Instance]; draining && e.At.Sub(since) > drainGrace+schedulingMargin && o.faultFree(since, e.At) {
			out = append(out, Violation{GuaranteeDraining, r.Attempt, fmt.Sprintf("ran on %s %s after it announced that it is draining", e.Instance, e.At.Sub(since))})
		}
	}
	return out
}

// checkSoftware checks that a stream goes on only at the software that began it, over the
// attempts of its caller too.
func (o *Oracle) checkSoftware(r Request, runs []*run) []Violation {
	begun := ident.Software("")
	for _, e := range o.runs[r.Resumes] {
		if !e.Resumed {
			begun = e.Software
		}
	}
	var out []Violation
	for _, e := range runs {
		switch {
		case !e.Resumed:
			begun = e.Software
		case e.Software != begun:
			out = append(out, Violation{GuaranteeSoftware, r.Attempt, fmt.Sprintf("begun by %s, goes on at %s, which runs %s", begun, e.Instance, e.Software)})
		}
	}
	return out
}

// checkOverlaps checks that an engine has ended a stream when it goes on at another one.
func (o *Oracle) checkOverlaps(r Request, runs []*run) []Violation {
	if r.Adapter == "" {
		return nil // a plain request
	}
	var out []Violation
	for i := 1; i < len(runs); i++ {
		before, next := runs[i-1], runs[i]
		late := next.At.Add(endGrace + schedulingMargin)
		if (before.end.IsZero() || before.end.After(late)) && !o.isolated(next.At, late) {
			out = append(out, Violation{GuaranteeOneEngine, r.Attempt, fmt.Sprintf("ran at %s from %s until %s, and at %s from %s on", before.Instance, before.At.Format(time.StampMilli), before.end.Format(time.StampMilli), next.Instance, next.At.Format(time.StampMilli))})
		}
	}
	return out
}

func (o *Oracle) checkAnswer(r Request, a Answer, planned bool) []Violation {
	runs := o.runs[r.Attempt]
	var out []Violation
	success := a.Status >= 200 && a.Status < 300
	if success && a.Complete && !a.Correct {
		out = append(out, Violation{GuaranteeCompleteAnswer, r.Attempt, "unexpected body or signature"})
	}
	if success && len(runs) == 0 {
		out = append(out, Violation{GuaranteeCompleteAnswer, r.Attempt, "success response, but no target ran it"})
	}
	if (a.Status == 429 || a.Status == 503) && !r.Idempotent && len(runs) > 0 {
		out = append(out, Violation{GuaranteeNotRun, r.Attempt, fmt.Sprintf("status %d", a.Status)})
	}
	if planned && !a.Disconnected && !a.Complete && len(runs) > 0 {
		out = append(out, Violation{GuaranteePlannedStop, r.Attempt, fmt.Sprintf("response incomplete, status %d", a.Status)})
	}
	return out
}

// faultFree reports whether no fault acted from recoveryGrace before the first time
// until the second.
func (o *Oracle) faultFree(from, to time.Time) bool {
	for _, f := range o.faults {
		if f.from.Before(to) && (f.to.IsZero() || f.to.Add(recoveryGrace).After(from)) {
			return false
		}
	}
	return true
}

// isolated reports whether a fault that keeps processes from targets acted between two
// times, or until recoveryGrace before.
func (o *Oracle) isolated(from, to time.Time) bool {
	for _, f := range o.faults {
		if f.isolates && f.from.Before(to) && (f.to.IsZero() || f.to.Add(recoveryGrace).After(from)) {
			return true
		}
	}
	return false
}
