package gateway

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// A request that no engine can hold was sent to an idle one, which it crashed. It is
// refused as such: a later time is no better, and no agent is asked.
func TestRequestLargerThanAnEnginesMemoryIsRefused(t *testing.T) {
	for _, test := range []struct {
		name, tokens string
		agentRefuses bool
		asked        int
		status       int
	}{
		{"prompt too long", "100001,1", false, 0, 413},
		{"output too long", "1,100000", false, 0, 413},
		{"sum overflows", "9223372036854775807,9223372036854775807", false, 0, 413},
		{"output alone", "0,100001", false, 0, 413},
		{"the agent knows a smaller engine", "100,10", true, 1, 413},
		{"the largest", "99999,1", false, 1, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			testAgentHarness(t, func(t *testing.T, h *agentHarness) {
				if test.agentRefuses {
					h.grant = func(string, wire.GrantRequest) wire.GrantReply {
						return wire.GrantReply{Code: wire.GrantUnable, Reason: wire.ReasonTooLarge}
					}
				}
				h.script(respondRaw(streamHead + chunk(events(1, 1)) + "0\r\n\r\n"))
				res := h.send(strings.Replace(streamRequest("/stream/x"), "100,10", test.tokens, 1))
				require.Equal(t, test.status, res.StatusCode)
				require.Equal(t, test.asked, h.grantRequests())
				if test.status == 413 {
					require.Empty(t, res.Header.Get("Retry-After"))
					require.Contains(t, body(t, res), "memory")
					require.Empty(t, h.receivedRequests())
				}
			})
		})
	}
}

// The agent restarts while a request dials the engine: the new agent does not know the
// grant, and may give the engine's memory to others. The request asks again.
func TestGrantEndsWithItsLink(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		dial, first := h.pool.Dial, true
		h.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			if first {
				first = false
				h.cutLinks()
				time.Sleep(10 * time.Millisecond)
			}
			return dial(ctx, address)
		}
		h.script(respondRaw(streamHead + chunk(events(1, 1)) + "0\r\n\r\n"))
		res := h.send(streamRequest("/once-stream/x"))
		require.Equal(t, events(1, 1), body(t, res))
		require.Equal(t, 2, h.grantRequests())
		require.Len(t, h.receivedRequests(), 1)
	})
}
