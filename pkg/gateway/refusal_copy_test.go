package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
)

// refusalOf returns a target's refusal of the request a-1.
func refusalOf(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: a-1\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull", status)
}

// A target refuses a request and sends the refusal once more when it has begun to run the
// same request, which its caller has sent again with the same ID.
func TestCopyOfARefusalIsNoAnswerToTheSameRequestSentAgain(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/once-stream/x", "/stream/x"} {
		for _, status := range []int{200, 202, 302, 400, 404, 408, 421, 429, 500, 503} {
			for _, delay := range []time.Duration{0, 5 * time.Millisecond, 40 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s %d after %s", path, status, delay), func(t *testing.T) {
					testHarness(t, func(t *testing.T, h *harness) {
						h.fleet.Remove("p-2", time.Now())
						h.fleet.Remove("s-2", time.Now())
						target := &copyingTarget{refusal: refusalOf(status), delay: delay}
						h.script(target.refuse, target.run)
						raw := rawRequest("POST", path, "Content-Length: 0\r\n")
						require.Equal(t, 503, h.send(raw).StatusCode)
						res := h.send(raw)
						require.Equal(t, int64(1), target.runs.Load())
						require.Equal(t, 200, res.StatusCode)
						require.Equal(t, events(1, 2), body(t, res))
					})
				})
			}
		}
	}
}

// Another target has the address. It says so, begins to run the request that is sent to it
// next, and sends its refusal once more. With others, the request could run there too.
func TestCopyOfARefusalByAddressIsNoAnswerOfTheTargetThere(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/once-stream/x", "/stream/x"} {
		for _, others := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s others %t", path, others), func(t *testing.T) {
				testHarness(t, func(t *testing.T, h *harness) {
					targets := []fleet.Target{
						{Instance: "p-1", Service: plainService, Address: "10.0.0.1:1", StartMS: 2}, {Instance: "p-3", Service: plainService, Address: "10.0.0.1:1", StartMS: 1},
						{Instance: "s-1", Service: streamService, Address: "10.0.0.3:1", StartMS: 2}, {Instance: "s-3", Service: streamService, Address: "10.0.0.3:1", StartMS: 1},
					}
					h.fleet.Replace(targets, time.Now())
					target := &copyingTarget{refusal: refusalOf(421), delay: 5 * time.Millisecond}
					h.script(func(w net.Conn, call receivedRequest) bool {
						if others {
							h.fleet.Put(fleet.Target{Instance: "p-2", Service: plainService, Address: "10.0.0.2:1"})
							h.fleet.Put(fleet.Target{Instance: "s-2", Service: streamService, Address: "10.0.0.4:1"})
							h.loads.begin("p-2") // so that the target at the address comes first
							h.loads.begin("s-2")
						}
						return target.refuse(w, call)
					}, target.run, target.run, target.run)
					res := h.send(rawRequest("POST", path, "Content-Length: 0\r\n"))
					require.Equal(t, int64(1), target.runs.Load())
					require.Equal(t, 200, res.StatusCode)
					require.Equal(t, events(1, 2), body(t, res))
				})
			})
		}
	}
}

// copyingTarget refuses a request, and sends the refusal once more when it has begun to run
// the request that comes next.
type copyingTarget struct {
	refusal string
	delay   time.Duration // of the copy
	refused net.Conn      // the connection of the refusal
	runs    atomic.Int64
}

func (c *copyingTarget) refuse(w net.Conn, _ receivedRequest) bool {
	c.refused = w
	_, err := io.WriteString(w, c.refusal)
	return err == nil
}

func (c *copyingTarget) run(w net.Conn, call receivedRequest) bool {
	c.runs.Add(1)
	time.Sleep(c.delay)
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		_, _ = io.WriteString(c.refused, c.refusal) // fails if the gateway has closed it
	}()
	time.Sleep(50 * time.Millisecond)
	if w == c.refused {
		<-copied
	}
	if strings.Contains(call.URL.Path, "stream") {
		_, err := io.WriteString(w, streamHead+chunk(events(1, 2))+"0\r\n\r\n")
		return err == nil
	}
	return respond(200, events(1, 2))(w, call)
}

