package route

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

var (
	now  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	pool = Pool{Kind: wire.KindEngine, Model: "base", Role: "drafting"}
)

func report(i int, loaded ...ident.AdapterVersion) wire.Report {
	return wire.Report{
		Target: ident.Target(fmt.Sprintf("t%03d", i)), Incarnation: 1, Sequence: 1, Kind: pool.Kind, Model: pool.Model, Role: pool.Role,
		Slots: 4 + 2*(i%3), MaxRunning: 8, Ready: true, Loaded: loaded,
	}
}

func table(n int) *Table {
	t := New()
	for i := range n {
		t.Update(report(i), true, now)
	}
	return t
}

func adapter(i int) ident.AdapterVersion {
	return ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprintf("adapter-%05d", i)), Version: 1}
}

func query(i int) Query { return Query{Pool: pool, Key: adapter(i), Balance: 1} }

func TestTablesAgreeOnHomes(t *testing.T) {
	a, b := table(12), table(12)
	for i := range 200 {
		x, ok := a.Pick(query(i), now)
		require.True(t, ok)
		y, _ := b.Pick(query(i), now)
		require.Equal(t, x.Node.Target, y.Node.Target)
	}
}

func TestHomesAreProportionalToWeights(t *testing.T) {
	tab := table(12)
	counts := make(map[int]int)
	for i := range 6000 {
		c, _ := tab.Choose(Query{Pool: pool, Key: adapter(i), Balance: 1}, now)
		counts[c.Node.Report().Slots]++
	}
	// A third of the targets each have 4, 6 and 8 slots.
	require.InDelta(t, 6.0/4, float64(counts[6])/float64(counts[4]), 0.25)
	require.InDelta(t, 8.0/4, float64(counts[8])/float64(counts[4]), 0.3)
}

// TestRankHomesMatchesFullSort compares the ranking that skips nodes with a full
// sort.
func TestRankHomesMatchesFullSort(t *testing.T) {
	tab := table(200)
	list := tab.pool(pool)
	for i := range 500 {
		hash := keyHash(adapter(i))
		got := rankHomes(list, nil, hash, tab.maxNodeWeight(), Query{})
		sorted := append([]*Node(nil), list.nodes...)
		sort.Slice(sorted, func(a, b int) bool { return score(hash, sorted[a]) > score(hash, sorted[b]) })
		require.Equal(t, sorted[:homeCount], got.nodes[:])
	}
}

func TestPickScenarios(t *testing.T) {
	full := report(0, adapter(1))
	full.Running, full.Waiting = 8, 8
	draining := report(1, adapter(1))
	scenarios := []struct {
		name    string
		reports []wire.Report
		exclude []ident.Target
		usable  bool
		want    Reason
		target  ident.Target
	}{
		{"the holder is chosen", []wire.Report{report(0), report(1, adapter(1)), report(2)}, nil, true, ReasonLoaded, "t001"},
		{"an adapter whose holder is full gets a replica", []wire.Report{full, report(1)}, nil, true, ReasonReplica, "t001"},
		{"a full holder is chosen when there is no other target", []wire.Report{full}, nil, true, ReasonLoaded, "t000"},
		{"an excluded holder is not chosen", []wire.Report{report(0, adapter(1)), report(1)}, []ident.Target{"t000"}, true, ReasonHome, "t001"},
		{"an unusable holder is not chosen", []wire.Report{draining, report(2)}, nil, false, ReasonHome, "t002"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			tab := New()
			for _, r := range s.reports {
				tab.Update(r, true, now)
			}
			if !s.usable {
				tab.SetUsable("t001", false)
			}
			q := query(1)
			q.Exclude = s.exclude
			c, ok := tab.Pick(q, now)
			require.True(t, ok)
			require.Equal(t, s.want, c.Reason)
			require.Equal(t, s.target, c.Node.Target)
		})
	}
}

func TestSentRequestsCountUntilTheNextReport(t *testing.T) {
	tab := table(1)
	c, _ := tab.Pick(query(1), now)
	_, _ = tab.Pick(query(1), now)
	require.InDelta(t, 2.0/8, c.Node.Load(), 1e-9)
	r := report(0)
	r.Sequence = 2
	tab.Update(r, true, now)
	require.Zero(t, c.Node.Load())
}

func TestPickFailsWithoutUsableTarget(t *testing.T) {
	tab := table(1)
	q := query(1)
	q.Exclude = []ident.Target{"t000"}
	_, ok := tab.Pick(q, now)
	require.False(t, ok)
	_, ok = tab.Pick(Query{Pool: Pool{Kind: wire.KindService}}, now)
	require.False(t, ok)
}

func TestPackerUsesFewerTargetsAtLowLoad(t *testing.T) {
	p := NewPacker()
	share := 1.0
	for range 200 {
		share = p.Step(0.3, 0.3)
	}
	require.InDelta(t, minShare, share, 1e-9)
	for range 200 {
		share = p.Step(1, 0.3)
	}
	require.InDelta(t, 1, share, 1e-9)
}

func BenchmarkPick(b *testing.B) {
	for _, targets := range []int{15, 100, 660} {
		for _, adapters := range []int{3000, 44000} {
			for _, state := range []string{"loaded", "absent"} {
				b.Run(fmt.Sprintf("targets=%d/adapters=%d/%s", targets, adapters, state), func(b *testing.B) {
					benchmarkPick(b, targets, adapters, state == "loaded")
				})
			}
		}
	}
}

func benchmarkPick(b *testing.B, targets, adapters int, loaded bool) {
	tab := New()
	for i := range targets {
		r := report(i)
		if loaded {
			for j := range 8 {
				r.Loaded = append(r.Loaded, adapter((i*8+j)%adapters))
			}
		}
		tab.Update(r, true, now)
	}
	queries := make([]Query, adapters)
	for i := range queries {
		queries[i] = query(i % adapters)
		if loaded {
			queries[i] = query(i % min(adapters, targets*8))
		}
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		// The time advances by expectedTTL, so that expectations of earlier
		// picks have ended and each pick of an absent adapter ranks all targets.
		q, at := queries[i%len(queries)], now.Add(time.Duration(i)*expectedTTL)
		c, _ := tab.Choose(q, at)
		tab.expectLoad(q, c, at)
		i++
	}
}

// An operator asks where a request would go, and then the costs change: the next request goes
// where it would have gone without the question.
func TestQuestionsChangeNoChoice(t *testing.T) {
	for _, test := range []struct {
		name   string
		loaded func(tab *Table) // before the question
	}{
		{"no target holds the adapter", func(*Table) {}},
		{"its holder is full", func(tab *Table) {
			r := report(0, adapter(1))
			r.Sequence, r.Running, r.Waiting = 2, 8, 8
			tab.Update(r, true, now)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			asked, plain := table(12), table(12)
			test.loaded(asked)
			test.loaded(plain)
			choice, ok := asked.Choose(query(1), now)
			require.True(t, ok)
			chosen := choice.Node
			asked.Candidates(query(1), choice, now)
			for _, tab := range []*Table{asked, plain} {
				r := *chosen.Report()
				r.Sequence, r.LoadWaitMS, r.Running = 3, 5000, 6
				tab.Update(r, true, now)
				full := report(0)
				full.Sequence = 4
				tab.Update(full, true, now)
			}
			x, _ := asked.Pick(query(1), now)
			y, _ := plain.Pick(query(1), now)
			require.Equal(t, []any{y.Node.Target, y.Reason}, []any{x.Node.Target, x.Reason})
			require.NotEqual(t, chosen.Target, y.Node.Target, "the costs have changed")
		})
	}
}
