// Package quarantine decides which parts of prompts (Table) and which whole requests
// (Requests) are refused because they crash targets. It does no I/O, and callers pass in the
// current time.
//
// A Table handles requests with one part in common that arrive at any gateway and end each
// engine that begins to write an answer. Sound requests share their other parts. A part
// is guilty if several engines ended, at different times, while requests with it waited
// for their first events, and no request with it has ever had one. So crashes for other
// reasons, alone or of a whole failure domain, ban nothing: the parts of sound requests
// are cleared by the next event.
//
// Requests handles a request that comes again at any gateway and ends each target that runs
// it, engines and plain services alike. It is guilty if several targets ended, at different
// times, while they had it, and none has answered it since.
package quarantine

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// BansKind is the kind of the records of banned parts.
const BansKind = "prompt-bans"

const (
	// banAfter is the number of crashes at different times that ban a part.
	banAfter = 3
	// moment is the time within which the crashes of several engines count as one.
	moment = 50 * time.Millisecond
	// evidenceTTL is how long a crash counts.
	evidenceTTL = 10 * time.Minute
	// BanTime is how long a ban lasts. One more crash renews it.
	BanTime = time.Hour
	// maxCleared bounds each of the two generations of cleared parts, and maxSuspects
	// the parts with evidence against them.
	maxCleared  = 16384
	maxSuspects = 1024
)

// Crash is the end of an engine process.
type Crash struct {
	VM      ident.VM `json:"vm"`
	StartMS int64    `json:"start-ms"` // start of the process in Unix ms
}

// Ban is a part that is refused, with the evidence against it.
type Ban struct {
	Part    ident.PromptPart
	Crashes []Crash
	Until   time.Time
}

// evidence is what speaks against a part.
type evidence struct {
	crashes []Crash
	moments int       // crashes at different times
	began   time.Time // of the last of these times
	last    time.Time
}

// Table is one process's knowledge of the parts of prompts.
type Table struct {
	mu       sync.Mutex
	suspects map[ident.PromptPart]*evidence
	bans     map[ident.PromptPart]Ban
	// cleared and clearedBefore are two generations of the parts that have had an
	// event, so that the older ones are dropped cheaply.
	cleared, clearedBefore map[ident.PromptPart]struct{}
}

// New returns a table without knowledge.
func New() *Table {
	return &Table{
		suspects: make(map[ident.PromptPart]*evidence), bans: make(map[ident.PromptPart]Ban),
		cleared: make(map[ident.PromptPart]struct{}), clearedBefore: make(map[ident.PromptPart]struct{}),
	}
}

// Clear records that a request with these parts had an event. It returns the bans that
// this shows to be wrong.
func (t *Table) Clear(parts []ident.PromptPart) (wrong []ident.PromptPart) {
	if len(parts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if _, known := t.cleared[p]; known {
			continue
		}
		if len(t.cleared) >= maxCleared {
			t.cleared, t.clearedBefore = make(map[ident.PromptPart]struct{}), t.cleared
		}
		t.cleared[p] = struct{}{}
		delete(t.suspects, p)
		if _, banned := t.bans[p]; banned {
			delete(t.bans, p)
			wrong = append(wrong, p)
		}
	}
	return wrong
}

func (t *Table) isCleared(p ident.PromptPart) bool {
	if _, ok := t.cleared[p]; ok {
		return true
	}
	_, ok := t.clearedBefore[p]
	return ok
}

// Uncleared returns the parts that no known request with an event has had.
func (t *Table) Uncleared(parts []ident.PromptPart) []ident.PromptPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.PromptPart
	for _, p := range parts {
		if !t.isCleared(p) {
			out = append(out, p)
		}
	}
	return out
}

// Record records that an engine ended while requests with the parts waited for their
// first events. It returns the parts that are banned from now on.
func (t *Table) Record(c Crash, parts []ident.PromptPart, now time.Time) (bans []Ban) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if t.isCleared(p) || t.bannedLocked(p, now) {
			continue
		}
		if e := t.evidenceLocked(p, now); e.add(c, now) && e.moments >= banAfter {
			b := Ban{Part: p, Crashes: e.crashes, Until: now.Add(BanTime)}
			t.bans[p] = b
			bans = append(bans, b)
		}
	}
	return bans
}

// evidenceLocked returns the evidence against a part. The caller holds mu.
func (t *Table) evidenceLocked(p ident.PromptPart, now time.Time) *evidence {
	e := t.suspects[p]
	if e == nil || now.Sub(e.last) > evidenceTTL {
		if len(t.suspects) >= maxSuspects {
			t.dropOldest()
		}
		e = &evidence{}
		t.suspects[p] = e
	}
	return e
}

func (t *Table) dropOldest() {
	var oldest ident.PromptPart
	for p, e := range t.suspects {
		if o := t.suspects[oldest]; o == nil || e.last.Before(o.last) {
			oldest = p
		}
	}
	delete(t.suspects, oldest)
}

// add adds a crash. It reports whether it is a new one at another time than the others.
func (e *evidence) add(c Crash, now time.Time) bool {
	for _, known := range e.crashes {
		if known == c {
			return false
		}
	}
	apart := e.moments == 0 || now.Sub(e.began) > moment
	e.last = now
	if len(e.crashes) < 2*banAfter {
		e.crashes = append(e.crashes, c)
	}
	if apart {
		e.moments++
		e.began = now
	}
	return apart
}

// Adopt takes over a ban that another process has decided. It reports whether the ban
// is new here, and returns false for a part that is known to be sound.
func (t *Table) Adopt(b Ban, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isCleared(b.Part) || !now.Before(b.Until) || t.bannedLocked(b.Part, now) {
		return false
	}
	t.bans[b.Part] = b
	return true
}

// Lift ends the ban of a part and drops the evidence against it. It reports whether the
// part was banned.
func (t *Table) Lift(p ident.PromptPart) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, banned := t.bans[p]
	delete(t.bans, p)
	delete(t.suspects, p)
	return banned
}

// bannedLocked reports whether a part is banned. After the ban one more crash renews
// it. The caller holds mu.
func (t *Table) bannedLocked(p ident.PromptPart, now time.Time) bool {
	b, banned := t.bans[p]
	if !banned || now.Before(b.Until) {
		return banned
	}
	delete(t.bans, p)
	t.suspects[p] = &evidence{moments: banAfter - 1, last: now}
	return false
}

// Banned returns the ban of one of the parts, if there is any.
func (t *Table) Banned(parts []ident.PromptPart, now time.Time) (Ban, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if t.bannedLocked(p, now) {
			return t.bans[p], true
		}
	}
	return Ban{}, false
}

// Suspected reports whether an engine has ended under one of the parts, and no request
// with it has had an event since.
func (t *Table) Suspected(parts []ident.PromptPart) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if t.suspects[p] != nil {
			return true
		}
	}
	return false
}
