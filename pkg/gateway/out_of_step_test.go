package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/origin"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// listHarness is an agent harness whose gateway follows the list of targets in a store.
type listHarness struct {
	*agentHarness
	store *keyStore

	mu      sync.Mutex
	records map[int]string // of the engines, without their heartbeats
}

// testTargetList runs a gateway that knows two engines of version v1.
func testTargetList(t *testing.T, f func(t *testing.T, h *listHarness)) {
	t.Helper()
	testAgentHarness(t, func(t *testing.T, agents *agentHarness) {
		h := &listHarness{agentHarness: agents, store: &keyStore{Objects: standin.NewObjects(1)}, records: make(map[int]string)}
		h.Gateway.fleet, h.awaitTargetList = fleet.New(), h.targetList.Await
		h.node.Bounds.Draining, h.node.Bounds.Configuration, h.node.Bounds.Version = 2*time.Second, 2*time.Second, 5*time.Second
		h.node.Bounds.Settled, h.node.TargetHeartbeat = 3*time.Second, 1200*time.Millisecond
		h.register(1, "v1", 1)
		h.register(2, "v1", 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go h.beat(ctx)
		go h.followers(h.store.source())[1].Run(ctx)
		time.Sleep(20 * time.Second) // as long as callers take streams up again
		f(t, h)
	})
}

// register makes an engine write its record, now and at each heartbeat.
func (h *listHarness) register(n int, v ident.Software, startMS int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records[n] = fmt.Sprintf(`{"service":%q,"address":"10.0.0.%d:1","state":"ready","version":%q,"born":%d,"seq":`, streamService, n, v, startMS)
	h.write(n, 1)
}

// write writes an engine's record. The caller holds mu.
func (h *listHarness) write(n, beat int) {
	require.NoError(h.t, h.store.Publish(platform.KindTargets, fmt.Sprintf("s-%d", n), json.RawMessage(fmt.Sprint(h.records[n], beat, "}"))))
}

// beat writes the records of the engines at intervals until ctx ends.
func (h *listHarness) beat(ctx context.Context) {
	for beat := 2; ctx.Err() == nil; beat++ {
		select {
		case <-time.After(h.node.TargetHeartbeat):
		case <-ctx.Done():
		}
		h.mu.Lock()
		for n := range h.records {
			h.write(n, beat)
		}
		h.mu.Unlock()
	}
}

// leave makes the store remove an engine's record.
func (h *listHarness) leave(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.records, n)
	h.store.Withdraw(platform.KindTargets, fmt.Sprintf("s-%d", n))
}

// reached returns the addresses of the engines that requests have reached.
func (h *listHarness) reached() (out []string) {
	for _, call := range h.receivedRequests() {
		out = append(out, call.Address)
	}
	return out
}

