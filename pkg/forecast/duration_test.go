package forecast_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/forecast"
)

func TestDurationsAreBoundedByEarlierOnes(t *testing.T) {
	const n, ms = 2000, time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	for _, test := range []struct {
		name   string
		sample func(i int) time.Duration
		most   time.Duration // of the bound in the end
	}{
		{"always alike", func(int) time.Duration { return 80 * ms }, 81 * ms},
		{"uniform", func(int) time.Duration { return 50*ms + time.Duration(random.IntN(int(100*ms))) }, 300 * ms},
		{"with a long tail", func(int) time.Duration { return time.Duration(random.ExpFloat64() * float64(100*ms)) }, 900 * ms},
		{"slower from now on", func(i int) time.Duration { return 20*ms + time.Duration(i/1990)*2*time.Second }, 9 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			var d forecast.Durations
			exceeded := 0
			for i := range n {
				took := test.sample(i)
				if took > d.Bound("r", time.Hour) {
					exceeded++
				}
				d.Record("r", took)
			}
			require.LessOrEqual(t, exceeded, n/50)
			require.LessOrEqual(t, d.Bound("r", time.Hour), test.most)
			require.Equal(t, time.Hour, d.Bound("other", time.Hour))
		})
	}
}
