package gateway

import "time"

// firstByteDeadline returns the deadline of the target's first bytes. It is the
// request's own deadline unless the request may run on another target.
func (x *exchange) firstByteDeadline(sent time.Time) time.Time {
	return x.failoverDeadline(sent.Add(max(firstByteObjectives*x.route.Objective, minFirstByteWait)))
}

// failoverDeadline returns the time to give up on an unresponsive target: the given
// time if the request may run on another one, or else the request's deadline.
func (x *exchange) failoverDeadline(failoverAt time.Time) time.Time {
	if !x.retryable() || x.runs+1 >= x.route.MaxTargets || x.deadline.Before(failoverAt) {
		return x.deadline
	}
	return failoverAt
}

const (
	// firstByteObjectives is the number of latency objectives after which a target
	// that has sent nothing counts as stuck. Callers abandon a stream after 4.
	firstByteObjectives = 2
	minFirstByteWait    = 300 * time.Millisecond
)
