package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Many entries see few requests each for an adapter that another entry has had loaded
// at an engine that is not its first home: they learn of it from the engine's record,
// and forget it when the engine has evicted it or has left.
func TestHoldersComeFirst(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	homes := Homes(targets(5), weights(1, 1))
	h, r := NewHoldings(), NewReplicas()
	order := func(w ident.Weights) []fleet.Target { return r.PreferCopies(w, homes, h.Holders(w), start) }
	h.Observe(homes[4].Address, []ident.Weights{weights(1, 1), weights(2, 1)})
	r.Record(weights(1, 1), homes[3].Address, start)
	require.Equal(t, []fleet.Target{homes[4], homes[3], homes[0], homes[1], homes[2]}, order(weights(1, 1)))
	require.Equal(t, homes[4], order(weights(2, 1))[0])
	require.Equal(t, homes, order(weights(2, 2)), "only an older version is held")
	require.Equal(t, homes[4], order(weights(2, 0))[0], "any version will do")
	h.Observe(homes[4].Address, []ident.Weights{weights(2, 1)})
	require.Equal(t, homes[3], order(weights(1, 1))[0], "evicted; the copy remains")
	h.Retain(map[string]bool{homes[0].Address: true})
	require.Empty(t, h.Holders(weights(2, 1)))
}

// The directory follows any sequence of records, and keeps nothing of engines that
// have left.
func TestHoldingsFollowTheRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHoldings()
		model := map[string][]ident.Weights{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			address := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "address")
			var held []ident.Weights
			for i := range 6 {
				if rapid.Bool().Draw(t, "held") {
					held = append(held, weights(i, ident.Version(1+rapid.IntRange(0, 1).Draw(t, "version"))))
				}
			}
			h.Observe(address, held)
			model[address] = held
		}
		for i := range 6 {
			for v := range ident.Version(3) {
				var want []string
				for address, held := range model {
					for _, w := range held {
						if w.Unversioned() == weights(i, v).Unversioned() && w.Version >= v {
							want = append(want, address)
						}
					}
				}
				require.ElementsMatch(t, want, h.Holders(weights(i, v)))
				for address := range model {
					require.Equal(t, slices.Contains(want, address), h.Holds(weights(i, v), address))
				}
			}
		}
		h.Retain(nil)
		require.Empty(t, h.byWeights)
		require.Empty(t, h.byAddress)
	})
}

// One adapter of a large fleet is in more demand than five engines can run, each with
// twelve slots: its requests reach as many engines as they need, and one engine again
// after the demand has gone.
func TestHotAdapterSpreadsAsFarAsItsDemand(t *testing.T) {
	const engines, slots, needed = 120, 12, 25
	now := time.Unix(1_000_000, 0)
	s, homes := NewSpread(), Homes(targets(engines), weights(1, 1))
	for range 20 { // each second all requests of that second run at the same time
		running := make(map[string]int)
		for i := range needed * slots {
			now = now.Add(time.Second / (needed * slots))
			for asked, t := range s.Rotate(weights(1, 1), homes, now, uint64(i)*0x9e3779b97f4a7c15) {
				if running[t.Address] < slots {
					running[t.Address]++
					break
				}
				s.Widen(weights(1, 1), now)
				if asked >= 12 {
					break
				}
			}
		}
	}
	require.GreaterOrEqual(t, s.Width(weights(1, 1), now), needed*3/4)
	require.Equal(t, 1, s.Width(weights(2, 1), now), "another adapter keeps one home")
	require.Equal(t, homes, s.Rotate(weights(2, 1), homes, now, 7))
	require.Equal(t, 1, s.Width(weights(1, 1), now.Add(10*spreadMemory)))
}
