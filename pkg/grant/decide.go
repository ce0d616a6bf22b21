package grant

import (
	"sort"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	// maxFlying is the number of adapters that may be on their way to an engine,
	// by the platform's protocol.
	maxFlying = 4
	// readWindow is how much reading an engine is given ahead. More would only
	// wait in its queue, where it cannot be reordered or sent elsewhere; less
	// would let the engine fall idle between two reports of a first event.
	readWindow = 400 * time.Millisecond
	// elsewhereAfter is the forecast wait above which another engine is asked:
	// somewhat more than bringing the adapter there.
	elsewhereAfter = 400 * time.Millisecond
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
}

// Answer decides the wants that can be answered now.
func (b *Book) Answer(now time.Time) []Reply {
	sort.SliceStable(b.waiting, func(i, j int) bool { return before(b.waiting[i], b.waiting[j], now) })
	var replies []Reply
	var kept []*Want
	ahead := 0 // prompt tokens of those that go first
	for _, w := range b.waiting {
		reply, done := b.answer(w, ahead, now)
		if !done {
			kept = append(kept, w)
			ahead += w.PromptTokens
			continue
		}
		replies = append(replies, Reply{ID: w.ID, GrantReply: reply})
	}
	b.waiting = kept
	return replies
}

// before orders wants: first those that can still meet their objective, then
// by urgency, then by age.
func before(a, b *Want, now time.Time) bool {
	if la, lb := a.late(now), b.late(now); la != lb {
		return lb
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.Asked.Before(b.Asked)
}

func (b *Book) answer(w *Want, ahead int, now time.Time) (wire.GrantReply, bool) {
	if !b.up || w.Instance != "" && b.setup.Instance != "" && w.Instance != b.setup.Instance {
		return wire.GrantReply{Code: wire.GrantUnable}, true
	}
	version, ready := b.ready(w)
	if ready && ahead == 0 && b.fits(w) {
		b.grant(w, now)
		return wire.GrantReply{Code: wire.GrantGiven, Version: version}, true
	}
	wait := b.forecast(w, ahead, ready)
	if wait > elsewhereAfter && w.MayGoElsewhere || now.Add(wait).After(w.expires()) {
		return wire.GrantReply{Code: wire.GrantBusy, WaitMS: wait.Milliseconds()}, true
	}
	return wire.GrantReply{}, false
}

// ready returns the version that the engine holds, if it is the wanted one or a
// newer one.
func (b *Book) ready(w *Want) (ident.Version, bool) {
	if !b.models[w.Model] {
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

// replacing reports whether another version of the adapter is on its way.
func (b *Book) replacing(w ident.Weights) bool {
	for f := range b.flying {
		if f.Unversioned() == w.Unversioned() {
			return true
		}
	}
	return false
}

func (b *Book) fits(w *Want) bool {
	if len(b.running) == 0 {
		return true
	}
	if b.setup.Slots > 0 && len(b.running) >= b.setup.Slots {
		return false
	}
	if b.setup.KVTokens > 0 && float64(b.tokens+w.tokens()) > memoryShare*float64(b.setup.KVTokens) {
		return false
	}
	return b.unstarted == 0 || b.readTime(b.unstarted+w.PromptTokens) <= readWindow
}

func (b *Book) grant(w *Want, now time.Time) {
	b.unstarted += w.PromptTokens
	b.tokens += w.tokens()
	b.running[w.ID] = &running{Want: w, granted: now, backlog: b.unstarted}
	if a := b.held[w.weights().Unversioned()]; a != nil {
		a.uses++
	}
}

// forecast estimates how long the want will wait for its grant.
func (b *Book) forecast(w *Want, ahead int, ready bool) time.Duration {
	wait := b.readTime(b.unstarted+ahead+w.PromptTokens) - readWindow
	if b.setup.Slots > 0 && len(b.running) >= b.setup.Slots ||
		b.setup.KVTokens > 0 && float64(b.tokens+w.tokens()) > memoryShare*float64(b.setup.KVTokens) {
		// One of the running requests ends every runTime/running.
		wait += b.runTime * time.Duration(len(b.waiting)+1) / time.Duration(max(len(b.running), 1))
	}
	if !ready {
		wait = max(wait, b.arrival(w))
	}
	return max(wait, 0)
}

// arrival estimates how long the want's weights will take.
func (b *Book) arrival(w *Want) time.Duration {
	if !b.models[w.Model] {
		return b.runTime
	}
	if b.replacing(w.weights()) {
		return b.loadTime
	}
	if a := b.held[w.weights().Unversioned()]; a != nil {
		return b.runTime // an older version in use
	}
	if len(b.flying) >= maxFlying {
		return 2 * b.loadTime
	}
	if b.full() && b.victim().IsZero() {
		return b.runTime
	}
	return b.loadTime
}
