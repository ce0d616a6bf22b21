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
		long, err := c.Open(link.KindGrantRequest, &wire.GrantRequest{
			Model: "m", Adapter: ident.AdapterVersion{Adapter: "a"}, PromptTokens: 3000, OutputTokens: 10, MaxWaitMS: 5000, ObjectiveMS: 800, HasAlternative: true, AlternativeHolds: true,
		})
		require.NoError(t, err)
		f, err := long.Receive(t.Context())
		require.NoError(t, err)
		var reply wire.GrantReply
		_, err = reply.UnmarshalMsg(f.Body)
		require.NoError(t, err)
		require.Equal(t, wire.GrantBusy, reply.Code)
		require.Equal(t, wire.ReasonLongPrompt, reply.Reason)
	})
}

// A pace that the engine's own report states counts as well.
func TestPaceOfTheEnginesReportIsUsed(t *testing.T) {
	testOrdererWith(t, func(t *testing.T, o *Orderer, e *fakeEngine) {
		e.mu.Lock()
		e.load, _ = platform.ParseLoad([]byte("1,0,48,250"))
		e.mu.Unlock()
		time.Sleep(time.Second)
		o.mu.Lock()
		defer o.mu.Unlock()
		require.Equal(t, 2.5, o.scheduler.PaceFactor(time.Now()))
	})
}
