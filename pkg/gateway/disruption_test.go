package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/socket"
)

// Case: a second copy of a response arrives late, when the connection carries the next
// request. The next caller gets its own response, or a failure.
func TestLateSecondCopyReachesNoOtherCaller(t *testing.T) {
	for _, test := range []struct {
		name, copied string
		status       int
		body         string
	}{
		{"a copy that names its request", "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nfirst", 200, "second"},
		{"a copy that names no request", "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nfirst", 502, ""},
		{"a copy without end", "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Server-Stamp: s\r\nContent-Length: 99999999\r\n\r\nfirst", 504, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.fleet.Remove("p-2", time.Now())
				late := func(w net.Conn, call receivedRequest) bool {
					_, _ = io.WriteString(w, test.copied)
					if strings.Contains(test.copied, "99999999") {
						time.Sleep(10 * time.Second)
						return false
					}
					return respond(200, "second")(w, call)
				}
				h.script(respond(200, "first"), late)
				require.Equal(t, "first", body(t, h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"))))
				res := h.send(strings.Replace(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"), "a-1", "a-2", 1))
				require.Equal(t, test.status, res.StatusCode)
				if test.body != "" {
					require.Equal(t, test.body, body(t, res))
				}
				synctest.Wait()
				require.Len(t, h.conns, 3, "both requests used one target connection")
			})
		})
	}
}

// Case: a planned stop under load. A request has arrived on a kept connection at the
// moment at which the stop closes it: it is served.
func TestStopServesARequestThatHasArrived(t *testing.T) {
	g := testGateway()
	g.stop.begin(newStopSchedule(time.Now(), g.node.Bounds.StopGrace))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	near, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer near.Close()
	far, err := l.Accept()
	require.NoError(t, err)
	c := &callerConn{g: g, nc: far, r: bufio.NewReader(far), served: true}
	g.conns.set(c, connIdle)
	g.conns.closeIdle() // the wait for the next request has ended when the request arrives
	_, err = io.WriteString(near, rawRequest("GET", "/absent/x"))
	require.NoError(t, err)
	for socket.Quiet(far) {
		time.Sleep(time.Millisecond)
	}
	go c.serve()
	res, err := http.ReadResponse(bufio.NewReader(near), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, res.StatusCode)
	require.True(t, res.Close, "the response announces the close")
}

// Case: a planned stop under load. The stop waits for requests that are still being
// read, and for the first requests on connections that were just accepted; a kept
// connection whose last response did not announce the close carries one more.
func TestStopServesRequestsUnderWay(t *testing.T) {
	for _, test := range []struct {
		name string
		call func(h *harness) *http.Response
	}{
		{"the body arrives slowly", func(h *harness) *http.Response {
			c := h.connect()
			go func() {
				time.Sleep(time.Second)
				_, _ = io.WriteString(c, strings.Replace(rawRequest("POST", "/unsafe/x", "Content-Length: 4\r\n"), "1000", "9000", 1)+"ab")
				time.Sleep(2 * time.Second)
				_, _ = io.WriteString(c, "cd")
			}()
			return readResponse(h.t, c)
		}},
		{"a connection accepted last", func(h *harness) *http.Response {
			time.Sleep(unreadyDetectionTime - 10*time.Millisecond)
			c := h.connect()
			time.Sleep(firstRequestTime / 2)
			go func() { _, _ = io.WriteString(c, rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n")) }()
			return readResponse(h.t, c)
		}},
		{"the next request on a connection whose close was not announced", func(h *harness) *http.Response {
			c := h.connect()
			r := bufio.NewReader(c)
			schedule := h.stop.schedule.Swap(nil) // the response begins before the stop
			go func() { _, _ = io.WriteString(c, rawRequest("POST", "/stream/x", "Content-Length: 0\r\n")) }()
			res, err := http.ReadResponse(r, nil)
			require.NoError(h.t, err)
			require.False(h.t, res.Close)
			h.stop.schedule.Store(schedule)
			require.Equal(h.t, events(1, 2), body(h.t, res))
			go func() { _, _ = io.WriteString(c, rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n")) }()
			res, err = http.ReadResponse(r, nil)
			require.NoError(h.t, err)
			return res
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.listener = &singleConnListener{done: make(chan struct{})}
				stream := func(w net.Conn, _ receivedRequest) bool {
					_, _ = io.WriteString(w, streamHead+chunk(events(1, 1)))
					time.Sleep(100 * time.Millisecond)
					_, err := io.WriteString(w, chunk(events(2, 2))+"0\r\n\r\n")
					return err == nil
				}
				if strings.HasPrefix(test.name, "the next") {
					h.script(stream, respond(200, "yes"))
				} else {
					h.script(respond(200, "yes"))
				}
				var answered atomic.Bool
				stopped := make(chan bool, 1)
				go func() {
					_ = h.Stop(t.Context())
					stopped <- answered.Load()
				}()
				synctest.Wait()
				res := test.call(h)
				answered.Store(true)
				require.Equal(t, 200, res.StatusCode)
				require.Equal(t, "yes", body(t, res))
				require.True(t, res.Close)
				require.True(t, <-stopped, "the process ends only after the response")
			})
		})
	}
}

func readResponse(t *testing.T, c net.Conn) *http.Response {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	return res
}

// Case: slow but sound streams. A target is much slower than the route's objective and
// no other target takes the stream: it is forwarded to its end.
func TestSlowStreamIsNotCut(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.fleet.Remove("s-2", time.Now())
		pause := 3 * (&exchange{route: &testConfiguration(1).Routes[2]}).maxEventGap()
		h.script(func(w net.Conn, _ receivedRequest) bool {
			_, _ = io.WriteString(w, streamHead+chunk(events(1, 1)))
			time.Sleep(pause)
			_, _ = io.WriteString(w, chunk(events(2, 2)))
			time.Sleep(pause / 2)
			_, err := io.WriteString(w, chunk(events(3, 3))+"0\r\n\r\n")
			return err == nil
		})
		res := h.send(strings.Replace(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n"), "1000", "20000", 1))
		require.Equal(t, events(1, 3), body(t, res))
		require.Len(t, h.receivedRequests(), 1)
	})
}

// Case: stalled streams. A target sends bytes now and then, but no events: another
// target continues the stream.
func TestStalledStreamIsResumedElsewhere(t *testing.T) {
	for _, test := range []struct{ name, bytes string }{
		{"comments", ": still here\n\n"}, {"an event that never ends", "data: x\n"}, {"blank lines", "\n\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.script(func(w net.Conn, _ receivedRequest) bool {
					_, err := io.WriteString(w, streamHead+chunk(events(1, 1)))
					for err == nil {
						time.Sleep(200 * time.Millisecond)
						_, err = io.WriteString(w, chunk(test.bytes))
					}
					return false
				}, func(w net.Conn, call receivedRequest) bool {
					require.Equal(t, "1", call.Header.Get("Last-Event-Id"))
					_, err := io.WriteString(w, streamHead+chunk(events(2, 3))+"0\r\n\r\n")
					return err == nil
				})
				began := time.Now()
				res := h.send(strings.Replace(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n"), "1000", "20000", 1))
				text := strings.ReplaceAll(body(t, res), ": still here\n\n", "")
				require.Equal(t, events(1, 3), regexp.MustCompile("\n{3,}").ReplaceAllString(text, "\n\n"))
				require.Less(t, time.Since(began), 2*time.Second)
				require.Len(t, h.receivedRequests(), 2)
			})
		})
	}
}

