package ledger

import (
	"time"

	"github.com/hyssoproad/hyssoproad/platform"
)

// HistoryPeriod is how often each process calls CheckHistory.
const HistoryPeriod = 5 * time.Second

// recoveryTime is the time after a return of the store from an older copy within which all
// processes have committed again what the store has lost.
const recoveryTime = 3 * HistoryPeriod

const reasonReturned = "store-returned"

// history is what a process knows of the store's history.
type history struct {
	era platform.Era
	// lostUntil is the time until which keys were created that the store may have lost;
	// zero if it has lost none.
	lostUntil time.Time
}

func (l *Ledger) history() history {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if era := l.objects.Era(); era > l.era {
		if l.era != 0 {
			l.returnedAt = now
		}
		l.era = era
	}
	h := history{era: l.era}
	if now.Sub(l.returnedAt) < recoveryTime {
		h.lostUntil = l.returnedAt
	}
	return h
}

// CheckHistory commits the buckets in memory again that the store may have lost by a return
// from an older copy. It returns their number.
func (l *Ledger) CheckHistory() (outdated int) {
	h := l.history()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		if b.isOutdated(h.era) {
			outdated++
			b.enqueue(&operation{})
		}
	}
	return outdated
}

// isOutdated reports whether the bucket was last seen in a history that the store has lost.
func (b *bucket) isOutdated(era platform.Era) bool {
	committed := platform.Era(b.committedIn.Load())
	return committed != 0 && committed < era
}
