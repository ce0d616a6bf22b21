package notice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

func stated(perSecond float64) platform.TargetNotice {
	return platform.TargetNotice{Limit: platform.LimitStated, LimitPerSecond: perSecond}
}

// Responses on different connections overtake each other.
func TestLimitFollowsTheNewestResponse(t *testing.T) {
	type response struct {
		sent, arrived int // ms
		notice        platform.TargetNotice
		want          Change
	}
	none := platform.TargetNotice{}
	for _, test := range []struct {
		name      string
		responses []response
		limit     float64 // -1 for none
	}{
		{"none is stated", []response{{0, 10, none, Unchanged}}, -1},
		{"stated", []response{{0, 10, stated(3), LimitSet}, {20, 30, stated(3), Unchanged}}, 3},
		{"changed", []response{{0, 10, stated(3), LimitSet}, {20, 30, stated(2), LimitSet}}, 2},
		{"ended", []response{{0, 10, stated(3), LimitSet}, {20, 30, none, LimitEnded}, {40, 50, none, Unchanged}}, -1},
		{"an older response comes later", []response{{5, 10, stated(3), LimitSet}, {0, 30, none, Unchanged}}, 3},
		{"one sent before the last statement arrived", []response{{0, 10, stated(3), LimitSet}, {20, 40, stated(3), Unchanged}, {30, 50, none, Unchanged}}, 3},
		{"an invalid limit is neither", []response{{0, 10, stated(3), LimitSet}, {20, 30, platform.TargetNotice{Limit: platform.LimitInvalid}, Unchanged}}, 3},
		{"zero is a limit", []response{{0, 10, stated(0), LimitSet}}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			table := New()
			for _, r := range test.responses {
				require.Equal(t, r.want, table.Observe("i-1", r.notice, at(r.sent), at(r.arrived)))
			}
			limit, limited := table.Limit("i-1")
			require.Equal(t, test.limit >= 0, limited)
			if limited {
				require.Equal(t, test.limit, limit.PerSecond)
			}
			_, limited = table.Limit("i-2")
			require.False(t, limited)
			table.Retain(func(ident.Target) bool { return false })
			_, limited = table.Limit("i-1")
			require.False(t, limited)
		})
	}
}
