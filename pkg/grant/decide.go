package grant

import (
	"slices"
	"sort"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	// readWindow is how much reading an engine is given ahead. More would only
	// wait in its queue, where it cannot be reordered or sent elsewhere; less
	// would let the engine fall idle between two reports of a first event.
	readWindow = 400 * time.Millisecond
	// elsewhereAfter is the forecast wait above which another engine is asked:
	// somewhat more than bringing the adapter there.
	elsewhereAfter = 400 * time.Millisecond
	// replicaAfter is the same where the other engine holds the adapter already:
	// a popular adapter's requests would otherwise all wait at its first home.
	replicaAfter = 100 * time.Millisecond
	// memoryShare is the part of an engine's memory that granted requests may
	// need at most. Requests share prompts and end early, so that their sum
	// overstates what they need.
	memoryShare = 1.1
)

// Reply answers one want.
type Reply struct {
	ID WantID
	wire.GrantReply
}

// Order is one order to the engine.
type Order struct {
	Unload   bool
	Weights  ident.Weights
	Sequence uint64 // the orders that the engine must have accepted before
	Instance ident.Target
	// Displaces says that an adapter makes way. It is given only after Displace has
	// seen the requests that run at the engine.
	Displaces bool
}

// queue is what goes before a want.
type queue struct {
	wants   int
	prompts int                    // tokens
	loads   map[ident.Weights]bool // to begin, from the store
}

// Answer decides the wants that can be answered now.
func (b *Book) Answer(now time.Time) []Reply {
	b.sort(now)
	var replies []Reply
	var kept []*Want
	ahead := queue{loads: make(map[ident.Weights]bool)}
	for _, w := range b.waiting {
		reply, done := b.answer(w, ahead, now)
		if done {
			replies = append(replies, Reply{ID: w.ID, GrantReply: reply})
			continue
		}
		kept = append(kept, w)
		ahead.wants++
		if _, ready := b.ready(w); ready {
			ahead.prompts += w.PromptTokens
		} else if !b.hasCopy(w.weights()) && !b.replacing(w.weights()) {
			ahead.loads[w.weights()] = true
		}
	}
	b.waiting = kept
	return replies
}

// sort orders the wants: first those that can still meet their objective, then
// by urgency, then by the number of requests that wait for the same weights, then
// by age. A load that would come too late for the objective would only make the
// next one late as well.
func (b *Book) sort(now time.Time) {
	late := make(map[WantID]bool, len(b.waiting))
	sharers := make(map[ident.Weights]int)
	for _, w := range b.waiting {
		needs := b.readTime(w.PromptTokens)
		if _, ready := b.ready(w); !ready {
			needs += b.loadWait(w.weights(), 0, now)
		}
		late[w.ID] = w.objective(now) < needs
		if !late[w.ID] {
			sharers[w.weights()]++
		}
	}
	sort.SliceStable(b.waiting, func(i, j int) bool {
		x, y := b.waiting[i], b.waiting[j]
		if late[x.ID] != late[y.ID] {
			return late[y.ID]
		}
		if x.Rank != y.Rank {
			return x.Rank < y.Rank
		}
		if m, n := sharers[x.weights()], sharers[y.weights()]; m != n {
			return m > n
		}
		return x.Asked.Before(y.Asked)
	})
}

func (b *Book) answer(w *Want, ahead queue, now time.Time) (wire.GrantReply, bool) {
	if !b.up {
		return wire.GrantReply{Code: wire.GrantUnable, Reason: wire.ReasonEngineDown}, true
	}
	if b.instance == "" {
		return wire.GrantReply{Code: wire.GrantBusy}, now.After(w.expires())
	}
	version, ready := b.ready(w)
	if ready && ahead.prompts == 0 && !b.yields(w, ahead) && b.fits(w) {
		b.grant(w, now)
		return wire.GrantReply{Code: wire.GrantGiven, Version: version, Instance: b.instance}, true
	}
	f := b.forecast(w, ahead, now)
	if f.elsewhere && w.MayGoElsewhere || now.Add(f.wait).After(w.expires()) {
		return wire.GrantReply{Code: wire.GrantBusy, Reason: f.reason, WaitMS: f.wait.Milliseconds()}, true
	}
	return wire.GrantReply{}, false
}

// forecast is how long a want would wait, for what, and whether another engine
// is worth asking.
type forecast struct {
	wait      time.Duration
	reason    wire.GrantReason
	elsewhere bool
}

func (b *Book) forecast(w *Want, ahead queue, now time.Time) forecast {
	var f forecast
	f.wait, f.reason = b.computeWait(w, ahead)
	f.elsewhere = f.wait > elsewhereAfter
	if b.yields(w, ahead) {
		// Between two engines that hold the adapter, the backlog decides.
		f.elsewhere = true
		f.wait = max(f.wait, b.readTime(b.unstarted+ahead.prompts))
	}
	if _, ready := b.ready(w); ready {
		return f
	}
	arrival, why := b.arrival(w, len(ahead.loads), now)
	f.elsewhere = f.elsewhere || why != wire.ReasonLoading || b.loadsElsewhere(w, arrival, now)
	if arrival >= f.wait {
		f.wait, f.reason = arrival, why
	}
	return f
}

