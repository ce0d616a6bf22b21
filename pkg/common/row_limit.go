package common

import (
	"sync"
	"time"
)

// RowLimit bounds the rows that are logged about one thing, which may happen any number of
// times. It is safe for concurrent use.
type RowLimit struct {
	rows   int
	period time.Duration

	mu      sync.Mutex
	began   time.Time // of the period
	logged  int
	skipped int
}

// NewRowLimit returns a limit of so many rows in a period.
func NewRowLimit(rows int, period time.Duration) *RowLimit {
	return &RowLimit{rows: rows, period: period}
}

// Take reports whether another row may be logged now, and how many were left out before it.
func (l *RowLimit) Take(now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.began) >= l.period {
		l.began, l.logged = now, 0
	}
	if l.logged >= l.rows {
		l.skipped++
		return 0, false
	}
	l.logged++
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
