package kernel_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/kernel"
)

// Guards against LOST: a metrics listener with an open connection, which sorts behind the
// gateway, or an operators' listener held up the stop of the callers' listener, so that
// the process was killed before its requests had ended.
func TestNothingDelaysTheStopOfFaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var started, ended []string
		began := make(map[string]time.Duration)
		term := time.Now()
		life := &kernel.Lifecycle{}
		add := func(h kernel.Hook, took time.Duration) {
			h.Start = func(context.Context) error { started = append(started, h.Name); return nil }
			h.Stop = func(context.Context) error {
				mu.Lock()
				began[h.Name] = time.Since(term)
				mu.Unlock()
				time.Sleep(took)
				mu.Lock()
				defer mu.Unlock()
				ended = append(ended, h.Name)
				return nil
			}
			life.Append(h)
		}
		add(kernel.Hook{Name: "followers"}, 0)
		add(kernel.Hook{Name: "callers", Faces: true}, 7*time.Second)
		add(kernel.Hook{Name: "metrics", Observes: true}, 5*time.Second)
		add(kernel.Hook{Name: "operators", Faces: true}, 5*time.Second)
		add(kernel.Hook{Name: "status", Observes: true}, time.Second)
		require.NoError(t, life.Start(t.Context()))
		require.Equal(t, []string{"metrics", "status", "followers", "callers", "operators"}, started)
		term = time.Now()
		require.NoError(t, life.Stop(t.Context()))
		require.Zero(t, began["callers"])
		require.Zero(t, began["operators"])
		require.Equal(t, []string{"operators", "callers", "followers", "status", "metrics"}, ended)
	})
}

// A failed stop hook keeps no other from running, and the first error is returned.
func TestAllComponentsStopAfterAnError(t *testing.T) {
	life, stopped := &kernel.Lifecycle{}, 0
	for _, h := range []kernel.Hook{{Name: "a"}, {Name: "b", Faces: true}, {Name: "c"}} {
		h.Stop = func(context.Context) error { stopped++; return errors.New("broken") }
		life.Append(h)
	}
	require.ErrorContains(t, life.Stop(t.Context()), "stopping b: broken")
	require.Equal(t, 3, stopped)
}
