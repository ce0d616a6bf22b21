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
	"time"

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

// Many engines stop inside a large event at the same time: what is read of the events stays
// within the limit that all bodies share, and other streams are served meanwhile.
func TestUnfinishedEventsShareTheLimit(t *testing.T) {
	const streams, size = 100, 100 << 10
	testHarness(t, func(t *testing.T, h *harness) {
		h.bodies = newBodyBuffers(32 << 20)
		inside := func(w net.Conn, _ receivedRequest) bool {
			_, _ = io.WriteString(w, streamHead+chunk(events(1, 1))+chunk("id: 2\ndata: "+strings.Repeat("d", size)))
			time.Sleep(20 * time.Second)
			return false
		}
		var replies []reply
		for range streams {
			replies = append(replies, inside)
		}
		h.script(replies...)
		before := liveBytes()
		for range streams {
			c := h.connect()
			go func() {
				_, _ = io.WriteString(c, strings.Replace(rawRequest("POST", "/once-stream/x", "Content-Length: 0\r\n"), "1000", "9000", 1))
				_, _ = io.Copy(io.Discard, c)
			}()
		}
		time.Sleep(time.Second)
		used := h.bodies.used.Load()
		require.Greater(t, used, h.bodies.limit*3/4, "the limit is reached")
		require.LessOrEqual(t, used, h.bodies.limit)
		require.Less(t, liveBytes()-before, h.bodies.limit+streams*(64<<10))
		h.script(respondRaw(streamHead + chunk(events(1, 9)) + "0\r\n\r\n"))
		require.Equal(t, events(1, 9), body(t, h.send(rawRequest("POST", "/once-stream/x", "Content-Length: 0\r\n"))))
		time.Sleep(30 * time.Second)
		require.Zero(t, h.bodies.used.Load(), "all buffers are released")
	})
}

// A failure that is held back while another target may succeed counts until it is
// forwarded or dropped.
func TestHeldFailuresCount(t *testing.T) {
	const size = 1 << 20
	for _, second := range []int{200, 500} {
		testHarness(t, func(t *testing.T, h *harness) {
			h.bodies = newBodyBuffers(smallVM)
			var whileHeld int64
			h.script(respond(500, strings.Repeat("f", size)), func(w net.Conn, call receivedRequest) bool {
				time.Sleep(100 * time.Millisecond)
				whileHeld = h.bodies.used.Load()
				return respond(second, "small")(w, call)
			})
			res := h.send(rawRequest("POST", "/safe/x", "Content-Length: 0\r\n"))
			require.Equal(t, second, res.StatusCode)
			require.Equal(t, "small", body(t, res))
			synctest.Wait()
			require.GreaterOrEqual(t, whileHeld, int64(size))
			require.Zero(t, h.bodies.used.Load())
		})
	}
}

// Many callers announce large bodies and send a part of them: what is held of them stays
// within the limit that all bodies share, and small requests are served meanwhile.
func TestRequestBodiesShareTheLimit(t *testing.T) {
	const callers, announced, sent = 100, 4 << 20, 200 << 10
	for _, framing := range []string{"length", "chunks"} {
		t.Run(framing, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.bodies = newBodyBuffers(32 << 20)
				start := rawRequest("POST", "/unsafe/x", fmt.Sprintf("Content-Length: %d\r\n", announced))
				part := strings.Repeat("b", sent)
				if framing == "chunks" {
					start, part = rawRequest("POST", "/unsafe/x", "Transfer-Encoding: chunked\r\n"), chunk(part)
				}
				before := liveBytes()
				statuses := make(chan int, callers)
				for range callers {
					c := h.connect()
					go func() { _, _ = io.WriteString(c, start+part) }()
					go func() {
						res, err := http.ReadResponse(bufio.NewReader(c), nil)
						if err == nil {
							require.NotEmpty(t, res.Header.Get("Retry-After"))
							statuses <- res.StatusCode
						}
					}()
				}
				time.Sleep(time.Second)
				require.LessOrEqual(t, h.bodies.used.Load(), h.bodies.limit)
				require.Less(t, liveBytes()-before, h.bodies.limit+callers*(64<<10))
				refused := len(statuses)
				require.Greater(t, refused, callers/2)
				for range refused {
					require.Equal(t, 503, <-statuses)
				}
				h.script(respond(200, "small"))
				require.Equal(t, "small", body(t, h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 2\r\n")+"ab")))
				time.Sleep(time.Minute) // all have timed out
				require.Zero(t, h.bodies.used.Load(), "all buffers are released")
			})
		})
	}
}

// A large request gives its memory back with its response, while its connection is kept.
func TestRequestBodiesAreReleased(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.bodies = newBodyBuffers(smallVM)
		large := strings.Repeat("b", 1<<20)
		for _, raw := range []string{
			rawRequest("POST", "/unsafe/x", "Content-Length: 1048576\r\n") + large,
			rawRequest("POST", "/unsafe/x", "Transfer-Encoding: chunked\r\n") + chunk(large) + "0\r\n\r\n",
		} {
			var whileSent int64
			h.script(func(w net.Conn, call receivedRequest) bool {
				whileSent = h.bodies.used.Load()
				require.Equal(t, large, string(call.Body))
				return respond(200, "done")(w, call)
			})
			require.Equal(t, "done", body(t, h.send(raw)))
			synctest.Wait()
			require.GreaterOrEqual(t, whileSent, int64(len(large)))
			require.Zero(t, h.bodies.used.Load())
		}
	})
}
