package orderer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// A gateway reports the pace of a response with the first event, and a long prompt then
// does not pause the stream; a report of an unusable pace changes nothing.
func TestReportedPaceBoundsThePrefill(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
		e.mu.Lock()
		e.held["a"] = 1
		e.mu.Unlock()
		c := entry()
		time.Sleep(time.Second)
		_, s := requestGrant(t, c, "a")
		require.NoError(t, s.Send(link.KindPaceReport, &wire.PaceReport{Pace: 400, Running: 1, GapObjectiveMS: 300, EventUS: 33_000}))
		require.NoError(t, s.Send(link.KindPaceReport, &wire.PaceReport{Pace: -1, GapObjectiveMS: 300}))
		require.NoError(t, s.Send(link.KindGrantFirstEvent, &wire.GrantFirstEvent{FirstEventMS: 100}))
		synctest.Wait()
		reply := askLong(t, c)
		require.Equal(t, wire.GrantBusy, reply.Code)
		require.Equal(t, wire.ReasonLongPrompt, reply.Reason)
	})
}

// A pace that the head of the engine's own report states counts as well, and while requests
// run the report is read often enough to follow it.
func TestPaceOfTheEnginesReportIsFollowed(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
		state := func(load string) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.load, _ = platform.ParseLoad([]byte(load))
		}
		e.mu.Lock()
		e.held["a"] = 1
		e.mu.Unlock()
		state("1,0,48,100")
		c := entry()
		time.Sleep(time.Second)
		_, s := requestGrant(t, c, "a")
		require.NoError(t, s.Send(link.KindPaceReport, &wire.PaceReport{Pace: 100, GapObjectiveMS: 300, EventUS: 33_000}))
		require.NoError(t, s.Send(link.KindGrantFirstEvent, &wire.GrantFirstEvent{FirstEventMS: 100}))
		time.Sleep(time.Second)
		state("1,0,48,400")
		time.Sleep(2 * pacePoll)
		require.Equal(t, wire.ReasonLongPrompt, askLong(t, c).Reason)
	})
}

// askLong asks for a grant for a long prompt that the next home can take, too.
func askLong(t *testing.T, c *link.Conn) wire.GrantReply {
	t.Helper()
	s, err := c.Open(link.KindGrantRequest, &wire.GrantRequest{
		Model: "m", Adapter: ident.AdapterVersion{Adapter: "a"}, PromptTokens: 3000, OutputTokens: 10, MaxWaitMS: 5000, ObjectiveMS: 800, HasAlternative: true, AlternativeHolds: true,
	})
	require.NoError(t, err)
	f, err := s.Receive(t.Context())
	require.NoError(t, err)
	var reply wire.GrantReply
	_, err = reply.UnmarshalMsg(f.Body)
	require.NoError(t, err)
	return reply
}
