package clocktest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/clocktest"
)

func TestJumpMovesOnlyTheWallClock(t *testing.T) {
	for _, by := range []time.Duration{5 * time.Second, -5 * time.Second} {
		now := time.Now()
		jumped := clocktest.Jump(now, by)
		require.Zero(t, jumped.Sub(now), "the monotonic readings differ")
		require.Equal(t, by, jumped.Round(0).Sub(now.Round(0)))
	}
}
