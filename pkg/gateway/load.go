package gateway

import (
	"hash/fnv"
	"math"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/placement"
	"github.com/hyssoproad/hyssoproad/pkg/route"
	"github.com/hyssoproad/hyssoproad/platform"
)

// loadTracker tracks the load of targets: what they report in their responses, and
// the requests of this process.
type loadTracker struct {
	mu       sync.Mutex
	byTarget map[ident.Target]*load
}

type load struct {
	ownRequests   int
	otherRequests int // requests of other gateways, by the newest response
	slots         int
	reportedAt    time.Time
	pace          smoothedPace
	// unreadable are the fields whose unreadable form has been logged.
	unreadable platform.LoadFields
}

const (
	// otherRequestsTTL is how long the reported requests of other gateways count
	// after a response: a few latency objectives of a plain service.
	otherRequestsTTL = 300 * time.Millisecond
	// maxTrackedTargets bounds the number of tracked targets, since some no longer
	// exist.
	maxTrackedTargets = 4096
)

func newLoadTracker() *loadTracker { return &loadTracker{byTarget: make(map[ident.Target]*load)} }

// get returns a target's load, and adds an empty one if there is none. The caller
// holds mu.
func (l *loadTracker) get(t ident.Target) *load {
	v := l.byTarget[t]
	if v == nil {
		if len(l.byTarget) >= maxTrackedTargets {
			l.removeIdle()
		}
		v = &load{}
		l.byTarget[t] = v
	}
	return v
}

func (l *loadTracker) removeIdle() {
	for t, v := range l.byTarget {
		if v.ownRequests == 0 {
			delete(l.byTarget, t)
		}
	}
}

func (l *loadTracker) begin(t ident.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(t).ownRequests++
}

func (l *loadTracker) end(t ident.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(t).ownRequests--
}

// record stores the load that a target reported. The request that the report came
// with may still be counted as running. It returns the unreadable fields that are to be
// logged: each once per target.
func (l *loadTracker) record(t ident.Target, reported platform.TargetLoad, now time.Time) (unreadable platform.LoadFields) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.get(t)
	if reported.Known.Has(platform.LoadRunning) {
		v.otherRequests, v.reportedAt = max(reported.Running+reported.Waiting-v.ownRequests, 0), now
	}
	if reported.Known.Has(platform.LoadSlots) {
		v.slots = reported.Slots
	}
	if reported.Known.Has(platform.LoadPace) {
		v.pace.record(reported.Pace, now)
	}
	unreadable = reported.Unreadable &^ v.unreadable
	v.unreadable |= unreadable
	return unreadable
}

// perSlot returns a target's load in requests per slot.
func (l *loadTracker) perSlot(t fleet.Target) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.byTarget[t.Instance]
	if v == nil {
		return 0 // nothing is added for a look at it
	}
	requests, slots := v.perSlot(t, time.Now())
	return requests / slots
}

// perSlot returns the requests of a target as far as they are known, and its slots.
func (v *load) perSlot(t fleet.Target, now time.Time) (requests, slots float64) {
	n := v.ownRequests
	if now.Sub(v.reportedAt) < otherRequestsTTL {
		n += v.otherRequests
	}
	return float64(n), float64(max(v.slots, t.Slots, 1))
}

const (
	// unseenRequests is the mean number of requests that other gateways are taken to have
	// sent to a target since its last report. Each target gets a random number of this
	// mean, by the request. Without it all gateways would send the next requests to the
	// one target that the newest reports show to be the fastest. With paces of 60, 100,
	// 100 and 160 and the same report, 30 gateways send 0.68 of their requests to the
	// fastest target, whose share of the speed of all is 0.39.
	unseenRequests = 2.0
	// domainRequests is the number of requests that a target in another failure domain is
	// taken to run in addition: traffic between domains is slower and billed.
	domainRequests = 0.5
)

// byCost returns the targets in ascending order of the time that another request takes
// there: by (requests + 1) x pace per slot. If no target states a pace, the order is by
// load.
func (l *loadTracker) byCost(targets []fleet.Target, own ident.Domain, tie uint64, now time.Time) []fleet.Target {
	if !l.statesPace(targets, now) {
		return placement.ByLoad(targets, l.perSlot, own, tie)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return placement.ByLoad(targets, func(t fleet.Target) float64 {
		v := l.byTarget[t.Instance]
		if v == nil {
			v = &load{} // nothing is added for a look at it
		}
		requests, slots := v.perSlot(t, now)
		requests += unseenRequests * exponential(route.RendezvousHash(tie, hash(t.Address)))
		if t.Domain != own {
			requests += domainRequests
		}
		return (requests + 1) * v.pace.at(now) / slots
	}, own, tie)
}

// paceOf returns the average of the paces that a target has stated, in percent, with the
// age of the last one.
func (l *loadTracker) paceOf(t ident.Target) (percent float64, age time.Duration, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, now := l.byTarget[t], time.Now()
	if v == nil || !v.pace.known(now) {
		return 0, 0, false
	}
	return v.pace.average, now.Sub(v.pace.statedAt), true
}

// statesPace reports whether one of the targets has stated its pace lately.
func (l *loadTracker) statesPace(targets []fleet.Target, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range targets {
		if v := l.byTarget[t.Instance]; v != nil && v.pace.known(now) {
			return true
		}
	}
	return false
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// exponential maps a hash of 53 bits to an exponentially distributed number of mean 1.
func exponential(h uint64) float64 { return -math.Log1p(-float64(h) / math.Exp2(53)) }

// unitHash maps s to [0, 1).
func unitHash(s string) float64 { return float64(hash(s)>>11) / math.Exp2(53) }
