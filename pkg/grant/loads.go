package grant

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// loads is what bringing adapters to the engine takes. The weight store serves
// all engines: beyond a number of loads at once each takes longer in proportion,
// so that more at once gain nothing and delay the first. No engine knows what
// the others load; each goes by the times that it sees.
type loads struct {
	flying map[ident.Weights]flight        // adapters ordered and not yet held, by unversioned weights
	known  map[ident.Weights]ident.Version // of the copy that the engine may still have, by unversioned weights
	cold   time.Duration                   // mean time of a load from the store
	warm   time.Duration                   // mean time of a load from the engine's own copy
	best   time.Duration                   // the shortest recent load from the store; 0 before the first
	// atOnce is the mean number of loads from the store that this engine may have
	// under way. Below one it pauses between two loads.
	atOnce float64
	pause  time.Time // until when no load from the store begins
}

// flight is an adapter on its way.
type flight struct {
	version ident.Version // 0 for the newest
	since   time.Time
	warm    bool // from the engine's own copy
}

const (
	// maxFlying is the number of adapters that may be on their way to an engine,
	// by the platform's protocol.
	maxFlying = 4
	// What is assumed before any load was seen.
	firstColdLoad = 250 * time.Millisecond
	firstWarmLoad = 25 * time.Millisecond
	// A load that takes up to quickLoad times the shortest one shows that the
	// store has room, one above slowLoad that it is shared too widely.
	quickLoad = 1.25
	slowLoad  = 1.5
	// Additive increase, multiplicative decrease.
	firstAtOnce = 1.0
	leastAtOnce = 0.2
	atOnceStep  = 0.25
	atOnceCut   = 0.75
	// roomyAtOnce is what an engine has when the store is not shared too widely.
	roomyAtOnce = 1.0
	// A load this many times faster than one from the store came from a copy that
	// the engine kept from before this process started; copies load ten times as
	// fast, by the platform's protocol.
	ownCopySpeed = 3
	// bestDecay lets the shortest load be forgotten when the store has changed.
	bestDecay = 1.02
	// maxKnown bounds the memory of adapters held before.
	maxKnown = 512
)

func newLoads() loads {
	return loads{
		flying: make(map[ident.Weights]flight), known: make(map[ident.Weights]ident.Version),
		cold: firstColdLoad, warm: firstWarmLoad, atOnce: firstAtOnce,
	}
}

// arrived records that an adapter, now held at its version, arrived.
func (l *loads) arrived(w ident.Weights, f flight, now time.Time) {
	took := now.Sub(f.since)
	if len(l.known) >= maxKnown {
		clear(l.known)
	}
	l.known[w.Unversioned()] = w.Version
	if f.warm || took < l.fullSpeed()/ownCopySpeed {
		l.warm = time.Duration(average(float64(l.warm), float64(took)))
		return
	}
	l.cold = time.Duration(average(float64(l.cold), float64(took)))
	if l.best > 0 {
		l.best = min(time.Duration(float64(l.best)*bestDecay), took)
	} else {
		l.best = took
	}
	switch ratio := float64(took) / float64(l.best); {
	case ratio <= quickLoad:
		l.atOnce = min(maxFlying, l.atOnce+atOnceStep)
	case ratio > slowLoad:
		l.atOnce = max(leastAtOnce, l.atOnce*atOnceCut)
	}
	if l.atOnce < 1 {
		l.pause = now.Add(time.Duration(float64(took) * (1/l.atOnce - 1)))
	}
}

// fullSpeed is what a load from the store takes that shares it with few.
func (l *loads) fullSpeed() time.Duration {
	if l.best > 0 {
		return l.best
	}
	return firstColdLoad
}

// congested reports whether the store serves more loads than it can at full
// speed.
func (l *loads) congested() bool { return l.atOnce < roomyAtOnce }

// hasCopy reports whether the engine may have a copy of its own of the weights.
func (l *loads) hasCopy(w ident.Weights) bool {
	version := l.known[w.Unversioned()]
	return version > 0 && (w.Version == 0 || w.Version == version)
}

// mayLoad reports whether another load of the weights may begin.
func (l *loads) mayLoad(w ident.Weights, now time.Time) bool {
	if len(l.flying) >= maxFlying {
		return false
	}
	return l.hasCopy(w) || !now.Before(l.pause) && l.coldFlying() < max(int(l.atOnce), 1)
}

func (l *loads) coldFlying() int {
	n := 0
	for _, f := range l.flying {
		if !f.warm {
			n++
		}
	}
	return n
}

// loadWait estimates when the weights will be there, with so many other loads
// from the store to begin first.
func (l *loads) loadWait(w ident.Weights, ahead int, now time.Time) time.Duration {
	if f, flies := l.flying[w.Unversioned()]; flies {
		took := l.cold
		if f.warm {
			took = l.warm
		}
		return max(took-now.Sub(f.since), 0)
	}
	if l.hasCopy(w) {
		return l.warm
	}
	wait := l.cold
	if ahead+l.coldFlying() > 0 {
		wait += time.Duration(float64(l.cold) * float64(ahead+l.coldFlying()) / l.atOnce)
	}
	return wait + max(l.pause.Sub(now), 0)
}
