package budget

import (
	"time"
)

// Share is an agent's static part of the load rate, used while no holder can
// be heard. The shares of all engines add up to the rate at most.
type Share struct {
	limits Limits
	tokens float64
	at     time.Time
	flying bool
}

// NewShare returns a share with an empty bucket.
func NewShare(limits Limits, now time.Time) *Share {
	return &Share{limits: limits, at: now}
}

// SetLimits changes the limits from now on.
func (s *Share) SetLimits(limits Limits, now time.Time) {
	s.refill(now)
	s.limits = limits
}

// Reset empties the bucket, as when a holder was heard.
func (s *Share) Reset(now time.Time) {
	s.tokens = 0
	s.at = now
}

func (s *Share) rate() float64 {
	return s.limits.LoadsPerSecond / float64(max(s.limits.Engines, 1))
}

func (s *Share) refill(now time.Time) {
	s.tokens = min(1, s.tokens+s.rate()*now.Sub(s.at).Seconds())
	s.at = now
}

// Take reports whether one load may be ordered now.
func (s *Share) Take(now time.Time) bool {
	s.refill(now)
	if s.flying || s.tokens < 1-tokenRounding {
		return false
	}
	s.tokens = 0
	s.flying = true
	return true
}

// Done records the end of the load that Take permitted.
func (s *Share) Done() { s.flying = false }

// Next returns when Take may next succeed.
func (s *Share) Next(now time.Time) time.Time {
	s.refill(now)
	if s.rate() <= 0 {
		return now.Add(time.Hour)
	}
	return now.Add(time.Duration((1 - s.tokens) / s.rate() * float64(time.Second)))
}
