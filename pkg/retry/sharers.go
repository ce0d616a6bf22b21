package retry

import (
	"sync"
	"time"
)

// Sharers estimates how many entries share a budget, from what agents say of
// the links to them. Each agent may miss an entry that just came, so that the
// highest recent count holds.
type Sharers struct {
	mu    sync.Mutex
	count int
	at    time.Time
	next  int // the highest count since at
}

const (
	// unknownSharers is assumed before any agent has said: more than most fleets
	// have, so that entries that start together stay within the budget.
	unknownSharers = 32
	// leastSharers leaves room for one entry that no agent knows yet.
	leastSharers = 2
	// sharersPeriod is how long a count holds: the window of the budget.
	sharersPeriod = 10 * time.Second
)

// Saw records a count that an agent gave.
func (s *Sharers) Saw(count int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = max(s.next, count)
	s.count = max(s.count, count)
	if now.Sub(s.at) >= sharersPeriod {
		s.count, s.next, s.at = s.next, 0, now
	}
}

// Count returns the number of entries to reckon with.
func (s *Sharers) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == 0 {
		return unknownSharers
	}
	return max(s.count, leastSharers)
}
