package ratelimit

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// askerTTL is how long a gateway counts as one that asks here after it was last heard.
const askerTTL = 2 * time.Second

// partialShare is the part of the share of those that ask here which is handed out while
// others ask elsewhere: one that changes to another process counts at both for a while.
const partialShare = 0.9

// Shared apportions the rate limit of one target to the gateways that ask this process
// for permits. Gateways that have lost it ask another process, so it hands out only the
// share of those that ask here: the shares of all processes add up to the limit.
type Shared struct {
	limiter Limiter
	askers  map[ident.VM]time.Time // when each was last heard
}

// NewShared returns the limit of a target that no gateway asks for yet.
func NewShared() *Shared { return &Shared{askers: make(map[ident.VM]time.Time)} }

// Heard records that a gateway asks here.
func (s *Shared) Heard(gateway ident.VM, now time.Time) { s.askers[gateway] = now }

// Idle reports whether no gateway asks here any more.
func (s *Shared) Idle(now time.Time) bool { return s.active(now) == 0 }

// active returns the number of gateways that ask here.
func (s *Shared) active(now time.Time) int {
	for gateway, heard := range s.askers {
		if now.Sub(heard) > askerTTL {
			delete(s.askers, gateway)
		}
	}
	return len(s.askers)
}

// TakeWithin takes one request of the target's limit for one of so many gateways in all,
// as Limiter.TakeWithin does.
func (s *Shared) TakeWithin(perSecond float64, gateways int, maxWait time.Duration, now time.Time) (wait time.Duration, taken bool) {
	active, perSecond := s.active(now), max(perSecond, minPerSecond)
	if active >= gateways {
		s.limiter.Set(perSecond, now)
	} else {
		s.limiter.setRate(partialShare*perSecond*float64(max(active, 1))/float64(gateways), 1, now)
	}
	return s.limiter.TakeWithin(maxWait, now)
}
