package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var start = time.Unix(1_000_000, 0)

func recordOutcomes(d *Detector, t ident.Target, failed bool, n int) bool {
	ejected := false
	for range n {
		ejected = d.Record(t, failed, start) || ejected
	}
	return ejected
}

func TestEjectsTheOnlyFailingTarget(t *testing.T) {
	d := New()
	recordOutcomes(d, "a", false, 10)
	recordOutcomes(d, "b", false, 10)
	require.True(t, recordOutcomes(d, "c", true, 5))
	require.True(t, d.Ejected("c", start))
	require.False(t, d.Ejected("a", start))
	require.False(t, d.Ejected("c", start.Add(minEjection)))
}

// Invalid requests or a faulty release fail equally on all targets.
func TestSharedFailuresEjectNoTarget(t *testing.T) {
	d := New()
	for range 50 {
		for _, target := range []ident.Target{"a", "b", "c"} {
			d.Record(target, true, start)
		}
	}
	require.False(t, d.AnyEjected(start))
}

func TestEjectionsGrowUntilRecovery(t *testing.T) {
	d := New()
	recordOutcomes(d, "a", false, 10)
	recordOutcomes(d, "b", false, 10)
	now := start
	recordOutcomes(d, "c", true, 5)
	for _, want := range []time.Duration{2 * time.Second, 4 * time.Second, maxEjection, maxEjection} {
		now = now.Add(time.Minute / 2)
		d.Record("a", false, now)
		d.Record("b", false, now)
		require.True(t, d.Record("c", true, now))
		require.True(t, d.Ejected("c", now.Add(want-1)))
		require.False(t, d.Ejected("c", now.Add(want)))
	}
}

func TestEjectsAtMostAThirdOfTheTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New()
		targets := rapid.IntRange(1, 12).Draw(t, "targets")
		now := start
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			target := ident.Target(rune('a' + rapid.IntRange(0, targets-1).Draw(t, "target")))
			d.Record(target, rapid.Bool().Draw(t, "failed"), now)
			require.LessOrEqual(t, d.ejected(now), targets/maxEjectedDivisor)
		}
	})
}
