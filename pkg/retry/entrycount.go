package retry

import (
	"sync"
	"time"
)

// EntryCount estimates how many entries share a budget, from the number of entries that
// agents report to be linked to them. Any agent may miss an entry that has just
// started, so the highest recent count is used.
type EntryCount struct {
	mu          sync.Mutex
	count       int
	periodStart time.Time
	periodMax   int // the highest count since periodStart
}

const (
	// defaultEntryCount is assumed before any agent has reported. It exceeds the size of
	// most fleets, so that entries that start together stay within the budget.
	defaultEntryCount = 128
	// minEntryCount allows for one entry that no agent knows yet.
	minEntryCount = 2
	// countPeriod is the time for which a count is used at least. It equals the default
	// window of the budget.
	countPeriod = 10 * time.Second
)

// Record records a count reported by an agent.
func (c *EntryCount) Record(count int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.periodMax = max(c.periodMax, count)
	c.count = max(c.count, count)
	if now.Sub(c.periodStart) >= countPeriod {
		c.count, c.periodMax, c.periodStart = c.periodMax, 0, now
	}
}

// Peak returns the highest recent count, or 0 before the first.
func (c *EntryCount) Peak() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Estimate returns the estimated number of entries.
func (c *EntryCount) Estimate() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == 0 {
		return defaultEntryCount
	}
	return max(c.count, minEntryCount)
}
