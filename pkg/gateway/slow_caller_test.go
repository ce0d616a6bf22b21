package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// engineUnread is how long the engines of these tests let a response stay unread.
const engineUnread = 2 * time.Second

// sizedEvents returns events of the given length each.
func sizedEvents(from, to, size int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, strings.Repeat("d", size))
	}
	return b.String()
}

// streamUnlessUnread returns a reply that sends events and cuts the response off, with a
// reset connection, when one of them stays unread for engineUnread.
func streamUnlessUnread(from, to, size int, cut *atomic.Bool) reply {
	return func(w net.Conn, _ receivedRequest) bool {
		send := func(text string) bool {
			_ = w.SetWriteDeadline(time.Now().Add(engineUnread))
			if _, err := io.WriteString(w, text); err != nil {
				cut.Store(true)
				return false
			}
			return true
		}
		if !send(streamHead) {
			return false
		}
		for i := from; i <= to; i++ {
			if !send(chunk(sizedEvents(i, i, size))) {
				return false
			}
			time.Sleep(10 * time.Millisecond)
		}
		return send("0\r\n\r\n")
	}
}

// startStream sends a request with a timeout of 9 s and returns the reader of its body,
// after the first byte.
func (h *harness) startStream(raw string) (net.Conn, *http.Response) {
	c := h.connect()
	go func() { _, _ = io.WriteString(c, strings.Replace(raw, "1000", "9000", 1)) }()
	res, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
	require.NoError(h.t, err)
	return c, res
}

// A caller reads nothing for longer than an engine lets a response stay unread. The engine
// was not read either, and cut the stream off. What fits is held for the caller, and the
// engine's place is free once the engine has ended.
func TestStreamIsHeldForASlowCaller(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		const events, size = 100, 2000
		var cut atomic.Bool
		h.script(streamUnlessUnread(1, events, size, &cut))
		_, res := h.startStream(streamRequest("/once-stream/x"))
		time.Sleep(2 * engineUnread)
		require.False(t, cut.Load())
		require.Zero(t, h.openGrants(), "the engine has ended")
		require.GreaterOrEqual(t, h.bodies.used.Load(), int64(events*size))
		require.Equal(t, sizedEvents(1, events, size), body(t, res))
		synctest.Wait()
		require.Zero(t, h.bodies.used.Load())
	})
}

// More than may be held: the engine cuts the response off because the caller does not read
// it. The engine counted as failed, and the caller's stall as one of the engine's.
func TestEngineIsNotBlamedForASlowCaller(t *testing.T) {
	for _, test := range []struct {
		path string
		runs int
		rest bool // the caller gets the rest from another engine
	}{
		{"/once-stream/x", 1, false},
		{"/stream/x", 2, true},
	} {
		t.Run(test.path, func(t *testing.T) {
			testAgentHarness(t, func(t *testing.T, h *agentHarness) {
				const events, size = 20, 60_000
				var cut, again atomic.Bool
				h.script(streamUnlessUnread(1, events, size, &cut), func(w net.Conn, call receivedRequest) bool {
					var last int
					_, err := fmt.Sscan(call.Header.Get("Last-Event-Id"), &last)
					require.NoError(t, err)
					return streamUnlessUnread(last+1, events, size, &again)(w, call)
				})
				_, res := h.startStream(streamRequest(test.path))
				time.Sleep(engineUnread + 500*time.Millisecond)
				require.True(t, cut.Load())
				require.Len(t, h.receivedRequests(), 1, "no stall of the engine")
				got, err := io.ReadAll(res.Body)
				if test.rest {
					require.NoError(t, err)
					require.Equal(t, sizedEvents(1, events, size), string(got))
				} else {
					require.Error(t, err, "unfinished")
					require.True(t, strings.HasPrefix(sizedEvents(1, events, size), string(got)))
				}
				require.Len(t, h.receivedRequests(), test.runs)
				require.False(t, h.detector(streamService).AnyEjected(time.Now()))
				for _, target := range []ident.Target{"s-1", "s-2"} {
					require.Zero(t, h.detector(streamService).FailureRate(target), target)
				}
				synctest.Wait()
				require.Zero(t, h.bodies.used.Load())
			})
		})
	}
}

