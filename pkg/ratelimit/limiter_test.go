package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/clocktest"
	"github.com/hyssoproad/hyssoproad/pkg/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// Requests come far more often than the limit allows, in bursts and with pauses, while
// the limit changes: in each window of 4 s no more pass than the limit times the window
// and one burst.
func TestBurstsStayWithinTheLimit(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var l Limiter
		now := time.Unix(1000, 0)
		highest := 0.0
		var taken []time.Time
		for range rapid.IntRange(100, 600).Draw(t, "steps") {
			if highest == 0 || rapid.IntRange(0, 99).Draw(t, "change") == 0 {
				perSecond := rapid.Float64Range(0, 20).Draw(t, "limit")
				highest = max(highest, perSecond, minPerSecond)
				l.Set(perSecond, now)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 5).Draw(t, "requests") {
				if l.Take(now) {
					taken = append(taken, now)
				}
			}
		}
		for i := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at.Sub(taken[i]) < window {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), highest*(window+burstTime).Seconds()+minBurst)
		}
	})
}

func TestLimitIsUsedUp(t *testing.T) {
	for _, perSecond := range []float64{0.5, 3.7, 80} {
		var l Limiter
		now := time.Unix(1000, 0)
		l.Set(perSecond, now)
		limit, limited := l.PerSecond()
		require.True(t, limited)
		require.Equal(t, perSecond, limit)
		n := 0
		for range 2000 {
			now = now.Add(5 * time.Millisecond)
			if l.Take(now) {
				n++
			}
		}
		require.InDelta(t, 10*perSecond, n, 1, "%g a second", perSecond)
	}
}

func TestTargetThatTakesNothingIsProbed(t *testing.T) {
	var l Limiter
	now := time.Unix(1000, 0)
	l.Set(0, now)
	require.False(t, l.Take(now))
	require.Equal(t, 4*time.Second, l.Wait(1, now))
	require.True(t, l.Take(now.Add(4*time.Second)))
}

func TestWaitsForItsTurn(t *testing.T) {
	var l Limiter
	now := time.Unix(1000, 0)
	wait, taken := l.TakeWithin(0, now)
	require.True(t, taken, "no limit")
	require.Zero(t, wait)
	l.Set(4, now)
	require.Equal(t, 750*time.Millisecond, l.Wait(3, now))
	wait, taken = l.TakeWithin(100*time.Millisecond, now)
	require.False(t, taken)
	require.Equal(t, 250*time.Millisecond, wait)
	wait, taken = l.TakeWithin(300*time.Millisecond, now)
	require.True(t, taken)
	require.Equal(t, 250*time.Millisecond, wait)
	require.Equal(t, 500*time.Millisecond, l.Wait(1, now), "the next one waits behind it")
	l.Clear()
	require.True(t, l.Take(now))
	_, limited := l.PerSecond()
	require.False(t, limited)
}

func TestWallClockJumpsDoNotChangeTheLimit(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour} {
		var l Limiter
		now := time.Now()
		l.Set(1, now)
		require.False(t, l.Take(clocktest.Jump(now, by)), "jump by %s", by)
		require.True(t, l.Take(now.Add(time.Second)))
	}
}