// yields reports whether a want should rather go to the other engine that holds
// its adapter.
func (b *Book) yields(w *Want, ahead queue) bool {
	return w.Replicated && w.MayGoElsewhere && b.readTime(b.unstarted+ahead.prompts) > replicaAfter
}

// loadsElsewhere reports whether another engine should bring the adapter, or
// serve the want with the copy that it has: while the store is congested a
// second load only delays all others.
func (b *Book) loadsElsewhere(w *Want, arrival time.Duration, now time.Time) bool {
	if !b.congested() {
		return arrival > w.objective(now)
	}
	return w.Spare && !b.replacing(w.weights()) && !b.hasCopy(w.weights())
}

// ready returns the version that the engine holds, if it is the wanted one or a
// newer one.
func (b *Book) ready(w *Want) (ident.Version, bool) {
	if !b.serves(w.Model) {
		return 0, false
	}
	if w.Adapter.IsZero() {
		return 0, true
	}
	a := b.held[w.weights().Unversioned()]
	if a == nil || a.version < w.Adapter.Version || b.replacing(w.weights()) {
		return 0, false
	}
	return a.version, true
}

// serves reports whether requests for the model may run: an engine that changes to
// another model finishes those of before only.
func (b *Book) serves(m ident.Model) bool { return b.models[m] && (b.to == "" || b.to == m) }

// replacing reports whether a version of the adapter is on its way.
func (b *Book) replacing(w ident.Weights) bool {
	_, flies := b.flying[w.Unversioned()]
	return flies
}

func (b *Book) fits(w *Want) bool {
	if len(b.running) == 0 {
		return true
	}
	return !b.crowded(w) && (b.unstarted == 0 || b.readTime(b.unstarted+w.PromptTokens) <= readWindow)
}

// crowded reports whether the engine's places or memory are taken.
func (b *Book) crowded(w *Want) bool {
	return b.setup.Slots > 0 && len(b.running) >= b.setup.Slots ||
		b.setup.KVTokens > 0 && float64(b.tokens+w.tokens()) > memoryShare*float64(b.setup.KVTokens)
}

func (b *Book) grant(w *Want, now time.Time) {
	b.served = b.served.plus(now)
	b.unstarted += w.PromptTokens
	b.tokens += w.tokens()
	b.running[w.ID] = &running{Want: w, granted: now, backlog: b.unstarted}
	if a := b.held[w.weights().Unversioned()]; a != nil {
		a.uses++
	}
}

// computeWait estimates how long the engine's work will keep the want waiting.
func (b *Book) computeWait(w *Want, ahead queue) (time.Duration, wire.GrantReason) {
	wait := max(b.readTime(b.unstarted+ahead.prompts+w.PromptTokens)-readWindow, 0)
	if !b.crowded(w) {
		return wait, wire.ReasonReading
	}
	// One of the running requests ends every runTime/running.
	return wait + b.runTime*time.Duration(ahead.wants+1)/time.Duration(max(len(b.running), 1)), wire.ReasonPlaces
}

// arrival estimates how long the want's weights will take, with so many loads to
// begin first. Unless they are being loaded, that depends on requests that run.
func (b *Book) arrival(w *Want, ahead int, now time.Time) (time.Duration, wire.GrantReason) {
	held := b.held[w.weights().Unversioned()]
	switch {
	case !b.serves(w.Model):
		return b.modelWait(w.Model, now), wire.ReasonModelAbsent
	case held != nil && b.inUse(held):
		return b.runTime, wire.ReasonOldVersion
	case held == nil && !b.replacing(w.weights()) && b.full() && b.victim().IsZero():
		return b.runTime, wire.ReasonAdaptersUsed
	}
	return b.loadWait(w.weights(), ahead, now), wire.ReasonLoading
}

// modelWait estimates when a base model that is absent will be there.
func (b *Book) modelWait(name ident.Model, now time.Time) time.Duration {
	m, ok := b.model(name)
	if !ok {
		return b.runTime
	}
	wait := time.Duration(m.LoadMS) * time.Millisecond
	switch {
	case slices.Contains(b.inMemory, name):
		wait = time.Duration(m.WarmMS) * time.Millisecond
	case slices.Contains(b.onDisk, name):
		wait = time.Duration(m.DiskMS) * time.Millisecond
	}
	if b.busy {
		// Several loads at once take longer; one that is overdue ends soon.
		wait = max(wait-now.Sub(b.busySince), wait/4)
	}
	return wait
}
