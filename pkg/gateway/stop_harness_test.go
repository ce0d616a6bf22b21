package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"
)

// stopCall is a request of a caller around a stop of the process.
type stopCall struct {
	after time.Duration // from SIGTERM to the request
	raw   string
	// restAfter is the time from SIGTERM to the rest of the request.
	rest      string
	restAfter time.Duration
}

// stopAnswer is what the caller got.
type stopAnswer struct {
	stopCall
	accepted   bool
	status     int
	retryAfter string
	err        error // the response is incomplete
	ended      time.Duration
}

// playStop stops the gateway and sends the requests at their times, each on a connection
// of its own. All connections close once Stop has returned, as when the process exits. It
// returns the answers of those whose connections were accepted.
func (h *harness) playStop(calls []stopCall) (accepted []stopAnswer, took time.Duration) {
	return h.playStopAndRunOn(calls, 0)
}

// playStopAndRunOn is like playStop, but the process runs on for a time once Stop has returned.
func (h *harness) playStopAndRunOn(calls []stopCall, runsOn time.Duration) (accepted []stopAnswer, took time.Duration) {
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	h.listener = l
	go h.accept(l)
	var lead time.Duration
	for _, c := range calls {
		lead = max(lead, -c.after)
	}
	term := time.Now().Add(lead)
	answers := make([]stopAnswer, len(calls))
	var group sync.WaitGroup
	for i, c := range calls {
		group.Go(func() {
			time.Sleep(time.Until(term.Add(c.after)))
			near, err := l.dial()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns = append(h.conns, near)
			h.mu.Unlock()
			go func() { // fails if the process exits first
				_, _ = io.WriteString(near, c.raw)
				time.Sleep(time.Until(term.Add(c.restAfter)))
				_, _ = io.WriteString(near, c.rest)
			}()
			a := stopAnswer{stopCall: c, accepted: true}
			res, err := http.ReadResponse(bufio.NewReader(near), nil)
			if a.err = err; err == nil {
				a.status, a.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
				_, a.err = io.ReadAll(res.Body)
			}
			a.ended = time.Since(term)
			answers[i] = a
		})
	}
	time.Sleep(time.Until(term))
	require.NoError(h.t, h.Stop(h.t.Context()))
	took = time.Since(term)
	if runsOn > 0 {
		time.Sleep(runsOn)
	}
	h.mu.Lock()
	for _, c := range h.conns {
		_ = c.Close()
	}
	h.mu.Unlock()
	group.Wait()
	for _, a := range answers {
		if a.accepted {
			accepted = append(accepted, a)
		}
	}
	return accepted, took
}

// pipeListener accepts pipes.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

// Accept returns the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (l *pipeListener) Close() error { close(l.done); return nil }

// Addr returns nil.
func (l *pipeListener) Addr() net.Addr { return nil }

func (l *pipeListener) dial() (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// stopCalls returns the same request at several times.
func stopCalls(raw string, after ...time.Duration) []stopCall {
	var out []stopCall
	for i, d := range after {
		out = append(out, stopCall{after: d, raw: strings.Replace(raw, "a-1", fmt.Sprint("a-", i), 1)})
	}
	return out
}

// every returns the times from one to another at an interval.
func every(interval, from, to time.Duration) []time.Duration {
	var out []time.Duration
	for d := from; d <= to; d += interval {
		out = append(out, d)
	}
	return out
}

// patient lets the caller of a raw request wait for 15 s.
func patient(raw string) string { return strings.Replace(raw, "1000", "15000", 1) }

// repeat makes all targets reply alike.
func (h *harness) repeat(r reply) {
	for range 500 {
		h.replies[""] = append(h.replies[""], r)
	}
}

// respondStream returns a reply that streams events at an interval after a prefill.
func respondStream(prefill, interval time.Duration, n int) reply {
	return func(w net.Conn, call receivedRequest) bool {
		time.Sleep(prefill)
		head := strings.Replace(streamHead, "a-1", call.Header.Get("X-Attempt-Id"), 1)
		for i := 1; i <= n; i++ {
			if _, err := io.WriteString(w, head+chunk(events(i, i))); err != nil {
				return false
			}
			head = ""
			time.Sleep(interval)
		}
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err == nil
	}
}
