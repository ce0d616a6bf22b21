// Package notice keeps what targets say about themselves in their responses. It does no
// I/O, and callers pass in the current time.
//
// It handles targets in need and targets that leave: they state how many requests they
// take, that they are leaving, or that they want none for a while. Each process hears of
// that only in the responses to its own requests, which may overtake each other, and from
// other processes.
package notice

import (
	"slices"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Process is one process of a target. A target that starts again may keep its name.
type Process struct {
	Target  ident.Target
	StartMS int64 // start in Unix ms; 0 if unknown
}

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

// Changes is how a notice changed what is known of a target.
type Changes struct {
	LimitSet, LimitEnded bool
	Leaves               bool
	// Pause is how long the target wants no requests from this process from now on, if it
	// has just said so.
	Pause time.Duration
}

// Any reports whether anything changed that concerns other processes too.
func (c Changes) Any() bool { return c.LimitSet || c.LimitEnded || c.Leaves }

const (
	// maxTargets bounds the number of targets in a table.
	maxTargets = 4096
	// maxLeaving bounds the processes of one target that are known to leave.
	maxLeaving = 8
	// maxPause bounds how long a target is believed that it wants no requests.
	maxPause = 10 * time.Minute
)

// belief is what is known of one target.
type belief struct {
	heard   time.Time // when something was last heard
	limited bool
	limit   Limit
	// pausedUntil is of the process that started at startMS.
	startMS     int64
	pausedUntil time.Time
	// leaving are the starts of the processes that leave, in the order in which that was
	// heard. What one of them has said holds, also after something was heard of another one:
	// that may be of an earlier process, and come late.
	leaving []int64
}

func (b *belief) isEmpty(now time.Time) bool {
	return !b.limited && len(b.leaving) == 0 && !now.Before(b.pausedUntil)
}

// isLeaving reports whether the process that started at a time leaves. An unknown start may
// be of any.
func (b *belief) isLeaving(startMS int64) bool {
	return slices.ContainsFunc(b.leaving, func(left int64) bool { return left == startMS || left == 0 || startMS == 0 })
}

// isOf reports whether what is known concerns the process. An unknown start may be of any.
func (b *belief) isOf(p Process) bool {
	return b.startMS == p.StartMS || b.startMS == 0 || p.StartMS == 0
}

// Table is what one process knows of targets.
type Table struct {
	mu      sync.Mutex
	targets map[ident.Target]*belief
}

// New returns a table without knowledge.
func New() *Table { return &Table{targets: make(map[ident.Target]*belief)} }

// Observe records the notice in a response to a request that was sent at the given time.
// A response without a limit ends the limit only if its request was sent after the limit
// was last heard of: an older one may have been overtaken. A process that leaves does not
// take that back.
func (t *Table) Observe(p Process, n platform.TargetNotice, sent, now time.Time) (c Changes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.targets[p.Target] == nil && n == (platform.TargetNotice{}) {
		return c
	}
	b := t.get(p, now)
	defer t.drop(p.Target, b, now)
	switch {
	case n.Limit == platform.LimitStated:
		c.LimitSet = b.setLimit(n.LimitPerSecond, now)
	case n.Limit == platform.LimitAbsent && sent.After(b.limit.Heard):
		c.LimitEnded = b.endLimit()
	}
	c.Leaves = n.Leaving && b.leave()
	if pause := min(n.RetryAfter, maxPause); pause > 0 && now.Add(pause).After(b.pausedUntil) {
		b.pausedUntil, c.Pause = now.Add(pause), pause
	}
	return c
}

// Adopt records the notice that another process has passed on.
func (t *Table) Adopt(n wire.TargetNotice, now time.Time) (c Changes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := Process{n.Target, n.StartMS}
	b := t.get(p, now)
	defer t.drop(p.Target, b, now)
	if n.Limited {
		c.LimitSet = b.setLimit(n.LimitPerSecond, now)
	} else {
		c.LimitEnded = b.endLimit()
	}
	c.Leaves = n.Leaving && b.leave()
	return c
}

// get returns what is known of a target, and adds an empty belief if there is none. The
// pause of another process is forgotten. The caller holds mu.
func (t *Table) get(p Process, now time.Time) *belief {
	b := t.targets[p.Target]
	if b == nil {
		if len(t.targets) >= maxTargets {
			t.dropOldest()
		}
		b = &belief{startMS: p.StartMS}
		t.targets[p.Target] = b
	}
	if !b.isOf(p) {
		b.pausedUntil = time.Time{}
	}
	if p.StartMS != 0 {
		b.startMS = p.StartMS
		if i := slices.Index(b.leaving, 0); i >= 0 {
			b.leaving[i] = p.StartMS // the unknown process is taken to be this one
		}
	}
	b.heard = now
	return b
}

// drop removes a belief that holds nothing. The caller holds mu.
func (t *Table) drop(target ident.Target, b *belief, now time.Time) {
	if b.isEmpty(now) {
		delete(t.targets, target)
	}
}

func (t *Table) dropOldest() {
	var oldest ident.Target
	for target, b := range t.targets {
		if o := t.targets[oldest]; o == nil || b.heard.Before(o.heard) {
			oldest = target
		}
	}
	delete(t.targets, oldest)
}

func (b *belief) setLimit(perSecond float64, now time.Time) (changed bool) {
	changed = !b.limited || b.limit.PerSecond != perSecond
	b.limited, b.limit = true, Limit{PerSecond: perSecond, Heard: now}
	return changed
}

func (b *belief) endLimit() (changed bool) {
	changed = b.limited
	b.limited, b.limit = false, Limit{}
	return changed
}

// leave records that the process heard of last leaves.
func (b *belief) leave() (changed bool) {
	if b.isLeaving(b.startMS) {
		return false
	}
	if len(b.leaving) >= maxLeaving {
		b.leaving = b.leaving[1:]
	}
	b.leaving = append(b.leaving, b.startMS)
	return true
}

// Limit returns the limit that a target states, if any.
func (t *Table) Limit(target ident.Target) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.targets[target]
	if b == nil || !b.limited {
		return Limit{}, false
	}
	return b.limit, true
}

// Leaving reports whether a process says that it is leaving.
func (t *Table) Leaving(p Process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.targets[p.Target]
	return b != nil && b.isLeaving(p.StartMS)
}

// Pause returns for how long a process wants no requests from this process.
func (t *Table) Pause(p Process, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.targets[p.Target]
	if b == nil || !b.isOf(p) {
		return 0
	}
	return max(b.pausedUntil.Sub(now), 0)
}

func (b *belief) notice(target ident.Target) wire.TargetNotice {
	return wire.TargetNotice{Target: target, StartMS: b.startMS, Limited: b.limited, LimitPerSecond: b.limit.PerSecond, Leaving: b.isLeaving(b.startMS)}
}

// Empty reports whether nothing is known of any target.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.targets) == 0
}

// Notice returns what to tell other processes of a target.
func (t *Table) Notice(target ident.Target) wire.TargetNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.targets[target]; b != nil {
		return b.notice(target)
	}
	return wire.TargetNotice{Target: target}
}

// All returns what to tell other processes of all targets.
func (t *Table) All() []wire.TargetNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wire.TargetNotice
	for target, b := range t.targets {
		if b.limited || b.isLeaving(b.startMS) {
			out = append(out, b.notice(target))
		}
	}
	return out
}

// Retain drops the limits of targets that are not listed any more. What else they have said
// holds, since the list may show them again.
func (t *Table) Retain(listed func(ident.Target) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target, b := range t.targets {
		if !listed(target) {
			b.endLimit()
		}
		t.drop(target, b, now)
	}
}
