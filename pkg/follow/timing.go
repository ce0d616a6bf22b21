package follow

import "time"

// Timing is when a follower asks the store and when it gives up. A call that waits for a
// change can't be told from one whose connection carries nothing any more, so the wait is
// bounded by the time after a disruption from which on changes have to be known again.
// It answers the load pattern of a path that is cut, or of connections that go silent,
// while targets leave.
type Timing struct {
	// Pause is the time between two watches, in which changes are batched.
	Pause time.Duration
	// Wait is how long the store may hold a watch without a change.
	Wait time.Duration
}

const (
	// waitShare is the share of the time until changes have to be known again that one
	// watch may wait.
	waitShare = 0.65
	// answerShare is the share of that time within which the store answers. Together
	// with waitShare it leaves time to list again.
	answerShare = 0.2
)

// NewTiming returns the timing of a follower. inForce is the time within which a change
// has to be in force, pauseShare the share of it between two watches, and settled the
// time after a disruption from which on that holds again.
func NewTiming(inForce time.Duration, pauseShare float64, settled time.Duration) Timing {
	return Timing{Pause: Share(inForce, pauseShare), Wait: Share(settled, waitShare)}
}

// AnswerTime returns how long the store may take to acknowledge a call, and to answer
// it beyond the call's own wait.
func AnswerTime(settled time.Duration) time.Duration { return Share(settled, answerShare) }

// Share returns a share of a duration.
func Share(d time.Duration, of float64) time.Duration { return time.Duration(of * float64(d)) }
