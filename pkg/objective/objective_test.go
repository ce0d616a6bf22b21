package objective

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/caller"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

var now = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// requestStats returns statistics with one bucket per minute of the last hour. The
// fraction badShare of requests fails in the last badMinutes.
func requestStats(badMinutes int, badShare float64) caller.RequestStatsExport {
	var buckets []caller.Bucket
	for m := 59; m >= 0; m-- {
		b := caller.Bucket{StartMS: now.Add(-time.Duration(m+1) * time.Minute).UnixMilli(), Answered: 1000}
		if m < badMinutes {
			b.NotRun = int64(1000 * badShare)
			b.Answered -= b.NotRun
		}
		b.Stalls[0] = b.Answered
		buckets = append(buckets, b)
	}
	return caller.RequestStatsExport{Series: []caller.SeriesExport{{Series: caller.Series{Service: "s", Priority: 5}, Buckets: buckets}}}
}

func TestBurnRateAndState(t *testing.T) {
	services := []wire.Service{{Name: "s", Objectives: []wire.Objective{{MinPriority: 3, Availability: 0.999}}}}
	scenarios := []struct {
		name       string
		badMinutes int
		badShare   float64
		state      State
		hourBurn   float64
	}{
		{"no bad requests", 0, 0, OK, 0},
		{"budget spent exactly", 60, 0.001, OK, 1},
		{"a steady burn", 60, 0.008, Ticket, 8},
		{"a fast burn", 60, 0.05, Page, 50},
		{"an outage that ended long ago", 0, 0.5, OK, 0},
		{"a short burst does not page yet", 2, 0.05, OK, 50.0 * 2 / 60},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := Compute(services, []caller.RequestStatsExport{requestStats(s.badMinutes, s.badShare)}, now)
			require.Len(t, r.Rows, 1)
			require.Equal(t, s.state, r.Rows[0].State)
			require.InDelta(t, s.hourBurn, r.Rows[0].Windows[2].Burn, 0.01)
			require.InDelta(t, 1-s.hourBurn, r.Rows[0].BudgetLeft, 0.01)
		})
	}
}

func TestReportMergesEntriesAndExcludesLowPriorities(t *testing.T) {
	services := []wire.Service{{Name: "s", Objectives: []wire.Objective{{MinPriority: 6, Availability: 0.9}, {Availability: 0.9}}}}
	r := Compute(services, []caller.RequestStatsExport{requestStats(60, 0.1), requestStats(0, 0)}, now)
	require.InDelta(t, 0.5, r.Rows[0].Windows[2].Burn, 0.01)
	require.Zero(t, r.Rows[1].Windows[2].Total)
	var text, page bytes.Buffer
	require.NoError(t, r.WriteText(&text))
	require.Contains(t, text.String(), "availability")
	require.NoError(t, r.WriteHTML(&page))
	require.Contains(t, page.String(), "<svg")
}
