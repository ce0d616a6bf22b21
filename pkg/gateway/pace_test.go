package gateway

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// respondPaced returns a reply that streams n events at an interval and states a load.
func respondPaced(load string, interval time.Duration, n int) reply {
	return func(w net.Conn, _ receivedRequest) bool {
		if _, err := io.WriteString(w, strings.Replace(streamHead, "\r\n\r\n", "\r\nX-Instance-Load: "+load+"\r\n\r\n", 1)); err != nil {
			return false
		}
		for i := range n {
			if _, err := io.WriteString(w, chunk(events(i+1, i+1))); err != nil {
				return false
			}
			time.Sleep(interval)
		}
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err == nil
	}
}

// sendStream sends a streamed request and reads its whole response.
func (h *agentHarness) sendStream() {
	h.t.Helper()
	res := h.send(streamRequest("/stream/"))
	require.Equal(h.t, 200, res.StatusCode)
	_, err := io.Copy(io.Discard, res.Body)
	require.NoError(h.t, err)
	synctest.Wait()
}

// The agent beside an engine learns the pace that each response states, the stream's pause
// objective and the time between two events, on the stream of the grant and before the
// first event. Without a pace it is told nothing more than before.
func TestAgentsLearnThePaceOfTheirEngine(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.script(respondPaced("3,0,48,250", 40*time.Millisecond, 20), respondPaced("4,0,48,160.4", 50*time.Millisecond, 3), respondPaced("5,0,48", 0, 3), respondPaced("x,0,48,80", 0, 3))
		for range 4 {
			h.sendStream()
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		require.Equal(t, []wire.PaceReport{
			{Pace: 250, Running: 3, GapObjectiveMS: 300}, {Pace: 160, Running: 4, GapObjectiveMS: 300, EventUS: 16_000}, {Pace: 80, Running: -1, GapObjectiveMS: 300, EventUS: 16_000},
		}, h.paces)
		first, report := link.KindGrantFirstEvent, link.KindPaceReport
		require.Equal(t, []link.Kind{report, first, report, first, first, report, first}, h.kinds)
	})
}

// An agent of an earlier release closes the link when it gets a frame of an unknown kind.
func TestAgentsThatDoNotReadPacesGetNone(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.script(respondPaced("3,0,48,250", 0, 3))
		c := h.directory.Configuration()
		for _, target := range h.fleet.Available(streamService) {
			conn, err := h.agents.connWithSetup(t.Context(), target, c, c.Services[streamService])
			require.NoError(t, err)
			conn.Peer.NewestKind = uint8(link.KindRunReply)
		}
		h.sendStream()
		require.Empty(t, h.paces)
		require.Equal(t, []link.Kind{link.KindGrantFirstEvent}, h.kinds)
	})
}

// A caller with little time left sends a long prompt while all engines are slow: it is not
// refused because of the pace, since an engine would run it.
func TestLongPromptsAreNotRefusedForTheirForecastWait(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.script(respondPaced("3,0,48,400", 0, 3))
		h.grant = func(_ string, r wire.GrantRequest) wire.GrantReply {
			if r.HasAlternative {
				return wire.GrantReply{Code: wire.GrantBusy, Reason: wire.ReasonLongPrompt, WaitMS: 300, LinkedEntries: 1}
			}
			return wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
		}
		res := h.send(strings.Replace(streamRequest("/stream/"), "X-Deadline-Ms: 1000", "X-Deadline-Ms: 500", 1))
		require.Equal(t, 200, res.StatusCode)
	})
}

// A prompt that is too long for the pace of its home is moved on, without spreading the
// adapter over more homes and without asking more engines than usual. If all say so, the
// home with the shortest wait runs it in the end.
func TestLongPromptsMoveOnWithoutSpreadingTheirAdapter(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.script(respondPaced("3,0,48,400", 0, 3))
		h.grant = func(_ string, r wire.GrantRequest) wire.GrantReply {
			if r.HasAlternative {
				return wire.GrantReply{Code: wire.GrantBusy, Reason: wire.ReasonLongPrompt, WaitMS: 300, LinkedEntries: 1}
			}
			return wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
		}
		h.sendStream()
		require.Equal(t, 3, h.grantRequests())
		w := ident.Weights{Model: streamModel, AdapterVersion: ident.AdapterVersion{Adapter: "a1"}}
		require.Equal(t, 1, h.spread.Width(w, time.Now()))
	})
}
