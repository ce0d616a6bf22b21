package forecast_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/forecast"
)

func TestLengthsAreBoundedByEarlierStreams(t *testing.T) {
	const n = 400
	random := rand.New(rand.NewPCG(1, 2))
	for _, test := range []struct {
		name           string
		stated, events func() int
		least, most    float64 // of the bound for the last stated number, in the end
	}{
		{"stated exactly", func() int { return 8 }, func() int { return 8 }, 8, 8},
		{"the largest of the kind stated", func() int { return 80 }, func() int { return 20 + random.IntN(41) }, 50, 61},
		{"stated too low", func() int { return 8 }, func() int { return 57 }, 57, 57},
		{"stated too low now and then", func() int { return 8 }, func() int { return 8 + 49*(random.IntN(30)/29) }, 20, 57},
		{"unstated", func() int { return 0 }, func() int { return 30 + random.IntN(31) }, 50, 61},
	} {
		t.Run(test.name, func(t *testing.T) {
			var l forecast.Lengths
			stated := 0
			for range n {
				stated = test.stated()
				l.Record("r", stated, test.events(), true)
			}
			bound, known := l.Bound("r", stated)
			require.True(t, known)
			require.GreaterOrEqual(t, bound, test.least)
			require.LessOrEqual(t, bound, test.most)
		})
	}
}

func TestLengthsBeforeTheFirstStreams(t *testing.T) {
	var l forecast.Lengths
	_, known := l.Bound("r", 0)
	require.False(t, known, "nothing says how long it will be")
	bound, known := l.Bound("r", 80)
	require.True(t, known)
	require.InDelta(t, 80, bound, 0)
	l.Record("r", 80, 5, true)
	bound, _ = l.Bound("r", 80)
	require.InDelta(t, 80, bound, 0, "one short stream says little")
	l.Record("r", 80, 120, false)
	bound, _ = l.Bound("r", 80)
	require.InDelta(t, 120, bound, 0, "a cut stream was at least so long")
	l.Retain(func(string) bool { return false })
	bound, _ = l.Bound("r", 80)
	require.InDelta(t, 80, bound, 0)
}
