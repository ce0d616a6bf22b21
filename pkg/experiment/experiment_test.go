package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// short shrinks a workload so that tests stay quick.
func short(w Workload) Workload {
	w.Warmup, w.Measured = 60*time.Second, 120*time.Second
	return w
}

func TestRunsRepeat(t *testing.T) {
	w := short(Bergstrom(5))
	require.Equal(t, Run(w, Hyssoproad), Run(w, Hyssoproad))
}

// TestPolicyHoldsUp checks the goals that the policy reaches, on short runs.
func TestPolicyHoldsUp(t *testing.T) {
	for _, w := range []Workload{Bergstrom(5), Bergstrom(9), Latones(9), Latones(16)} {
		w = short(w)
		t.Run(w.Name, func(t *testing.T) {
			ours, limit := Run(w, Hyssoproad), Run(w, Bound)
			require.Zero(t, ours.LoadsOverRate, "more loads than the store's rate")
			require.LessOrEqual(t, ours.GoodputRatio, limit.GoodputRatio+1e-9)
			require.GreaterOrEqual(t, ours.StallP95MS, limit.StallP95MS)
			for _, name := range []PolicyName{RandomLRU, LeastLoadedLRU, RendezvousLRU} {
				require.GreaterOrEqual(t, ours.GoodputRatio, Run(w, name).GoodputRatio, string(name))
			}
		})
	}
}

func TestEveryRequestIsAccountedFor(t *testing.T) {
	for _, name := range Policies {
		w := short(Latones(12))
		w.Fault = FaultLostDomain
		result := Run(w, name)
		require.InDelta(t, 1, result.GoodputRatio+result.RefusedRatio, 1e-9)
		require.Positive(t, result.GoodputRatio)
	}
}
