package orderer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/grant"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// A link is lost while its request runs for 10 s: before, its memory and slot counted for
// 3 s only, and the engine was given more than it can hold.
func TestRunOfALostLinkTakesMemoryUntilItEnds(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
		ask := func(c *link.Conn, attempt ident.Attempt, prompt int) *link.Stream {
			s, err := c.Open(link.KindGrantRequest, &wire.GrantRequest{Attempt: attempt, Model: "m", PromptTokens: prompt, OutputTokens: 10, MaxWaitMS: 30_000, ObjectiveMS: 800})
			require.NoError(t, err)
			return s
		}
		time.Sleep(grant.LostGrace) // what an earlier process may have granted has come
		lost := entry()
		long := ask(lost, "long", 70_000)
		_, err := long.Receive(t.Context())
		require.NoError(t, err)
		require.NoError(t, long.Send(link.KindGrantFirstEvent, &wire.GrantFirstEvent{FirstEventMS: 100}))
		time.Sleep(10 * time.Millisecond)
		e.mu.Lock()
		e.runs = []ident.Attempt{"long"}
		e.mu.Unlock()
		lost.Close()
		began := time.Now()
		time.AfterFunc(10*time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.runs = nil
		})
		c := entry()
		small := ask(c, "small", 20_000)
		_, err = small.Receive(t.Context())
		require.NoError(t, err)
		require.NoError(t, small.Send(link.KindGrantFirstEvent, &wire.GrantFirstEvent{FirstEventMS: 100}))
		require.Less(t, time.Since(began), 100*time.Millisecond, "there is room for it")
		f, err := ask(c, "large", 40_000).Receive(t.Context())
		require.NoError(t, err)
		reply := readGrant(t, f).Reply
		require.Equal(t, wire.GrantIssued, reply.Code, "%+v after %s", reply, time.Since(began))
		require.InDelta(t, 10, time.Since(began).Seconds(), 0.6, "%+v", reply)
	})
}
