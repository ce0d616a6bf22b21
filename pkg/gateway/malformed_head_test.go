package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/platform"
)

// malformedAnswer is an answer whose head RFC 9112 does not allow.
type malformedAnswer struct {
	name       string
	statusLine string
	fields     string
}

var malformedAnswers = []malformedAnswer{
	{"code 000", "HTTP/1.1 000 OK", ""},
	{"code 001", "HTTP/1.1 001 OK", ""},
	{"code 101", "HTTP/1.1 101 Switching Protocols", ""},
	{"code 999", "HTTP/1.1 999 OK", ""},
	{"HTTP/2.0", "HTTP/2.0 200 OK", ""},
	{"space in a name", "HTTP/1.1 200 OK", "X A: 1\r\n"},
	{"space before the colon", "HTTP/1.1 200 OK", "X-A : 1\r\n"},
	{"space in a name of a folded field", "HTTP/1.1 200 OK", "X A: 1\r\n b\r\n"},
	{"space in a name after a bare line feed", "HTTP/1.1 200 OK", "X-B: 1\nX A: 1\r\n"},
	{"space in a name of an informational head", "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK", ""},
	{"line feed before a name", "HTTP/1.1 200 OK", "\nX-A: 1\r\n"},
	{"zero byte in a name", "HTTP/1.1 200 OK", "X\x00A: 1\r\n"},
	{"control byte in a name", "HTTP/1.1 200 OK", "X\x01A: 1\r\n"},
	{"control byte in a name of a folded field", "HTTP/1.1 200 OK", "X\x01A: 1\r\n b\r\n"},
	{"transfer coding in HTTP/1.0", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n"},
	{"two framings", "HTTP/1.1 200 OK", "Content-Length: 2\r\n"},
	{"control byte in a value", "HTTP/1.1 200 OK", "X-A: a\x01b\r\n"},
}

// plain returns a reply of the answer with a plain body, which keeps the connection open.
func (m malformedAnswer) plain() reply { return m.reply("Content-Length: 2\r\n\r\nok") }

// stream returns a reply of the answer with the events from one number on, the last one being
// the fifth. It keeps the connection open.
func (m malformedAnswer) stream(from int) reply {
	return m.reply("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(events(from, 5)) + "0\r\n\r\n")
}

func (m malformedAnswer) reply(rest string) reply {
	return func(w net.Conn, call receivedRequest) bool {
		_, err := fmt.Fprintf(w, "%s\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: malformed\r\n%s%s", m.statusLine, call.Header.Get("X-Attempt-Id"), m.fields, rest)
		return err == nil
	}
}

// Guards against MIXED, TWICE and REFUSED: no caller gets an answer with a malformed head. A
// request that may be repeated goes to another target, the others end as unknown.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	soundStream := respondRaw(streamHead + chunk(events(1, 5)) + "0\r\n\r\n")
	for _, test := range malformedAnswers {
		for _, route := range []struct {
			path             string
			repeatable       bool
			malformed, sound reply
		}{
			{"/safe/x", true, test.plain(), respond(200, "yes")},
			{"/unsafe/x", false, test.plain(), respond(200, "yes")},
			{"/stream/x", true, test.stream(1), soundStream},
			{"/once-stream/x", false, test.stream(1), soundStream},
		} {
			t.Run(test.name+" on "+route.path, func(t *testing.T) {
				testHarness(t, func(t *testing.T, h *harness) {
					h.script(route.malformed, route.sound)
					res := h.send(rawRequest("POST", route.path, "Content-Length: 0\r\n"))
					if !route.repeatable {
						require.Equal(t, 502, res.StatusCode)
						require.Len(t, h.receivedRequests(), 1)
						return
					}
					require.Equal(t, 200, res.StatusCode)
					require.Equal(t, "stamp", res.Header.Get(platform.HeaderSignature))
					require.Contains(t, []string{"yes", events(1, 5)}, body(t, res))
					require.Len(t, h.receivedRequests(), 2)
				})
				testHarness(t, func(t *testing.T, h *harness) {
					h.repeat(route.malformed)
					require.Equal(t, 502, h.send(rawRequest("POST", route.path, "Content-Length: 0\r\n")).StatusCode)
				})
			})
		}
	}
}

// Guards against MIXED: the same of answers that end with their connection.
func TestMalformedHeadWithoutLengthIsNoAnswer(t *testing.T) {
	for _, test := range malformedAnswers {
		if test.name == "two framings" {
			continue // sound without the second one
		}
		for _, answer := range []struct{ path, rest string }{
			{"/unsafe/x", "\r\nok"}, {"/once-stream/x", "Content-Type: text/event-stream\r\n\r\n" + events(1, 5)},
		} {
			t.Run(test.name+" on "+answer.path, func(t *testing.T) {
				testHarness(t, func(t *testing.T, h *harness) {
					h.script(func(w net.Conn, call receivedRequest) bool {
						test.reply(answer.rest)(w, call)
						return false
					})
					require.Equal(t, 502, h.send(rawRequest("POST", answer.path, "Content-Length: 0\r\n")).StatusCode)
					require.Len(t, h.receivedRequests(), 1)
				})
			})
		}
	}
}

// Guards against MIXED: a line that is no field does not frame the body, nor do two that
// contradict each other.
func TestMalformedFieldFramesNoBody(t *testing.T) {
	for _, rest := range []string{
		"Content-Length : 1\r\n\r\nok", "Transfer-Encoding : chunked\r\n\r\n1\r\no\r\n0\r\n\r\n", "\nContent-Length: 2\r\n\r\nok",
		"Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n0\r\n\r\n",
	} {
		testHarness(t, func(t *testing.T, h *harness) {
			h.script(respondRaw("HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Server-Stamp: stamp\r\n" + rest))
			require.Equal(t, 502, h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n")).StatusCode)
			require.Len(t, h.receivedRequests(), 1)
		})
	}
}

// Guards against MIXED: an answer whose trailer is malformed is incomplete.
func TestMalformedTrailerEndsNoAnswer(t *testing.T) {
	malformed := respondRaw(streamHead + chunk(events(1, 5)) + "0\r\nX\x01T: 1\r\n\r\n")
	testHarness(t, func(t *testing.T, h *harness) {
		rows := h.logRows()
		h.script(malformed)
		require.Equal(t, 502, h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n")).StatusCode)
		require.Len(t, h.receivedRequests(), 1)
		require.Equal(t, 1, rows.rows(`step=body err="name of a field in line \"X\\x01T: 1\": malformed response head" passed-over`), rows.b.String())
	})
	testHarness(t, func(t *testing.T, h *harness) {
		h.script(malformed)
		res := h.send(rawRequest("POST", "/once-stream/x", "Content-Length: 0\r\n"))
		_, err := io.ReadAll(res.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}

// Guards against ORDER: a stream whose rest comes with a malformed head does not look complete.
func TestMalformedHeadEndsNoStream(t *testing.T) {
	for _, test := range malformedAnswers {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.script(respondRaw(streamHead+chunk(events(1, 3))), test.stream(4))
				res := h.send(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n"))
				require.Equal(t, 200, res.StatusCode)
				text, err := io.ReadAll(res.Body)
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				require.Equal(t, events(1, 3), string(text))
			})
		})
	}
}

// A malformed head leaves a row with its request, target and fault, and counts against the
// target. Its connection carries nothing further.
func TestMalformedHeadIsLoggedAndCounted(t *testing.T) {
	for _, test := range malformedAnswers {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				rows := h.logRows()
				scope := tally.NewTestScope("", nil)
				h.metrics = newMetrics(scope)
				dials := 0
				h.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
					if address == "10.0.0.1:1" {
						dials++
					}
					return h.dialTarget(ctx, address)
				}
				h.repeat(func(w net.Conn, call receivedRequest) bool {
					if call.Address == "10.0.0.1:1" {
						return test.plain()(w, call)
					}
					return respond(200, "yes")(w, call)
				})
				h.fleet.Put(fleet.Target{Instance: "p-3", Service: plainService, Address: "10.0.0.5:1"})
				failed := 0
				for i := range 40 {
					raw := strings.Replace(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"), "a-1", fmt.Sprint("a-", i), 1)
					if h.send(raw).StatusCode == 502 {
						failed++
					}
				}
				synctest.Wait()
				require.NotZero(t, failed)
				require.Equal(t, failed, rows.rows(`msg="target failed" request=a-`))
				require.Equal(t, failed, rows.rows(`target=p-1 service=plain step=answer err="`))
				require.Equal(t, 2*failed, rows.rows("malformed response head"), "the fault, also in the row of the request's end")
				require.Equal(t, int64(failed), scope.Snapshot().Counters()["malformed_heads+"].Value())
				require.NotZero(t, rows.rows("passed-over=true"), "the target is ejected")
				require.Less(t, failed, 10)
				require.Equal(t, failed, dials, "none of the connections was used again")
			})
		})
	}
}

// Answers that are unusual but allowed reach their callers.
func TestUnusualHeadsReachCallers(t *testing.T) {
	for _, test := range []struct {
		name, statusLine, fields string
		status                   int
		header, value            string
	}{
		{"unknown code of a known class", "HTTP/1.1 299 X", "", 299, "", ""},
		{"no reason phrase", "HTTP/1.1 200", "", 200, "", ""},
		{"empty value", "HTTP/1.1 200 OK", "X-A:\r\n", 200, "X-A", ""},
		{"whitespace around a value", "HTTP/1.1 200 OK", "X-A: \t a \t \r\n", 200, "X-A", "a"},
		{"folded value", "HTTP/1.1 200 OK", "X-A: a\r\n\t b\r\n", 200, "X-A", "a b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				h.script(respondRaw(test.statusLine + "\r\nX-Attempt-Id: a-1\r\nX-Server-Stamp: stamp\r\n" + test.fields + "Content-Length: 3\r\n\r\nyes"))
				res := h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"))
				require.Equal(t, test.status, res.StatusCode)
				require.Equal(t, "yes", body(t, res))
				if test.header != "" {
					require.Equal(t, []string{test.value}, res.Header.Values(test.header))
				}
			})
		})
	}
}
