package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
)

func body(t *testing.T, res *http.Response) string {
	t.Helper()
	b, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return string(b)
}

func TestForwardsRequestsUnchanged(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.script(respond(200, "whole", "X-Own: kept\r\nConnection: keep-alive\r\n"))
		res := h.send("POST /unsafe/x?q=1%20 HTTP/1.1\r\nhost: host.example\r\nX-Attempt-Id: a-1\r\nx-OWN: Value\r\nX-Hold: h\r\nX-Request-Urgency: 0\r\n" +
			"Connection: x-hop\r\nX-Hop: 1\r\nX-Deadline-Ms: 700\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
		require.Equal(t, 200, res.StatusCode)
		require.Equal(t, "stamp", res.Header.Get("X-Server-Stamp"))
		require.Equal(t, "kept", res.Header.Get("X-Own"))
		require.Equal(t, "whole", body(t, res))
		calls := h.receivedRequests()
		require.Len(t, calls, 1)
		require.Equal(t, "/unsafe/x?q=1%20", calls[0].RequestURI)
		require.Equal(t, "abc", string(calls[0].Body))
		require.Equal(t, "Value", calls[0].Header.Get("X-Own"))
		require.Equal(t, "700", calls[0].Header.Get("X-Deadline-Ms"))
		require.NotEmpty(t, calls[0].Header.Get("X-Expect-Instance"))
		for _, name := range []string{"X-Hold", "X-Request-Urgency", "X-Hop", "Connection"} {
			require.Empty(t, calls[0].Header.Values(name), name)
		}
	})
}

// A malformed request is rejected and its connection is closed. It never reaches a
// target.
func TestRejectsMalformedRequests(t *testing.T) {
	head := "POST /safe/x HTTP/1.1\r\nHost: host.example\r\n"
	for _, test := range []struct {
		name, raw string
		status    int
	}{
		{"no request line", "hello\r\n\r\n", 400},
		{"method with a space", "PO ST /safe/x HTTP/1.1\r\nHost: host.example\r\n\r\n", 400},
		{"no host", "GET /safe/x HTTP/1.1\r\n\r\n", 400},
		{"two hosts", "GET /safe/x HTTP/1.1\r\nHost: host.example\r\nHost: other.example\r\n\r\n", 400},
		{"absolute target", "GET http://host.example/safe/x HTTP/1.1\r\nHost: host.example\r\n\r\n", 400},
		{"no colon", head + "broken\r\n\r\n", 400},
		{"space before the colon", head + "Content-Length : 3\r\n\r\nabc", 400},
		{"folded header", head + "X-A: 1\r\n b\r\n\r\n", 400},
		{"both lengths", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
		{"a list of lengths", head + "Content-Length: 3, 3\r\n\r\nabc", 400},
		{"a signed length", head + "Content-Length: +3\r\n\r\nabc", 400},
		{"a negative length", head + "Content-Length: -3\r\n\r\n", 400},
		{"an empty length", head + "Content-Length:\r\n\r\n", 400},
		{"unknown transfer encoding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
		{"two transfer encodings", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"chunked in HTTP/1.0", "POST /safe/x HTTP/1.0\r\nHost: host.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"bad chunk size", head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n", 400},
		{"chunk longer than its size", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n", 400},
		{"bad trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\nnonsense\r\n\r\n", 400},
		{"body too large", head + "Content-Length: 99999999\r\n\r\n", 413},
		{"header too large", head + "X-A: " + strings.Repeat("a", 20<<10) + "\r\n\r\n", 431},
		{"null in a value", head + "X-A: a\x00b\r\n\r\n", 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				res := h.send(test.raw)
				require.Equal(t, test.status, res.StatusCode)
				require.True(t, res.Close, "the framing of the remaining bytes is unknown")
				require.Empty(t, h.receivedRequests())
			})
		})
	}
}

// The body of a GET request must not be parsed as a second request (request
// smuggling).
func TestGetBodyIsNotParsedAsRequest(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		smuggled := "GET /unsafe/smuggled HTTP/1.1\r\nHost: host.example\r\n\r\n"
		h.script(respond(200, "one"), respond(200, "two"))
		res := h.send(rawRequest("GET", "/safe/x", fmt.Sprintf("Content-Length: %d\r\n", len(smuggled))) + smuggled)
		require.Equal(t, "one", body(t, res))
		synctest.Wait()
		require.Len(t, h.receivedRequests(), 1)
		require.Equal(t, smuggled, string(h.receivedRequests()[0].Body))
	})
}

