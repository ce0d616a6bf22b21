// Package budget keeps the loads of all engines within the weight store's limits on
// the rate of loads and the number in flight. It does no I/O, and callers pass in the
// current time.
package budget

import (
	"math"
	"sort"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// GrantValidity is the time after a grant within which the load must be ordered.
const GrantValidity = 2 * time.Second

const (
	// loadTimeout is the time after which a load that was never reported as ended no
	// longer counts as in flight.
	loadTimeout   = 30 * time.Second
	minRateFactor = 0.25
	slowLoadRatio = 3.0
	rateDecrease  = 0.7
	rateIncrease  = 0.05
)

// Limits are the weight store's limits.
type Limits struct {
	LoadsPerSecond float64
	InFlight       int
	MaxEngines     int // upper bound on the number of engines that load
}

// GrantID identifies a grant.
type GrantID uint64

// LoadRequest is a target's request for one load.
type LoadRequest struct {
	Target ident.Target
	Value  float64
}

// Holder grants loads in descending order of value. A lease ensures that at most one
// Holder in the fleet is active. It is not safe for concurrent use.
type Holder struct {
	limits       Limits
	tokens       float64
	refilledAt   time.Time
	rateFactor   float64 // factor on the permitted rate, lowered while loads are slow or fail
	reached      int     // number of engines whose agents can reach this holder
	requests     map[ident.Target]LoadRequest
	inFlight     map[GrantID]time.Time
	lastID       GrantID
	recentGrants float64 // decaying count of recent grants
	decayedAt    time.Time
}

// usageWindow is the time constant over which the use of the rate is averaged.
const usageWindow = 10 * time.Second

// Utilization returns the share of the permitted rate that was recently used.
func (h *Holder) Utilization(now time.Time) float64 {
	h.decay(now)
	if h.Rate() == 0 {
		return 1
	}
	return h.recentGrants / usageWindow.Seconds() / h.Rate()
}

// decay decays the count of recent grants to now.
func (h *Holder) decay(now time.Time) {
	h.recentGrants *= math.Exp(-float64(now.Sub(h.decayedAt)) / float64(usageWindow))
	h.decayedAt = now
}

// termShift gives each term its own range of grant ids, so that the end of a load
// granted by a former holder does not release a load of this one.
const termShift = 32

// NewHolder returns the holder for a term of the lease. Its token bucket starts empty,
// so that its own grants and those of its predecessor together never exceed the rate.
func NewHolder(limits Limits, term uint64, now time.Time) *Holder {
	return &Holder{
		lastID: GrantID(term << termShift),
		limits: limits, refilledAt: now, decayedAt: now, rateFactor: 1, reached: limits.MaxEngines,
		requests: make(map[ident.Target]LoadRequest),
		inFlight: make(map[GrantID]time.Time),
	}
}

// SetLimits applies new limits from now on.
func (h *Holder) SetLimits(limits Limits, now time.Time) {
	h.refill(now)
	h.limits = limits
}

// SetReachable sets the number of engines whose agents can reach this holder. The static
// shares of all other engines are withheld, since those may be loading without a grant.
func (h *Holder) SetReachable(engines int, now time.Time) {
	h.refill(now)
	h.reached = min(engines, h.limits.MaxEngines)
}

// Rate returns the current limit in loads per second.
func (h *Holder) Rate() float64 {
	share := float64(h.reached) / float64(max(h.limits.MaxEngines, 1))
	return h.limits.LoadsPerSecond * h.rateFactor * share
}

func (h *Holder) refill(now time.Time) {
	h.tokens = min(1, h.tokens+h.Rate()*now.Sub(h.refilledAt).Seconds())
	h.refilledAt = now
}

// Request records or replaces the target's request for a load.
func (h *Holder) Request(r LoadRequest) {
	h.requests[r.Target] = r
}

// Withdraw removes the target's request.
func (h *Holder) Withdraw(t ident.Target) { delete(h.requests, t) }

// Grant permits one load.
type Grant struct {
	ID     GrantID
	Target ident.Target
}

// Grants grants the loads that are permitted now, the most valuable first.
func (h *Holder) Grants(now time.Time) []Grant {
	h.refill(now)
	h.expire(now)
	var out []Grant
	for h.tokens >= 1-tokenRounding && len(h.inFlight) < h.limits.InFlight && len(h.requests) > 0 {
		r := h.best()
		delete(h.requests, r.Target)
		h.tokens = max(0, h.tokens-1)
		h.lastID++
		h.inFlight[h.lastID] = now
		h.decay(now)
		h.recentGrants++
		out = append(out, Grant{ID: h.lastID, Target: r.Target})
	}
	return out
}

const tokenRounding = 1e-6

func (h *Holder) best() LoadRequest {
	all := make([]LoadRequest, 0, len(h.requests))
	for _, r := range h.requests {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Value != all[j].Value {
			return all[i].Value > all[j].Value
		}
		return all[i].Target < all[j].Target
	})
	return all[0]
}

func (h *Holder) expire(now time.Time) {
	for id, at := range h.inFlight {
		if now.Sub(at) > loadTimeout {
			delete(h.inFlight, id)
		}
	}
}

// Done records the end of a granted load. Failed loads and those that take more than
// slowLoadRatio times the normal time lower the rate multiplicatively, and others raise
// it additively.
func (h *Holder) Done(id GrantID, took, normal time.Duration, failed bool, now time.Time) {
	if _, ok := h.inFlight[id]; !ok {
		return
	}
	delete(h.inFlight, id)
	h.refill(now)
	if failed || float64(took) > slowLoadRatio*float64(normal) {
		h.rateFactor = max(minRateFactor, h.rateFactor*rateDecrease)
		return
	}
	h.rateFactor = min(1, h.rateFactor+rateIncrease)
}

// Release releases a grant that was not used.
func (h *Holder) Release(id GrantID) { delete(h.inFlight, id) }

// NextGrantAt returns the time at which the next grant becomes possible, or the zero
// time if no target requests a load or the limit on loads in flight is reached.
func (h *Holder) NextGrantAt(now time.Time) time.Time {
	if len(h.requests) == 0 || len(h.inFlight) >= h.limits.InFlight {
		return time.Time{}
	}
	h.refill(now)
	missing := max(0, 1-h.tokens)
	return now.Add(time.Duration(missing / h.Rate() * float64(time.Second)))
}

// InFlight returns the number of granted loads that count as in flight.
func (h *Holder) InFlight() int { return len(h.inFlight) }
