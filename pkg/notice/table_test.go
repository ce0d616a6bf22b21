package notice

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

func stated(perSecond float64) platform.TargetNotice {
	return platform.TargetNotice{Limit: platform.LimitStated, LimitPerSecond: perSecond}
}

// Responses on different connections overtake each other.
func TestLimitFollowsTheNewestResponse(t *testing.T) {
	type response struct {
		sent, arrived int // ms
		notice        platform.TargetNotice
		want          Changes
	}
	none := platform.TargetNotice{}
	for _, test := range []struct {
		name      string
		responses []response
		limit     float64 // -1 for none
	}{
		{"none is stated", []response{{0, 10, none, Changes{}}}, -1},
		{"stated", []response{{0, 10, stated(3), Changes{LimitSet: true}}, {20, 30, stated(3), Changes{}}}, 3},
		{"changed", []response{{0, 10, stated(3), Changes{LimitSet: true}}, {20, 30, stated(2), Changes{LimitSet: true}}}, 2},
		{"ended", []response{{0, 10, stated(3), Changes{LimitSet: true}}, {20, 30, none, Changes{LimitEnded: true}}, {40, 50, none, Changes{}}}, -1},
		{"an older response comes later", []response{{5, 10, stated(3), Changes{LimitSet: true}}, {0, 30, none, Changes{}}}, 3},
		{"one sent before the last statement arrived", []response{{0, 10, stated(3), Changes{LimitSet: true}}, {20, 40, stated(3), Changes{}}, {30, 50, none, Changes{}}}, 3},
		{"an invalid limit is neither", []response{{0, 10, stated(3), Changes{LimitSet: true}}, {20, 30, platform.TargetNotice{Limit: platform.LimitInvalid}, Changes{}}}, 3},
		{"zero is a limit", []response{{0, 10, stated(0), Changes{LimitSet: true}}}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			table := New()
			for _, r := range test.responses {
				require.Equal(t, r.want, table.Observe(Process{Target: "i-1", StartMS: 1}, r.notice, at(r.sent), at(r.arrived)))
			}
			limit, limited := table.Limit("i-1")
			require.Equal(t, test.limit >= 0, limited)
			if limited {
				require.Equal(t, test.limit, limit.PerSecond)
			}
			_, limited = table.Limit("i-2")
			require.False(t, limited)
			table.Retain(func(ident.Target) bool { return false }, at(1000))
			_, limited = table.Limit("i-1")
			require.False(t, limited)
			require.True(t, table.Empty())
		})
	}
}

// A process that leaves does not take that back; one that starts again under its name is
// another one.
func TestLeavingIsFinalForAProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	leaving := platform.TargetNotice{Leaving: true}
	first, second, unknown := Process{"i-1", 1}, Process{"i-1", 2}, Process{"i-1", 0}
	table := New()
	require.False(t, table.Leaving(first))
	require.Equal(t, Changes{Leaves: true}, table.Observe(first, leaving, now, now))
	require.Equal(t, Changes{}, table.Observe(first, leaving, now, now))
	require.Equal(t, Changes{}, table.Observe(first, platform.TargetNotice{}, now.Add(time.Second), now.Add(time.Second)))
	require.True(t, table.Leaving(first))
	require.True(t, table.Leaving(unknown))
	require.False(t, table.Leaving(second))
	require.False(t, table.Leaving(Process{"i-2", 1}))
	require.Equal(t, []wire.TargetNotice{{Target: "i-1", StartMS: 1, Leaving: true}}, table.All())
	table.Retain(func(ident.Target) bool { return false }, now)
	require.True(t, table.Leaving(first), "an older list may show it again")

	table.Observe(second, stated(3), now, now)
	require.True(t, table.Leaving(first), "an older list may show it again")
	require.False(t, table.Leaving(second))
	limit, limited := table.Limit("i-1")
	require.True(t, limited)
	require.Equal(t, 3.0, limit.PerSecond)
	table.Retain(func(ident.Target) bool { return false }, now)
	_, limited = table.Limit("i-1")
	require.False(t, limited)
	require.Empty(t, table.All(), "there is nothing to tell of the process heard of last")

	other := Process{"i-2", 0}
	table.Observe(other, leaving, now, now)
	require.True(t, table.Leaving(Process{"i-2", 1}))
	table.Observe(Process{"i-2", 1}, stated(3), now, now)
	require.True(t, table.Leaving(Process{"i-2", 1}), "it is the process that was not named")
	require.False(t, table.Leaving(Process{"i-2", 2}))
}

