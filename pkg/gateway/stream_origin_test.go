package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/origin"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// listSoftware lists one engine of each of the versions.
func (h *agentHarness) listSoftware(versions ...ident.Software) {
	var list []fleet.Target
	for i, v := range versions {
		list = append(list, fleet.Target{Instance: ident.Target(fmt.Sprintf("s-%d", i+1)), Service: streamService, Address: fmt.Sprintf("10.0.0.%d:1", i+3), Software: v, StartMS: 1})
	}
	h.fleet.Replace(list, time.Now())
}

// stateSoftware records that targets state the versions.
func (h *agentHarness) stateSoftware(versions ...ident.Software) {
	for _, v := range versions {
		h.softwares.Observe(streamService, v, time.Now())
	}
}

// startAgain makes the gateway one that has just started: it knows nothing of streams.
func (h *agentHarness) startAgain() { h.Gateway.origins = origin.NewTable() }

// softwareOf returns the versions of the targets that the requests reached, in order.
func (h *agentHarness) softwareOf() (out []ident.Software) {
	for _, call := range h.receivedRequests() {
		for _, t := range h.fleet.Known(streamService) {
			if t.Address == call.Address {
				out = append(out, t.Software)
			}
		}
	}
	return out
}

// Guards against ORDER: a stream that its engine broke off went on at an engine of another
// software version.
func TestBrokenStreamGoesOnAtItsSoftwareVersionOnly(t *testing.T) {
	raw := patient(streamRequest("/stream/x"))
	for _, test := range []struct {
		name     string
		versions []ident.Software
		resumed  bool
	}{
		{"another engine of the version", []ident.Software{"v1", "v2", "v1", "v2", "v2"}, true},
		{"none of the version", []ident.Software{"v1", "v2", "v2", "v2"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			for n := range 8 { // placing depends on the attempt
				testAgentHarness(t, func(t *testing.T, h *agentHarness) {
					h.listSoftware(test.versions...)
					time.Sleep(3 * time.Second) // targets that the list lacked are gone
					first := h.fleet.Available(streamService)[0]
					h.grant = func(address string, _ wire.GrantRequest) wire.GrantReply {
						if len(h.receivedRequests()) == 0 && !strings.HasPrefix(first.Address, strings.Split(address, ":")[0]+":") {
							return wire.GrantReply{Code: wire.GrantBusy, WaitMS: 60_000}
						}
						return wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
					}
					h.script(respondRaw(streamHead+chunk(events(1, 2))), respondStreamFrom(3, 4))
					c := h.connect()
					go func() { _, _ = io.WriteString(c, strings.Replace(raw, "m/a1", fmt.Sprint("m/a", n), 1)) }()
					body, err := io.ReadAll(readHead(t, c).Body)
					if test.resumed {
						require.NoError(t, err)
						require.Equal(t, events(1, 4), string(body))
						require.Equal(t, []ident.Software{"v1", "v1"}, h.softwareOf())
						return
					}
					require.ErrorIs(t, err, io.ErrUnexpectedEOF, "nothing shows that the rest is lacking")
					require.Equal(t, []ident.Software{"v1"}, h.softwareOf())
				})
			}
		})
	}
}

