// Package ratelimit keeps the requests to one target within the rate limit that the
// target states. It does no I/O, and callers pass in the current time.
//
// It handles targets in need, which take fewer requests per second than arrive for them:
// they get as many as they state, evenly spaced, and the rest goes elsewhere.
package ratelimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minPerSecond is the least rate. Only the responses to further requests show that a
	// target that took none takes requests again.
	minPerSecond = 0.25
	// burstTime is how much of the limit may be used at once, and minBurst the least
	// number of requests: with only one the limit is not used up, since requests come
	// at any time.
	burstTime = 250 * time.Millisecond
	minBurst  = 2
)

// Limiter spaces the requests to one target. The zero value imposes no limit.
type Limiter struct {
	bucket    *rate.Limiter // nil without a limit
	perSecond float64       // as set
}

// Set sets the limit in requests per second. A limiter that had none starts without
// unused requests, since others may just have been sent.
func (l *Limiter) Set(perSecond float64, now time.Time) {
	l.perSecond = perSecond
	perSecond = max(perSecond, minPerSecond)
	l.setRate(perSecond, max(int(math.Ceil(perSecond*burstTime.Seconds())), minBurst), now)
}

// aloneShare is the part of its share of a limit that a gateway uses alone. The others
// may be apportioned the whole limit meanwhile, and half as much again is tolerable.
const aloneShare = 0.5

// SetAlone sets the limit for a gateway that reaches no process which apportions it, with
// so many gateways in all. A limiter that had none starts with the given part of a
// request, at random, since others may have lost that process at the same moment.
func (l *Limiter) SetAlone(perSecond float64, gateways int, part float64, now time.Time) {
	l.perSecond = perSecond
	share := max(perSecond, minPerSecond) * aloneShare / float64(max(gateways, 1))
	since := now
	if l.bucket == nil {
		since = now.Add(-time.Duration(part / share * float64(time.Second)))
	}
	l.setRate(share, 1, since)
}

func (l *Limiter) setRate(perSecond float64, burst int, now time.Time) {
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.bucket.AllowN(now, burst)
		return
	}
	if l.bucket.Limit() != rate.Limit(perSecond) {
		l.bucket.SetLimitAt(now, rate.Limit(perSecond))
	}
	if l.bucket.Burst() != burst {
		l.bucket.SetBurstAt(now, burst)
	}
}

// Clear removes the limit.
func (l *Limiter) Clear() { *l = Limiter{} }

// PerSecond returns the limit, if there is one.
func (l *Limiter) PerSecond() (limit float64, limited bool) { return l.perSecond, l.bucket != nil }

// Clone returns a limiter that allows as much as l does now, to try out what l would allow.
func (l *Limiter) Clone(now time.Time) Limiter {
	out := Limiter{perSecond: l.perSecond}
	if l.bucket != nil {
		// Empty at the time from which on it has filled to what l holds now.
		since := now.Add(-time.Duration(l.bucket.TokensAt(now) / float64(l.bucket.Limit()) * float64(time.Second)))
		out.setRate(float64(l.bucket.Limit()), l.bucket.Burst(), since)
	}
	return out
}

// Take takes one request and reports whether the limit allows it now.
func (l *Limiter) Take(now time.Time) bool { return l.bucket == nil || l.bucket.AllowN(now, 1) }

// TakeWithin takes one request if the limit allows it within maxWait. It returns how
// long to wait until then, or, if that is longer, how long it would have been.
func (l *Limiter) TakeWithin(maxWait time.Duration, now time.Time) (wait time.Duration, taken bool) {
	wait = l.Wait(1, now)
	if wait > maxWait {
		return wait, false
	}
	if l.bucket != nil {
		l.bucket.ReserveN(now, 1)
	}
	return wait, true
}

// Wait returns how long it takes until the limit allows n requests.
func (l *Limiter) Wait(n int, now time.Time) time.Duration {
	if l.bucket == nil {
		return 0
	}
	missing := float64(n) - l.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(l.bucket.Limit()) * float64(time.Second))
}
