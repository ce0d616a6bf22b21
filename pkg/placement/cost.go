package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/route"
)

const (
	// MaxCandidates is the number of engines that are weighed for one request. More would
	// spread an adapter over many engines.
	MaxCandidates = 12
	// tieRange is the difference of costs that counts as none: what is known of engines
	// is not more accurate, and many entries know the same.
	tieRange = 10 * time.Millisecond
	// UsualPace is the pace of a target that states none, in percent.
	UsualPace = 100.0
	// fullWait is the wait for the running requests at an engine with all slots in use
	// that has one left, in the steps that it takes for all of them. It prefers engines
	// with fewer requests where nothing else differs.
	fullWait = 60 * time.Millisecond
	// wayTime is a round trip between two failure domains.
	wayTime = 3 * time.Millisecond
	// copyShare is the share of an adapter load that a request costs which keeps the
	// adapter at one more engine than its demand needs: another adapter has to be loaded
	// again for it sooner or later, but not for each request.
	copyShare = 0.25
)

// Candidate is what is known of an engine that a request may be sent to.
type Candidate struct {
	fleet.Target
	Requests int           // that run or wait there
	Slots    int           // 0 if unknown
	Backlog  int           // prompt tokens that it is known to read first
	Busy     time.Duration // wait that its agent has forecast, less the time since
	Pace     float64       // in percent of the usual time, 0 if unknown
	Holds    bool          // it holds the adapter
	Spare    bool          // the adapter's demand does not need this engine
	Kept     int           // prompt tokens that it does not have to read
	Far      bool          // it is in another failure domain
}

// Demand is what a request needs of an engine.
type Demand struct {
	PromptTokens int
	// Tie orders engines with equal costs. It differs between requests.
	Tie uint64
}

// Cost is the expected time to the first event of a request at an engine, and what it costs
// other requests, by cause.
type Cost struct {
	Wait    time.Duration // for other requests
	Load    time.Duration // of the adapter
	Prefill time.Duration // of what is not kept
	Way     time.Duration // between failure domains
	Copy    time.Duration // of an adapter at one more engine
}

// Total returns the sum.
func (c Cost) Total() time.Duration { return c.Wait + c.Load + c.Prefill + c.Way + c.Copy }

// CostOf returns the cost of a request at an engine.
func CostOf(c *Candidate, d Demand, s Speed) Cost {
	pace := c.Pace / UsualPace
	if c.Pace <= 0 {
		pace = 1
	}
	scaled := func(t time.Duration) time.Duration { return time.Duration(pace * float64(t)) }
	out := Cost{Wait: scaled(s.Prefill(c.Backlog)), Prefill: scaled(s.Prefill(max(d.PromptTokens-c.Kept, 0)))}
	if c.Slots > 0 {
		out.Wait += scaled(fullWait) * time.Duration(min(c.Requests, c.Slots)) / time.Duration(c.Slots)
		if excess := c.Requests + 1 - c.Slots; excess > 0 {
			// On average one of the running requests ends every Run/Slots.
			out.Wait += scaled(s.Run) * time.Duration(excess) / time.Duration(c.Slots)
		}
	}
	out.Wait = max(out.Wait, c.Busy)
	if !c.Holds {
		out.Load = s.Load
	}
	if c.Spare {
		out.Copy = time.Duration(copyShare * float64(s.Load))
	}
	if c.Far {
		out.Way = wayTime
	}
	return out
}

// Ranked is a candidate with its cost.
type Ranked struct {
	*Candidate
	Cost Cost
}

// ByCost returns the candidates in ascending order of cost. Those whose costs are equal but
// for tieRange are ordered by the hash of the request's tie and the address, so that entries
// that know the same do not all choose the same one.
func ByCost(candidates []Candidate, d Demand, s Speed) []Ranked {
	out := make([]Ranked, len(candidates))
	var inline [MaxCandidates]position
	order := append(inline[:0], make([]position, len(candidates))...)
	for i := range candidates {
		cost := CostOf(&candidates[i], d, s)
		order[i] = position{index: i, cost: cost, total: cost.Total(), hash: route.RendezvousHash(d.Tie, xxhash.Sum64String(candidates[i].Address))}
	}
	slices.SortStableFunc(order, func(x, y position) int { return cmp.Compare(x.total, y.total) })
	for from := 0; from < len(order); {
		to := from + 1
		for to < len(order) && order[to].total <= order[from].total+tieRange {
			to++
		}
		slices.SortStableFunc(order[from:to], func(x, y position) int { return cmp.Compare(y.hash, x.hash) })
		from = to
	}
	for i, p := range order {
		out[i] = Ranked{&candidates[p.index], p.cost}
	}
	return out
}

// position is a candidate while they are put in order.
type position struct {
	index int
	cost  Cost
	total time.Duration
	hash  uint64
}
