package experiment

import (
	"fmt"
	"sort"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// PolicyName names a policy in results.
type PolicyName string

// The policies.
const (
	RandomLRU      PolicyName = "random+lru"
	LeastLoadedLRU PolicyName = "least-loaded+lru"
	RendezvousLRU  PolicyName = "rendezvous+lru"
	Hyssoproad     PolicyName = "hyssoproad"
	Bound          PolicyName = "bound"
)

// Policies are the policies that are compared.
var Policies = []PolicyName{RandomLRU, LeastLoadedLRU, RendezvousLRU, Hyssoproad}

// Result is one workload under one policy. Requests that were never started
// count in the stall percentiles with the whole of their deadline.
type Result struct {
	Workload        string     `json:"workload"`
	Policy          PolicyName `json:"policy"`
	StallP50MS      float64    `json:"stall-p50-ms"`
	StallP95MS      float64    `json:"stall-p95-ms"`
	StallP99MS      float64    `json:"stall-p99-ms"`
	BatchEfficiency float64    `json:"batch-efficiency"`
	LoadsPerHundred float64    `json:"loads-per-hundred"`
	GoodputRatio    float64    `json:"goodput-ratio"`
	RefusedRatio    float64    `json:"refused-ratio"`
	Offered         float64    `json:"offered"`
	// LoadsOverRate counts the loads that found the store's rate used up.
	LoadsOverRate int `json:"loads-over-rate"`
	// ClassSpread is the difference in goodput between the classes of callers
	// that fare best and worst.
	ClassSpread float64 `json:"class-spread"`
	// RecoveryS is the time from the fault until the stall's 95th percentile,
	// over windows, is back within 10% of its value before; -1 if it is not.
	RecoveryS float64 `json:"recovery-s"`
	// Retried counts the requests that came back when told to, and
	// RetriedServed the share of these that were then served.
	Retried       int     `json:"retried,omitempty"`
	RetriedServed float64 `json:"retried-served,omitempty"`
}

// Run runs one workload under one policy.
func Run(w Workload, name PolicyName) Result {
	if name == Bound {
		return bound(w)
	}
	r := newRun(w)
	p := r.policy(name)
	for i, a := range w.arrivals() {
		c := w.Classes[a.class]
		q := &request{
			arrival: a, class: c, id: ident.Request(fmt.Sprintf("r%d", i)),
			key:     ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprintf("a%05d", a.adapter)), Version: 1},
			arrived: epoch.Add(a.at), deadline: epoch.Add(a.at + c.Deadline),
		}
		r.requests = append(r.requests, q)
		r.clock.at(q.arrived, func() { p.arrive(q) })
	}
	r.scheduleFault(p)
	r.clock.run()
	return r.result(name)
}

func (r *run) policy(name PolicyName) policy {
	switch name {
	case RandomLRU:
		return newBaseline(r, chooseRandom)
	case LeastLoadedLRU:
		return newBaseline(r, chooseLeastLoaded)
	case RendezvousLRU:
		return newBaseline(r, chooseRendezvous)
	}
	return newOurs(r)
}

const storeSlowdown = 4

func (r *run) scheduleFault(p policy) {
	f := r.workload.Fault
	if f == FaultNone || f == FaultShift {
		return
	}
	r.clock.at(epoch.Add(r.workload.FaultAt()), func() {
		if f == FaultSlowStore {
			r.store.slowdown = storeSlowdown
		}
		p.strike(f)
	})
	r.clock.at(epoch.Add(r.workload.FaultEnds()), func() {
		r.store.slowdown = 1
		p.relieve(f)
	})
}

// counted returns the requests that arrived while the run was measured.
func (r *run) counted() []*request {
	var out []*request
	for _, q := range r.requests {
		if q.at >= r.workload.Warmup {
			out = append(out, q)
		}
	}
	return out
}

// figure is the stall that a request counts with.
func (q *request) figure() time.Duration {
	if !q.started {
		return q.class.Deadline
	}
	return q.stall
}

func (r *run) result(name PolicyName) Result {
	all := r.counted()
	stalls := make([]time.Duration, 0, len(all))
	served := 0
	for _, q := range all {
		stalls = append(stalls, q.figure())
		if q.started {
			served++
		}
	}
	retriedServed := 0
	for _, q := range r.retries {
		if q.started {
			retriedServed++
		}
	}
	used, offered := 0.0, 0.0
	for _, s := range r.seats {
		used += s.used
		offered += s.offered
	}
	loadsShare := float64(r.workload.Measured) / float64(r.workload.Length())
	n := float64(len(all))
	return Result{
		Workload: r.workload.Name, Policy: name, Offered: r.workload.Offered,
		StallP50MS: quantileMS(stalls, 0.50), StallP95MS: quantileMS(stalls, 0.95), StallP99MS: quantileMS(stalls, 0.99),
		BatchEfficiency: ratio(used, offered),
		LoadsPerHundred: 100 * ratio(float64(r.store.loads)*loadsShare, float64(served)),
		GoodputRatio:    float64(served) / n, RefusedRatio: 1 - float64(served)/n,
		LoadsOverRate: r.store.queued, ClassSpread: r.spread(all), RecoveryS: r.recovery(),
		Retried: len(r.retries), RetriedServed: ratio(float64(retriedServed), float64(len(r.retries))),
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func quantileMS(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), d...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return float64(sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Milliseconds())
}

func (r *run) spread(all []*request) float64 {
	total := make(map[string]float64)
	served := make(map[string]float64)
	for _, q := range all {
		total[q.class.Name]++
		if q.started {
			served[q.class.Name]++
		}
	}
	low, high := 1.0, 0.0
	for name, n := range total {
		g := served[name] / n
		low, high = min(low, g), max(high, g)
	}
	return max(0, high-low)
}

const (
	recoveryWindow = 20 * time.Second
	recoveryFactor = 1.1
)

func (r *run) recovery() float64 {
	w := r.workload
	if w.Fault == FaultNone {
		return 0
	}
	before := r.windowP95(w.Warmup, w.FaultAt())
	for at := w.FaultAt(); at+recoveryWindow <= w.Length(); at += recoveryWindow / 2 {
		if r.windowP95(at, at+recoveryWindow) <= recoveryFactor*before {
			return (at - w.FaultAt()).Seconds()
		}
	}
	return -1
}

func (r *run) windowP95(from, to time.Duration) float64 {
	var stalls []time.Duration
	for _, q := range r.requests {
		if q.at >= from && q.at < to {
			stalls = append(stalls, q.figure())
		}
	}
	return quantileMS(stalls, 0.95)
}
