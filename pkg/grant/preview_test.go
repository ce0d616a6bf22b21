package grant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// requirePreview requires that a preview equals the answer that the request then gets, and
// that it changes nothing.
func requirePreview(t require.TestingT, sched *Scheduler, req *Request, now time.Time) wire.GrantReply {
	sched.Decide(now)
	before := sched.clone(now)
	preview := sched.Preview(req.GrantRequest, now)
	after := sched.clone(now)
	require.Equal(t, before, after)
	req.Enqueued = now
	sched.Enqueue(req)
	for _, reply := range sched.Decide(now) {
		if reply.ID == req.ID {
			require.Equal(t, reply.GrantReply, preview)
			return preview
		}
	}
	require.Zero(t, preview.Code, "the request waits")
	return preview
}

// TestPreviewTellsTheWait guards against an explanation that shows no wait for a request that
// has to wait.
func TestPreviewTellsTheWait(t *testing.T) {
	sched := schedulerWith(4, 1)
	require.Equal(t, wire.GrantIssued, requirePreview(t, sched, request(1, 1, start), start).Code)
	waits := requirePreview(t, sched, request(2, 2, start), start)
	require.Zero(t, waits.Code)
	require.Equal(t, wire.ReasonLoading, waits.Reason)
	require.EqualValues(t, initialColdTime.Milliseconds(), waits.WaitMS)
	sched.SetDraining(true)
	require.Equal(t, wire.ReasonDraining, requirePreview(t, sched, request(3, 1, start), start).Reason)
}

// TestPreviewEqualsTheDecisionAndChangesNothing guards against a preview that takes a slot, a
// permit or demand, and against one that another function decides.
func TestPreviewEqualsTheDecisionAndChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sched := schedulerWith(3, 1, 2)
		now := start
		if rapid.Bool().Draw(t, "limited") {
			sched.SetLimit(rapid.Float64Range(1, 50).Draw(t, "limit"), now)
		}
		for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			id := RequestID(i + 1)
			req := request(id, rapid.IntRange(1, 4).Draw(t, "adapter"), now)
			req.HasAlternative, req.AlternativeHolds = rapid.Bool().Draw(t, "alternative"), rapid.Bool().Draw(t, "holds")
			req.MaySwitchModel = rapid.Bool().Draw(t, "switch")
			if rapid.IntRange(0, 5).Draw(t, "model") == 0 {
				req.Model = ident.Model("other")
			}
			req.MaxWaitMS = int64(rapid.IntRange(0, 2000).Draw(t, "wait"))
			requirePreview(t, sched, req, now)
			switch rapid.IntRange(0, 3).Draw(t, "then") {
			case 0:
				sched.Started(id, 50*time.Millisecond, start)
			case 1:
				sched.Withdraw(RequestID(rapid.IntRange(1, i+1).Draw(t, "end")), now)
			}
		}
	})
}
