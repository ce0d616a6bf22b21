package grant

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// loads tracks adapter loads and limits how many run concurrently. All engines
// share the weight store: above some total concurrency each load takes
// proportionally longer, so further loads gain nothing and delay the first ones.
// Engines do not know of each other's loads, so each adapts its limit to the load
// times it observes.
type loads struct {
	loading  map[ident.Weights]adapterLoad   // adapters ordered but not yet held, keyed by unversioned weights
	copies   map[ident.Weights]ident.Version // versions that the engine may still have cached, keyed by unversioned weights
	coldTime time.Duration                   // moving average of the time of a load from the weight store
	warmTime time.Duration                   // moving average of the time of a load from the engine's own copy
	bestTime time.Duration                   // shortest recent load from the weight store, 0 before the first
	// concurrency is the number of loads from the weight store that this engine may
	// run at once. Below 1 the engine pauses between loads.
	concurrency float64
	pauseUntil  time.Time // no load from the weight store starts before this time
}

// adapterLoad is an adapter that is loading.
type adapterLoad struct {
	version ident.Version // 0 means the newest
	since   time.Time
	warm    bool // loads from the engine's own copy
}

const (
	// maxLoading is the number of adapters that an engine may load at once, set by
	// the platform's protocol.
	maxLoading = 4
	// Load times assumed before any load was observed.
	initialColdTime = 250 * time.Millisecond
	initialWarmTime = 25 * time.Millisecond
	// A load that takes up to fastRatio times the shortest one shows spare capacity
	// in the weight store. One that takes more than slowRatio times as long shows
	// congestion.
	fastRatio = 1.25
	slowRatio = 1.5
	// The concurrency limit follows additive increase, multiplicative decrease.
	initialConcurrency = 1.0
	minConcurrency     = 0.2
	concurrencyStep    = 0.25
	concurrencyCut     = 0.75
	// uncongestedConcurrency is the concurrency below which the weight store counts
	// as congested.
	uncongestedConcurrency = 1.0
	// A load this many times faster than one from the weight store came from a copy
	// that the engine cached before this process started. Cached copies load ten
	// times as fast, by the platform's protocol.
	ownCopySpeedup = 3
	// bestDecay raises the shortest load time with each load, so that it follows
	// changes of the weight store.
	bestDecay = 1.02
	// maxCopies bounds the number of cached versions that are remembered.
	maxCopies = 512
)

func newLoads() loads {
	return loads{
		loading: make(map[ident.Weights]adapterLoad), copies: make(map[ident.Weights]ident.Version),
		coldTime: initialColdTime, warmTime: initialWarmTime, concurrency: initialConcurrency,
	}
}

// finished records that a load completed and that the engine now holds w.
func (l *loads) finished(w ident.Weights, load adapterLoad, now time.Time) {
	took := now.Sub(load.since)
	if len(l.copies) >= maxCopies {
		clear(l.copies)
	}
	l.copies[w.Unversioned()] = w.Version
	if load.warm || took < l.baseline()/ownCopySpeedup {
		l.warmTime = time.Duration(average(float64(l.warmTime), float64(took)))
		return
	}
	l.coldTime = time.Duration(average(float64(l.coldTime), float64(took)))
	if l.bestTime > 0 {
		l.bestTime = min(time.Duration(float64(l.bestTime)*bestDecay), took)
	} else {
		l.bestTime = took
	}
	switch ratio := float64(took) / float64(l.bestTime); {
	case ratio <= fastRatio:
		l.concurrency = min(maxLoading, l.concurrency+concurrencyStep)
	case ratio > slowRatio:
		l.concurrency = max(minConcurrency, l.concurrency*concurrencyCut)
	}
	if l.concurrency < 1 {
		l.pauseUntil = now.Add(time.Duration(float64(took) * (1/l.concurrency - 1)))
	}
}

// baseline returns the time of a load from an uncongested weight store.
func (l *loads) baseline() time.Duration {
	if l.bestTime > 0 {
		return l.bestTime
	}
	return initialColdTime
}

// congested reports whether the weight store serves more loads than it can at full
// speed.
func (l *loads) congested() bool { return l.concurrency < uncongestedConcurrency }

// hasCopy reports whether the engine may have its own copy of the weights.
func (l *loads) hasCopy(w ident.Weights) bool {
	version := l.copies[w.Unversioned()]
	return version > 0 && (w.Version == 0 || w.Version == version)
}

// mayLoad reports whether a load of the weights may start now.
func (l *loads) mayLoad(w ident.Weights, now time.Time) bool {
	if len(l.loading) >= maxLoading {
		return false
	}
	return l.hasCopy(w) || !now.Before(l.pauseUntil) && l.coldLoading() < max(int(l.concurrency), 1)
}

func (l *loads) coldLoading() int {
	n := 0
	for _, load := range l.loading {
		if !load.warm {
			n++
		}
	}
	return n
}

// loadWait estimates how long it takes until the weights are loaded, with the given
// number of loads from the weight store ahead.
func (l *loads) loadWait(w ident.Weights, ahead int, now time.Time) time.Duration {
	if load, loading := l.loading[w.Unversioned()]; loading {
		took := l.coldTime
		if load.warm {
			took = l.warmTime
		}
		return max(took-now.Sub(load.since), 0)
	}
	if l.hasCopy(w) {
		return l.warmTime
	}
	wait := l.coldTime
	if ahead+l.coldLoading() > 0 {
		wait += time.Duration(float64(l.coldTime) * float64(ahead+l.coldLoading()) / l.concurrency)
	}
	return wait + max(l.pauseUntil.Sub(now), 0)
}