// Guards against DRAIN: a late word of a process before, from the store or from a gateway whose
// list is behind, took back that the current one leaves.
func TestLateWordOfAnEarlierProcessDoesNotTakeBackThatOneLeaves(t *testing.T) {
	now := time.Unix(1000, 0)
	earlier, current := Process{"i-1", 1}, Process{"i-1", 2}
	for _, test := range []struct {
		name string
		late func(*Table)
	}{
		{"a response", func(table *Table) { table.Observe(earlier, stated(3), now, now) }},
		{"word of another gateway", func(table *Table) { table.Adopt(wire.TargetNotice{Target: "i-1", StartMS: 1}, now) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := New()
			table.Observe(current, platform.TargetNotice{Leaving: true}, now, now)
			test.late(table)
			require.True(t, table.Leaving(current))
			require.False(t, table.Leaving(earlier))
			for start := range int64(2 * maxLeaving) {
				table.Observe(Process{"i-1", 10 + start}, platform.TargetNotice{Leaving: true}, now, now)
			}
			require.Len(t, table.targets["i-1"].leaving, maxLeaving)
		})
	}
}

func TestAdoptedNoticesAreNoNews(t *testing.T) {
	now, table := time.Unix(1000, 0), New()
	n := wire.TargetNotice{Target: "i-1", StartMS: 1, Limited: true, LimitPerSecond: 2, Leaving: true}
	require.Equal(t, Changes{LimitSet: true, Leaves: true}, table.Adopt(n, now))
	require.False(t, table.Adopt(n, now).Any())
	require.Equal(t, n, table.Notice("i-1"))
	require.Equal(t, Changes{LimitEnded: true}, table.Adopt(wire.TargetNotice{Target: "i-1", StartMS: 1}, now))
	require.True(t, table.Leaving(Process{"i-1", 1}))
}

// A faulty target may name itself differently in each response.
func TestTableIsBounded(t *testing.T) {
	table := New()
	const count = maxTargets + 100
	for i := range count {
		now := time.Unix(int64(i), 0)
		table.Observe(Process{ident.Target(fmt.Sprint(i)), 1}, stated(1), now, now)
	}
	require.Len(t, table.All(), maxTargets)
	_, limited := table.Limit(ident.Target(fmt.Sprint(count - 1)))
	require.True(t, limited)
}

// A process wants no requests for a while; a shorter time does not shorten that.
func TestPauseHoldsForAProcess(t *testing.T) {
	now, table := time.Unix(1000, 0), New()
	first, second := Process{"i-1", 1}, Process{"i-1", 2}
	pause := func(d time.Duration) platform.TargetNotice { return platform.TargetNotice{RetryAfter: d} }
	require.Zero(t, table.Pause(first, now))
	require.Equal(t, Changes{Pause: 3 * time.Second}, table.Observe(first, pause(3*time.Second), now, now))
	later := now.Add(time.Second)
	require.Equal(t, Changes{}, table.Observe(first, pause(time.Second), later, later))
	require.Equal(t, 2*time.Second, table.Pause(first, later))
	require.Zero(t, table.Pause(second, later))
	require.Empty(t, table.All(), "it concerns this process only")
	table.Retain(func(ident.Target) bool { return false }, later)
	require.Equal(t, 2*time.Second, table.Pause(first, later))
	require.Zero(t, table.Pause(first, now.Add(3*time.Second)))
	table.Retain(func(ident.Target) bool { return true }, now.Add(3*time.Second))
	require.True(t, table.Empty())
	table.Observe(first, pause(1000*time.Hour), now, now)
	require.Equal(t, maxPause, table.Pause(first, now))
	table.Observe(second, platform.TargetNotice{}, now, now)
	require.Zero(t, table.Pause(second, now), "it has started again since")
	require.Zero(t, table.Pause(first, now))
}