func TestRetriesOnlyWhenAllowed(t *testing.T) {
	notExecuted := respond(503, "full", "X-Not-Executed: 1\r\n")
	for _, test := range []struct {
		name, path string
		replies    []reply
		status     int
		sends      int
	}{
		{"a safe request that failed", "/safe/x", []reply{respond(500, "no"), respond(200, "yes")}, 200, 2},
		{"a safe request that failed twice", "/safe/x", []reply{respond(500, "no"), respond(500, "no")}, 500, 2},
		{"a safe request without a response", "/safe/x", []reply{respondRaw(""), respond(200, "yes")}, 200, 2},
		{"a safe request with an incomplete response", "/safe/x", []reply{respondRaw("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 9\r\n\r\nabc"), respond(200, "yes")}, 200, 2},
		{"a success without a signature", "/safe/x", []reply{respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"), respond(200, "yes")}, 200, 2},
		{"a malformed response", "/safe/x", []reply{respondRaw("nonsense\r\n\r\n"), respond(200, "yes")}, 200, 2},
		{"an unsafe request that failed", "/unsafe/x", []reply{respond(500, "no")}, 500, 1},
		{"an unsafe request without a response", "/unsafe/x", []reply{respondRaw("")}, 502, 1},
		{"an unsafe request that was not run", "/unsafe/x", []reply{notExecuted, respond(200, "yes")}, 200, 2},
		{"an unsafe request that nobody runs", "/unsafe/x", []reply{notExecuted, notExecuted}, 503, 2},
		{"a misdirected request", "/unsafe/x", []reply{respond(421, ""), respond(200, "yes")}, 200, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.script(test.replies...)
				res := h.send(rawRequest("POST", test.path, "Content-Length: 0\r\n"))
				require.Equal(t, test.status, res.StatusCode)
				calls := h.receivedRequests()
				require.Len(t, calls, test.sends)
				if test.sends > 1 {
					require.NotEqual(t, calls[0].Address, calls[1].Address)
				}
			})
		})
	}
}

// A response to an earlier request may arrive first. It is skipped, and the
// connection is not used again.
func TestSkipsResponseToEarlierRequest(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.script(func(w net.Conn, call receivedRequest) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nwrong")
			return respond(200, "right")(w, call)
		}, respond(200, "next"))
		require.Equal(t, "right", body(t, h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"))))
		synctest.Wait()
		require.Len(t, h.closed, 1, "the connection must be closed")
	})
}

// A target has turned mute (load pattern: requests that must not be repeated wait for it
// until their deadline). After a few of them the other target gets the requests.
func TestMuteTargetIsEjected(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		answers := func(w net.Conn, call receivedRequest) bool {
			if call.Address == "10.0.0.1:1" {
				time.Sleep(time.Minute)
				return false
			}
			return respond(200, "yes")(w, call)
		}
		var replies []reply
		for range 100 {
			replies = append(replies, answers)
		}
		h.script(replies...)
		h.fleet.Put(fleet.Target{Instance: "p-3", Service: plainService, Address: "10.0.0.5:1"})
		timedOut := 0
		for i := range 60 {
			raw := strings.Replace(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"), "a-1", fmt.Sprint("a-", i), 1)
			if h.send(raw).StatusCode == 504 {
				timedOut++
			}
		}
		require.Positive(t, timedOut)
		require.LessOrEqual(t, timedOut, 10)
	})
}

