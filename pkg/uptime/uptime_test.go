package uptime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/uptime"
)

func TestSuspendedNeverDecreases(t *testing.T) {
	before := uptime.Suspended()
	require.GreaterOrEqual(t, before, time.Duration(0))
	for range 1000 {
		now := uptime.Suspended()
		require.GreaterOrEqual(t, now, before)
		before = now
	}
}
