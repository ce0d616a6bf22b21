package gateway

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// duplexConn is one end of a connection whose directions end separately, as those of TCP.
type duplexConn struct {
	net.Conn          // that it reads from
	out      net.Conn // that it writes to
}

func newDuplex() (near, far duplexConn) {
	nearIn, farOut := net.Pipe()
	farIn, nearOut := net.Pipe()
	return duplexConn{nearIn, nearOut}, duplexConn{farIn, farOut}
}

func (c duplexConn) Write(b []byte) (int, error)        { return c.out.Write(b) }
func (c duplexConn) SetWriteDeadline(t time.Time) error { return c.out.SetWriteDeadline(t) }
func (c duplexConn) CloseWrite() error                  { return c.out.Close() }
func (c duplexConn) SetDeadline(t time.Time) error {
	_ = c.out.SetDeadline(t)
	return c.Conn.SetDeadline(t)
}

func (c duplexConn) Close() error {
	_ = c.out.Close()
	return c.Conn.Close()
}

// dialDuplex makes the connections to targets end in each direction separately.
func (h *harness) dialDuplex(_ context.Context, address string) (net.Conn, error) {
	near, far := newDuplex()
	h.mu.Lock()
	h.conns = append(h.conns, far)
	h.mu.Unlock()
	go h.serveTarget(far, address)
	return near, nil
}

// runAt is the run of a request at an engine that does not notice at once that its
// connection is closed.
type runAt struct {
	mu      sync.Mutex
	address string
	end     time.Time
}

func (r *runAt) begin(address string, work time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address, r.end = address, time.Now().Add(work)
}

// endsAt returns the end of the run.
func (r *runAt) endsAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end
}

// report is the answer of the agent at an address to the question for the run.
func (r *runAt) report(agent string) wire.RunReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return wire.RunReply{Known: true, Running: agent == agentAddressOf(r.address) && time.Now().Before(r.end)}
}

// lateEngine returns a reply that writes a part of a response and works on for a while
// afterwards. If closes is set, it closes the connection at the end of its work.
func lateEngine(run *runAt, part string, work time.Duration, closes bool) reply {
	return func(w net.Conn, call receivedRequest) bool {
		run.begin(call.Address, work)
		_, _ = io.WriteString(w, part)
		time.Sleep(work)
		if !closes {
			time.Sleep(30 * time.Second)
		}
		return false
	}
}

// Incident: a request goes on at another engine while the one before still works on it. An
// engine may notice late that its connection is closed: a busy process, a request in its
// queue or in prefill, a connection that is silent for good.
func TestRequestGoesOnOnceItsEngineHasEnded(t *testing.T) {
	const latest = 150 * time.Millisecond // after the end of the run
	for _, test := range []struct {
		name, part string
		work       time.Duration
		closes     bool
		rest       string
	}{
		{"no event", "", 1500 * time.Millisecond, true, events(1, 4)},
		{"no event, on a silent connection", "", 1500 * time.Millisecond, false, events(1, 4)},
		{"a head without an event", streamHead, 1500 * time.Millisecond, true, events(1, 4)},
		{"a stalled stream", streamHead + chunk(events(1, 2)), 2500 * time.Millisecond, true, events(3, 4)},
		{"a stalled stream on a silent connection", streamHead + chunk(events(1, 2)), 2500 * time.Millisecond, false, events(3, 4)},
		{"a malformed stream", streamHead + chunk(events(1, 2)) + "zz\r\n", 900 * time.Millisecond, true, events(3, 4)},
		{"a malformed head", "error\r\n\r\n", 900 * time.Millisecond, true, events(1, 4)},
		{"a response to another request", strings.Replace(streamHead, "a-1", "a-0", 1), 900 * time.Millisecond, false, events(1, 4)},
		{"a success without a signature", strings.Replace(streamHead, "X-Server-Stamp: stamp\r\n", "", 1), 900 * time.Millisecond, true, events(1, 4)},
	} {
		t.Run(test.name, func(t *testing.T) {
			testAgentHarness(t, func(t *testing.T, h *agentHarness) {
				h.pool.Dial = h.dialDuplex
				var run runAt
				var next time.Time
				h.runs = run.report
				h.script(lateEngine(&run, test.part, test.work, test.closes), func(w net.Conn, _ receivedRequest) bool {
					next = time.Now()
					_, _ = io.WriteString(w, streamHead+chunk(test.rest)+"0\r\n\r\n")
					return true
				})
				res := h.send(strings.Replace(streamRequest("/stream/x"), "1000", "20000", 1))
				require.Equal(t, events(1, 4), body(t, res))
				require.Len(t, h.receivedRequests(), 2)
				require.False(t, next.Before(run.endsAt()), "it went on %s before the end of its run", run.endsAt().Sub(next))
				require.LessOrEqual(t, next.Sub(run.endsAt()), latest)
			})
		})
	}
}

