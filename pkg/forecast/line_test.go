package forecast

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The speed of engines changes: samples of before must not hold the slope for good.
func TestLineFollowsNewSamples(t *testing.T) {
	var l Line
	sample := func(slope float64) {
		for x := range 20 {
			l.Forget(0.9)
			l.Add(float64(x), 7+slope*float64(x), 1)
		}
	}
	slope := func() float64 {
		variance, covariance := l.Spread()
		return covariance / variance
	}
	sample(2)
	require.InDelta(t, 2, slope(), 1e-9)
	x, y := l.Mean()
	require.InDelta(t, 7, y-2*x, 1e-9)
	for range 10 {
		sample(3)
	}
	require.InDelta(t, 3, slope(), 1e-6)
}
