package grant

import (
	"math"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// modelSwitch decides when an engine without memory for two base models switches to
// another one. It handles demand that shifts to models held by few engines.
type modelSwitch struct {
	// switchTo is the model that the engine is switching to, or empty.
	switchTo   ident.Model
	nextSwitch time.Time // earliest time of the next switch
	demand     map[ident.Model]rate
	servedRate rate // rate of grants
}

const (
	// minSwitchDemand is the demand for another model that a switch requires, in
	// requests per second. minSwitchRatio is the required ratio of that demand to the
	// engine's own rate of grants. A switch takes seconds in which the engine serves
	// no requests.
	minSwitchDemand = 3
	minSwitchRatio  = 2
	// switchInterval is the minimum time between two switches. It lets a switch show
	// in the demand before the next one.
	switchInterval = 10 * time.Second
	// rateWindow is the time constant over which a rate is averaged.
	rateWindow = 2 * time.Second
)

// rate is an exponentially decaying average of a rate of events.
type rate struct {
	value   float64 // events per second at updated
	updated time.Time
}

func (r rate) valueAt(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.updated).Seconds()/rateWindow.Seconds())
}

func (r rate) add(now time.Time) rate {
	return rate{r.valueAt(now) + 1/rateWindow.Seconds(), now}
}

// recordDemand records a request for a model that the engine does not hold.
func (s *modelSwitch) recordDemand(m ident.Model, now time.Time) {
	if s.demand == nil {
		s.demand = make(map[ident.Model]rate)
	}
	s.demand[m] = s.demand[m].add(now)
}

// updateSwitch starts a switch to another model, or ends the current one.
func (s *Scheduler) updateSwitch(now time.Time) {
	if s.switchTo != "" {
		// An operator may have removed the model from the service in the meantime.
		if _, known := s.model(s.switchTo); !known || s.models[s.switchTo] {
			s.switchTo, s.demand, s.nextSwitch = "", nil, now.Add(switchInterval)
		}
		return
	}
	if len(s.models) == 0 || now.Before(s.nextSwitch) {
		return
	}
	for m, r := range s.demand {
		demand := r.valueAt(now)
		if demand >= minSwitchDemand && demand > minSwitchRatio*s.servedRate.valueAt(now) && !s.models[m] && !s.fitsBeside(m) {
			s.switchTo = m
			return
		}
	}
}

// fitsBeside reports whether the model fits into memory beside the held models.
func (s *Scheduler) fitsBeside(name ident.Model) bool {
	m, ok := s.model(name)
	return ok && m.MB <= s.freeMB()
}

// modelToUnload returns a model to unload for the current switch, once all running
// requests have ended.
func (s *Scheduler) modelToUnload() (ident.Model, bool) {
	if s.switchTo == "" || len(s.running) > 0 {
		return "", false
	}
	for m := range s.models {
		if m != s.switchTo {
			return m, true
		}
	}
	return "", false
}
