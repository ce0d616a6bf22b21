package grant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const usualEventTime = 33 * time.Millisecond

// pacedScheduler returns the scheduler of an engine that states a pace and runs one
// stream with a pause objective, whose prompt is read. It reads about 25 prompt tokens a
// ms at the usual pace.
func pacedScheduler(percent int, now time.Time) *Scheduler {
	sched := schedulerWith(4, 1, 2)
	before := now.Add(-10 * time.Second)
	sched.RecordPace(percent, before)
	for i := range 200 { // alternately short and long prompts
		id, tokens := RequestID(1000+i), 500+2000*(i%2)
		sched.Enqueue(prompt(id, tokens, before))
		sched.Decide(before)
		sched.Started(id, time.Duration(float64(percent)/100*float64(usualEventTime+time.Duration(tokens)*time.Millisecond/25)), before)
		sched.Withdraw(id, before)
		sched.ObserveMemory(nil, true, before.Add(time.Millisecond), before) // the engine has ended it
	}
	sched.ObserveMemory(nil, true, before.Add(LostGrace+time.Millisecond), before)
	sched.RecordPace(percent, now)
	sched.Enqueue(request(1, 1, now))
	sched.Decide(now)
	sched.RecordStream(1, pauseObjective, usualEventTime)
	sched.Started(1, usualEventTime, now)
	return sched
}

func prompt(id RequestID, tokens int, at time.Time) *Request {
	req := request(id, 1, at)
	req.PromptTokens = tokens
	return req
}

// The speed is learned at the usual pace, also on an engine that is slow meanwhile.
func TestPrefillIsLearnedAtTheUsualPace(t *testing.T) {
	for _, percent := range []int{60, 100, 250, 400} {
		sched := pacedScheduler(percent, start)
		require.InDelta(t, 25, sched.prefill.tokensPerMS(), 2, "pace %d", percent)
		require.InDelta(t, usualEventTime.Milliseconds(), sched.prefill.firstEvent().Milliseconds(), 6, "pace %d", percent)
	}
}

// What is admitted while a stream runs delays its next event by no more than the objective,
// at any pace: the prompts are all read within the steps of one event.
func TestAdmittedPrefillKeepsThePauseObjective(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(20, 800).Draw(t, "pace")
		sched := pacedScheduler(percent, start)
		sched.window = maxPrefillWindow
		admitted := 0
		for i := range rapid.IntRange(1, 20).Draw(t, "prompts") {
			sched.Enqueue(prompt(RequestID(10+i), rapid.IntRange(1, 4000).Draw(t, "tokens"), start))
			for _, r := range sched.Decide(start) {
				if r.Code == wire.GrantIssued {
					admitted += sched.running[r.ID].PromptTokens
				}
			}
		}
		pause := time.Duration(float64(percent) / 100 * float64(usualEventTime+time.Duration(admitted)*time.Millisecond/25))
		if admitted > 0 {
			require.LessOrEqual(t, pause, pauseObjective)
		}
	})
}

// The first event of a stream may come with its first token. The prompt has then delayed
// the events of the other streams that are still under way, and the next one would too.
func TestPromptsReadWithinOneEventCountTogether(t *testing.T) {
	sched := pacedScheduler(250, start)
	at := start.Add(time.Second)
	sched.RecordPace(250, at)
	sched.Enqueue(prompt(2, 1500, at))
	require.Len(t, sched.Decide(at), 1)
	sched.Enqueue(prompt(3, 1500, at))
	require.Empty(t, sched.Decide(at))
	first := at.Add(150 * time.Millisecond)
	sched.Started(2, 150*time.Millisecond, first)
	require.Empty(t, sched.Decide(first))
	next := first.Add(usualEventTime * 5 / 2)
	require.Len(t, sched.Decide(next), 1)
	for i := range 1000 { // what was read earlier takes no memory
		sched.holdRead(1, next.Add(time.Duration(i)*time.Second))
	}
	require.Len(t, sched.lately, 1)
}

// An engine slows down for a moment while streams run: a long prompt goes to the next home
// if that holds the adapter, and otherwise waits here for the pace to change, so that the
// adapter is not loaded again. Shorter prompts are served meanwhile.
func TestLongPromptsDoNotPauseStreamsOnASlowEngine(t *testing.T) {
	sched := pacedScheduler(100, start)
	sched.RecordPace(400, start)
	held := prompt(2, 3000, start)
	held.HasAlternative, held.AlternativeHolds = true, true
	sched.Enqueue(held)
	replies := sched.Decide(start)
	require.Len(t, replies, 1)
	require.Equal(t, wire.GrantBusy, replies[0].Code)
	require.Equal(t, wire.ReasonLongPrompt, replies[0].Reason)

	rare := prompt(3, 3000, start)
	rare.HasAlternative = true
	sched.Enqueue(rare)
	require.Empty(t, sched.Decide(start))
	sched.Enqueue(prompt(4, 200, start))
	replies = sched.Decide(start)
	require.Len(t, replies, 1, "a long prompt does not hold up a short one")
	require.Equal(t, RequestID(4), replies[0].ID)
	sched.Started(4, 100*time.Millisecond, start)
	later := start.Add(paceHorizon)
	sched.RecordPace(100, later)
	rare.ObjectiveMS = 5000
	replies = sched.Decide(later)
	require.Len(t, replies, 1)
	require.Equal(t, wire.GrantIssued, replies[0].Code, "the engine is fast again")
}

