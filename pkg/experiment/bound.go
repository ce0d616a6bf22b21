package experiment

import (
	"sort"
	"time"
)

// boundWindows are the window lengths over which the bound is taken.
var boundWindows = []time.Duration{15 * time.Second, 30 * time.Second, 60 * time.Second, 120 * time.Second}

// bound returns figures that no policy can beat. In a window of length w, the
// adapters that can be ready for a request within x of its arrival are those
// resident when the window begins, at most the slots S of the fleet, and those
// loaded until x after its end, at most 1+R(w+x) at rate R. The requests of a
// window that are ready within x are therefore at most those of its S+1+R(w+x)
// most requested adapters. Summed over windows this bounds the share ready within
// any x, hence every percentile of the stall and, with x the longest deadline,
// the goodput. Batch efficiency is bounded by 1 only. A policy that serves as
// many requests must have loaded the adapters they name, less S.
func bound(w Workload) Result {
	all := newRun(w)
	for _, a := range w.arrivals() {
		all.requests = append(all.requests, &request{arrival: a, class: w.Classes[a.class]})
	}
	b := bounder{workload: w, requests: all.counted()}
	for _, e := range w.Engines {
		b.slots += e.Slots
	}
	longest := time.Duration(0)
	for _, c := range w.Classes {
		longest = max(longest, c.Deadline)
	}
	goodput := b.ready(longest)
	return Result{
		Workload: w.Name, Policy: Bound, Offered: w.Offered,
		StallP50MS: b.percentile(0.50, longest), StallP95MS: b.percentile(0.95, longest), StallP99MS: b.percentile(0.99, longest),
		BatchEfficiency: 1, GoodputRatio: goodput, RefusedRatio: 1 - goodput,
		LoadsPerHundred: b.loads(goodput),
	}
}

type bounder struct {
	workload Workload
	requests []*request
	slots    int
}

// ready bounds the share of requests whose adapter is ready within x.
func (b bounder) ready(x time.Duration) float64 {
	best := 1.0
	for _, w := range boundWindows {
		best = min(best, b.readyIn(w, x))
	}
	return best
}

func (b bounder) readyIn(window, x time.Duration) float64 {
	limit := b.slots + 1 + int(b.workload.Rate*(window+x).Seconds())
	total := 0
	for from := b.workload.Warmup; from < b.workload.Length(); from += window {
		counts := make(map[int]int)
		for _, q := range b.requests {
			if q.at >= from && q.at < from+window {
				counts[q.adapter]++
			}
		}
		total += topSum(counts, limit)
	}
	return float64(total) / float64(len(b.requests))
}

func topSum(counts map[int]int, limit int) int {
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

const boundStep = 250 * time.Millisecond

func (b bounder) percentile(q float64, longest time.Duration) float64 {
	for x := time.Duration(0); x < longest; x += boundStep {
		if b.ready(x) >= q {
			return float64(x.Milliseconds())
		}
	}
	return float64(longest.Milliseconds())
}

func (b bounder) loads(goodput float64) float64 {
	counts := make(map[int]int)
	for _, q := range b.requests {
		counts[q.adapter]++
	}
	served := int(goodput * float64(len(b.requests)))
	needed := sort.Search(len(counts), func(n int) bool { return topSum(counts, n) >= served })
	return 100 * ratio(float64(max(0, needed-b.slots)), float64(served))
}