// The route's timeout ends a request even if its caller would wait longer.
func TestRouteTimeoutEndsRequest(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.script(func(net.Conn, receivedRequest) bool { time.Sleep(time.Minute); return false })
		c := testConfiguration(2)
		c.Routes[1].Timeout = 300 * time.Millisecond
		h.directory.Update(c)
		began := time.Now()
		res := h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"))
		require.Equal(t, 504, res.StatusCode)
		require.Equal(t, 300*time.Millisecond, time.Since(began))
		require.Equal(t, "300", h.receivedRequests()[0].Header.Get("X-Deadline-Ms"))
	})
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.script(func(w net.Conn, _ receivedRequest) bool {
			_, _ = w.Read(make([]byte, 1)) // blocks until the connection closes
			h.mu.Lock()
			defer h.mu.Unlock()
			h.closed["left"] = time.Now()
			return false
		})
		c := h.connect()
		_, err := io.WriteString(c, rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"))
		require.NoError(t, err)
		synctest.Wait()
		require.Len(t, h.receivedRequests(), 1)
		left := time.Now()
		require.NoError(t, c.Close())
		synctest.Wait()
		require.Equal(t, left, h.closed["left"])
	})
}

func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		half := events(1, 3) + "id: 4\nda"
		h.script(respondRaw(streamHead+chunk(half)), func(w net.Conn, call receivedRequest) bool {
			require.Equal(t, "3", call.Header.Get("Last-Event-Id"))
			_, err := io.WriteString(w, strings.Replace(streamHead, "stamp", "other", 1)+chunk(events(4, 5))+"0\r\n\r\n")
			return err == nil
		})
		res := h.send(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n"))
		require.Equal(t, "stamp", res.Header.Get("X-Server-Stamp"), "the response head comes from the first target")
		require.Equal(t, events(1, 5), body(t, res))
	})
}

func TestAbortedStreamIsLeftUnterminated(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.script(respondRaw(streamHead + chunk(events(1, 3))))
		c := h.connect()
		go func() { _, _ = io.WriteString(c, rawRequest("POST", "/once-stream/x", "Content-Length: 0\r\n")) }()
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		_, err = io.ReadAll(res.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.Len(t, h.receivedRequests(), 1)
	})
}

// A retryable request fails over from a target that does not respond.
func TestFailsOverFromUnresponsiveTarget(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		unresponsive := func(w net.Conn, _ receivedRequest) bool { _, _ = w.Read(make([]byte, 1)); return false }
		h.script(unresponsive, respond(200, "yes"))
		began := time.Now()
		res := h.send(rawRequest("GET", "/safe/x"))
		require.Equal(t, 200, res.StatusCode)
		require.Less(t, time.Since(began), 500*time.Millisecond)
	})
}

func TestRequestWaitsForInitialSync(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.synced = newSyncState()
		h.script(respond(200, "yes"))
		time.AfterFunc(300*time.Millisecond, func() {
			for _, k := range requiredKinds {
				h.markListed(k)
			}
		})
		require.Equal(t, 200, h.send(rawRequest("GET", "/safe/x")).StatusCode)
		h.synced = newSyncState()
		res := h.send(rawRequest("GET", "/safe/x"))
		require.Equal(t, 503, res.StatusCode)
		require.NotEmpty(t, res.Header.Get("Retry-After"))
		require.Len(t, h.receivedRequests(), 1)
	})
}

// All processes start right after an outage of the store, whose list of targets is
// empty: requests wait for the targets to be listed again. Later, or for longer, they
// are refused.
func TestRequestWaitsForTargetsToBeListedAgain(t *testing.T) {
	list := []fleet.Target{{Instance: "p-1", Service: plainService, Address: "10.0.0.1:1"}}
	for _, test := range []struct {
		name                 string
		startedFor, listedIn time.Duration
		status               int
	}{
		{"listed soon", 0, 300 * time.Millisecond, 200},
		{"listed too late for the request", 0, 700 * time.Millisecond, 503},
		{"long after the start", 5 * time.Second, 300 * time.Millisecond, 503},
	} {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.fleet = fleet.New()
				h.fleet.Replace(nil, time.Now())
				time.Sleep(test.startedFor)
				time.AfterFunc(test.listedIn, func() { h.fleet.Replace(list, time.Now()) })
				h.script(respond(200, "yes"))
				res := h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"))
				require.Equal(t, test.status, res.StatusCode)
			})
		})
	}
}

