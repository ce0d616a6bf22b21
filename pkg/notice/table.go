// Package notice keeps what targets say about themselves in their responses. It does no
// I/O, and callers pass in the current time.
//
// It handles targets in need: they state how many requests they take, and each process
// hears of that only in the responses to its own requests, which may overtake each other,
// and from other processes.
package notice

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Limit is the rate limit that a target states.
type Limit struct {
	PerSecond float64
	// Heard is when this process last heard of it.
	Heard time.Time
}

// Age returns how long ago the limit was last heard of, or 0 without a limit.
func (l Limit) Age(now time.Time) time.Duration {
	if l.Heard.IsZero() {
		return 0
	}
	return now.Sub(l.Heard)
}

// Change is how a notice changed what is known of a target.
type Change uint8

// Values of Change.
const (
	Unchanged Change = iota
	LimitSet
	LimitEnded
)

// maxTargets bounds the number of targets in a table.
const maxTargets = 4096

// Table is what one process knows of targets.
type Table struct {
	mu     sync.Mutex
	limits map[ident.Target]Limit
}

// New returns a table without knowledge.
func New() *Table { return &Table{limits: make(map[ident.Target]Limit)} }

// Observe records the notice in a response to a request that was sent at the given time.
// A response without a limit ends the limit only if its request was sent after the limit
// was last heard of: an older one may have been overtaken.
func (t *Table) Observe(target ident.Target, n platform.TargetNotice, sent, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case n.Limit == platform.LimitStated:
		return t.set(target, n.LimitPerSecond, now)
	case n.Limit == platform.LimitAbsent && sent.After(t.limits[target].Heard):
		return t.end(target)
	}
	return Unchanged
}

// Adopt records the notice that another process has passed on.
func (t *Table) Adopt(n wire.TargetNotice, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n.Limited {
		return t.set(n.Target, n.LimitPerSecond, now)
	}
	return t.end(n.Target)
}

func (t *Table) set(target ident.Target, perSecond float64, now time.Time) Change {
	old, limited := t.limits[target]
	if !limited && len(t.limits) >= maxTargets {
		t.dropOldest()
	}
	t.limits[target] = Limit{PerSecond: perSecond, Heard: now}
	if limited && old.PerSecond == perSecond {
		return Unchanged
	}
	return LimitSet
}

func (t *Table) dropOldest() {
	var oldest ident.Target
	for target, l := range t.limits {
		if o, ok := t.limits[oldest]; !ok || l.Heard.Before(o.Heard) {
			oldest = target
		}
	}
	delete(t.limits, oldest)
}

func (t *Table) end(target ident.Target) Change {
	if _, limited := t.limits[target]; !limited {
		return Unchanged
	}
	delete(t.limits, target)
	return LimitEnded
}

// Limit returns the limit that a target states, if any.
func (t *Table) Limit(target ident.Target) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.limits[target]
	return l, ok
}

// Notice returns what to tell other processes of a target.
func (t *Table) Notice(target ident.Target) wire.TargetNotice {
	l, limited := t.Limit(target)
	return wire.TargetNotice{Target: target, Limited: limited, LimitPerSecond: l.PerSecond}
}

// All returns the notices of all targets that state something.
func (t *Table) All() []wire.TargetNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wire.TargetNotice
	for target, l := range t.limits {
		out = append(out, wire.TargetNotice{Target: target, Limited: true, LimitPerSecond: l.PerSecond})
	}
	return out
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
