package grant

import (
	"math"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// switching changes an engine to another base model, where it has no room for two.
// It answers a demand that moves to models which few engines hold.
type switching struct {
	// to is the model that the engine changes to; empty if it does not.
	to     ident.Model
	next   time.Time // when it may change again
	demand map[ident.Model]rate
	served rate // grants
}

const (
	// switchRate is the least demand for another model, in wants a second, and
	// switchFactor the number of times that it must be above what the engine serves:
	// a change takes seconds, in which the engine serves nobody.
	switchRate   = 3
	switchFactor = 2
	// switchPause lets a change show in the demand before the next.
	switchPause = 10 * time.Second
	// rateTime is the time over which a rate is averaged.
	rateTime = 2 * time.Second
)

// rate is a rate of events, averaged with a weight that decays over rateTime.
type rate struct {
	value float64 // a second, as of at
	at    time.Time
}

func (r rate) of(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateTime.Seconds())
}

func (r rate) plus(now time.Time) rate {
	return rate{r.of(now) + 1/rateTime.Seconds(), now}
}

// noteDemand records a want for a model that the engine does not hold.
func (s *switching) noteDemand(m ident.Model, now time.Time) {
	if s.demand == nil {
		s.demand = make(map[ident.Model]rate)
	}
	s.demand[m] = s.demand[m].plus(now)
}

// considerSwitch begins or ends a change to another model.
func (b *Book) considerSwitch(now time.Time) {
	if b.to != "" {
		// An operator may take a model out of the service meanwhile.
		if _, known := b.model(b.to); !known || b.models[b.to] {
			b.to, b.demand, b.next = "", nil, now.Add(switchPause)
		}
		return
	}
	if len(b.models) == 0 || now.Before(b.next) {
		return
	}
	for m, r := range b.demand {
		wanted := r.of(now)
		if wanted >= switchRate && wanted > switchFactor*b.served.of(now) && !b.models[m] && !b.fitsBeside(m) {
			b.to = m
			return
		}
	}
}

// fitsBeside reports whether there is room for the model beside those held.
func (b *Book) fitsBeside(name ident.Model) bool {
	m, ok := b.model(name)
	return ok && m.MB <= b.room()
}

// leavingModel returns a model that makes way for the one that the engine changes to.
// Its requests have ended.
func (b *Book) leavingModel() (ident.Model, bool) {
	if b.to == "" || len(b.running) > 0 {
		return "", false
	}
	for m := range b.models {
		if m != b.to {
			return m, true
		}
	}
	return "", false
}
