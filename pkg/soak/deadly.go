package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

// deadlyName is the path of a request that comes again under new IDs and ends the targets that
// run it.
type deadlyName string

// errDeadlySent means that clients send another deadly request.
const errDeadlySent = errors.ConstError("another deadly request is sent")

// sendDeadly makes clients send one request, by one of the routes, that ends each target that
// runs it.
func sendDeadly(prefixes ...string) func(*deployment, *rand.Rand) (func() error, error) {
	return func(d *deployment, random *rand.Rand) (func() error, error) {
		prefix := prefixes[random.IntN(len(prefixes))]
		r := clientRequest{method: http.MethodPost, path: fmt.Sprintf("%s%s%x/", prefix, standin.DeadlyPath[1:], random.Uint32()), timeout: plainTimeout}
		r.Service, r.Idempotent, r.Deadly = deskService, prefix == lookPrefix || prefix == draftPrefix, deadlyName(r.path)
		if r.stream = prefix == draftPrefix || prefix == notePrefix; r.stream {
			r.Service, r.Adapter, r.timeout = draftService, randomAdapter(random), streamTimeout
			r.statedTokens, r.promptTokens = streamLength, shortPrompt
		}
		d.accounts.signProbe(&r.Request)
		if !d.deadly.CompareAndSwap(nil, &r) {
			return nil, errDeadlySent
		}
		return func() error { d.deadly.Store(nil); return nil }, nil
	}
}

// refuseLateTwice makes all targets refuse requests, and send many refusals once more into the
// next request on the connection.
func refuseLateTwice(d *deployment, _ *rand.Rand) (func() error, error) {
	set := func(f standin.WorkerFaults) {
		for _, t := range d.targets {
			t.SetFaults(f)
		}
	}
	set(standin.WorkerFaults{ShedShare: 0.6, RefusalCopyShare: 0.8})
	return func() error { set(standin.WorkerFaults{}); return nil }, nil
}

// cutsStore reports whether processes may not reach the store while the fault acts.
func (f fault) cutsStore() bool {
	return slices.Contains([]FaultKind{"store-down", "store-link-silent", "store-link-cut"}, f.kind)
}

// deadlyRuns is what targets saw of one deadly request.
type deadlyRuns struct {
	ends     []time.Time
	ended    []ident.Target
	arrivals []time.Time
}

// deadlyHistory is what targets saw of deadly requests.
type deadlyHistory struct {
	requests map[deadlyName]*deadlyRuns
	// cuts are the times at which processes may not have reached the store.
	cuts []*faultInterval
}

// observe records an event of a target under a deadly request. Other names are empty.
func (h *deadlyHistory) observe(name deadlyName, e standin.WorkerEvent) {
	if name == "" {
		return
	}
	if h.requests == nil {
		h.requests = make(map[deadlyName]*deadlyRuns)
	}
	if h.requests[name] == nil {
		h.requests[name] = &deadlyRuns{}
	}
	runs := h.requests[name]
	switch {
	case e.Kind == standin.WorkerRan || e.Kind == standin.WorkerRejected:
		runs.arrivals = append(runs.arrivals, e.At)
	case e.Kind == standin.WorkerCrashed && !slices.Contains(runs.ended, e.Instance):
		runs.ends, runs.ended = append(runs.ends, e.At), append(runs.ended, e.Instance)
	}
}

// recordCut records the start of a fault that may cut processes off from the store, and
// returns a function that records its end.
func (o *Oracle) recordCut(at time.Time, cuts bool) (end func(time.Time)) {
	if !cuts {
		return func(time.Time) {}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	f := &faultInterval{from: at}
	o.deadly.cuts = append(o.deadly.cuts, f)
	return func(at time.Time) {
		o.mu.Lock()
		defer o.mu.Unlock()
		f.to = at
	}
}

const (
	// bannedAfter is the number of ends of targets under a request after which it has to be
	// refused, within recoveryGrace, by the processes that reach the store.
	bannedAfter = 3
	// maxLaterArrivals is how many more sends of it may reach targets then.
	maxLaterArrivals = 3
)

// checkDeadly checks that deadly requests are refused. The caller holds mu.
func (o *Oracle) checkDeadly() (out []Violation) {
	for name, runs := range o.deadly.requests {
		later := 0
		for _, at := range runs.arrivals {
			since := o.inTouchSince(at)
			ends := slices.DeleteFunc(slices.Clone(runs.ends), func(end time.Time) bool { return end.Before(since) || end.After(at) })
			if len(ends) >= bannedAfter && at.Sub(ends[bannedAfter-1]) > recoveryGrace+schedulingMargin {
				later++
			}
		}
		if later > maxLaterArrivals {
			out = append(out, Violation{GuaranteeCrashBudget, "", fmt.Sprintf("%s reached targets %d times later than %s after the third end; %d ended", name, later, recoveryGrace, len(runs.ends))})
		}
	}
	return out
}

// inTouchSince returns the time since which, until another time, all processes ran and reached
// the store and the targets. The caller holds mu.
func (o *Oracle) inTouchSince(until time.Time) (since time.Time) {
	for _, f := range slices.Concat(o.faults, o.deadly.cuts) {
		switch {
		case !f.isolates && !slices.Contains(o.deadly.cuts, f), f.from.After(until):
		case f.to.IsZero() || f.to.Add(recoveryGrace).After(until):
			return until
		case f.to.Add(recoveryGrace).After(since):
			since = f.to.Add(recoveryGrace)
		}
	}
	return since
}

const (
	// evidentCrashes is the number of ends of targets under one part after which
	// requests with it have to be stopped, within recoveryGrace.
	evidentCrashes = 5
	// maxLaterCrashes is how many more may come then.
	maxLaterCrashes = 3
)

func checkCrashes(part ident.PromptPart, crashes []time.Time) []Violation {
	if len(crashes) < evidentCrashes {
		return nil
	}
	later := 0
	for _, at := range crashes {
		if at.Sub(crashes[evidentCrashes-1]) > recoveryGrace+schedulingMargin {
			later++
		}
	}
	if later <= maxLaterCrashes {
		return nil
	}
	return []Violation{{GuaranteeCrashes, "", fmt.Sprintf("%d requests with part %s came later than %s after the %dth crash", later, part, recoveryGrace, evidentCrashes)}}
}
