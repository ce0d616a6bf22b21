package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/clocktest"
	"github.com/hyssoproad/hyssoproad/pkg/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var limits = Limits{Ratio: 0.2, MinRetries: 54, Window: 10 * time.Second}

// All targets fail at once, and requests arrive at the entries in random order: in no
// window do all entries together retry more than the total budget allows.
func TestSharesStayWithinTheTotalBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 8).Draw(t, "entries")
		budgets := make([]*Budget, entries)
		for i := range budgets {
			budgets[i] = New(limits)
		}
		var requests, retries []time.Time
		now := time.Unix(1_000_000, 0)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			b.CountRequest(now)
			requests = append(requests, now)
			for range rapid.IntRange(0, 3).Draw(t, "failures") {
				if b.Allow(entries, now) {
					retries = append(retries, now)
				}
			}
		}
		for _, from := range retries {
			inWindow := func(times []time.Time, from time.Time) int {
				n := 0
				for _, at := range times {
					if !at.Before(from) && at.Before(from.Add(limits.Window)) {
						n++
					}
				}
				return n
			}
			// A request may be counted in this window or in the one before.
			maxRequests := max(inWindow(requests, from), inWindow(requests, from.Add(-limits.Window)), inWindow(requests, from.Add(-limits.Window/2)))
			require.LessOrEqual(t, float64(inWindow(retries, from)), limits.Ratio*float64(maxRequests)+float64(limits.MinRetries))
		}
	})
}

func TestBudgetRecoversAfterTheWindow(t *testing.T) {
	b := New(Limits{Ratio: 0, MinRetries: 10, Window: 10 * time.Second})
	now := time.Unix(1_000_000, 0)
	taken := 0
	for b.Allow(1, now) {
		taken++
	}
	require.Equal(t, 8, taken, "the share times the safety factor")
	require.False(t, b.Allow(1, now.Add(9*time.Second)))
	require.True(t, b.Allow(1, now.Add(11*time.Second)))
}

func TestEntryCountUsesTheHighestRecentCount(t *testing.T) {
	var c EntryCount
	now := time.Unix(1_000_000, 0)
	require.Equal(t, defaultEntryCount, c.Estimate(), "until an agent has reported")
	c.Record(1, now)
	require.Equal(t, minEntryCount, c.Estimate())
	c.Record(22, now)
	c.Record(20, now.Add(time.Second))
	require.Equal(t, 22, c.Estimate())
	c.Record(5, now.Add(countPeriod))
	c.Record(5, now.Add(2*countPeriod))
	c.Record(5, now.Add(3*countPeriod))
	require.Equal(t, 5, c.Estimate())
}

// The wall clock jumps while all targets fail (load pattern: a retry storm). The
// retries of the window still count.
func TestWallClockJumpsDoNotRenewTheBudget(t *testing.T) {
	for _, by := range []time.Duration{20 * time.Second, -20 * time.Second} {
		b := New(Limits{MinRetries: 10, Window: 10 * time.Second})
		now := time.Now()
		for b.Allow(1, now) {
			now = now.Add(time.Millisecond)
		}
		require.False(t, b.Allow(1, clocktest.Jump(now, by)), "jump by %s", by)
		require.False(t, b.Allow(1, now.Add(time.Second)), "after the jump back by %s", by)
		require.True(t, b.Allow(1, now.Add(11*time.Second)))
	}
}
