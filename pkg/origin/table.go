// Package origin remembers which version of the engines' software began each stream. What two
// versions write does not fit together, and neither engines nor callers check it.
package origin

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

const (
	// MaxStreams bounds the streams of a table: about 2 MB.
	MaxStreams = 16 << 10
	// MaxTTL bounds how long a stream is remembered.
	MaxTTL = 2 * time.Minute
)

// Stream names a stream over all tries of its caller. A caller names only streams of its own
// account.
type Stream struct {
	Account ident.Account
	Attempt ident.Attempt // that brought the first event
}

// Table holds the origins of streams until their callers no longer come back. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	streams map[Stream]entry
	order   []Stream // by their record; some are recorded again later
	dropped int
}

type entry struct {
	software ident.Software
	until    time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{streams: make(map[Stream]entry)} }

// Record records the software that began a stream, for at most MaxTTL. A stream keeps its
// first origin. If the table is full, the stream that was recorded first is dropped.
func (t *Table) Record(s Stream, software ident.Software, ttl time.Duration, now time.Time) {
	until := now.Add(min(ttl, MaxTTL))
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.streams[s]
	switch {
	case known && !now.Before(old.until):
		t.streams[s] = entry{software, until}
		return
	case known:
		if until.After(old.until) {
			t.streams[s] = entry{old.software, until}
		}
		return
	}
	t.shrink(now)
	t.streams[s] = entry{software, until}
	t.order = append(t.order, s)
}

// shrink drops expired streams from the front, and one more if the table is full. The caller
// holds mu.
func (t *Table) shrink(now time.Time) {
	for len(t.order) > 0 {
		first := t.order[0]
		e, known := t.streams[first]
		full := len(t.order) >= MaxStreams
		if known && now.Before(e.until) && !full {
			return
		}
		if known && now.Before(e.until) {
			t.dropped++
		}
		delete(t.streams, first)
		t.order = t.order[1:]
	}
}

// Find returns the software that began a stream, if that is known.
func (t *Table) Find(s Stream, now time.Time) (ident.Software, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.streams[s]
	return e.software, known && now.Before(e.until)
}

// Size returns the number of streams, and how many were dropped before their time.
func (t *Table) Size() (streams, dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.streams), t.dropped
}
