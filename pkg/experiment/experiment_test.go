package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shorten returns the workload with a shorter run, to keep tests fast.
func shorten(w Workload) Workload {
	w.Warmup, w.Measured = 60*time.Second, 120*time.Second
	return w
}

func TestRunIsDeterministic(t *testing.T) {
	w := shorten(Bergstrom(5))
	require.Equal(t, Run(w, Hyssoproad), Run(w, Hyssoproad))
}

// TestHyssoproadMeetsGoals checks on short runs that the policy keeps to the load
// rate, stays within the bound and has no less goodput than the baselines.
func TestHyssoproadMeetsGoals(t *testing.T) {
	for _, w := range []Workload{Bergstrom(5), Bergstrom(9), Latones(9), Latones(16)} {
		w = shorten(w)
		t.Run(w.Name, func(t *testing.T) {
			result, limit := Run(w, Hyssoproad), Run(w, Bound)
			require.Zero(t, result.LoadsOverRate, "loads exceeded the weight store's rate")
			require.LessOrEqual(t, result.GoodputRatio, limit.GoodputRatio+1e-9)
			require.GreaterOrEqual(t, result.StallP95MS, limit.StallP95MS)
			for _, name := range []PolicyName{RandomLRU, LeastLoadedLRU, RendezvousLRU} {
				require.GreaterOrEqual(t, result.GoodputRatio, Run(w, name).GoodputRatio, string(name))
			}
		})
	}
}

func TestEveryRequestIsServedOrRefused(t *testing.T) {
	for _, name := range Policies {
		w := shorten(Latones(12))
		w.Fault = FaultDomainFailure
		result := Run(w, name)
		require.InDelta(t, 1, result.GoodputRatio+result.RefusedRatio, 1e-9)
		require.Positive(t, result.GoodputRatio)
	}
}
