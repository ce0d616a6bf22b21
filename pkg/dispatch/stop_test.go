package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/route"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Guards against an entry that exits with requests in progress, whose callers get no
// answer: they are ended as not run while that is true, and so is each later one.
func TestCancelAllEndsRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := route.New()
		table.Update(wire.Report{Target: "t-1", Incarnation: 1, Sequence: 1, Kind: wire.KindService, Slots: 1, MaxRunning: 8, Ready: true}, true, time.Now())
		d := dispatch.New(common.Discard(), table, settings.DefaultEntry().Retry)
		dials := 0
		d.Connect = func(ctx context.Context, _ string) (*link.Conn, error) {
			dials++
			<-ctx.Done()
			return nil, ctx.Err()
		}
		run := func(id ident.Request) *dispatch.Refusal {
			job := &dispatch.Job{Request: id, Service: wire.Service{Name: "s", Kind: wire.KindService}, Arrival: time.Now(), Deadline: time.Now().Add(time.Minute)}
			return d.Run(t.Context(), job, dispatch.Output{}).Refusal
		}
		time.AfterFunc(time.Second, d.CancelAll)
		began := time.Now()
		for _, id := range []ident.Request{"in progress", "late"} {
			refusal := run(id)
			require.NotNil(t, refusal)
			require.Equal(t, dispatch.ReasonStopping, refusal.Reason)
			require.Equal(t, wire.NotRun, refusal.Outcome)
			require.Equal(t, 503, refusal.Status)
			require.Positive(t, refusal.RetryAfter)
			require.Equal(t, time.Second, time.Since(began))
		}
		require.Equal(t, 1, dials)
	})
}
