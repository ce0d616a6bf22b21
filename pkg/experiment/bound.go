package experiment

import (
	"sort"
	"time"
)

// boundWindows are the window lengths over which the bound is computed.
var boundWindows = []time.Duration{15 * time.Second, 30 * time.Second, 60 * time.Second, 120 * time.Second}

// bound returns figures that no policy can beat.
//
// Take a window of length w. An adapter can be ready for a request of the window
// within x of its arrival only if it is already loaded when the window begins, or its
// load completes at most x after the window ends. All engines together have S slots,
// so at most S adapters are loaded at the beginning. At a load rate of R, at most
// 1+R(w+x) loads follow. The requests of the window that are ready within x are
// therefore at most those for its S+1+R(w+x) most requested adapters.
//
// The sum over all windows bounds the share of requests that are ready within any
// x. This bounds every percentile of the load stall and, where x is the longest
// deadline, the goodput. The bound of batch efficiency is 1. To serve that many
// requests, a policy needs at least as many adapters as the most requested ones that
// cover them. It must load these, less the S that may be loaded at the beginning.
func bound(w Workload) Result {
	sim := newSimulation(w)
	for _, a := range w.arrivals() {
		sim.requests = append(sim.requests, &request{arrival: a, class: w.Classes[a.class]})
	}
	b := bounder{workload: w, requests: sim.measuredRequests()}
	for _, e := range w.Engines {
		b.slots += e.Slots
	}
	longest := time.Duration(0)
	for _, c := range w.Classes {
		longest = max(longest, c.Deadline)
	}
	goodput := b.readyShare(longest)
	return Result{
		Workload: w.Name, Policy: Bound, Offered: w.Offered,
		StallP50MS: b.percentile(0.50, longest), StallP95MS: b.percentile(0.95, longest), StallP99MS: b.percentile(0.99, longest),
		BatchEfficiency: 1, GoodputRatio: goodput, RefusedRatio: 1 - goodput,
		LoadsPerHundred: b.loadsPerHundred(goodput),
	}
}

type bounder struct {
	workload Workload
	requests []*request
	slots    int
}

// readyShare returns the upper bound of the share of requests whose adapter is
// ready within x.
func (b bounder) readyShare(x time.Duration) float64 {
	best := 1.0
	for _, w := range boundWindows {
		best = min(best, b.readyShareIn(w, x))
	}
	return best
}

func (b bounder) readyShareIn(window, x time.Duration) float64 {
	limit := b.slots + 1 + int(b.workload.Rate*(window+x).Seconds())
	total := 0
	for start := b.workload.Warmup; start < b.workload.Length(); start += window {
		counts := make(map[int]int)
		for _, req := range b.requests {
			if req.at >= start && req.at < start+window {
				counts[req.adapter]++
			}
		}
		total += sumOfLargest(counts, limit)
	}
	return float64(total) / float64(len(b.requests))
}

func sumOfLargest(counts map[int]int, limit int) int {
	sorted := make([]int, 0, len(counts))
	for _, n := range counts {
		sorted = append(sorted, n)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(sorted)))
	sum := 0
	for _, n := range sorted[:min(limit, len(sorted))] {
		sum += n
	}
	return sum
}

const percentileStep = 250 * time.Millisecond

func (b bounder) percentile(p float64, longest time.Duration) float64 {
	for x := time.Duration(0); x < longest; x += percentileStep {
		if b.readyShare(x) >= p {
			return float64(x.Milliseconds())
		}
	}
	return float64(longest.Milliseconds())
}

func (b bounder) loadsPerHundred(goodput float64) float64 {
	counts := make(map[int]int)
	for _, req := range b.requests {
		counts[req.adapter]++
	}
	served := int(goodput * float64(len(b.requests)))
	needed := sort.Search(len(counts), func(n int) bool { return sumOfLargest(counts, n) >= served })
	return 100 * ratio(float64(max(0, needed-b.slots)), float64(served))
}
