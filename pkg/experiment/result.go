package experiment

import (
	"fmt"
	"sort"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// PolicyName is the name of a policy in results.
type PolicyName string

// Names of the policies. Bound stands for the bound that no policy can beat.
const (
	RandomLRU      PolicyName = "random+lru"
	LeastLoadedLRU PolicyName = "least-loaded+lru"
	RendezvousLRU  PolicyName = "rendezvous+lru"
	Hyssoproad     PolicyName = "hyssoproad"
	Bound          PolicyName = "bound"
)

// Policies are the policies to compare.
var Policies = []PolicyName{RandomLRU, LeastLoadedLRU, RendezvousLRU, Hyssoproad}

// Result is the outcome of one workload under one policy. In the percentiles of the
// load stall, a request that never started counts with its whole deadline.
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
	// LoadsOverRate counts the loads that exceeded the weight store's rate.
	LoadsOverRate int `json:"loads-over-rate"`
	// ClassSpread is the difference between the highest and the lowest goodput of
	// the classes of callers.
	ClassSpread float64 `json:"class-spread"`
	// RecoveryS is the time in seconds from the fault until the 95th percentile of
	// the load stall in a window is at most 10% above its value before the fault.
	// It is -1 if this does not happen.
	RecoveryS float64 `json:"recovery-s"`
	// Retried counts the refused requests that were sent again at the time that the
	// refusal gave. RetriedServed is the share of these that were then served.
	Retried       int     `json:"retried,omitempty"`
	RetriedServed float64 `json:"retried-served,omitempty"`
}

// Run runs one workload under one policy.
func Run(w Workload, name PolicyName) Result {
	if name == Bound {
		return bound(w)
	}
	s := newSimulation(w)
	p := s.policy(name)
	for i, a := range w.arrivals() {
		c := w.Classes[a.class]
		req := &request{
			arrival: a, class: c, id: ident.Request(fmt.Sprintf("r%d", i)),
			key:     ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprintf("a%05d", a.adapter)), Version: 1},
			arrived: epoch.Add(a.at), deadline: epoch.Add(a.at + c.Deadline),
		}
		s.requests = append(s.requests, req)
		s.clock.at(req.arrived, func() { p.submit(req) })
	}
	s.scheduleFault(p)
	s.clock.run()
	return s.result(name)
}

func (s *simulation) policy(name PolicyName) policy {
	switch name {
	case RandomLRU:
		return newBaseline(s, selectRandom)
	case LeastLoadedLRU:
		return newBaseline(s, selectLeastLoaded)
	case RendezvousLRU:
		return newBaseline(s, selectRendezvous)
	}
	return newHyssoproadPolicy(s)
}

const storeSlowdown = 4

func (s *simulation) scheduleFault(p policy) {
	f := s.workload.Fault
	if f == FaultNone || f == FaultShift {
		return
	}
	s.clock.at(epoch.Add(s.workload.FaultStart()), func() {
		if f == FaultSlowStore {
			s.store.slowdown = storeSlowdown
		}
		p.injectFault(f)
	})
	s.clock.at(epoch.Add(s.workload.FaultEnd()), func() {
		s.store.slowdown = 1
		p.clearFault(f)
	})
}

// measuredRequests returns the requests that arrived after the warm-up.
func (s *simulation) measuredRequests() []*request {
	var out []*request
	for _, req := range s.requests {
		if req.at >= s.workload.Warmup {
			out = append(out, req)
		}
	}
	return out
}

// countedStall returns the load stall that the request contributes to the
// percentiles.
func (req *request) countedStall() time.Duration {
	if !req.started {
		return req.class.Deadline
	}
	return req.stall
}

func (s *simulation) result(name PolicyName) Result {
	all := s.measuredRequests()
	stalls := make([]time.Duration, 0, len(all))
	served := 0
	for _, req := range all {
		stalls = append(stalls, req.countedStall())
		if req.started {
			served++
		}
	}
	retriedServed := 0
	for _, req := range s.retries {
		if req.started {
			retriedServed++
		}
	}
	used, offered := 0.0, 0.0
	for _, b := range s.batches {
		used += b.usedRequestSeconds
		offered += b.offeredRequestSeconds
	}
	measuredShare := float64(s.workload.Measured) / float64(s.workload.Length())
	n := float64(len(all))
	return Result{
		Workload: s.workload.Name, Policy: name, Offered: s.workload.Offered,
		StallP50MS: quantileMS(stalls, 0.50), StallP95MS: quantileMS(stalls, 0.95), StallP99MS: quantileMS(stalls, 0.99),
		BatchEfficiency: ratio(used, offered),
		LoadsPerHundred: 100 * ratio(float64(s.store.loads)*measuredShare, float64(served)),
		GoodputRatio:    float64(served) / n, RefusedRatio: 1 - float64(served)/n,
		LoadsOverRate: s.store.overRate, ClassSpread: s.classSpread(all), RecoveryS: s.recoverySeconds(),
		Retried: len(s.retries), RetriedServed: ratio(float64(retriedServed), float64(len(s.retries))),
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

func (s *simulation) classSpread(all []*request) float64 {
	total := make(map[string]float64)
	served := make(map[string]float64)
	for _, req := range all {
		total[req.class.Name]++
		if req.started {
			served[req.class.Name]++
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

func (s *simulation) recoverySeconds() float64 {
	w := s.workload
	if w.Fault == FaultNone {
		return 0
	}
	before := s.windowP95(w.Warmup, w.FaultStart())
	for at := w.FaultStart(); at+recoveryWindow <= w.Length(); at += recoveryWindow / 2 {
		if s.windowP95(at, at+recoveryWindow) <= recoveryFactor*before {
			return (at - w.FaultStart()).Seconds()
		}
	}
	return -1
}

func (s *simulation) windowP95(from, to time.Duration) float64 {
	var stalls []time.Duration
	for _, req := range s.requests {
		if req.at >= from && req.at < to {
			stalls = append(stalls, req.countedStall())
		}
	}
	return quantileMS(stalls, 0.95)
}
