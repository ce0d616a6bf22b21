package gateway

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countingConn counts the bytes that are written.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// Case: bytes that are no response and come without end, in a head or a body. They end
// with their connection after a bounded number of bytes; a request that may be
// repeated succeeds elsewhere, another fails.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Server-Stamp: s\r\n"
	for _, test := range []struct {
		name, start, repeated string
		limit                 int64
	}{
		{"a line without end", "", "x", 64 << 10},
		{"a header without end", ok + "X-A: ", "y", 64 << 10},
		{"headers without end", ok, "X-A: 1\r\n", 64 << 10},
		{"informational heads without end", "", "HTTP/1.1 100 Continue\r\n\r\n", 64 << 10},
		{"stray responses without end", "", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n", 64 << 10},
		{"a stray body without end", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n", "z", 256 << 10},
		{"a stray body of chunks without end", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(strings.Repeat("z", 1000)), 256 << 10},
		{"a body until close", ok + "\r\n", strings.Repeat("b", 1000), maxResponseBytes + 1<<20},
		{"an announced length", ok + "Content-Length: 1000000000000\r\n\r\n", "b", 64 << 10},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", chunk(strings.Repeat("c", 1000)), maxResponseBytes + 2<<20},
		{"a chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", "0", 64 << 10},
		{"a trailer", ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-T: 1\r\n", 64 << 10},
		{"a refused request's body", "HTTP/1.1 503 X\r\nX-Attempt-Id: a-1\r\nX-Not-Executed: 1\r\n\r\n", "n", 256 << 10},
		{"a refused request's chunks", "HTTP/1.1 503 X\r\nX-Attempt-Id: a-1\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(strings.Repeat("n", 1000)), 256 << 10},
	} {
		for _, path := range []string{"/safe/x", "/unsafe/x"} {
			t.Run(test.name+path, func(t *testing.T) {
				testHarness(t, func(t *testing.T, h *harness) {
					var written atomic.Int64
					h.script(func(w net.Conn, _ receivedRequest) bool {
						out := countingConn{w, &written}
						_, err := io.WriteString(out, test.start)
						block := bytes.Repeat([]byte(test.repeated), 1+2000/len(test.repeated))
						for err == nil {
							_, err = out.Write(block)
						}
						return false
					}, respond(200, "yes"))
					began := time.Now()
					res := h.send(rawRequest("POST", path, "Content-Length: 0\r\n"))
					switch {
					case path == "/safe/x" || strings.Contains(test.start, "X-Not-Executed"):
						require.Equal(t, "yes", body(t, res))
					default:
						require.Equal(t, 502, res.StatusCode)
					}
					require.LessOrEqual(t, written.Load(), test.limit)
					require.Less(t, time.Since(began), time.Second)
					require.Zero(t, h.bodies.used.Load(), "all buffers are released")
				})
			})
		}
	}
}

// Case: bytes without end, one at a time. Without a complete head or event they end at
// the target's time limit.
func TestTrickleOfBytesIsBoundedInTime(t *testing.T) {
	for _, test := range []struct{ name, path, start string }{
		{"in a head", "/safe/x", "HTTP/1.1 200 OK\r\n"},
		{"in a stream", "/stream/x", streamHead + "ffff\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.script(func(w net.Conn, _ receivedRequest) bool {
					_, err := io.WriteString(w, test.start)
					for err == nil {
						time.Sleep(50 * time.Millisecond)
						_, err = io.WriteString(w, "x")
					}
					return false
				}, func(w net.Conn, call receivedRequest) bool {
					if test.path == "/safe/x" {
						return respond(200, "yes")(w, call)
					}
					_, err := io.WriteString(w, streamHead+chunk(events(1, 1))+"0\r\n\r\n")
					return err == nil
				})
				began := time.Now()
				res := h.send(strings.Replace(rawRequest("POST", test.path, "Content-Length: 0\r\n"), "1000", "20000", 1))
				require.Equal(t, 200, res.StatusCode)
				_ = body(t, res)
				require.Less(t, time.Since(began), 2*time.Second)
				require.Len(t, h.receivedRequests(), 2)
			})
		})
	}
}

// Case: an event without end. It is bounded in bytes.
func TestEventWithoutEndIsBounded(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		var written atomic.Int64
		h.script(func(w net.Conn, _ receivedRequest) bool {
			out := countingConn{w, &written}
			_, err := io.WriteString(out, streamHead+chunk(events(1, 1)))
			for err == nil {
				_, err = io.WriteString(out, chunk(strings.Repeat("d", 1000)))
			}
			return false
		}, func(w net.Conn, call receivedRequest) bool {
			_, err := io.WriteString(w, streamHead+chunk(events(2, 2))+"0\r\n\r\n")
			return err == nil
		})
		res := h.send(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n"))
		require.Equal(t, events(1, 2), body(t, res))
		require.LessOrEqual(t, written.Load(), int64(2*maxEventBytes))
	})
}

// Many targets send bodies without end at the same time: their buffers stay within
// the share of the memory, and small responses are still served.
func TestBodiesWithoutEndShareOneLimit(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.bodies = newBodyBuffers(8 << 20)
		endless := func(w net.Conn, _ receivedRequest) bool {
			_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Server-Stamp: s\r\n\r\n")
			for err == nil {
				_, err = w.Write(make([]byte, 4096))
				if used := h.bodies.used.Load(); used > h.bodies.limit {
					t.Errorf("%d bytes buffered", used)
				}
			}
			return false
		}
		var replies []reply
		for range 20 {
			replies = append(replies, endless)
		}
		h.script(replies...)
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				require.Equal(t, 502, h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n")).StatusCode)
			})
		}
		wg.Wait()
		h.script(respond(200, "small"))
		require.Equal(t, "small", body(t, h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"))))
		require.Zero(t, h.bodies.used.Load())
	})
}
