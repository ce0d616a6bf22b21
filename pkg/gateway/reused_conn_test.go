package gateway

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// slowConn takes a while for each write.
type slowConn struct{ net.Conn }

// Write writes b after a while.
func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(300 * time.Millisecond)
	return c.Conn.Write(b)
}

// Guards against a 502 for a request that may not be repeated, though its target is sound:
// an earlier caller that left while it got its response closed the target's connection,
// which by then carried another request.
func TestCallerThatLeavesClosesNoConnectionOfAnotherRequest(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.fleet.Remove("p-2", time.Now())
		h.script(respond(200, "first"), func(w net.Conn, call receivedRequest) bool {
			time.Sleep(500 * time.Millisecond)
			return respond(200, "second")(w, call)
		})
		leaving, far := net.Pipe()
		go h.serve(slowConn{far})
		_, err := io.WriteString(leaving, rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"))
		require.NoError(t, err)
		synctest.Wait() // the target's connection is back in the pool, and the response is being written
		time.AfterFunc(100*time.Millisecond, func() { _ = leaving.Close() })
		res := h.send(strings.Replace(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"), "a-1", "a-2", 1))
		require.Equal(t, 200, res.StatusCode)
		require.Equal(t, "second", body(t, res))
		require.Len(t, h.conns, 2, "both requests used one target connection")
	})
}
