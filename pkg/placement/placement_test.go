package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

func targets(n int) []fleet.Target {
	out := make([]fleet.Target, n)
	for i := range out {
		out[i] = fleet.Target{Instance: ident.Target(fmt.Sprintf("i-%d", i)), Address: fmt.Sprintf("10.0.0.%d:80", i)}
	}
	return out
}

func weights(adapter int, v ident.Version) ident.Weights {
	return ident.Weights{Model: "m", AdapterVersion: ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprintf("a%d", adapter)), Version: v}}
}

// All entries send an adapter's requests to the same engines, and the loss of an
// engine moves only the adapters whose home it was.
func TestLossOfAnEngineMovesOnlyItsAdapters(t *testing.T) {
	all := targets(12)
	moved := 0
	for a := range 500 {
		w := weights(a, 1)
		homes := Homes(all, w)
		require.Equal(t, homes[0], Homes(append([]fleet.Target{all[11]}, all[:11]...), w)[0], "independent of the order of the targets")
		remaining := Homes(all[1:], w)
		if homes[0].Instance == all[0].Instance {
			moved++
			require.Equal(t, homes[1], remaining[0])
			continue
		}
		require.Equal(t, homes[0], remaining[0])
	}
	require.InDelta(t, 500/12, moved, 25)
}

// An engine that restarts under a new name keeps its copies of adapters, so it must
// stay their home.
func TestHomesDoNotChangeWithTheInstanceName(t *testing.T) {
	all := targets(12)
	renamed := append([]fleet.Target(nil), all...)
	for i := range renamed {
		renamed[i].Instance += "-again"
	}
	for a := range 100 {
		require.Equal(t, Homes(all, weights(a, 1))[0].Address, Homes(renamed, weights(a, 1))[0].Address)
	}
}

// A new version loads on engines of its own while the old version still runs.
func TestNewVersionHasItsOwnHomes(t *testing.T) {
	all := targets(12)
	same := 0
	for a := range 500 {
		if Homes(all, weights(a, 1))[0] == Homes(all, weights(a, 2))[0] {
			same++
		}
	}
	require.Less(t, same, 500/6)
}

// An adapter that was loaded on an engine other than its first home, because that was
// busy, is not loaded a second time.
func TestEnginesWithACopyComeFirst(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	homes := Homes(targets(5), weights(1, 1))
	r := NewReplicas()
	r.Record(weights(1, 1), homes[3].Address, start)
	r.Record(weights(1, 1), homes[2].Address, start)
	want := []fleet.Target{homes[2], homes[3], homes[0], homes[1], homes[4]}
	require.Equal(t, want, r.PreferCopies(weights(1, 1), homes, nil, start.Add(copyTTL-1)))
	require.Equal(t, homes, r.PreferCopies(weights(1, 1), homes, nil, start.Add(copyTTL)), "the copy may have been evicted")
	require.Equal(t, homes, r.PreferCopies(weights(2, 1), homes, nil, start))
	require.Equal(t, homes, r.PreferCopies(weights(1, 2), homes, nil, start), "a newer version would have to wait for running requests of the older one")
}

// Three base models share engines that have memory for one each: requests for a model
// go to its holders, and the engine that switches to it is not one of the last holders
// of its present model.
func TestHoldersAndCandidates(t *testing.T) {
	all := targets(6)
	for i, m := range []ident.Model{"m", "n", "m", "m", "", "mm"} {
		if m != "" {
			all[i].Models = fleet.ModelsOf([]ident.Model{m})
		}
	}
	require.Equal(t, []fleet.Target{all[0], all[2], all[3]}, Holders(all, "m"))
	require.Empty(t, Holders(all, "absent"))
	for _, m := range []ident.Model{"n", "mm"} {
		c, ok := SwitchCandidate(all, m)
		require.True(t, ok)
		require.True(t, c.Models.Has("m") || c.Models == "", "%v", c)
		shuffled := append([]fleet.Target{all[5]}, all[:5]...)
		other, _ := SwitchCandidate(shuffled, m)
		require.Equal(t, c, other, "from every entry")
	}
	_, ok := SwitchCandidate(all[1:4], "mm")
	require.False(t, ok, "two holders of m and one of n are too few to switch one")
}

func TestByLoadPutsLeastLoadedTargetsFirst(t *testing.T) {
	all := targets(4)
	load := map[ident.Target]float64{"i-0": 1, "i-1": 0.5, "i-2": 0, "i-3": 0}
	first := map[ident.Target]bool{}
	for tie := range uint64(32) {
		order := ByLoad(all, func(t fleet.Target) float64 { return load[t.Instance] }, "", tie)
		require.Equal(t, ident.Target("i-0"), order[3].Instance)
		require.Equal(t, ident.Target("i-1"), order[2].Instance)
		first[order[0].Instance] = true
	}
	require.Len(t, first, 2, "ties are spread")
}

func TestByLoadPrefersTheOwnDomainAmongEqualLoads(t *testing.T) {
	all := targets(4)
	all[2].Domain, all[3].Domain = "near", "near"
	load := map[ident.Target]float64{"i-0": 0, "i-1": 0.5, "i-2": 0.5, "i-3": 1}
	for tie := range uint64(32) {
		order := ByLoad(all, func(t fleet.Target) float64 { return load[t.Instance] }, "near", tie)
		require.Equal(t, []fleet.Target{all[0], all[2], all[1], all[3]}, order, "load takes precedence over the failure domain")
	}
}

func TestVersionsNeverRevert(t *testing.T) {
	v := NewVersions()
	require.True(t, v.Update(weights(1, 3)))
	require.False(t, v.Update(weights(1, 2)))
	require.Equal(t, ident.Version(3), v.Newest(weights(1, 0)).Version)
	require.Zero(t, v.Newest(weights(2, 0)).Version)
}
