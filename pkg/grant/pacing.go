package grant

import "time"

// pacing decides how much prefill work the engine is given in advance. It handles
// streams that pause: every token of the running streams waits behind the prompts that
// are being prefilled, by how much depends on the engine. The window shrinks when
// streams come close to their pause objective, and grows while they do not.
type pacing struct {
	window     time.Duration
	nextShrink time.Time // earliest time of the next decrease
}

const (
	// maxPrefillWindow bounds the work that waits in the engine's queue, where
	// requests cannot be reordered or redirected.
	maxPrefillWindow = 400 * time.Millisecond
	// minPrefillWindow leaves the engine little more than one prompt at a time.
	minPrefillWindow     = 20 * time.Millisecond
	initialPrefillWindow = 100 * time.Millisecond
	// pauseMargin is the share of the pause objective from which on a pause counts as
	// too long.
	pauseMargin = 0.75
	// The window follows additive increase, multiplicative decrease.
	windowStep = 2 * time.Millisecond
	windowCut  = 0.8
	// shrinkInterval is the time between two decreases. The pauses of one moment
	// are those of many streams.
	shrinkInterval = 300 * time.Millisecond
)

func newPacing() pacing { return pacing{window: initialPrefillWindow} }

// RecordPause records the longest pause of a stream that ended, and the objective for
// it.
func (p *pacing) RecordPause(pause, objective time.Duration, now time.Time) {
	if pause <= time.Duration(pauseMargin*float64(objective)) {
		p.window = min(p.window+windowStep, maxPrefillWindow)
		return
	}
	if now.Before(p.nextShrink) {
		return
	}
	p.nextShrink = now.Add(shrinkInterval)
	p.window = max(time.Duration(windowCut*float64(p.window)), minPrefillWindow)
}
