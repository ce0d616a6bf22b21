package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// mortalEngine is an engine whose process ends and is started again.
type mortalEngine struct {
	process int
	down    bool
	conns   []net.Conn
}

// engineFleet is an agentHarness whose engines end under deadly requests.
type engineFleet struct {
	*agentHarness
	eventsBefore int    // events that an engine sends of a deadly request
	filler       string // of each of these events

	mu       sync.Mutex
	engines  map[string]*mortalEngine // by address
	ends     []time.Time
	arrivals []time.Time // of deadly requests
}

func testEngineFleet(t *testing.T, f func(t *testing.T, h *engineFleet)) {
	t.Helper()
	testAgentHarness(t, func(t *testing.T, agents *agentHarness) {
		h := &engineFleet{agentHarness: agents, engines: make(map[string]*mortalEngine)}
		for _, target := range h.fleet.Available(streamService) {
			h.engines[target.Address] = &mortalEngine{}
		}
		h.pool.Dial = h.dial
		h.lost = h.reportCrash
		for range 1000 {
			h.replies[""] = append(h.replies[""], h.answer)
		}
		f(t, h)
	})
}

func (h *engineFleet) dial(_ context.Context, address string) (net.Conn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.engines[address]; e != nil && e.down {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	if e := h.engines[address]; e != nil {
		e.conns = append(e.conns, far)
	}
	h.agentHarness.mu.Lock()
	h.conns = append(h.conns, far)
	h.agentHarness.mu.Unlock()
	go h.serveTarget(far, address)
	return near, nil
}

// answer serves a request, or ends the engine's process under a deadly one.
func (h *engineFleet) answer(w net.Conn, call receivedRequest) bool {
	head := strings.Replace(streamHead, "a-1", call.Header.Get("X-Attempt-Id"), 1)
	if !strings.Contains(call.URL.Path, deadly) {
		_, err := io.WriteString(w, head+chunk(events(1, 2))+"0\r\n\r\n")
		return err == nil
	}
	h.mu.Lock()
	h.arrivals = append(h.arrivals, time.Now())
	h.mu.Unlock()
	time.Sleep(crashRunTime)
	if h.eventsBefore > 0 {
		first := 1
		if last := call.Header.Get("Last-Event-Id"); last != "" {
			_, err := fmt.Sscan(last, &first)
			require.NoError(h.t, err)
			first++
		}
		_, _ = io.WriteString(w, head)
		for n := first; n < first+h.eventsBefore; n++ {
			_, _ = io.WriteString(w, chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", n, h.filler)))
		}
	}
	h.crash(call.Address)
	return false
}

// crash ends the process of an engine. A new one with another name is started later.
func (h *engineFleet) crash(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.engines[address]
	if e.down {
		return
	}
	e.down, e.process = true, e.process+1
	h.ends = append(h.ends, time.Now())
	for _, c := range e.conns {
		_ = c.Close()
	}
	e.conns = nil
	name := ident.Target(fmt.Sprintf("s-%s-%d", address, e.process))
	go func() {
		time.Sleep(crashRestart)
		for _, t := range h.fleet.Available(streamService) {
			if t.Address == address {
				h.fleet.Remove(t.Instance, time.Now())
			}
		}
		h.mu.Lock()
		e.down = false
		h.mu.Unlock()
		h.fleet.Put(fleet.Target{Instance: name, Service: streamService, Address: address, StartMS: time.Now().UnixMilli()})
	}()
}

// reportCrash tells of the end of an engine as its agent does.
func (h *engineFleet) reportCrash(c *link.Conn, address string, r wire.RequestLost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	host, _, _ := net.SplitHostPort(address)
	for engine, e := range h.engines {
		if strings.HasPrefix(engine, host+":") && e.down {
			if s, err := c.Open(link.KindCrashReport, &wire.CrashReport{VM: ident.VM(address), StartMS: int64(e.process), Parts: r.Parts}); err == nil {
				s.Close()
			}
		}
	}
}

// crashTimes returns when engines ended, and when deadly requests reached engines.
func (h *engineFleet) crashTimes() (ends, arrivals []time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(ends, h.ends...), append(arrivals, h.arrivals...)
}

// streamWith is a request for an adapter with an ID and headers of its own.
func streamWith(path string, headers ...string) string {
	attempts++
	head := append([]string{"Content-Length: 0\r\n", "X-Model: m/a1\r\n", "X-Token-Count: 100,10\r\n"}, headers...)
	return strings.Replace(rawRequest("POST", path, head...), "a-1", fmt.Sprintf("a-%d", attempts), 1)
}

// sendWhole sends a request and reads all that comes of its response.
func (h *engineFleet) sendWhole(raw string) (status int) {
	res := h.send(raw)
	_, _ = io.Copy(io.Discard, res.Body) // a broken stream has no end
	return res.StatusCode
}

// A request ends each engine that runs it, before or after the first events, and comes again
// under other IDs and as the resumption after different events. Sound requests share a part of
// its prompt.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	for _, path := range []string{"/stream/" + deadly, "/once-stream/" + deadly} {
		for _, eventsBefore := range []int{0, 2} {
			for _, test := range []struct{ name, parts, soundParts string }{
				{"no parts", "", ""},
				{"shared parts", "X-Prompt-Prefix: caller:9,topic:8,own:5\r\n", "X-Prompt-Prefix: caller:9,topic:8,sound:5\r\n"},
				{"shared parts and one that nobody else has", "X-Prompt-Prefix: caller:9,topic:8,rare:7,own:5\r\n", "X-Prompt-Prefix: caller:9,topic:8,sound:5\r\n"},
			} {
				t.Run(fmt.Sprintf("%s, %d events, %s", path, eventsBefore, test.name), func(t *testing.T) {
					testEngineFleet(t, func(t *testing.T, h *engineFleet) {
						h.eventsBefore = eventsBefore
						require.Equal(t, 200, h.sendWhole(streamWith("/stream/sound", test.soundParts)))
						status := 0
						for i := range 60 {
							last := ""
							if i%3 > 0 {
								last = fmt.Sprintf("Last-Event-Id: %d\r\n", i)
							}
							status = h.sendWhole(streamWith(path, test.parts, last))
							h.sendWhole(streamWith("/stream/sound", test.soundParts))
							time.Sleep(500 * time.Millisecond)
						}
						ends, arrivals := h.crashTimes()
						require.GreaterOrEqual(t, len(ends), 3)
						require.LessOrEqual(t, after(arrivals, ends[2].Add(settled)), 3)
						require.Equal(t, 503, status)
						require.Equal(t, 200, h.sendWhole(streamWith("/stream/sound", test.soundParts)))
						_, banned := h.quarantine.Banned([]ident.PromptPart{"caller", "topic"}, time.Now())
						require.False(t, banned, "a part of sound requests")
					})
				})
			}
		}
	}
}

