// Package budget keeps the loads of all engines within the weight store's
// limits: a rate and a number in flight. It does no I/O, and its callers pass
// the time.
package budget

import (
	"math"
	"sort"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// GrantValidity is the time within which a granted load must be ordered.
const GrantValidity = 2 * time.Second

const (
	// loadTimeout frees the place of a load whose end was never reported.
	loadTimeout   = 30 * time.Second
	minRateShare  = 0.25
	slowLoadRatio = 3.0
	decrease      = 0.7
	increase      = 0.05
)

// Limits are the weight store's limits.
type Limits struct {
	LoadsPerSecond float64
	InFlight       int
	Engines        int // upper bound on engines that load
}

// GrantID identifies a grant of one holder.
type GrantID uint64

// Want is an agent's request for one load.
type Want struct {
	Target ident.Target
	Value  float64
}

// Holder grants loads to the agents that want them most. At most one Holder
// of the fleet is active, by a lease. It is not safe for concurrent use.
type Holder struct {
	limits  Limits
	tokens  float64
	at      time.Time
	rate    float64 // share of the permitted rate, lowered while loads are slow
	reached int     // agents that can hear this holder
	wants   map[ident.Target]Want
	flying  map[GrantID]time.Time
	next    GrantID
	used    float64 // share of the rate that was used of late
	usedAt  time.Time
}

// usageSpan is the time over which the rate's use is smoothed.
const usageSpan = 10 * time.Second

// Pressure returns the share of the permitted rate that was used of late.
func (h *Holder) Pressure(now time.Time) float64 {
	h.decay(now)
	if h.Rate() == 0 {
		return 1
	}
	return h.used / usageSpan.Seconds() / h.Rate()
}

// decay ages the count of recent grants.
func (h *Holder) decay(now time.Time) {
	h.used *= math.Exp(-float64(now.Sub(h.usedAt)) / float64(usageSpan))
	h.usedAt = now
}

// termShift leaves each term its own range of grant ids, so that the end of a
// former holder's load frees no place here.
const termShift = 32

// NewHolder returns the holder of a lease's term. It starts with an empty bucket,
// so that the grants of its predecessor and its own never add up to more than
// the rate.
func NewHolder(limits Limits, term uint64, now time.Time) *Holder {
	return &Holder{
		next:   GrantID(term << termShift),
		limits: limits, at: now, usedAt: now, rate: 1, reached: limits.Engines,
		wants:  make(map[ident.Target]Want),
		flying: make(map[GrantID]time.Time),
	}
}

// SetLimits changes the limits from now on.
func (h *Holder) SetLimits(limits Limits, now time.Time) {
	h.refill(now)
	h.limits = limits
}

// SetReached tells how many agents report to the fleet. The static shares of
// all others are withheld, since those may be loading without a grant.
func (h *Holder) SetReached(agents int, now time.Time) {
	h.refill(now)
	h.reached = min(agents, h.limits.Engines)
}

// Rate returns the loads per second that are granted now.
func (h *Holder) Rate() float64 {
	share := float64(h.reached) / float64(max(h.limits.Engines, 1))
	return h.limits.LoadsPerSecond * h.rate * share
}

func (h *Holder) refill(now time.Time) {
	h.tokens = min(1, h.tokens+h.Rate()*now.Sub(h.at).Seconds())
	h.at = now
}

// Want records or updates what a target wants to load.
func (h *Holder) Want(w Want) {
	h.wants[w.Target] = w
}

// Withdraw forgets a target's want.
func (h *Holder) Withdraw(t ident.Target) { delete(h.wants, t) }

// Grant is the permission for one load.
type Grant struct {
	ID     GrantID
	Target ident.Target
}

// Grants returns the loads that are permitted now, the most valuable first.
func (h *Holder) Grants(now time.Time) []Grant {
	h.refill(now)
	h.reap(now)
	var out []Grant
	for h.tokens >= 1-tokenRounding && len(h.flying) < h.limits.InFlight && len(h.wants) > 0 {
		w := h.best()
		delete(h.wants, w.Target)
		h.tokens = max(0, h.tokens-1)
		h.next++
		h.flying[h.next] = now
		h.decay(now)
		h.used++
		out = append(out, Grant{ID: h.next, Target: w.Target})
	}
	return out
}

const tokenRounding = 1e-6

func (h *Holder) best() Want {
	all := make([]Want, 0, len(h.wants))
	for _, w := range h.wants {
		all = append(all, w)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Value != all[j].Value {
			return all[i].Value > all[j].Value
		}
		return all[i].Target < all[j].Target
	})
	return all[0]
}

func (h *Holder) reap(now time.Time) {
	for id, at := range h.flying {
		if now.Sub(at) > loadTimeout {
			delete(h.flying, id)
		}
	}
}

// Done frees the place of a granted load. Slow and failed loads lower the
// rate, others raise it again.
func (h *Holder) Done(id GrantID, took, normal time.Duration, failed bool, now time.Time) {
	if _, ok := h.flying[id]; !ok {
		return
	}
	delete(h.flying, id)
	h.refill(now)
	if failed || float64(took) > slowLoadRatio*float64(normal) {
		h.rate = max(minRateShare, h.rate*decrease)
		return
	}
	h.rate = min(1, h.rate+increase)
}

// GiveBack frees the place of a grant that was never used.
func (h *Holder) GiveBack(id GrantID) { delete(h.flying, id) }

// NextGrant returns when the next grant becomes possible, or the zero time
// when that depends on a want or on the end of a load.
func (h *Holder) NextGrant(now time.Time) time.Time {
	if len(h.wants) == 0 || len(h.flying) >= h.limits.InFlight {
		return time.Time{}
	}
	h.refill(now)
	missing := max(0, 1-h.tokens)
	return now.Add(time.Duration(missing / h.Rate() * float64(time.Second)))
}

// InFlight returns the number of loads granted and not reported as done.
func (h *Holder) InFlight() int { return len(h.flying) }
