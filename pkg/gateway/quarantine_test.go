package gateway

import (
	"encoding/json"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/follow"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// promptRequest is a request whose prompt has the parts and a last one of its own.
func promptRequest(parts string) string {
	return rawRequest("POST", "/stream/x", "Content-Length: 0\r\n", "X-Model: m/a1\r\n", "X-Token-Count: 100,10\r\n", "X-Prompt-Prefix: "+parts+",own:5\r\n")
}

// crashingEngines makes the engines end, and their agents report it, when they begin to
// answer a request with the part "bad".
func crashingEngines(h *agentHarness) {
	crashes := int64(0)
	h.lost = func(c *link.Conn, address string, r wire.RequestLost) {
		crashes++
		if s, err := c.Open(link.KindCrashReport, &wire.CrashReport{VM: ident.VM(address), StartMS: crashes, Parts: r.Parts}); err == nil {
			s.Close()
		}
	}
	answer := func(w net.Conn, call receivedRequest) bool {
		if strings.Contains(call.Header.Get("X-Prompt-Prefix"), "bad") {
			time.Sleep(100 * time.Millisecond)
			return respondRaw(streamHead)(w, call)
		}
		return respondRaw(streamHead+chunk(events(1, 2))+"0\r\n\r\n")(w, call)
	}
	for range 100 {
		h.replies[""] = append(h.replies[""], answer)
	}
}

func (h *agentHarness) receivedWith(part string) int {
	n := 0
	for _, r := range h.receivedRequests() {
		if strings.Contains(r.Header.Get("X-Prompt-Prefix"), part) {
			n++
		}
	}
	return n
}

// Requests with one part in common end each engine that begins to answer them. Sound
// ones share their first part.
func TestPartThatCrashesEnginesIsRefused(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		crashingEngines(h)
		recorded := make(map[ident.PromptPart]string)
		h.bans.put = func(part ident.PromptPart, spec json.RawMessage) error {
			recorded[part] = string(spec)
			return nil
		}
		require.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", body(t, h.send(promptRequest("caller:9"))))
		statuses := make(map[int]int)
		for range 20 {
			res := h.send(promptRequest("caller:9,bad:8"))
			statuses[res.StatusCode]++
			if res.StatusCode == 503 {
				require.NotEmpty(t, res.Header.Get("Retry-After"))
			}
			time.Sleep(200 * time.Millisecond)
		}
		require.Equal(t, 3, h.receivedWith("bad"), "sends that reached an engine")
		// The first report of a crash comes just before or just after the first request
		// is retried: three requests are sent once, or one twice and one once.
		require.Contains(t, []map[int]int{{502: 2, 503: 18}, {502: 3, 503: 17}}, statuses)
		require.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", body(t, h.send(promptRequest("caller:9,other:8"))))
		synctest.Wait()
		require.Len(t, recorded, 1)
		require.Contains(t, recorded["bad"], "start-ms")
	})
}

// An engine has ended under a part before. A request with it that is lost the same way is
// not sent to the next engine; other lost requests are.
func TestLostRequestWithASuspectedPartIsNotSentOn(t *testing.T) {
	for _, test := range []struct {
		part  ident.PromptPart // under which an engine has ended
		sends int
	}{{"bad", 1}, {"other", 2}} {
		testAgentHarness(t, func(t *testing.T, h *agentHarness) {
			crashingEngines(h)
			h.lost = nil
			h.quarantine.Record(quarantine.Crash{VM: "vm-1", StartMS: 1}, []ident.PromptPart{test.part}, time.Now())
			require.Equal(t, 502, h.send(promptRequest("caller:9,bad:8")).StatusCode)
			require.Equal(t, test.sends, h.receivedWith("bad"))
		})
	}
}

// A gateway that starts learns of bans from the store, and an operator lifts one by
// deleting its record.
func TestBansOfTheStoreHold(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		crashingEngines(h)
		f := h.banFollower(follow.Source{}, nil)
		ban := platform.Object{Name: "bad", Position: platform.Position{Revision: 7}, Spec: json.RawMessage(`{"crashes":[{"vm":"vm-1","start-ms":1}],"gateway":"vm-2"}`)}
		f.OnList(follow.Listing{Objects: []platform.Object{ban, {Name: "broken", Spec: json.RawMessage(`[`)}}})
		require.Equal(t, 503, h.send(promptRequest("bad:8")).StatusCode)
		require.Zero(t, h.receivedWith("bad"))
		f.OnChanges([]platform.Event{{Object: ban, Removed: true}})
		require.Equal(t, 502, h.send(promptRequest("bad:8")).StatusCode)
		require.NotZero(t, h.receivedWith("bad"))
		f.OnList(follow.Listing{Objects: []platform.Object{ban}})
		f.OnList(follow.Listing{})
		_, banned := h.quarantine.Banned([]ident.PromptPart{"bad"}, time.Now())
		require.False(t, banned, "no longer listed")
	})
}

// A part that was banned wrongly, as its requests show elsewhere, is no longer.
func TestWrongBanIsRemovedFromTheStore(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		var removed []ident.PromptPart
		h.bans.remove = func(part ident.PromptPart, at platform.Position) error {
			require.Equal(t, platform.Position{Revision: 7}, at)
			removed = append(removed, part)
			return nil
		}
		f := h.banFollower(follow.Source{}, nil)
		f.OnList(follow.Listing{Objects: []platform.Object{{Name: "sound", Position: platform.Position{Revision: 7}, Spec: json.RawMessage(`{}`)}}})
		h.clearParts([]ident.PromptPart{"sound"})
		synctest.Wait()
		require.Equal(t, []ident.PromptPart{"sound"}, removed)
		// A gateway that has just started and knows no event yet bans it again.
		f.OnChanges([]platform.Event{{Object: platform.Object{Name: "sound", Position: platform.Position{Revision: 7}, Spec: json.RawMessage(`{}`)}}})
		synctest.Wait()
		require.Equal(t, []ident.PromptPart{"sound", "sound"}, removed)
	})
}

// The store has lost the record of a ban with the copy that it returned from: the ban
// holds, and one gateway writes it again. A record that is missing later was deleted by an
// operator.
func TestBanThatTheStoreHasLostIsWrittenAgain(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		crashingEngines(h)
		var written []ident.PromptPart
		h.bans.put = func(part ident.PromptPart, _ json.RawMessage) error {
			written = append(written, part)
			return nil
		}
		f := h.banFollower(follow.Source{}, nil)
		record := platform.Object{Name: "bad", Position: platform.Position{Era: 1, Revision: 7}, Spec: json.RawMessage(`{"crashes":[{"vm":"vm-1","start-ms":1}],"gateway":"vm-2"}`)}
		f.OnList(follow.Listing{Objects: []platform.Object{record}})
		f.OnList(follow.Listing{Restored: true})
		require.Equal(t, 503, h.send(promptRequest("bad:8")).StatusCode)
		time.Sleep(maxBanDelay)
		synctest.Wait()
		require.Equal(t, []ident.PromptPart{"bad"}, written)
		require.Zero(t, h.receivedWith("bad"))
		record.Position = platform.Position{Era: 2, Revision: 6}
		f.OnChanges([]platform.Event{{Object: record}})
		f.OnList(follow.Listing{})
		require.Equal(t, 502, h.send(promptRequest("bad:8")).StatusCode)
		require.Equal(t, []ident.PromptPart{"bad"}, written)
	})
}
