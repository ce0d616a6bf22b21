package gateway

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

const unframedHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n\r\n"

// A stream with neither a length nor chunks ends with its connection. One that ends
// inside an event, whatever its framing, was broken off and is resumed.
func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	const rest = "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
	for _, test := range []struct {
		name, first string
		resumed     bool
	}{
		{"after an event", unframedHead + events(1, 2) + rest, false},
		{"after an event and a comment", unframedHead + events(1, 2) + rest + ": bye\n", false},
		{"inside an event", unframedHead + events(1, 2) + "id: 3\ndata: e", true},
		{"after the lines of an event", unframedHead + events(1, 2) + "id: 3\ndata: e3\n", true},
		{"inside the first field of an event", unframedHead + events(1, 2) + "i", true},
		{"inside an event, in chunks", streamHead + chunk(events(1, 2)+"id: 3\nda") + "0\r\n\r\n", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.script(respondRaw(test.first), respondRaw(unframedHead+rest))
				res := h.send(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n"))
				got, err := io.ReadAll(res.Body)
				require.NoError(t, err, "complete")
				require.Contains(t, string(got), events(1, 2)+rest)
				calls := h.receivedRequests()
				if !test.resumed {
					require.Len(t, calls, 1)
					return
				}
				require.Equal(t, events(1, 2)+rest, string(got))
				require.Len(t, calls, 2)
				require.Equal(t, "2", calls[1].Header.Get("Last-Event-Id"))
			})
		})
	}
	t.Run("one that may not be resumed", func(t *testing.T) {
		testHarness(t, func(t *testing.T, h *harness) {
			h.script(respondRaw(unframedHead+events(1, 2)+"id: 3\nda"), respondRaw(unframedHead+rest))
			res := h.send(rawRequest("POST", "/once-stream/x", "Content-Length: 0\r\n"))
			got, err := io.ReadAll(res.Body)
			require.Error(t, err, "must not look complete")
			require.Equal(t, events(1, 2), string(got))
			require.Len(t, h.receivedRequests(), 1)
		})
	})
}
