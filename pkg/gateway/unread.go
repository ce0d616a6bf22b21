package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// minUnread is the time from which on a write counts as one that kept the target from
	// being read.
	minUnread = 50 * time.Millisecond
	// cutAfterUnread is how long a target's response stayed unread at least if that is why
	// the target has cut it off. Targets do so after some seconds.
	cutAfterUnread = time.Second
)

// unreadTime is how long a target's response was not read because the caller did not read
// what was forwarded.
type unreadTime struct {
	total time.Duration
	last  time.Time // when it was read again
}

// record records a write to the caller, and reports whether it kept the target from being
// read.
func (u *unreadTime) record(from, to time.Time) bool {
	if to.Sub(from) < minUnread {
		return false
	}
	u.total += to.Sub(from)
	u.last = to
	return true
}

// explains reports whether the target may have cut off its response because it stayed
// unread. What the connection held of the response came first.
func (u *unreadTime) explains(now time.Time) bool {
	return u.total >= cutAfterUnread && now.Sub(u.last) < cutAfterUnread
}

// failUnread logs that a target has cut off a response that a slow caller kept unread. The
// target is not to blame, unless its process has ended.
func (x *exchange) failUnread(a *assignment, err error) {
	x.last = attemptStep{target: a.target.Instance, step: stepStream, err: errors.Annotatef(err, "unread for %s because of the caller", x.unread.total)}
	if x.callerDisconnected() || x.stopped() || x.expired() {
		return
	}
	x.recordLost(a)
	x.g.metrics.unreadCuts.Inc(1)
	x.g.Info("msg", "target cut off a response that the caller did not read", "request", x.q.attempt, "target", a.target.Instance, "service", a.target.Service, "step", stepStream, "err", err,
		"unread", x.unread.total, "idempotent", x.retryable())
}

// logDisconnected logs that the caller closed its connection before the request had a route.
func (c *callerConn) logDisconnected(q *request) {
	c.g.metrics.disconnects.Inc(1)
	c.g.Info("msg", "caller disconnected", "request", q.attempt, "err", context.Cause(q.ctx), "outcome", "not-run", "sends", 0)
}

// logCut logs that the caller has not got all of its response, because of an error of a write.
func (c *callerConn) logCut(q *request, err error) {
	if isTimeout(err) {
		c.logUnread(q, err)
		return
	}
	c.g.metrics.cutResponses.Inc(1)
	c.g.Info("msg", "response cut", "request", q.attempt, "step", "write", "err", err, "stopping", c.g.stop.begun())
}

// logUnread logs that the caller did not read its response in time.
func (c *callerConn) logUnread(q *request, err error) {
	if c.unreadLogged {
		return
	}
	c.unreadLogged = true
	c.g.metrics.unread.Inc(1)
	c.g.Info("msg", "caller does not read its response", "request", q.attempt, "step", "write", "err", err)
}