// An engine that ends its run as soon as its connection is closed, or of which nobody can
// tell anything, holds its request up for no longer than it takes to find that out.
func TestRequestOfAnEndedRunGoesOnAtOnce(t *testing.T) {
	const stalled = minFirstByteWait
	for _, test := range []struct {
		name   string
		target reply
		runs   func(string) wire.RunReply
		within time.Duration
	}{
		{"the engine closes at once", func(w net.Conn, _ receivedRequest) bool {
			_, _ = io.Copy(io.Discard, w)
			return false
		}, nil, 5 * time.Millisecond},
		{"the engine breaks the connection off", func(net.Conn, receivedRequest) bool {
			time.Sleep(stalled)
			return false
		}, nil, 5 * time.Millisecond},
		{"no connection shows it, but the report", func(net.Conn, receivedRequest) bool { time.Sleep(20 * time.Second); return false }, nil, closeWait},
		{"the engine gives no report", func(net.Conn, receivedRequest) bool { time.Sleep(20 * time.Second); return false }, func(string) wire.RunReply {
			time.Sleep(400 * time.Millisecond)
			return wire.RunReply{}
		}, closeWait + 400*time.Millisecond},
		{"the engine's report never comes", func(net.Conn, receivedRequest) bool { time.Sleep(20 * time.Second); return false }, func(string) wire.RunReply {
			time.Sleep(10 * time.Second)
			return wire.RunReply{}
		}, closeWait + runReplyTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			testAgentHarness(t, func(t *testing.T, h *agentHarness) {
				h.pool.Dial = h.dialDuplex
				h.runs = test.runs
				h.script(test.target, respondRaw(streamHead+chunk(events(1, 2))+"0\r\n\r\n"))
				began := time.Now()
				res := h.send(strings.Replace(streamRequest("/stream/x"), "1000", "20000", 1))
				require.Equal(t, events(1, 2), body(t, res))
				require.Len(t, h.receivedRequests(), 2)
				require.LessOrEqual(t, time.Since(began), stalled+test.within+5*time.Millisecond)
			})
		})
	}
}

// The VM of a stalled engine is silent as a whole: its agent is not waited for, and its link
// is kept for the other requests there.
func TestRequestOfASilentVMGoesOn(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.pool.Dial = h.dialDuplex
		h.silent = true
		h.script(func(net.Conn, receivedRequest) bool { time.Sleep(20 * time.Second); return false }, respondRaw(streamHead+chunk(events(1, 2))+"0\r\n\r\n"))
		began := time.Now()
		res := h.send(strings.Replace(streamRequest("/stream/x"), "1000", "20000", 1))
		require.Equal(t, events(1, 2), body(t, res))
		require.LessOrEqual(t, time.Since(began), minFirstByteWait+closeWait+agentReplyTimeout+5*time.Millisecond)
		require.Equal(t, 2, h.linkCount(), "one for each engine")
	})
}

// A caller that leaves while its request waits for the end of a run ends the wait.
func TestCallerLeavesWhileARunIsAwaited(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.pool.Dial = h.dialDuplex
		h.runs = func(string) wire.RunReply { return wire.RunReply{Known: true, Running: true} }
		h.script(func(net.Conn, receivedRequest) bool { time.Sleep(20 * time.Second); return false })
		c := h.connect()
		_, err := io.WriteString(c, strings.Replace(streamRequest("/stream/x"), "1000", "20000", 1))
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 1, h.active.Load())
		require.NoError(t, c.Close())
		time.Sleep(runPollInterval)
		require.Zero(t, h.active.Load())
		require.Len(t, h.receivedRequests(), 1)
		require.Zero(t, h.openGrants())
	})
}

// resetConn is a connection that is reset some time after its request was sent, of which its
// target does not hear.
type resetConn struct {
	duplexConn
	after time.Duration
}

func (c resetConn) Read([]byte) (int, error) {
	time.Sleep(c.after)
	return 0, syscall.ECONNRESET
}

