package grant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const pauseObjective = 300 * time.Millisecond

// Long prompts arrive while streams run, and each pauses the streams for as long as the
// window holds: the window settles where the pauses stay within the objective, whatever
// the engine's pauses are in relation to it.
func TestWindowSettlesWhereStreamsMeetTheirPauseObjective(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPacing()
		ratio := rapid.Float64Range(0.8, 8).Draw(t, "pause per window")
		now, late, streams := start, 0, 0
		for i := range 2000 {
			now = now.Add(time.Duration(rapid.IntRange(10, 200).Draw(t, "ms")) * time.Millisecond)
			pause := time.Duration(ratio * float64(p.window))
			p.RecordPause(pause, pauseObjective, now)
			if i < 200 {
				continue // settling
			}
			streams++
			if pause > pauseObjective {
				late++
			}
		}
		require.Less(t, float64(late), 0.02*float64(streams))
		require.Greater(t, time.Duration(ratio*float64(p.window)), pauseObjective/2, "prompts do not wait without need")
	})
}

// Streams pause for reasons of their own, such as an engine that has turned slow: the
// engine still gets one prompt after the other, and the window recovers afterwards.
func TestWindowStaysWithinItsBounds(t *testing.T) {
	sched := schedulerWith(4, 1)
	now := start
	for range 100 {
		now = now.Add(time.Second)
		sched.RecordPause(10*pauseObjective, pauseObjective, now)
	}
	require.Equal(t, minPrefillWindow, sched.window)
	sched.Enqueue(request(1, 1, now))
	require.Len(t, sched.Decide(now), 1)
	for range 1000 {
		sched.RecordPause(0, pauseObjective, now)
	}
	require.Equal(t, maxPrefillWindow, sched.window)
}

// The pauses of many streams at one moment are one decrease.
func TestPausesOfOneMomentShrinkTheWindowOnce(t *testing.T) {
	p := newPacing()
	for range 20 {
		p.RecordPause(2*pauseObjective, pauseObjective, start)
	}
	require.Equal(t, time.Duration(windowCut*float64(initialPrefillWindow)), p.window)
}
