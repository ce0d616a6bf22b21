package retry

import (
	"sync"
	"time"
)

// Sharers estimates how many entries share a budget, from the number of entries that
// agents report to be linked to them. Any agent may miss an entry that has just
// started, so the highest recent count is used.
type Sharers struct {
	mu          sync.Mutex
	count       int
	periodStart time.Time
	periodMax   int // the highest count since periodStart
}

const (
	// defaultSharers is assumed before any agent has reported. It exceeds the size of
	// most fleets, so that entries that start together stay within the budget.
	defaultSharers = 32
	// minSharers allows for one entry that no agent knows yet.
	minSharers = 2
	// sharersPeriod is how long a count is used. It equals the window of the budget.
	sharersPeriod = 10 * time.Second
)

// Saw records a count reported by an agent.
func (s *Sharers) Saw(count int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.periodMax = max(s.periodMax, count)
	s.count = max(s.count, count)
	if now.Sub(s.periodStart) >= sharersPeriod {
		s.count, s.periodMax, s.periodStart = s.periodMax, 0, now
	}
}

// Count returns the estimated number of entries.
func (s *Sharers) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == 0 {
		return defaultSharers
	}
	return max(s.count, minSharers)
}