// Guards against ORDER: a caller took its stream up again at a gateway that had just started,
// which sent it to an engine of any version.
func TestStreamIsTakenUpAtItsSoftwareVersionOnly(t *testing.T) {
	takeUp := func(stream string) string {
		return strings.Replace(patient(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n", "X-Model: m/a1\r\n", "Last-Event-Id: 2\r\n", stream)), "a-1", "a-2", 1)
	}
	resumes := "Resumes: a-1\r\n"
	for _, test := range []struct {
		name   string
		again  string // the second request
		change func(h *agentHarness)
		status int
		reason string
	}{
		{"at the gateway that began it", takeUp(resumes), func(*agentHarness) {}, 200, ""},
		{"at another gateway", takeUp(resumes), func(h *agentHarness) { h.startAgain() }, 200, ""},
		{"once the version has left", takeUp(resumes), func(h *agentHarness) {
			h.listSoftware("v2", "v2")
			time.Sleep(3 * time.Second)
		}, 503, reasonOriginGone},
		{"after the time that the caller had", takeUp(resumes), func(h *agentHarness) { time.Sleep(20 * time.Second) }, 503, reasonOriginUnknown},
		{"by a name that nobody knows", takeUp("Resumes: other\r\n"), func(*agentHarness) {}, 503, reasonOriginUnknown},
		{"without a name, beside another version", takeUp(""), func(h *agentHarness) { h.stateSoftware("v1", "v2") }, 503, reasonOriginUnknown},
		{"without a name, soon after another version", takeUp(""), func(h *agentHarness) {
			h.stateSoftware("v2", "v1")
			time.Sleep(5 * time.Second)
			h.stateSoftware("v1")
		}, 503, reasonOriginUnknown},
		{"without a name, of the only version", takeUp(""), func(h *agentHarness) { h.stateSoftware("v1") }, 200, ""},
		{"by two names", takeUp(resumes + "Resumes: other\r\n"), func(*agentHarness) {}, 503, reasonOriginUnknown},
		{"while agents are silent", takeUp(resumes), func(h *agentHarness) { h.startAgain(); h.silent = true }, 503, reasonOriginUnanswered},
	} {
		t.Run(test.name, func(t *testing.T) {
			testAgentHarness(t, func(t *testing.T, h *agentHarness) {
				h.listSoftware("v1", "v2", "v2", "v2")
				time.Sleep(3 * time.Second)
				h.grant = func(address string, _ wire.GrantRequest) wire.GrantReply {
					if len(h.receivedRequests()) == 0 && !strings.HasPrefix(address, "10.0.0.3:") {
						return wire.GrantReply{Code: wire.GrantBusy, WaitMS: 60_000}
					}
					return wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
				}
				h.script(respondStreamFrom(1, 2), respondStreamFrom(3, 4))
				require.Equal(t, events(1, 2), body(t, h.send(patient(streamRequest("/stream/x")))))
				test.change(h)
				res := h.send(test.again)
				require.Equal(t, test.status, res.StatusCode)
				got := body(t, res)
				require.Contains(t, got, test.reason)
				want := []ident.Software{"v1"}
				if test.status == 200 {
					want = append(want, "v1")
					require.Equal(t, events(3, 4), got)
				} else {
					require.NotEmpty(t, res.Header.Get("Retry-After"))
				}
				if test.reason != reasonOriginGone {
					require.Equal(t, want, h.softwareOf())
				}
				require.Len(t, h.receivedRequests(), len(want))
			})
		})
	}
}

// A caller names streams of its own account only.
func TestStreamOfAnotherAccountIsNotFound(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.listSoftware("v1")
		h.Gateway.origins.Record(origin.Stream{Account: "one", Attempt: "a-1"}, "v1", time.Minute, time.Now())
		x := &exchange{
			g: h.Gateway, ctx: t.Context(), q: &request{attempt: "a-2", resumes: "a-1", lastEvent: "2"}, account: &platform.Account{Name: "two"},
			route: &platform.Route{RetryPolicy: platform.RunStream, CanResume: true}, deadline: time.Now().Add(time.Second),
			service: platform.Service{Name: streamService},
		}
		_, found := x.findOrigin()
		require.False(t, found)
		x.account.Name = "one"
		_, found = x.findOrigin()
		require.True(t, found)
	})
}

// respondStreamFrom returns a reply with some events of a stream, and its end.
func respondStreamFrom(from, to int) reply {
	return func(w net.Conn, call receivedRequest) bool {
		_, err := io.WriteString(w, strings.Replace(streamHead, "a-1", call.Header.Get("X-Attempt-Id"), 1)+chunk(events(from, to))+"0\r\n\r\n")
		return err == nil
	}
}

// readHead reads the head of a response.
func readHead(t *testing.T, c net.Conn) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	return res
}

// Guards against LOST: with few engines left of a version, new streams took the places that
// the rest of begun ones needed.
func TestRestOfAStreamGoesFirst(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		var ranks []int
		h.grant = func(_ string, r wire.GrantRequest) wire.GrantReply {
			h.mu.Lock()
			defer h.mu.Unlock()
			ranks = append(ranks, r.Rank)
			return wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
		}
		h.script(respondRaw(streamHead+chunk(events(1, 2))), respondStreamFrom(3, 4), respondStreamFrom(5, 6))
		require.Equal(t, events(1, 4), body(t, h.send(patient(streamRequest("/stream/x")))))
		takeUp := patient(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n", "X-Model: m/a1\r\n", "Last-Event-Id: 4\r\n", "Resumes: a-1\r\n"))
		require.Equal(t, events(5, 6), body(t, h.send(takeUp)))
		require.Len(t, ranks, 3)
		require.Less(t, ranks[1], ranks[0], "the rest of a broken stream")
		require.Less(t, ranks[2], ranks[0], "a stream that its caller takes up")
	})
}
