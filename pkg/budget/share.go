package budget

import (
	"time"
)

// Share is an agent's static share of the load rate, used while no holder can be
// reached. The shares of all engines together never exceed the rate.
type Share struct {
	limits     Limits
	tokens     float64
	refilledAt time.Time
	inFlight   bool
}

// NewShare returns a share with an empty token bucket.
func NewShare(limits Limits, now time.Time) *Share {
	return &Share{limits: limits, refilledAt: now}
}

// SetLimits applies new limits from now on.
func (s *Share) SetLimits(limits Limits, now time.Time) {
	s.refill(now)
	s.limits = limits
}

// Reset empties the token bucket, for example once a holder was reached.
func (s *Share) Reset(now time.Time) {
	s.tokens = 0
	s.refilledAt = now
}

func (s *Share) rate() float64 {
	return s.limits.LoadsPerSecond / float64(max(s.limits.MaxEngines, 1))
}

func (s *Share) refill(now time.Time) {
	s.tokens = min(1, s.tokens+s.rate()*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
}

// Take reports whether one load may be ordered now, and if so counts it as in flight.
func (s *Share) Take(now time.Time) bool {
	s.refill(now)
	if s.inFlight || s.tokens < 1-tokenRounding {
		return false
	}
	s.tokens = 0
	s.inFlight = true
	return true
}

// Done records the end of the load that Take permitted.
func (s *Share) Done() { s.inFlight = false }

// NextAt returns the earliest time at which Take may succeed.
func (s *Share) NextAt(now time.Time) time.Time {
	s.refill(now)
	if s.rate() <= 0 {
		return now.Add(time.Hour)
	}
	return now.Add(time.Duration((1 - s.tokens) / s.rate() * float64(time.Second)))
}