// A slow engine redirects a long prompt while another engine can still load its adapter
// within the latency objective.
func TestLongPromptsLeaveASlowEngineInTime(t *testing.T) {
	sched := pacedScheduler(100, start)
	sched.RecordPace(400, start)
	req := prompt(2, 2000, start)
	req.HasAlternative, req.ObjectiveMS = true, 2000
	sched.Enqueue(req)
	require.Empty(t, sched.Decide(start.Add(slowWait-time.Millisecond)))
	require.Len(t, sched.Decide(start.Add(slowWait)), 1)

	late := prompt(3, 2000, start)
	late.HasAlternative, late.ObjectiveMS = true, 500
	sched.Enqueue(late)
	require.Len(t, sched.Decide(start), 1)
}

// A prompt that would be too long at the engine's average pace as well does not wait for
// that to change.
func TestPromptsTooLongForTheEngineAreRedirectedAtOnce(t *testing.T) {
	sched := pacedScheduler(400, start)
	req := prompt(2, 3000, start)
	req.HasAlternative = true
	sched.Enqueue(req)
	require.Len(t, sched.Decide(start), 1)
}

// Nothing is refused that could be served: a prompt that is too long and can go nowhere
// else runs before its caller gives up.
func TestLongPromptsRunAsALastResort(t *testing.T) {
	sched := pacedScheduler(400, start)
	req := prompt(2, 3000, start)
	sched.Enqueue(req)
	half := start.Add(time.Duration(req.MaxWaitMS) * time.Millisecond / 2)
	require.Empty(t, sched.Decide(half.Add(-time.Millisecond)))
	sched.RecordPace(400, half)
	replies := sched.Decide(half)
	require.Len(t, replies, 1)
	require.Equal(t, wire.GrantIssued, replies[0].Code)

	hurried := prompt(3, 3000, half)
	hurried.MaxWaitMS = slowWait.Milliseconds() - 1
	sched.Started(2, time.Second, half)
	sched.Enqueue(hurried)
	replies = sched.Decide(half)
	require.Len(t, replies, 1)
	require.Equal(t, wire.GrantIssued, replies[0].Code)
}

// On an engine on which nothing runs, no stream can be paused.
func TestLongPromptsRunWhereNoStreamRuns(t *testing.T) {
	sched := pacedScheduler(400, start)
	sched.Withdraw(1, start)
	sched.Enqueue(prompt(2, 3790, start))
	require.Equal(t, wire.GrantIssued, sched.Decide(start)[0].Code)
}

// Engines that state no pace admit prompts as before, also beside streams with a pause
// objective.
func TestWithoutAPaceTheBudgetIsUnbounded(t *testing.T) {
	sched := schedulerWith(4, 1)
	sched.Enqueue(request(1, 1, start))
	sched.Decide(start)
	sched.RecordStream(1, pauseObjective, usualEventTime)
	sched.Started(1, usualEventTime, start)
	require.False(t, sched.RecordPace(0, start))
	sched.Enqueue(prompt(2, 60_000, start)) // the engine has memory for it
	require.Equal(t, wire.GrantIssued, sched.Decide(start)[0].Code)
	require.Equal(t, 1.0, sched.factor)
}

// The highest pace of the last second counts, then the newest one, and none after 2 s. An
// engine that states one many times a second takes no memory for it.
func TestPaceReadingsAge(t *testing.T) {
	var p pace
	require.Equal(t, 1.0, p.newest(start))
	for _, percent := range []int{0, -1, maxPercent + 1} {
		require.False(t, p.record(percent, start))
	}
	p.record(400, start)
	p.record(160, start.Add(100*time.Millisecond))
	at := func(d time.Duration) []float64 { return []float64{p.highest(start.Add(d)), p.newest(start.Add(d))} }
	require.Equal(t, []float64{4, 1.6}, at(999*time.Millisecond))
	require.Equal(t, []float64{1.6, 1.6}, at(time.Second))
	require.Equal(t, []float64{1.6, 1.6}, at(2099*time.Millisecond))
	require.Equal(t, []float64{1, 1}, at(2100*time.Millisecond))
	for i := range 10_000 {
		p.record(10_000-i%9999, start.Add(3*time.Second+time.Duration(i)*time.Microsecond))
	}
	require.LessOrEqual(t, len(p.readings), maxPaceReadings)
}
