package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/platform"
)

// A link is used as long as it is open, its agent answers and the engine's setup on it is
// current. Otherwise the agent is left alone for a while, or gets a new link or the setup.
func TestEstablishedLinksAreUsedWhileTheyAreCurrent(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		target, ok := h.fleet.Find("s-1")
		require.True(t, ok)
		link := func(c *platform.Configuration) (any, error) {
			conn, err := h.agents.connWithSetup(t.Context(), target, c, c.Services[streamService])
			return conn, err
		}
		c := h.directory.Configuration()
		first, err := link(c)
		require.NoError(t, err)
		again, err := link(c)
		require.NoError(t, err)
		require.Same(t, first, again)

		h.agents.backOff(target)
		_, err = link(c)
		require.ErrorIs(t, err, errors.Timeout, "the agent did not answer")
		time.Sleep(agentBackoff)
		again, err = link(c)
		require.NoError(t, err)
		require.Same(t, first, again)

		newer := *c
		newer.Version++
		again, err = link(&newer)
		require.NoError(t, err)
		require.Same(t, first, again)
		require.Equal(t, newer.Version, h.agents.established[target.Address].setup.configuration)

		synctest.Wait()
		h.cutLinks()
		synctest.Wait()
		again, err = link(&newer)
		require.NoError(t, err)
		require.NotSame(t, first, again)
		require.Len(t, h.agents.sentSetups, 1, "the closed link is forgotten")
		require.Len(t, h.agents.established, 1)
		synctest.Wait()
	})
}
