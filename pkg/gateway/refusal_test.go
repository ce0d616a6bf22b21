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
)

// A faulty engine writes an earlier refusal once more on a kept connection, just before or
// after the next request reaches it, and then serves that request. A refusal that names no
// request promises nothing about this one.
func TestEarlierRefusalIsNoAnswerToTheNextRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\n%sX-Not-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nfull"
	for _, test := range []struct {
		name, path, copied string
		fresh              bool // on a new connection
		status             int
		body               string
	}{
		{"it names its own request", "/unsafe/x", fmt.Sprintf(refusal, "X-Attempt-Id: a-1\r\n"), false, 200, "second"},
		{"it names no request", "/unsafe/x", fmt.Sprintf(refusal, ""), false, 200, "second"},
		{"it names no request, and the next may be repeated", "/safe/x", fmt.Sprintf(refusal, ""), false, 200, "second"},
		{"of another status", "/unsafe/x", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", false, 200, "second"},
		{"an error that names no request", "/unsafe/x", "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", false, 200, "second"},
		{"it comes twice", "/unsafe/x", fmt.Sprintf(refusal, "") + fmt.Sprintf(refusal, ""), false, 200, "second"},
		{"on a new connection", "/unsafe/x", fmt.Sprintf(refusal, ""), true, 502, ""},
		{"on a new connection, of another status", "/unsafe/x", "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n", true, 502, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.fleet.Remove("p-2", time.Now())
				var runs atomic.Int64
				served := func(w net.Conn, call receivedRequest) bool {
					_, _ = io.WriteString(w, test.copied)
					time.Sleep(10 * time.Millisecond)
					runs.Add(1)
					return respond(200, "second")(w, call)
				}
				if !test.fresh {
					h.script(respond(200, "first"))
					require.Equal(t, "first", body(t, h.send(rawRequest("POST", test.path, "Content-Length: 0\r\n"))))
				}
				h.script(served, served)
				res := h.send(strings.Replace(rawRequest("POST", test.path, "Content-Length: 0\r\n"), "a-1", "a-2", 1))
				require.Equal(t, test.status, res.StatusCode)
				if test.body != "" {
					require.Equal(t, test.body, body(t, res))
				}
				time.Sleep(time.Second)
				require.LessOrEqual(t, runs.Load(), int64(1))
			})
		})
	}
}

// An engine answers with a status that promises that the request has not run, but doesn't
// say so: a request that must not be repeated may have run.
func TestStatusAlonePromisesNothing(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		testHarness(t, func(t *testing.T, h *harness) {
			h.script(respond(status, ""), respond(200, "again"))
			res := h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"))
			require.Equal(t, 502, res.StatusCode, "status %d", status)
			require.Empty(t, res.Header.Get("X-Server-Stamp"))
			require.Len(t, h.receivedRequests(), 1)
		})
	}
}

// Nothing in a response tells whose it is if the request has no ID, after one that has an ID
// and after one that has none.
func TestRequestsWithoutAnIDUseNewConnections(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.fleet.Remove("p-2", time.Now())
		h.script(respond(200, "first"), respond(200, "second"), respond(200, "third"))
		named := rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n")
		require.Equal(t, "first", body(t, h.send(named)))
		for _, want := range []string{"second", "third"} {
			raw := strings.Replace(named, "X-Attempt-Id: a-1\r\n", "", 1)
			require.Equal(t, want, body(t, h.send(raw)))
		}
		require.Len(t, h.conns, 6, "three connections of callers, three to the target")
	})
}
