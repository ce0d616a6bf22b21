package standin

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/target"
)

// A caller that has seen the end of a stream unloads the adapter at once. The engine
// does not count that as an unload of an adapter in use.
func TestUseEndsBeforeTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineSettings{Slots: 8, MaxRunning: 8, TokenTime: time.Millisecond, Fetch: func(string) bool { return true }}, 1)
		var callers sync.WaitGroup
		for _, name := range []string{"a1", "a2", "a3", "a4"} {
			callers.Go(func() {
				order := target.AdapterOrder{Name: name, Weights: name}
				for range 50 {
					require.NoError(t, e.Load(order, 1))
					require.NoError(t, e.Generate(target.CompletionRequest{ID: name, Model: name, MaxTokens: 2}, "", func(target.CompletionChunk) {}))
					require.NoError(t, e.Unload(order, 1))
				}
			})
		}
		callers.Wait()
		require.Zero(t, e.Stats().EvictedInUse)
	})
}