func TestDrainingTargetGetsNoRequests(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.fleet.Put(fleet.Target{Instance: "p-1", Service: plainService, Address: "10.0.0.1:1", Draining: true})
		for range 8 {
			h.script(respond(200, "yes"))
			require.Equal(t, 200, h.send(rawRequest("GET", "/safe/x")).StatusCode)
		}
		for _, call := range h.receivedRequests() {
			require.Equal(t, "10.0.0.2:1", call.Address)
		}
		h.fleet.Remove("p-2", time.Now())
		res := h.send(rawRequest("GET", "/safe/x"))
		require.Equal(t, 503, res.StatusCode)
	})
}

// Plain requests go to the least loaded target, counting the requests of other
// gateways.
func TestPlainRequestsGoToLeastLoadedTarget(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		busy := "X-Instance-Load: 6,4,6\r\n"
		h.script(respond(200, "yes", busy), respond(200, "yes"), respond(200, "yes"))
		for range 3 {
			require.Equal(t, 200, h.send(rawRequest("GET", "/safe/x")).StatusCode)
		}
		calls := h.receivedRequests()
		require.NotEqual(t, calls[0].Address, calls[1].Address)
		require.Equal(t, calls[1].Address, calls[2].Address)
	})
}

// A stop finishes the request in progress and closes its connection afterwards.
func TestStopFinishesRequestsInProgress(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		near, far := net.Pipe()
		h.conns = append(h.conns, near)
		l := &singleConnListener{conn: far, done: make(chan struct{})}
		h.listener = l
		go h.accept(l)
		h.script(func(w net.Conn, call receivedRequest) bool {
			time.Sleep(4 * time.Second)
			return respond(200, "yes")(w, call)
		})
		go func() {
			_, _ = io.WriteString(near, strings.Replace(rawRequest("GET", "/unsafe/x"), "1000", "9000", 1))
		}()
		time.Sleep(time.Second)
		stopped := make(chan struct{})
		go func() { require.NoError(t, h.Stop(t.Context())); close(stopped) }()
		res, err := http.ReadResponse(bufio.NewReader(near), nil)
		require.NoError(t, err)
		require.Equal(t, 200, res.StatusCode)
		require.True(t, res.Close)
		require.Error(t, h.Ready())
		<-stopped
	})
}

// While stopping, a stream that cannot finish in time is refused and a short
// request is served.
func TestStoppingGatewayRefusesLongStreams(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.stopIn(2 * time.Second)
		h.script(respond(200, "yes"))
		require.Equal(t, 200, h.send(rawRequest("GET", "/safe/x")).StatusCode)
		res := h.send(rawRequest("POST", "/stream/x", "Content-Length: 0\r\nX-Token-Count: 100,400\r\n"))
		require.Equal(t, 503, res.StatusCode)
		require.NotEmpty(t, res.Header.Get("Retry-After"))
		require.True(t, res.Close)
		require.Len(t, h.receivedRequests(), 1)
	})
}

// Guards against callers that spend their retries on a process that is stopping. When
// all entries of a failure domain stop, the balancer still sends new connections to a
// stopping one. From the first such connection on all callers are told to retry after the
// restart; until then they retry at once on another entry.
func TestRetryAfterWhileStopping(t *testing.T) {
	long := rawRequest("POST", "/stream/x", "Content-Length: 0\r\nX-Token-Count: 100,400\r\n")
	retryAfter := func(t *testing.T, c net.Conn) float64 {
		go func() { _, _ = io.WriteString(c, long) }()
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, 503, res.StatusCode)
		seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		return seconds
	}
	testHarness(t, func(t *testing.T, h *harness) {
		kept, other := h.connect(), h.connect()
		synctest.Wait()
		h.stopIn(2 * time.Second)
		require.Less(t, retryAfter(t, kept), 0.2, "another entry serves it")
		require.GreaterOrEqual(t, retryAfter(t, h.connect()), 3.5, "the restarted process serves it")
		require.GreaterOrEqual(t, retryAfter(t, other), 3.5, "there is no other entry")
	})
}

// singleConnListener accepts a single connection.
type singleConnListener struct {
	conn net.Conn
	done chan struct{}
}

// Accept returns the connection once and then blocks until Close.
func (l *singleConnListener) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.done
	return nil, net.ErrClosed
}

// Close unblocks Accept.
func (l *singleConnListener) Close() error { close(l.done); return nil }

// Addr returns nil.
func (l *singleConnListener) Addr() net.Addr { return nil }
