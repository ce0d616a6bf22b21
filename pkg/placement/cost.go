package placement

import (
	"cmp"
	"slices"
	"sort"
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
	// usualPace is the pace of an engine that states none, in percent.
	usualPace = 100
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
func CostOf(c Candidate, d Demand, s Speed) Cost {
	pace := c.Pace / usualPace
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
	Candidate
	Cost Cost
}

// ByCost returns the candidates in ascending order of cost. Those whose costs are equal but
// for tieRange are ordered by the hash of the request's tie and the address, so that entries
// that know the same do not all choose the same one.
func ByCost(candidates []Candidate, d Demand, s Speed) []Ranked {
	out := make([]Ranked, len(candidates))
	for i, c := range candidates {
		out[i] = Ranked{c, CostOf(c, d, s)}
	}
	slices.SortStableFunc(out, func(x, y Ranked) int { return cmp.Compare(x.Cost.Total(), y.Cost.Total()) })
	for from := 0; from < len(out); {
		to := from + 1
		for to < len(out) && out[to].Cost.Total() <= out[from].Cost.Total()+tieRange {
			to++
		}
		if to > from+1 {
			orderByHash(out[from:to], d.Tie)
		}
		from = to
	}
	return out
}

func orderByHash(list []Ranked, tie uint64) {
	var hashes [MaxCandidates]uint64
	keys := hashes[:0]
	for _, r := range list {
		keys = append(keys, route.RendezvousHash(tie, xxhash.Sum64String(r.Address)))
	}
	sort.Sort(byKey{list, keys})
}

// byKey sorts candidates by descending key.
type byKey struct {
	list []Ranked
	keys []uint64
}

// Len returns the number of candidates.
func (b byKey) Len() int { return len(b.list) }

// Less reports whether the candidate at i comes before that at j.
func (b byKey) Less(i, j int) bool { return b.keys[i] > b.keys[j] }

// Swap swaps two candidates.
func (b byKey) Swap(i, j int) {
	b.list[i], b.list[j] = b.list[j], b.list[i]
	b.keys[i], b.keys[j] = b.keys[j], b.keys[i]
}
