package orderer

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoproad/hyssoproad/pkg/common"
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
	reply := readGrant(t, f).Reply
	return reply
}

// Streams that have paused for too long are counted, and a row tells what was read on the
// engine meanwhile: one for the many streams that one prompt has delayed.
func TestLongPausesAreExplained(t *testing.T) {
	testOrdererWith(t, func(t *testing.T, o *Orderer, e *fakeEngine) {
		var rows bytes.Buffer
		o.Log = common.NewLog(&rows, "info")
		scope := tally.NewTestScope("", nil)
		o.metrics = newMetrics(scope)
		o.mu.Lock()
		o.scheduler.Setup(wire.EngineSetup{Configuration: 1, Instance: "i-1", Slots: 8, KVTokens: 100_000, MB: 100, AdapterSlots: 2, Models: []wire.ModelSetup{{Name: "m", MB: 90, AdapterMB: 1}}})
		o.recordPaceLocked(160, paceOfResponse, time.Now())
		o.mu.Unlock()
		first, replies := o.enqueue(wire.AccountGrantRequest{Request: wire.GrantRequest{Attempt: "r-1", Model: "m", PromptTokens: 100, OutputTokens: 10, MaxWaitMS: 5000, ObjectiveMS: 800}})
		require.Equal(t, wire.GrantIssued, (<-replies).Code)
		o.mu.Lock()
		o.scheduler.Started(first, 50*time.Millisecond, time.Now())
		o.mu.Unlock()
		_, replies = o.enqueue(wire.AccountGrantRequest{Request: wire.GrantRequest{Attempt: "r-2", Model: "m", PromptTokens: 1500, OutputTokens: 10, MaxWaitMS: 5000, ObjectiveMS: 800}})
		require.Equal(t, wire.GrantIssued, (<-replies).Code)
		for range 3 {
			o.mu.Lock()
			o.recordLatePauseLocked(first, wire.PaceReport{Pace: 100, GapObjectiveMS: 300, PauseMS: 400})
			o.mu.Unlock()
		}
		require.Equal(t, 1, strings.Count(rows.String(), "stream paused for too long"), rows.String())
		require.Contains(t, rows.String(), "request=r-1 pause-ms=400 objective-ms=300 pace-at-head=100 peak-pace=160 peak-running=2")
		require.Contains(t, rows.String(), "largest-prompt=1500")
		require.Equal(t, int64(3), scope.Snapshot().Counters()["late_pauses+"].Value())
		time.Sleep(latePauseRowInterval)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.recordLatePauseLocked(first, wire.PaceReport{Pace: 100, GapObjectiveMS: 300, PauseMS: 400})
		require.Contains(t, rows.String(), "skipped=2")
	})
}