// Incident, the same with a connection that ends on this side alone: a reset or a time-out
// says nothing of the run.
func TestResetConnectionDoesNotShowTheEndOfARun(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		var run runAt
		var next time.Time
		dials := 0
		h.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := h.dialDuplex(ctx, address)
			if dials++; dials == 1 {
				return resetConn{c.(duplexConn), 200 * time.Millisecond}, err
			}
			return c, err
		}
		h.runs = run.report
		h.script(lateEngine(&run, "", 1500*time.Millisecond, false), func(w net.Conn, _ receivedRequest) bool {
			next = time.Now()
			_, _ = io.WriteString(w, streamHead+chunk(events(1, 4))+"0\r\n\r\n")
			return true
		})
		res := h.send(strings.Replace(streamRequest("/stream/x"), "1000", "20000", 1))
		require.Equal(t, events(1, 4), body(t, res))
		require.False(t, next.Before(run.endsAt()), "it went on %s before the end of its run", run.endsAt().Sub(next))
	})
}

// agentAddressOf returns the address of the agent beside a target.
func agentAddressOf(target string) string {
	host, _, _ := net.SplitHostPort(target)
	return net.JoinHostPort(host, "7380")
}

// The agent of an engine hears that a request has ended when the engine has ended it, not
// when its caller has left: until then the place and the adapter are in use.
func TestGrantLastsUntilTheRunHasEnded(t *testing.T) {
	const notice = 30 * time.Millisecond
	for _, test := range []struct{ name, part string }{
		{"before the first event", ""},
		{"inside a stream", streamHead + chunk(events(1, 2))},
	} {
		t.Run(test.name, func(t *testing.T) {
			testAgentHarness(t, func(t *testing.T, h *agentHarness) {
				h.pool.Dial = h.dialDuplex
				var left, ended time.Time
				h.script(func(w net.Conn, _ receivedRequest) bool {
					_, _ = io.WriteString(w, test.part)
					_, _ = io.Copy(io.Discard, w)
					left = time.Now()
					time.Sleep(notice)
					ended = time.Now()
					return false
				})
				c := h.connect()
				go func() { _, _ = io.WriteString(c, strings.Replace(streamRequest("/stream/x"), "1000", "20000", 1)) }()
				if test.part != "" {
					_, err := io.ReadFull(c, make([]byte, 100))
					require.NoError(t, err)
				}
				time.Sleep(100 * time.Millisecond)
				require.Equal(t, 1, h.openGrants())
				closed := time.Now()
				require.NoError(t, c.Close())
				time.Sleep(notice - time.Millisecond)
				synctest.Wait()
				require.Equal(t, closed, left, "the engine hears of it at once")
				require.Equal(t, 1, h.openGrants())
				time.Sleep(2 * time.Millisecond)
				synctest.Wait()
				require.Equal(t, closed.Add(notice), ended)
				require.Zero(t, h.openGrants())
			})
		})
	}
}

// Guards against TWICE: while the agent beside a stalled engine was down, the stream went on at
// another engine although the first one still worked on it.
func TestStreamGoesOnOnceItsEngineHasEndedThoughTheAgentIsDown(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.pool.Dial = h.dialDuplex
		var run runAt
		var next time.Time
		var down atomic.Value
		h.agents.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			if address == down.Load() {
				return nil, syscall.ECONNREFUSED
			}
			return h.dialAgent(ctx, address)
		}
		h.runningAt = func(string) ([]ident.Attempt, error) {
			if !time.Now().Before(run.endsAt()) {
				return nil, nil
			}
			return []ident.Attempt{"a-0", "a-1"}, nil
		}
		h.script(lateEngine(&run, streamHead+chunk(events(1, 2)), 2500*time.Millisecond, false), func(w net.Conn, _ receivedRequest) bool {
			next = time.Now()
			_, _ = io.WriteString(w, streamHead+chunk(events(3, 4))+"0\r\n\r\n")
			return true
		})
		time.AfterFunc(500*time.Millisecond, func() {
			down.Store(agentAddressOf(h.receivedRequests()[0].Address))
			h.cutLinks()
		})
		res := h.send(strings.Replace(streamRequest("/stream/x"), "1000", "20000", 1))
		require.Equal(t, events(1, 4), body(t, res))
		require.False(t, next.Before(run.endsAt()), "it went on %s before the end of its run", run.endsAt().Sub(next))
	})
}