// A request ends each engine that runs it right after its caller has kept the response unread
// for longer than engines may wait.
func TestRequestOfASlowCallerThatCrashesEnginesIsRefused(t *testing.T) {
	testEngineFleet(t, func(t *testing.T, h *engineFleet) {
		h.eventsBefore, h.filler = 5, strings.Repeat("x", maxEventBytes*3/4)
		for range 20 {
			c := h.connect()
			raw := strings.Replace(streamWith("/once-stream/"+deadly), "1000", "9000", 1)
			go func() { _, _ = io.WriteString(c, raw) }()
			time.Sleep(2 * cutAfterUnread)
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			_, _ = io.Copy(io.Discard, c)
		}
		ends, arrivals := h.crashTimes()
		require.GreaterOrEqual(t, len(ends), 3)
		require.LessOrEqual(t, after(arrivals, ends[2].Add(settled)), 3)
	})
}

// ban makes other gateways' evidence ban the request at a path.
func (h *engineFleet) ban(path string) {
	f := quarantine.RequestContent{Caller: "credentials:", Method: "POST", Host: "host.example", URI: path}.Fingerprint()
	var e quarantine.Evidence
	for i := range 3 {
		e.Ends = append(e.Ends, quarantine.EndWithRequests{
			End:      quarantine.End{Target: ident.Target(fmt.Sprintf("other-%d", i)), AtMS: time.Now().UnixMilli() - int64(i)*1000},
			Requests: []quarantine.Fingerprint{f},
		})
	}
	h.Gateway.requests.Replace("other", e, time.Now())
}

// A request is banned while it waits for the grant of its engine, or while its next engine
// has granted it and the one before has yet to end it. It is sent to none, and its grants end.
func TestRequestThatIsBannedWhileItWaitsIsNotSent(t *testing.T) {
	const path = "/stream/x"
	for _, test := range []struct {
		name          string
		prepare       func(h *engineFleet)
		sends, status int
	}{
		{"for a grant", func(h *engineFleet) {
			h.grant = func(string, wire.GrantRequest) wire.GrantReply {
				time.Sleep(600 * time.Millisecond)
				return wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
			}
		}, 0, 503},
		{"with a reserve", func(h *engineFleet) {
			h.script(func(w net.Conn, _ receivedRequest) bool { time.Sleep(time.Minute); return false }, respondRaw(streamHead+chunk(events(1, 2))+"0\r\n\r\n"))
			h.runs = func(string) wire.RunReply {
				return wire.RunReply{Known: true, Running: len(h.Gateway.requests.Sources()) == 0}
			}
		}, 1, 502},
	} {
		t.Run(test.name, func(t *testing.T) {
			testEngineFleet(t, func(t *testing.T, h *engineFleet) {
				test.prepare(h)
				go func() {
					time.Sleep(500 * time.Millisecond)
					h.ban(path)
				}()
				raw := strings.Replace(streamRequest(path), "1000", "5000", 1)
				require.Equal(t, test.status, h.sendWhole(raw))
				require.Len(t, h.receivedRequests(), test.sends)
				time.Sleep(time.Second)
				synctest.Wait()
				require.Zero(t, h.openGrants())
			})
		})
	}
}
