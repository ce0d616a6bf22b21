package follow

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/platform"
)

// Freshness is how current a follower's copy is: it contains all changes up to the time
// at which the last call began that confirmed it.
type Freshness struct {
	// Suspended returns how long the VM has been suspended, which the monotonic clock does
	// not count. If it is nil, that time is not counted.
	Suspended func() time.Duration

	mu        sync.Mutex
	position  platform.Position
	newest    platform.Position // of all answers; one that is behind it confirms nothing
	confirmed time.Time
	answered  time.Time     // when the store answered that call
	suspended time.Duration // what Suspended returned as the call began
	// updated is closed by the next call that confirms the copy, and awaited says that
	// somebody waits for that.
	updated chan struct{}
	awaited chan struct{}
}

// call is a call to the store.
type call struct {
	began     time.Time
	suspended time.Duration
	// held is how long the store waited for a change before it answered.
	held time.Duration
}

// begin returns a call that begins now, which answers those who have waited for one. A
// suspension between the two readings counts as one after the beginning.
func (f *Freshness) begin() call {
	select {
	case <-f.isAwaited():
	default:
	}
	suspended := f.suspendedTime()
	return call{began: time.Now(), suspended: suspended}
}

func (f *Freshness) suspendedTime() time.Duration {
	if f.Suspended == nil {
		return 0
	}
	return f.Suspended()
}

// signals returns the channels of Await. The caller holds mu.
func (f *Freshness) signals() (updated, awaited chan struct{}) {
	if f.updated == nil {
		f.updated, f.awaited = make(chan struct{}), make(chan struct{}, 1)
	}
	return f.updated, f.awaited
}

// Await waits until the copy contains all changes up to a time, or ctx ends, and makes the
// follower ask the store sooner. It reports whether the copy does.
func (f *Freshness) Await(ctx context.Context, at time.Time) bool {
	for {
		f.mu.Lock()
		current := !f.confirmed.Before(at)
		updated, awaited := f.signals()
		f.mu.Unlock()
		if current {
			return true
		}
		select {
		case awaited <- struct{}{}:
		default:
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return false
		}
	}
}

// isAwaited returns a channel that receives a value once somebody waits for the next call.
func (f *Freshness) isAwaited() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, awaited := f.signals()
	return awaited
}

// confirm records the position of the copy after a successful call, whose answer was as of
// a position. It reports whether that confirms the copy: a store that has told of later
// changes before says nothing of those since.
func (f *Freshness) confirm(p, answer platform.Position, c call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position = p
	if answer.Behind(f.newest) {
		return false
	}
	f.newest, f.confirmed, f.answered, f.suspended = answer, c.began, c.began.Add(c.held), c.suspended
	updated, _ := f.signals()
	close(updated)
	f.updated = make(chan struct{})
	return true
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

// Unconfirmed returns the time for which the copy has not been confirmed, including that
// for which the VM was suspended. It returns false before the first list.
func (f *Freshness) Unconfirmed() (time.Duration, bool) {
	return f.since(func() time.Time { return f.confirmed })
}

// Unanswered is like Unconfirmed, but counts from the time at which the store answered
// the call that confirmed the copy. A change that the store had not acknowledged by then
// may be missing, and no other one, as long as the store waits as a watch asks it to.
func (f *Freshness) Unanswered() (time.Duration, bool) {
	return f.since(func() time.Time { return f.answered })
}

// since returns the time since one of the call's times. The time of the VM's suspension
// is read last, so that none is left out.
func (f *Freshness) since(from func() time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		return 0, false
	}
	elapsed := time.Since(from())
	return elapsed + f.suspendedTime() - f.suspended, true
}