// Guards against ORDER: a gateway that was out of step with the list of targets, while engines
// of a new software version joined, sent the rest of streams that had begun on these to an
// engine of another version.
func TestGatewayOutOfStepDoesNotGuessTheVersionOfAStream(t *testing.T) {
	cut := func(h *listHarness) { h.store.set(func(s *keyStore) { s.cut = true }) }
	heal := func(h *listHarness) { h.store.set(func(s *keyStore) { s.cut = false }) }
	for _, test := range []struct {
		name   string
		stream string // header line that names it
		change func(h *listHarness)
		reason string // of the refusal; empty if the stream goes on
		at     string
	}{
		{"in step, without a name", "", func(*listHarness) {}, "", "v1"},
		{"cut off, without a name", "", func(h *listHarness) {
			cut(h)
			time.Sleep(3 * time.Second)
			h.register(3, "v2", 1)
		}, reasonOriginUnanswered, ""},
		{"cut off, without a name, beside another version", "", func(h *listHarness) {
			h.register(3, "v2", 1)
			time.Sleep(3 * time.Second)
			cut(h)
		}, reasonOriginUnknown, ""},
		{"between two updates of the list, without a name", "", func(h *listHarness) { h.register(3, "v2", 1) }, reasonOriginUnknown, ""},
		{"the version has left since, without a name", "", func(h *listHarness) {
			cut(h)
			h.register(3, "v2", 1)
			time.Sleep(7 * time.Second)
			h.leave(3)
			heal(h)
			time.Sleep(time.Second)
		}, reasonOriginUnknown, ""},
		{"no version has joined meanwhile, without a name", "", func(h *listHarness) {
			cut(h)
			time.Sleep(7 * time.Second)
			heal(h)
			time.Sleep(time.Second)
		}, "", "v1"},
		{"nobody tells what has joined meanwhile, without a name", "", func(h *listHarness) {
			cut(h)
			time.Sleep(7 * time.Second)
			h.store.DiscardHistory()
			heal(h)
			time.Sleep(time.Second)
		}, reasonOriginUnknown, ""},
		{"long after that, without a name", "", func(h *listHarness) {
			cut(h)
			time.Sleep(7 * time.Second)
			h.store.DiscardHistory()
			heal(h)
			time.Sleep(16 * time.Second)
		}, "", "v1"},
		{"cut off, by name", "Resumes: a-1\r\n", func(h *listHarness) {
			cut(h)
			h.register(3, "v2", 1)
		}, reasonOriginUnanswered, ""},
		{"cut off, its version not listed", "Resumes: a-1\r\n", func(h *listHarness) {
			cut(h)
			h.Gateway.origins.Record(origin.Stream{Attempt: "a-1"}, "v2", time.Minute, time.Now())
		}, reasonOriginGone, ""},
		{"between two updates of the list, by name", "Resumes: a-1\r\n", func(h *listHarness) { h.register(3, "v2", 1) }, "", "v2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			testTargetList(t, func(t *testing.T, h *listHarness) {
				h.originsAt("10.0.0.3:7380").Record(origin.Stream{Attempt: "a-1"}, "v2", time.Minute, time.Now())
				h.script(respondStreamFrom(3, 4))
				test.change(h)
				res := h.send(strings.Replace(patient(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n", "X-Model: m/a1\r\n", "Last-Event-Id: 2\r\n", test.stream)), "a-1", "a-2", 1))
				got := body(t, res)
				if test.reason != "" {
					require.Equal(t, 503, res.StatusCode, got)
					require.Contains(t, got, `"`+test.reason+`"`)
					require.Empty(t, h.reached())
					if test.reason != reasonOriginUnknown {
						wait, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
						require.NoError(t, err)
						require.LessOrEqual(t, wait, 1.0, "another gateway knows more")
					}
					return
				}
				require.Equal(t, 200, res.StatusCode, got)
				require.Equal(t, events(3, 4), got)
				require.Equal(t, []ident.Software{ident.Software(test.at)}, h.softwareOf())
			})
		})
	}
}

// Guards against ORDER: an engine started again under its name as another software version, or
// another engine at its address, before the gateway's list said so.
func TestStreamGoesOnAtTheProcessThatTheListDescribesOnly(t *testing.T) {
	for _, test := range []struct {
		name    string
		startMS int64 // as the agents know it
		engine  ident.Target
		resumed bool
	}{
		{"the process of the list", 1, "s-2", true},
		{"one that started since", 7, "s-2", false},
		{"another engine at the address", 1, "s-9", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			testTargetList(t, func(t *testing.T, h *listHarness) {
				first := ""
				h.grant = func(address string, _ wire.GrantRequest) wire.GrantReply {
					reply := wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
					if first == "" {
						first = address
					}
					if address != first {
						reply.Instance, h.startMS = test.engine, test.startMS
						if test.engine == "s-2" && strings.HasPrefix(address, "10.0.0.1:") {
							reply.Instance = "s-1"
						}
					}
					return reply
				}
				h.script(respondRaw(streamHead+chunk(events(1, 2))), respondStreamFrom(3, 4))
				res := h.send(patient(streamRequest("/stream/x")))
				got, err := io.ReadAll(res.Body)
				if test.resumed {
					require.NoError(t, err)
					require.Equal(t, events(1, 4), string(got))
					return
				}
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				require.Equal(t, events(1, 2), string(got))
				require.Len(t, h.reached(), 1)
			})
		})
	}
}

// Guards against ORDER: a stream that an engine had begun after a start which the gateway's
// list did not show yet was remembered as one of the version before.
func TestStreamOfAProcessThatIsNotListedHasNoKnownVersion(t *testing.T) {
	testTargetList(t, func(t *testing.T, h *listHarness) {
		h.startMS = 7
		h.script(respondStreamFrom(1, 2), respondStreamFrom(3, 4))
		require.Equal(t, events(1, 2), body(t, h.send(patient(streamRequest("/stream/x")))))
		takeUp := strings.Replace(patient(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n", "X-Model: m/a1\r\n", "Last-Event-Id: 2\r\n", "Resumes: a-1\r\n")), "a-1", "a-2", 1)
		res := h.send(takeUp)
		require.Equal(t, 503, res.StatusCode, body(t, res))
		require.Len(t, h.reached(), 1)
	})
}
