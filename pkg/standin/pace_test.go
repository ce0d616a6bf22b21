package standin

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/platform"
)

// A worker with a pace states it in its responses and takes as long as it says. One without
// states no load, as workers did before.
func TestWorkerStatesThePaceThatItWorksAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pace := WorkerPace{Base: 160, SlowShare: 0.15, SlowFactor: 2.5, Interval: 600 * time.Millisecond}
		w := NewWorker(WorkerSettings{Service: "s", Slots: 8, Work: 10 * time.Millisecond, Pace: pace, Seed: 1})
		slow, all := 0, 0
		for range 2000 {
			time.Sleep(200 * time.Millisecond)
			out, began := httptest.NewRecorder(), time.Now()
			w.ServeHTTP(out, httptest.NewRequest(http.MethodGet, "/x", nil))
			load, ok := platform.ParseLoad([]byte(out.Header().Get(platform.HeaderLoad)))
			require.True(t, ok)
			require.Equal(t, platform.TargetLoad{Running: 1, Slots: 8, Pace: load.Pace, Known: load.Known}, load)
			require.Equal(t, time.Duration(load.Pace*float64(100*time.Microsecond)), time.Since(began))
			all++
			if load.Pace == 400 {
				slow++
			} else {
				require.Equal(t, 160.0, load.Pace)
			}
		}
		require.InDelta(t, 0.15, float64(slow)/float64(all), 0.05)

		plain := NewWorker(WorkerSettings{Service: "s", Slots: 8, Work: 10 * time.Millisecond})
		out, began := httptest.NewRecorder(), time.Now()
		plain.ServeHTTP(out, httptest.NewRequest(http.MethodGet, "/x", nil))
		require.Empty(t, out.Header().Get(platform.HeaderLoad))
		require.Equal(t, 10*time.Millisecond, time.Since(began))
	})
}
