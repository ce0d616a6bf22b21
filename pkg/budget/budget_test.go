package budget

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestGrantsStayWithinTheLimits checks every time window of random runs: grants never
// exceed the rate by more than one, and loads in flight never exceed their limit.
func TestGrantsStayWithinTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{LoadsPerSecond: 4, InFlight: 3, MaxEngines: 5}
		h := NewHolder(limits, 1, start)
		now := start
		var granted []time.Time
		var open []GrantID
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			target := ident.Target(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "target")))
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				h.Request(LoadRequest{Target: target, Value: rapid.Float64Range(0, 9).Draw(t, "value")})
			case 2:
				h.SetReachable(rapid.IntRange(1, 5).Draw(t, "reached"), now)
			case 3:
				if len(open) > 0 {
					h.Done(open[0], 250*time.Millisecond, 250*time.Millisecond, rapid.Bool().Draw(t, "failed"), now)
					open = open[1:]
				}
			}
			for _, g := range h.Grants(now) {
				granted = append(granted, now)
				open = append(open, g.ID)
			}
			require.LessOrEqual(t, h.InFlight(), limits.InFlight)
		}
		for i := range granted {
			for j := i; j < len(granted); j++ {
				span := granted[j].Sub(granted[i]).Seconds()
				require.LessOrEqual(t, float64(j-i+1), limits.LoadsPerSecond*span+1.001)
			}
		}
	})
}

func TestGrantsTheMostValuableLoadFirst(t *testing.T) {
	h := NewHolder(Limits{LoadsPerSecond: 1, InFlight: 8, MaxEngines: 1}, 1, start)
	for target, value := range map[ident.Target]float64{"low": 1, "high": 9, "mid": 5} {
		h.Request(LoadRequest{Target: target, Value: value})
	}
	var order []ident.Target
	for i := 1; i <= 3; i++ {
		for _, g := range h.Grants(start.Add(time.Duration(i) * time.Second)) {
			order = append(order, g.Target)
		}
	}
	require.Equal(t, []ident.Target{"high", "mid", "low"}, order)
}

func TestSlowLoadsLowerTheRate(t *testing.T) {
	h := NewHolder(Limits{LoadsPerSecond: 10, InFlight: 8, MaxEngines: 1}, 1, start)
	now := start
	for range 20 {
		now = now.Add(time.Second)
		h.Request(LoadRequest{Target: "t", Value: 1})
		for _, g := range h.Grants(now) {
			h.Done(g.ID, 5*time.Second, 250*time.Millisecond, false, now)
		}
	}
	require.InDelta(t, 10*minRateFactor, h.Rate(), 0.01)
}

// TestSharesAddUpToTheRate checks the total rate while every engine uses its static
// share as fast as possible.
func TestSharesAddUpToTheRate(t *testing.T) {
	const engines, seconds = 15, 300
	limits := Limits{LoadsPerSecond: 3, InFlight: 8, MaxEngines: engines}
	taken := 0
	for range engines {
		s := NewShare(limits, start)
		for ms := 0; ms < seconds*1000; ms += 10 {
			if s.Take(start.Add(time.Duration(ms) * time.Millisecond)) {
				taken++
				s.Done()
			}
		}
	}
	require.LessOrEqual(t, taken, int(limits.LoadsPerSecond)*seconds)
	require.Greater(t, taken, int(limits.LoadsPerSecond)*seconds*9/10)
}
