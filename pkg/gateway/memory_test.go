package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// liveBytes returns the size of the heap after a collection.
func liveBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// smallVM is the memory of the smallest entry VM with room for the process itself.
const smallVM = 160 << 20

// Many engines fail at length, and the callers keep their connections: nothing of the
// failures stays in memory.
func TestLargeAnswersLeaveNothingOnCallersConnections(t *testing.T) {
	const callers, size = 40, 6 << 20
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.bodies = newBodyBuffers(smallVM)
				large := strings.Repeat("f", size)
				before := liveBytes()
				for range callers {
					answer := respond(500, large)
					if path == "/stream/x" {
						answer = func(w net.Conn, _ receivedRequest) bool {
							_, _ = io.WriteString(w, streamHead)
							for i := range size / (100 << 10) {
								_, _ = io.WriteString(w, chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, large[:100<<10])))
							}
							_, err := io.WriteString(w, "0\r\n\r\n")
							return err == nil
						}
					}
					h.script(answer, answer)
					c := h.connect()
					go func() { _, _ = io.WriteString(c, rawRequest("POST", path, "Content-Length: 0\r\n")) }()
					res, err := http.ReadResponse(bufio.NewReader(c), nil)
					require.NoError(t, err)
					n, err := io.Copy(io.Discard, res.Body)
					require.NoError(t, err)
					require.GreaterOrEqual(t, n, int64(size*9/10))
				}
				synctest.Wait()
				require.Zero(t, h.bodies.used.Load())
				require.LessOrEqual(t, liveBytes()-before, h.bodies.limit)
			})
		})
	}
}
