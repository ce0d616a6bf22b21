package quota

import (
	"math"
	"time"
)

const (
	// listDelay is how long the lists of engines of two gateways may differ: the time
	// within which a change of the list is in force, and a round of maintenance.
	listDelay = 2500 * time.Millisecond
	// joinOnce is how long after a holder has joined it takes no notice of gateways
	// that tell it later: these learn of it within listDelay, and tell it for as long.
	joinOnce = 3 * listDelay
	// inUseTime is how long after it was last asked for a share counts as in use. Most
	// accounts ask several times a second; one that asks less has little to lose.
	inUseTime = 500 * time.Millisecond
	// extraAbove is the share of the burst that only requests at hand may use. What is
	// left of an extra amount at one gateway is missed at another.
	extraAbove = 0.5
)

// ShareLimits are the limits of one share.
type ShareLimits struct {
	// PerSecond is the part of the account's rate.
	PerSecond float64
	// Burst is what may be granted at once.
	Burst float64
	// Sum is what may be granted in any Window. It is 0 if only rate and burst bind.
	Sum    float64
	Window time.Duration
}

// refillRate is the rate at which a share that knows what it granted in the last window
// fills: so much may be used for good without exceeding the sum.
func (l ShareLimits) refillRate() float64 {
	if l.Sum <= 0 || l.Window <= 0 {
		return l.PerSecond
	}
	return max(l.PerSecond, l.Sum/l.Window.Seconds())
}

// Share is a holder's share of one account's limit: a token bucket, and a count of what was
// granted in the last window. The bucket bounds what is granted a second time if the holder
// starts again: it starts empty, and in the first window it fills at the account's rate.
type Share struct {
	limits    ShareLimits
	version   uint64
	balance   float64
	updated   time.Time // when the balance was as recorded
	full      time.Time // when the bucket was last full
	created   time.Time
	granted   windowCount
	asked     time.Time // when a gateway last asked that has known the holder for long
	joined    time.Time // when the holder last took the place of another
	joinDelay time.Duration
}

// NewShare returns a share that starts to fill.
func NewShare(version uint64, l ShareLimits, now time.Time) *Share {
	return &Share{limits: l, version: version, updated: now, created: now}
}

// Version returns the version of the configuration that set the limits.
func (s *Share) Version() uint64 { return s.version }

// Limits returns the limits.
func (s *Share) Limits() ShareLimits { return s.limits }

// Balance returns the units that may be used now.
func (s *Share) Balance(now time.Time) float64 {
	s.refill(now)
	return min(s.balance, s.left())
}

func (s *Share) refill(now time.Time) {
	if d := now.Sub(s.updated); d > 0 {
		s.balance += s.rate(now) * d.Seconds()
		s.updated = now
	}
	s.limitBalance(now)
	if s.limits.Window > 0 {
		s.granted.advance(s.limits.Window, now)
	}
}

func (s *Share) limitBalance(now time.Time) {
	if s.balance >= s.limits.Burst {
		s.balance, s.full = s.limits.Burst, now
	}
}

// rate is the rate at which the bucket fills. A holder that does not know a whole window
// fills it at the account's rate.
func (s *Share) rate(now time.Time) float64 {
	if now.Sub(s.created) < s.limits.Window || !s.joined.IsZero() && now.Sub(s.joined) < s.limits.Window {
		return s.limits.PerSecond
	}
	return s.limits.refillRate()
}

// left returns what the window has room for.
func (s *Share) left() float64 {
	if s.limits.Sum <= 0 || s.limits.Window <= 0 {
		return math.Inf(1)
	}
	return s.limits.Sum - s.granted.sum()
}

// Update applies the limits of a version, unless it is older than the one in force. A
// balance above the new burst is lost. What was granted under a higher limit counts in
// proportion: a lower limit binds one window after it is in force.
func (s *Share) Update(version uint64, l ShareLimits, now time.Time) {
	if version < s.version || version == s.version && l == s.limits {
		return
	}
	s.refill(now)
	if l.Window != s.limits.Window {
		s.granted, s.created = windowCount{}, now // the slots are of another length
	} else if l.Sum < s.limits.Sum {
		s.granted.scale(l.Sum / s.limits.Sum)
	}
	s.version, s.limits = version, l
	s.limitBalance(now)
}

// Join records that the holder takes the place of another that may still hand out the
// share for a delay, since gateways whose lists of engines are older ask it. This share is
// used only after that time. A share that gateways use is not affected.
func (s *Share) Join(delay time.Duration, now time.Time) {
	s.refill(now)
	if !s.joined.IsZero() && now.Sub(s.joined) < joinOnce {
		if delay > s.joinDelay {
			s.balance -= s.limits.PerSecond * (delay - s.joinDelay).Seconds()
			s.joinDelay = delay
		}
		return
	}
	if !s.asked.IsZero() && now.Sub(s.asked) < inUseTime && now.Sub(s.created) >= listDelay {
		return
	}
	s.joined, s.joinDelay = now, delay
	s.balance = min(s.balance, 0) - s.limits.PerSecond*delay.Seconds()
}

// Use records that a gateway asks which has known the holder for longer than lists differ.
func (s *Share) Use(now time.Time) { s.asked = now }

// Take takes the needed amount, and as much of the wished extra as leaves burst and window
// more than half full. It returns what it granted, or 0 and the time until the needed
// amount may be had. An amount above the limits is granted once the share is full.
//
// The time does not allow for callers that were told to come back before: a trial that
// did served fewer in time on poca-outlets-grown (quiet-1: 10,213 instead of 10,274).
func (s *Share) Take(need, wish float64, now time.Time) (granted float64, wait time.Duration) {
	s.refill(now)
	left := s.left()
	if missing := min(need, s.limits.Burst) - s.balance; missing > 0 {
		wait = max(timeFor(missing, s.rate(now)), 1)
	}
	if missing := min(need, s.limits.Sum) - left; missing > 0 {
		wait = max(wait, s.granted.timeUntilFree(missing, s.limits.Window, now))
	}
	if wait > 0 {
		return 0, wait
	}
	extra := min(wish, s.balance-need-extraAbove*s.limits.Burst, (left-need)*extraAbove)
	granted = need + max(extra, 0)
	s.balance -= granted
	s.granted.add(granted)
	return granted, 0
}

// Return puts back what was granted at a time, here or by another holder, and not used. If
// the bucket has been full since then, it would have been full without that grant too.
func (s *Share) Return(amount float64, at, now time.Time) {
	if amount <= 0 {
		return
	}
	s.refill(now)
	if s.limits.Window > 0 {
		s.granted.remove(amount, s.limits.Window, at)
	}
	if !s.full.After(at) {
		s.balance += amount
		s.limitBalance(now)
	}
}
