package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// halfConn is one end of a connection whose directions close one by one, as those of TCP do.
type halfConn struct {
	net.Conn // of what is read
	out      net.Conn
}

// Write writes to the other end.
func (c halfConn) Write(b []byte) (int, error) { return c.out.Write(b) }

// SetWriteDeadline sets the deadline of writes.
func (c halfConn) SetWriteDeadline(t time.Time) error { return c.out.SetWriteDeadline(t) }

// CloseWrite closes the sending side.
func (c halfConn) CloseWrite() error { return c.out.Close() }

// Close closes both sides.
func (c halfConn) Close() error { _ = c.out.Close(); return c.Conn.Close() }

// connectHalves is like connect; the caller may close its sending side alone.
func (h *harness) connectHalves() halfConn {
	toGateway, fromCaller := net.Pipe()
	toCaller, fromGateway := net.Pipe()
	near := halfConn{Conn: toCaller, out: fromCaller}
	h.mu.Lock()
	h.conns = append(h.conns, near)
	h.mu.Unlock()
	go h.serve(halfConn{Conn: toGateway, out: fromGateway})
	return near
}

// Guards against LOST: a caller that closed its sending side after the request was taken for
// one that had left, and its connection closed without a response.
func TestCallerThatClosesItsSendingSideGetsItsResponse(t *testing.T) {
	stream := patient(streamRequest("/once-stream/x"))
	for _, test := range []struct {
		name  string
		raw   string
		reply reply
		after time.Duration // from the request to the close of the sending side
		body  string
	}{
		{"at once, before a plain response", rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"), delayed(500*time.Millisecond, respond(200, "done")), 0, "done"},
		{"at once, before the first event", stream, respondStream(900*time.Millisecond, 40*time.Millisecond, 20), 0, events(1, 20)},
		{"within a stream", stream, respondStream(100*time.Millisecond, 40*time.Millisecond, 20), 300 * time.Millisecond, events(1, 20)},
		{"before a long pause of a stream", stream, respondStream(100*time.Millisecond, 700*time.Millisecond, 4), 300 * time.Millisecond, events(1, 4)},
	} {
		t.Run(test.name, func(t *testing.T) {
			testAgentHarness(t, func(t *testing.T, h *agentHarness) {
				h.script(test.reply)
				h.halfClosed = func(net.Conn) bool { return true }
				c := h.connectHalves()
				go func() {
					_, _ = io.WriteString(c, test.raw)
					time.Sleep(test.after)
					_ = c.CloseWrite()
				}()
				res, body := readFinal(t, c)
				require.Equal(t, 200, res.StatusCode)
				require.Equal(t, test.body, body)
			})
		})
	}
}

// readFinal reads the final response, after informational ones.
func readFinal(t *testing.T, c net.Conn) (*http.Response, string) {
	t.Helper()
	r := bufio.NewReader(c)
	for {
		res, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		if res.StatusCode >= 200 {
			body, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			return res, string(body)
		}
	}
}

func delayed(d time.Duration, r reply) reply {
	return func(w net.Conn, call receivedRequest) bool { time.Sleep(d); return r(w, call) }
}

// Guards against GONE: a host tells by a reset alone that a caller has closed its connection
// and not only its sending side.
func TestTargetOfACallerThatHasLeftIsTold(t *testing.T) {
	for _, test := range []struct {
		name, raw string
		head      string // of the target's response
	}{
		{"before a response", patient(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n")), ""},
		{"within a stream", patient(streamRequest("/once-stream/x")), streamHead},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, left := testGateway(), make(chan struct{})
			g.agents.pool.Dial = func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }
			received := make(chan struct{})
			g.pool.Dial = func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					defer close(left)
					if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
						return
					}
					close(received)
					_, err := io.WriteString(far, test.head)
					for n := 1; test.head != "" && err == nil; n++ {
						_, err = io.WriteString(far, chunk(events(n, n)))
						time.Sleep(10 * time.Millisecond)
					}
					_, _ = far.Read(make([]byte, 1)) // blocks until the connection closes
				}()
				return near, nil
			}
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go g.accept(l)
			c, err := net.Dial("tcp4", l.Addr().String())
			require.NoError(t, err)
			_, err = io.WriteString(c, test.raw)
			require.NoError(t, err)
			<-received
			require.NoError(t, c.Close())
			select {
			case <-left:
			case <-time.After(testRouteTimeout / 2):
				require.Fail(t, "the target is not told until the request times out")
			}
		})
	}
}

// Guards against LOST: the interim response that a caller waits for before it sends a body was
// written under the deadline of the response before, so that the connection closed.
func TestBodyIsAskedForOnAConnectionKeptAfterAStream(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.script(respondStream(0, 10*time.Millisecond, 5), respond(200, "done"))
		c := h.connect()
		send := func(raw string) { go func() { _, _ = io.WriteString(c, raw) }() }
		send(patient(streamRequest("/stream/x")))
		r := bufio.NewReader(c)
		res, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(t, err)
		time.Sleep(2 * promptWrite)
		send(rawRequest("POST", "/unsafe/x", "Content-Length: 4\r\nExpect: 100-continue\r\n"))
		res, err = http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusContinue, res.StatusCode)
		send("body")
		res, err = http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, res.StatusCode)
	})
}
