package follow

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/platform"
)

// Freshness is how current a follower's copy is: it contains all changes up to the time
// at which the last successful call began.
type Freshness struct {
	mu        sync.Mutex
	position  platform.Position
	confirmed time.Time
}

// confirm records a successful call that began at the given time.
func (f *Freshness) confirm(p platform.Position, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position, f.confirmed = p, began
}

// Position returns the position of the copy, which is zero before the first list.
func (f *Freshness) Position() platform.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// Age returns the time for which the copy has not been confirmed, or 0 before the
// first list.
func (f *Freshness) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		return 0
	}
	return now.Sub(f.confirmed)
}