// The caller leaves at the moment at which another target has granted a stalled stream:
// the place there is given back.
func TestPlaceForAStalledStreamIsGivenBack(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.script(func(w net.Conn, _ receivedRequest) bool {
			_, _ = io.WriteString(w, streamHead+chunk(events(1, 1)))
			time.Sleep(time.Minute)
			return false
		})
		c := h.connect()
		h.suspended = func() time.Duration {
			if h.grantRequests() == 2 { // the gateway has just received the second grant
				_ = c.Close()
				time.Sleep(time.Millisecond)
			}
			return 0
		}
		go func() {
			_, _ = io.WriteString(c, strings.Replace(streamRequest("/stream/x"), "1000", "20000", 1))
			_, _ = io.Copy(io.Discard, c)
		}()
		time.Sleep(5 * time.Second)
		require.Equal(t, 2, h.grantRequests())
		h.mu.Lock()
		defer h.mu.Unlock()
		require.Zero(t, h.open)
	})
}

// Case: a machine that is only silent. The link to the agent breaks, and the target
// leaves the store's list, while a request runs: it runs to its end, once.
func TestRunningRequestSurvivesASilentMachine(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.script(func(w net.Conn, _ receivedRequest) bool {
			_, _ = io.WriteString(w, streamHead+chunk(events(1, 1)))
			h.cutLinks()
			h.fleet.Replace([]fleet.Target{{Instance: "p-1", Service: plainService, Address: "10.0.0.1:1"}}, time.Now())
			for i := 2; i <= 3; i++ {
				time.Sleep(500 * time.Millisecond)
				_, _ = io.WriteString(w, chunk(events(i, i)))
			}
			_, err := io.WriteString(w, "0\r\n\r\n")
			return err == nil
		})
		res := h.send(strings.Replace(streamRequest("/once-stream/x"), "1000", "20000", 1))
		require.Equal(t, events(1, 3), body(t, res))
		require.Len(t, h.receivedRequests(), 1)
	})
}

// Case: a permission that ran out during a pause. The process is paused, or its VM
// suspended, between a grant and the send: it asks for a new grant, and the target
// gets only the time that is left.
func TestGrantLapsesDuringAPause(t *testing.T) {
	for _, test := range []struct {
		name      string
		suspended time.Duration // of which the monotonic clock does not count
		paused    time.Duration // which it counts
	}{
		{"suspended", 5 * time.Second, 0}, {"paused", 0, 5 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			testAgentHarness(t, func(t *testing.T, h *agentHarness) {
				var calls atomic.Int64
				h.suspended = func() time.Duration {
					// Calls: arrival, grant, send.
					switch n := calls.Add(1); {
					case n < 3:
						return 0
					case n == 3:
						time.Sleep(test.paused)
					}
					return test.suspended
				}
				h.script(func(w net.Conn, _ receivedRequest) bool {
					_, err := io.WriteString(w, streamHead+chunk(events(1, 1))+"0\r\n\r\n")
					return err == nil
				})
				res := h.send(strings.Replace(streamRequest("/once-stream/x"), "1000", "9000", 1))
				require.Equal(t, events(1, 1), body(t, res))
				require.Equal(t, 2, h.grantRequests(), "the first grant has lapsed")
				calls2 := h.receivedRequests()
				require.Len(t, calls2, 1)
				require.Equal(t, "4000", calls2[0].Header.Get("X-Deadline-Ms"))
			})
		})
	}
}
