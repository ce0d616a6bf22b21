package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// A stream has begun and breaks off, and the next engine answers with something that is
// not the rest of it. The caller gets none of that, and a stream without its end.
func TestBrokenStreamTakesNothingFromAnErrorResponse(t *testing.T) {
	const (
		text    = "some\n\nerror\n\ndata: text\n\n"
		eventsT = "Content-Type: text/event-stream\r\n"
		jsonT   = "Content-Type: application/json\r\n"
	)
	head := func(status int, headers string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: a-1\r\nX-Server-Stamp: stamp\r\n%s", status, headers)
	}
	framings := []struct {
		name  string
		frame func(head, body string) string
	}{
		{"with a length", func(head, body string) string {
			return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		}},
		{"in chunks", func(head, body string) string {
			return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
		}},
		{"without either", func(head, body string) string { return head + "\r\n" + body }},
	}
	type response struct{ name, raw string }
	var responses []response
	for _, f := range framings {
		for _, status := range []int{201, 202, 203, 206, 302, 400, 401, 404, 408, 409, 413, 421, 429, 500, 502, 503, 504} {
			responses = append(responses, response{fmt.Sprintf("%d %s", status, f.name), f.frame(head(status, ""), text)})
			responses = append(responses, response{fmt.Sprintf("%d with events, %s", status, f.name), f.frame(head(status, eventsT), events(3, 4))})
		}
		responses = append(responses,
			response{"200 of another type, " + f.name, f.frame(head(200, jsonT), text)},
			response{"200 of no type, " + f.name, f.frame(head(200, ""), text)},
			response{"200 with events that were delivered, " + f.name, f.frame(head(200, eventsT), events(1, 4))},
			response{"200 with the last event once more, " + f.name, f.frame(head(200, eventsT), events(2, 4))},
			response{"200 with a comment and the last event, " + f.name, f.frame(head(200, eventsT), ": hello\n\n"+events(2, 4))},
		)
	}
	responses = append(responses,
		response{"204", head(204, eventsT) + "\r\n"},
		response{"200 that ends with its connection before an event", head(200, eventsT) + "\r\n"},
		response{"200 of another type and no length, empty", head(200, jsonT) + "Content-Length: 0\r\n\r\n"},
		response{"no response", "error\r\n\r\n"},
	)
	for _, test := range responses {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.script(respondRaw(streamHead+chunk(events(1, 2)+"id: 3\nda")), respondRaw(test.raw))
				res := h.send(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n"))
				got, err := io.ReadAll(res.Body)
				require.ErrorIs(t, err, io.ErrUnexpectedEOF, "must not look complete")
				require.Equal(t, events(1, 2), string(got))
				require.Len(t, h.receivedRequests(), 2)
			})
		})
	}
}

// The rest of a stream comes from the next engine, which may have nothing left to send.
func TestBrokenStreamTakesItsRest(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Server-Stamp: other\r\nContent-Type: text/event-stream; charset=utf-8\r\n"
	for _, test := range []struct{ name, raw, rest string }{
		{"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(events(3, 4)) + "0\r\n\r\n", events(3, 4)},
		{"with a length", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(events(3, 4)), events(3, 4)), events(3, 4)},
		{"without either", head + "\r\n" + events(3, 4), events(3, 4)},
		{"after a comment", head + "\r\n: again\n\n" + events(3, 4), ": again\n\n" + events(3, 4)},
		{"nothing left, in chunks", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ""},
		{"nothing left, with a length", head + "Content-Length: 0\r\n\r\n", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.script(respondRaw(streamHead+chunk(events(1, 2)+"id: 3\nda")), respondRaw(test.raw))
				res := h.send(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n"))
				got, err := io.ReadAll(res.Body)
				require.NoError(t, err)
				require.Equal(t, events(1, 2)+test.rest, string(got))
			})
		})
	}
}

// A stream that ends with its connection before its first event has been broken off: the
// engine may have ended.
func TestStreamWithoutAnEventAndAnEndIsNotComplete(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.script(respondRaw(unframedHead), respondRaw(unframedHead+events(1, 2)))
		require.Equal(t, events(1, 2), body(t, h.send(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n"))))
		h.script(respondRaw(unframedHead))
		require.Equal(t, 502, h.send(rawRequest("POST", "/once-stream/x", "Content-Length: 0\r\n")).StatusCode)
	})
}

// An engine breaks a stream off that has run for longer than callers wait for its first
// event, and no engine has a place at once: the rest waits for one for as long as its
// caller waits for the next event.
func TestBrokenStreamWaitsForItsNextEngine(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.script(func(w net.Conn, _ receivedRequest) bool {
			_, _ = io.WriteString(w, streamHead)
			for i := 1; i <= 20; i++ {
				time.Sleep(200 * time.Millisecond)
				_, _ = io.WriteString(w, chunk(events(i, i)))
			}
			return false
		}, respondRaw(streamHead+chunk(events(21, 22))+"0\r\n\r\n"))
		var waits []time.Duration
		h.grant = func(_ string, r wire.GrantRequest) wire.GrantReply {
			waits = append(waits, time.Duration(r.MaxWaitMS)*time.Millisecond)
			if len(waits) > 1 {
				time.Sleep(min(500*time.Millisecond, waits[1]))
				if waits[1] < 500*time.Millisecond {
					return wire.GrantReply{Code: wire.GrantBusy, Reason: wire.ReasonPrefill, WaitMS: 500, LinkedEntries: 1}
				}
			}
			return wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
		}
		res := h.send(strings.Replace(streamRequest("/stream/x"), "1000", "20000", 1))
		require.Equal(t, events(1, 22), body(t, res))
		require.Len(t, h.receivedRequests(), 2)
	})
}

// Case: a frozen machine. Its engine stays silent, and the other engines are busy when
// that shows (load pattern: a share of the engines freezes under load, and callers leave a
// stream after four objectives): the request goes to the first one that is free.
func TestRequestOfASilentEngineGoesToTheFirstFreeOne(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.script(func(w net.Conn, _ receivedRequest) bool { time.Sleep(time.Minute); return false }, respondRaw(streamHead+chunk(events(1, 2))+"0\r\n\r\n"))
		began, first := time.Now(), ""
		h.grant = func(address string, _ wire.GrantRequest) wire.GrantReply {
			if first == "" || address == first {
				first = address
				return wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
			}
			if time.Since(began) < 800*time.Millisecond {
				return wire.GrantReply{Code: wire.GrantBusy, Reason: wire.ReasonPrefill, WaitMS: 5000, LinkedEntries: 1}
			}
			return wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
		}
		res := h.send(strings.Replace(streamRequest("/stream/x"), "1000", "20000", 1))
		require.Equal(t, events(1, 2), body(t, res))
		require.Less(t, time.Since(began), 800*time.Millisecond+2*stallRetry)
		require.Len(t, h.receivedRequests(), 2)
	})
}