// A copy whose length the request that waits would read in another way reaches no other
// request.
func TestCopyOfARefusalOfAnotherMethodIsSkipped(t *testing.T) {
	const head = "HTTP/1.1 503 X\r\nX-Attempt-Id: a-1\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\n"
	for _, test := range []struct{ first, second, refusal string }{{"POST", "HEAD", head + "full"}, {"HEAD", "POST", head}} {
		t.Run(test.first+" before "+test.second, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.fleet.Remove("p-2", time.Now())
				target := &copyingTarget{refusal: test.refusal, delay: 5 * time.Millisecond}
				h.script(target.refuse, func(w net.Conn, call receivedRequest) bool {
					if call.Method == "HEAD" {
						go func() { _, _ = io.WriteString(target.refused, target.refusal) }()
						time.Sleep(10 * time.Millisecond)
						return respondRaw("HTTP/1.1 200 X\r\nX-Attempt-Id: a-2\r\nX-Server-Stamp: s\r\nContent-Length: 6\r\n\r\n")(w, call)
					}
					return target.run(w, call)
				})
				require.Equal(t, 503, h.send(rawRequest(test.first, "/unsafe/x", "Content-Length: 0\r\n")).StatusCode)
				res := h.send(strings.Replace(rawRequest(test.second, "/unsafe/x", "Content-Length: 0\r\n"), "a-1", "a-2", 1))
				require.Equal(t, 200, res.StatusCode)
			})
		})
	}
}

// The gateway reads the last ID of a request that has two, and its target the first one.
func TestCopyOfARefusalOfARequestWithTwoIDs(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.fleet.Remove("p-2", time.Now())
		target := &copyingTarget{refusal: refusalOf(503), delay: 5 * time.Millisecond}
		h.script(target.refuse, target.run)
		h.send(rawRequest("POST", "/unsafe/x", "X-Attempt-Id: \r\nContent-Length: 0\r\n"))
		res := h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"))
		require.Equal(t, int64(1), target.runs.Load())
		require.Equal(t, 200, res.StatusCode)
	})
}

// Refusals without a length, whose target keeps the connection, are not waited for, and a copy
// of one that swallows the response ends the request at once.
func TestRefusalsWithoutALengthAreNotWaitedFor(t *testing.T) {
	const bare = "HTTP/1.1 503 X\r\nX-Attempt-Id: a-1\r\nX-Not-Executed: 1\r\n\r\nfull"
	testHarness(t, func(t *testing.T, h *harness) {
		began := time.Now()
		refuse := &copyingTarget{refusal: bare}
		h.script(refuse.refuse, respond(200, "second"))
		require.Equal(t, 200, h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n")).StatusCode)
		require.Zero(t, time.Since(began))
	})
	for _, path := range []string{"/safe/x", "/unsafe/x", "/once-stream/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.fleet.Remove("p-2", time.Now())
				h.fleet.Remove("s-2", time.Now())
				refuse := &copyingTarget{refusal: refusalOf(503)}
				h.script(refuse.refuse)
				require.Equal(t, 503, h.send(rawRequest("POST", path, "Content-Length: 0\r\n")).StatusCode)
				began := time.Now()
				h.script(func(w net.Conn, _ receivedRequest) bool {
					_, _ = io.WriteString(w, bare)
					time.Sleep(time.Minute)
					return false
				})
				res := h.send(strings.Replace(rawRequest("POST", path, "Content-Length: 0\r\n"), "a-1", "a-2", 1))
				require.Equal(t, 502, res.StatusCode, "it may have run")
				require.Less(t, time.Since(began), 100*time.Millisecond)
			})
		})
	}
}
