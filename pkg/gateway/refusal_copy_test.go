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
		for _, status := range []int{400, 408, 421, 429, 500, 503} {
			for _, delay := range []time.Duration{0, 5 * time.Millisecond, 40 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s %d after %s", path, status, delay), func(t *testing.T) {
					testHarness(t, func(t *testing.T, h *harness) {
						h.fleet.Remove("p-2", time.Now())
						h.fleet.Remove("s-2", time.Now())
						var runs atomic.Int64
						h.script(respondRawKept(refusalOf(status)), runBesideCopy(&runs, refusalOf(status), delay))
						raw := rawRequest("POST", path, "Content-Length: 0\r\n")
						require.Equal(t, 503, h.send(raw).StatusCode)
						res := h.send(raw)
						require.Equal(t, int64(1), runs.Load())
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
					var runs atomic.Int64
					run := runBesideCopy(&runs, refusalOf(421), 5*time.Millisecond)
					h.script(func(w net.Conn, call receivedRequest) bool {
						if others {
							h.fleet.Put(fleet.Target{Instance: "p-2", Service: plainService, Address: "10.0.0.2:1"})
							h.fleet.Put(fleet.Target{Instance: "s-2", Service: streamService, Address: "10.0.0.4:1"})
							h.loads.begin("p-2") // so that the target at the address comes first
							h.loads.begin("s-2")
						}
						return respondRawKept(refusalOf(421))(w, call)
					}, run, run, run)
					res := h.send(rawRequest("POST", path, "Content-Length: 0\r\n"))
					require.Equal(t, int64(1), runs.Load())
					require.Equal(t, 200, res.StatusCode)
					require.Equal(t, events(1, 2), body(t, res))
				})
			})
		}
	}
}

// respondRawKept returns a reply that writes text and keeps the connection.
func respondRawKept(text string) reply {
	return func(w net.Conn, _ receivedRequest) bool { _, err := io.WriteString(w, text); return err == nil }
}

// runBesideCopy returns a reply that begins to run the request and writes text, which is
// no response to it, while it runs. A copy whose request came on a new connection finds its
// own connection closed.
func runBesideCopy(runs *atomic.Int64, text string, delay time.Duration) reply {
	return func(w net.Conn, call receivedRequest) bool {
		runs.Add(1)
		time.Sleep(delay)
		if call.reused {
			if _, err := io.WriteString(w, text); err != nil {
				return false
			}
		}
		time.Sleep(50 * time.Millisecond)
		if strings.Contains(call.URL.Path, "stream") {
			_, err := io.WriteString(w, streamHead+chunk(events(1, 2))+"0\r\n\r\n")
			return err == nil
		}
		return respond(200, events(1, 2))(w, call)
	}
}
