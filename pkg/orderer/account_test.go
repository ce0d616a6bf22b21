package orderer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Gateways with and without accounts ask the same agent: of two requests that wait for the
// only slot, that of the account that uses less is granted first.
func TestGrantsAreSharedByAccount(t *testing.T) {
	testOrderer(t, func(t *testing.T, _ *fakeEngine, entry func() *link.Conn) {
		c := entry()
		ask := func(account ident.Account) *link.Stream {
			r := wire.GrantRequest{Model: "m", PromptTokens: 100, OutputTokens: 10, MaxWaitMS: 5000, ObjectiveMS: 3000}
			if account == "" {
				s, err := c.Open(link.KindGrantRequest, &r)
				require.NoError(t, err)
				return s
			}
			s, err := c.Open(link.KindAccountGrantRequest, &wire.AccountGrantRequest{Request: r, Account: account, Weight: 1})
			require.NoError(t, err)
			return s
		}
		granted := func(s *link.Stream, wait time.Duration) bool {
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			f, err := s.Receive(ctx)
			if err != nil {
				return false
			}
			reply := readGrant(t, f).Reply
			return reply.Code == wire.GrantIssued
		}
		var running []*link.Stream
		for _, account := range []ident.Account{"", "large", "large", "large", "large", "large", "large", "large"} {
			s := ask(account)
			require.True(t, granted(s, time.Second))
			require.NoError(t, s.Send(link.KindGrantFirstEvent, &wire.GrantFirstEvent{FirstEventMS: 20}))
			running = append(running, s)
		}
		again := ask("large")
		require.False(t, granted(again, 20*time.Millisecond))
		other := ask("small")
		require.False(t, granted(other, 20*time.Millisecond))
		running[1].Close()
		require.True(t, granted(other, 100*time.Millisecond))
		require.False(t, granted(again, 100*time.Millisecond))
		running[2].Close()
		require.True(t, granted(again, 100*time.Millisecond))
	})
}
