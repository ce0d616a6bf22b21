package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// poolHarness is a pool before one target that keeps its connections open.
type poolHarness struct {
	*Pool
	t      *testing.T
	answer string // header lines
	status int    // of the answers; 0 for 200
	mu     sync.Mutex
	events [ConnEvents]int
	far    []net.Conn
}

func testPool(t *testing.T, f func(t *testing.T, h *poolHarness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &poolHarness{Pool: NewPool(), t: t}
		h.Observe = func(e ConnEvent) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.events[e]++
		}
		h.Dial = func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			h.mu.Lock()
			defer h.mu.Unlock()
			h.far = append(h.far, far)
			go h.serve(far)
			return near, nil
		}
		f(t, h)
		h.Close()
		for _, c := range h.far {
			_ = c.Close()
		}
		synctest.Wait()
	})
}

func (h *poolHarness) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n%sContent-Length: 0\r\n\r\n", max(h.status, 200), q.Header.Get("X-Attempt-Id"), h.answer)
	}
}

// send sends a request that takes some time, over a connection idle for at most idleLimit.
func (h *poolHarness) send(idleLimit, takes time.Duration) {
	h.sendAttempt("a", idleLimit, takes)
}

func (h *poolHarness) sendAttempt(attempt string, idleLimit, takes time.Duration) {
	c, err := h.Get(h.t.Context(), "a:1", attempt, idleLimit)
	require.NoError(h.t, err)
	deadline := time.Now().Add(time.Minute)
	require.NoError(h.t, c.Send(fmt.Appendf(nil, "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt), deadline))
	time.Sleep(takes)
	res, err := c.Receive("POST", attempt, deadline)
	require.NoError(h.t, err)
	_, err = io.Copy(io.Discard, res)
	require.NoError(h.t, err)
	h.Release(res)
}

// A request that may not be repeated, for which the idle connections are too old, closed
// all of them, although requests that may be repeated could have used them.
func TestRequestsLeaveConnectionsThatOthersMayUse(t *testing.T) {
	testPool(t, func(t *testing.T, h *poolHarness) {
		h.send(MaxIdle, 0)
		time.Sleep(2 * time.Second)
		h.send(time.Second, 0)
		require.Equal(t, 1, h.events[ConnNewForOld])
		time.Sleep(500 * time.Millisecond)
		h.send(time.Second, 0)
		require.Equal(t, 1, h.events[ConnReused], "the one that was used last")
		first, err := h.Get(t.Context(), "a:1", "a", MaxIdle)
		require.NoError(t, err)
		second, err := h.Get(t.Context(), "a:1", "a", MaxIdle)
		require.NoError(t, err)
		require.Equal(t, 3, h.events[ConnReused])
		idle, reused := second.Reused()
		require.True(t, reused)
		require.Equal(t, 2500*time.Millisecond, idle)
		first.Close()
		second.Close()
	})
}

// Each request is counted by where its connection came from, and each connection that is
// not kept by the reason.
func TestConnectionsAreCountedByReason(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer string
		do     func(h *poolHarness)
		want   map[ConnEvent]int
	}{
		{"reused", "", func(h *poolHarness) { h.send(MaxIdle, 0); h.send(MaxIdle, 0) }, map[ConnEvent]int{ConnNew: 1, ConnReused: 1}},
		{"expired", "", func(h *poolHarness) { h.send(MaxIdle, 0); time.Sleep(MaxIdle + 1); h.send(MaxIdle, 0) }, map[ConnEvent]int{ConnNew: 2, ConnExpired: 1}},
		{"swept", "", func(h *poolHarness) { h.send(MaxIdle, 0); time.Sleep(MaxIdle + 1); h.Sweep() }, map[ConnEvent]int{ConnNew: 1, ConnExpired: 1}},
		{"announced", "Keep-Alive: timeout=2\r\n", func(h *poolHarness) { h.send(MaxIdle, 0); time.Sleep(2 * time.Second); h.send(MaxIdle, 0) }, map[ConnEvent]int{ConnNew: 2, ConnExpired: 1}},
		{"always new", "", func(h *poolHarness) { h.send(MaxIdle, 0); h.send(0, 0) }, map[ConnEvent]int{ConnNew: 1, ConnNewRequired: 1}},
		{"ended by the response", "Connection: close\r\n", func(h *poolHarness) { h.send(MaxIdle, 0) }, map[ConnEvent]int{ConnNew: 1, ConnClosedByResponse: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			testPool(t, func(t *testing.T, h *poolHarness) {
				h.answer = test.answer
				test.do(h)
				for e := range h.events {
					require.Equal(t, test.want[ConnEvent(e)], h.events[e], "%s", ConnEvent(e))
				}
			})
		})
	}
}

// A connection carries an attempt that was answered without success only once. Refusals cost
// one connection in maxUnserved, and a caller that repeats one attempt has one connection.
func TestConnectionCarriesAnUnservedAttemptOnce(t *testing.T) {
	testPool(t, func(t *testing.T, h *poolHarness) {
		h.sendAttempt("a", MaxIdle, 0)
		h.status = 503
		h.sendAttempt("b", MaxIdle, 0)
		h.sendAttempt("c", MaxIdle, 0)
		require.Equal(t, 2, h.events[ConnReused])
		h.sendAttempt("b", MaxIdle, 0)
		require.Equal(t, 1, h.events[ConnNewForRepeat])
		h.sendAttempt("c", MaxIdle, 0)
		require.Equal(t, 3, h.events[ConnReused])
	})
	const refusals = 1000
	for _, test := range []struct {
		name    string
		status  int
		attempt func(i int) string
		dials   int
	}{
		{"refusals", 503, func(i int) string { return fmt.Sprint(i) }, refusals/maxUnserved + 1},
		{"one attempt again and again", 503, func(int) string { return "a" }, refusals},
		{"successes", 200, func(int) string { return "a" }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			testPool(t, func(t *testing.T, h *poolHarness) {
				h.status = test.status
				for i := range refusals {
					h.sendAttempt(test.attempt(i), MaxIdle, 0)
				}
				require.Equal(t, test.dials, h.events[ConnNew]+h.events[ConnNewForRepeat])
				require.LessOrEqual(t, len(h.idle["a:1"]), 1)
				require.Zero(t, h.events[ConnSurplus])
			})
		})
	}
}

// The rates of the largest deployment: a gateway sends each engine a request every few
// seconds, half of which may not be repeated.
func TestShareOfReusedConnections(t *testing.T) {
	testPool(t, func(t *testing.T, h *poolHarness) {
		const requests, perSecond, takes = 2000, 0.3, 800 * time.Millisecond
		random := rand.New(rand.NewPCG(1, 1))
		for range requests {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			limit := MaxIdle
			if random.IntN(2) == 0 {
				limit = time.Second
			}
			go h.send(limit, takes)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		t.Logf("%d of %d reused, %d new for old", h.events[ConnReused], requests, h.events[ConnNewForOld])
		require.Greater(t, h.events[ConnReused], requests*42/100)
	})
}