// A caller that reads nothing at all is given up after writeTimeout, and one that reads
// slowly gets a whole response, which it had to read within writeTimeout before.
func TestCallersMayReadAsSlowlyAsTheyLike(t *testing.T) {
	const size = 1 << 20
	for _, test := range []struct {
		name    string
		each    int           // bytes read
		every   time.Duration // at this interval
		whole   bool
		seconds float64 // until the end
	}{
		{"slow", 128 << 10, time.Second, true, 8},
		{"not at all", 128 << 10, time.Minute, false, 5},
		{"too slow", 8 << 10, time.Second, false, 30},
	} {
		t.Run(test.name, func(t *testing.T) {
			testHarness(t, func(t *testing.T, h *harness) {
				large := strings.Repeat("b", size)
				h.script(respond(200, large))
				began := time.Now()
				c, res := h.startStream(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"))
				defer c.Close()
				synctest.Wait()
				require.Zero(t, h.loads.get("p-1").ownRequests+h.loads.get("p-2").ownRequests, "its target has ended")
				require.GreaterOrEqual(t, h.bodies.used.Load(), int64(size), "it counts")
				var got int
				var err error
				buffer := make([]byte, test.each)
				for err == nil {
					time.Sleep(test.every)
					var n int
					n, err = io.ReadFull(res.Body, buffer)
					got += n
				}
				require.Equal(t, test.whole, got == size)
				if test.whole {
					require.InDelta(t, test.seconds, time.Since(began).Seconds(), 1.5)
				}
				time.Sleep(time.Minute)
				require.Zero(t, h.bodies.used.Load())
			})
		})
	}
}

// Hundreds of callers stop reading streams and bodies at once. What is held for them stays
// within the sum that bounds all bodies, and leaves room for others, whose events come as
// before.
func TestHundredsOfSlowCallersShareTheLimit(t *testing.T) {
	const streams, bodies, size = 300, 100, 20_000
	testHarness(t, func(t *testing.T, h *harness) {
		h.bodies = newBodyBuffers(smallVM)
		before := liveBytes()
		var cut atomic.Bool
		var replies []reply
		for range streams {
			replies = append(replies, streamUnlessUnread(1, 200, size, &cut))
		}
		h.script(replies...)
		for range streams {
			h.startStream(rawRequest("POST", "/once-stream/x", "Content-Length: 0\r\n"))
		}
		time.Sleep(500 * time.Millisecond)
		used := h.bodies.used.Load()
		require.Greater(t, used, h.bodies.limit/4)
		// Half of the limit, and one buffer of each stream that grew at the same moment.
		require.Less(t, used, h.bodies.limit*3/4, "the rest is left to others")
		require.Less(t, liveBytes()-before, h.bodies.limit+(streams+bodies)*(64<<10))

		h.script(func(w net.Conn, _ receivedRequest) bool {
			for i := 1; i <= 10; i++ {
				start := ""
				if i == 1 {
					start = streamHead
				}
				if _, err := io.WriteString(w, start+chunk(events(i, i))); err != nil {
					return false
				}
				time.Sleep(50 * time.Millisecond)
			}
			_, err := io.WriteString(w, "0\r\n\r\n")
			return err == nil
		})
		began := time.Now()
		require.Equal(t, events(1, 10), body(t, h.send(rawRequest("POST", "/once-stream/x", "Content-Length: 0\r\n"))))
		require.InDelta(t, 500, time.Since(began).Milliseconds(), 20)
		h.script(respond(200, strings.Repeat("b", size)))
		require.Len(t, body(t, h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"))), size, "there is memory for others")

		replies = nil
		for range bodies {
			replies = append(replies, respond(200, strings.Repeat("b", 200_000)))
		}
		h.script(replies...)
		for range bodies {
			c := h.connect()
			go func() { _, _ = io.WriteString(c, rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n")) }()
		}
		time.Sleep(100 * time.Millisecond)
		require.LessOrEqual(t, h.bodies.used.Load(), h.bodies.limit)
		time.Sleep(time.Minute)
		require.Zero(t, h.bodies.used.Load(), "all is released")
	})
}

// A caller keeps more than may be held unread for longer than an engine may be silent, but
// not long enough for the engine to cut it off. The deadline of the engine's next event had
// passed meanwhile, so that the stream moved to another engine.
func TestSlowCallerIsNoStallOfItsEngine(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		const events, size = 20, 60_000
		var cut atomic.Bool
		h.script(streamUnlessUnread(1, events, size, &cut), streamUnlessUnread(1, events, size, &cut))
		_, res := h.startStream(streamRequest("/stream/x"))
		time.Sleep(engineUnread - 200*time.Millisecond)
		require.Equal(t, sizedEvents(1, events, size), body(t, res))
		require.Len(t, h.receivedRequests(), 1)
		require.False(t, cut.Load())
	})
}
