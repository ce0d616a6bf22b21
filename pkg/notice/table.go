// Package notice keeps what targets say about themselves in their responses. It does no
// I/O, and callers pass in the current time.
//
// It handles targets in need: they state how many requests they take, and each process
// hears of that only in the responses to its own requests, which may overtake each other.
package notice

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Limit is the rate limit that a target states.
type Limit struct {
	PerSecond float64
	// Heard is when it was last stated.
	Heard time.Time
}

// Age returns how long ago the limit was last stated, or 0 without a limit.
func (l Limit) Age(now time.Time) time.Duration {
	if l.Heard.IsZero() {
		return 0
	}
	return now.Sub(l.Heard)
}

// Change is how a response changed what is known of a target.
type Change uint8

// Values of Change.
const (
	Unchanged Change = iota
	LimitSet
	LimitEnded
)

// Table is what one process knows of targets.
type Table struct {
	mu     sync.Mutex
	limits map[ident.Target]Limit
}

// New returns a table without knowledge.
func New() *Table { return &Table{limits: make(map[ident.Target]Limit)} }

// Observe records the notice in a response to a request that was sent at the given time.
// A response without a limit ends the limit only if its request was sent after the limit
// was last stated: an older one may have been overtaken.
func (t *Table) Observe(target ident.Target, n platform.TargetNotice, sent, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, limited := t.limits[target]
	switch {
	case n.Limit == platform.LimitStated:
		t.limits[target] = Limit{PerSecond: n.LimitPerSecond, Heard: now}
		if !limited || old.PerSecond != n.LimitPerSecond {
			return LimitSet
		}
	case n.Limit == platform.LimitAbsent && limited && sent.After(old.Heard):
		delete(t.limits, target)
		return LimitEnded
	}
	return Unchanged
}

// Limit returns the limit that a target states, if any.
func (t *Table) Limit(target ident.Target) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.limits[target]
	return l, ok
}

// Retain drops what is known of targets that are not listed any more.
func (t *Table) Retain(listed func(ident.Target) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target := range t.limits {
		if !listed(target) {
			delete(t.limits, target)
		}
	}
}
