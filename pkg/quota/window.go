package quota

import "time"

// windowSlots is the number of parts in which a window is counted. What was granted counts
// for up to one part longer than the window.
const windowSlots = 64

// windowCount is what a share granted in the last window. The zero value counts nothing.
type windowCount struct {
	slots [windowSlots + 1]float32
	// newest is the number of the newest slot since the origin. That is two windows before
	// the first use: a time before it has a number as well, and numbers do not depend on
	// the wall clock, which may jump.
	newest int64
	origin time.Time
}

// advance drops the slots that left a window of so long.
func (w *windowCount) advance(window time.Duration, now time.Time) {
	if w.origin.IsZero() {
		w.origin = now.Add(-2 * window)
	}
	at := w.number(window, now)
	if at-w.newest > windowSlots {
		w.slots = [windowSlots + 1]float32{}
		w.newest = at
	}
	for w.newest < at {
		w.newest++
		*w.slot(w.newest) = 0
	}
}

// number returns the number of the slot of a time.
func (w *windowCount) number(window time.Duration, t time.Time) int64 {
	return int64(t.Sub(w.origin) / (window / windowSlots))
}

func (w *windowCount) slot(number int64) *float32 { return &w.slots[number%(windowSlots+1)] }

func (w *windowCount) add(amount float64) { *w.slot(w.newest) += float32(amount) }

// remove removes an amount that was granted at a time, as far as it was counted then or,
// if it was granted by another holder, earlier.
func (w *windowCount) remove(amount float64, window time.Duration, at time.Time) {
	oldest := w.newest - windowSlots
	for n := min(w.number(window, at), w.newest); n >= oldest && amount > 0; n-- {
		s := w.slot(n)
		part := min(float64(*s), amount)
		*s -= float32(part)
		amount -= part
	}
}

// scale changes all amounts by a factor.
func (w *windowCount) scale(factor float64) {
	for i := range w.slots {
		w.slots[i] *= float32(factor)
	}
}

func (w *windowCount) sum() (sum float64) {
	for _, s := range w.slots {
		sum += float64(s)
	}
	return sum
}

// timeUntilFree returns how long it takes until so much of the sum has left the window.
func (w *windowCount) timeUntilFree(amount float64, window time.Duration, now time.Time) time.Duration {
	slot := window / windowSlots
	for n := w.newest - windowSlots; n <= w.newest; n++ {
		amount -= float64(*w.slot(n))
		if amount <= 0 {
			leaves := time.Duration(n+windowSlots+1) * slot
			return max(leaves-now.Sub(w.origin), 1)
		}
	}
	return window
}
