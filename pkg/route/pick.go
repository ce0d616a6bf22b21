package route

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Query describes what a request needs from its target.
type Query struct {
	Pool Pool
	Key  ident.AdapterVersion // zero for a plain service
	// Exclude lists the targets that must not be chosen, such as those where an
	// attempt of the request failed.
	Exclude []ident.Target
	// Balance weighs batch efficiency (0) against load stalls (1).
	Balance float64
}

// Reason says why a target was chosen.
type Reason uint8

// The reasons for a choice.
const (
	ReasonLoaded   Reason = iota + 1 // it holds the adapter
	ReasonExpected                   // a request for the adapter was sent to it recently
	ReasonHome                       // it is the adapter's first rendezvous choice
	ReasonOther                      // a lower-ranked rendezvous choice costs less than the first
	ReasonReplica                    // all targets that hold the adapter are full
	ReasonLeast                      // it has the least load
)

var reasonNames = [...]string{"none", "loaded", "expected", "home", "other-home", "replica", "least-loaded"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// Choice is a chosen target.
type Choice struct {
	Node   *Node
	Reason Reason
	// Report is the report of the target's agent at the time of the choice. A
	// later agent of the same target doesn't know the attempts that were sent
	// to this one.
	Report *wire.Report
	// loads says that the target is expected to load the adapter for the request.
	loads bool
}

const (
	// spillLoad is the load from which a target's queue is assumed to cost
	// more than another copy of the adapter, at balance 1. A lower balance
	// raises it by up to spillBalanceFactor.
	spillLoad          = 1.0
	spillBalanceFactor = 0.5
	// replicaLoad is the highest load at which a target gets another copy of an
	// adapter whose holders are full.
	replicaLoad = 0.7
	// evictPenalty is the cost, in seconds of wait, of each recent request of
	// the adapter to evict.
	evictPenalty = 0.05
)

// Pick chooses the target of a request and counts the request as sent there. It
// reports false when no usable target is left.
func (t *Table) Pick(q Query, now time.Time) (Choice, bool) {
	c, ok := t.Choose(q, now)
	if ok {
		t.expectLoad(q, c, now)
		c.Node.sent.Add(1)
		c.Report = c.Node.Report()
	}
	return c, ok
}

// expectLoad records that the chosen target loads the adapter, if it has to.
func (t *Table) expectLoad(q Query, c Choice, now time.Time) {
	if c.loads {
		t.locations.shard(keyHash(q.Key)).expect(q.Key, c.Node, now)
	}
}

// Choose returns the target that Pick would choose. It changes nothing.
func (t *Table) Choose(q Query, now time.Time) (Choice, bool) {
	all := t.pool(q.Pool)
	if q.Key.IsZero() {
		return chooseLeastLoaded(all.nodes, q)
	}
	if active := t.activeNodes(all, q.Balance); len(active.nodes) < len(all.nodes) {
		if c, ok := t.chooseFrom(active, true, q, now); ok {
			return c, true
		}
	}
	return t.chooseFrom(all, false, q, now)
}

// chooseFrom chooses among the given nodes, which are the whole pool or, if
// partial is set, a part of it.
func (t *Table) chooseFrom(list nodeList, partial bool, q Query, now time.Time) (Choice, bool) {
	hash := keyHash(q.Key)
	loaded, expected := t.locations.shard(hash).find(q.Key, now)
	if partial {
		loaded = intersect(loaded, list.nodes)
		if expected != nil && !contains(list.nodes, expected) {
			expected = nil
		}
	}
	if n := firstBelowLimit(loaded, hash, q); n != nil {
		return Choice{Node: n, Reason: ReasonLoaded}, true
	}
	if len(loaded) == 0 && expected != nil && q.allows(expected) {
		return Choice{Node: expected, Reason: ReasonExpected}, true
	}
	ranked := rankHomes(list, loaded, hash, t.maxNodeWeight(), q)
	if full := leastLoaded(loaded, q); full != nil {
		if ranked.n == 0 || ranked.nodes[0].Load() > replicaLoad {
			return Choice{Node: full, Reason: ReasonLoaded}, true
		}
		return Choice{Node: ranked.nodes[0], Reason: ReasonReplica, loads: true}, true
	}
	if ranked.n == 0 {
		return Choice{}, false
	}
	i := ranked.cheapest()
	reason := ReasonHome
	if i > 0 {
		reason = ReasonOther
	}
	return Choice{Node: ranked.nodes[i], Reason: reason, loads: true}, true
}

// Cost estimates, in seconds of wait, what a load on a target costs a request and later
// ones.
type Cost struct {
	Load     float64 // wait for the load
	Eviction float64 // of the adapters that the load evicts
	Queue    float64
}

func cost(n *Node) Cost {
	r := n.Report()
	return Cost{Load: float64(r.LoadWaitMS) / 1000, Eviction: evictPenalty * r.EvictCost, Queue: n.Load()}
}

// Total returns the sum of the terms.
func (c Cost) Total() float64 { return c.Load + c.Eviction + c.Queue }

func (q *Query) allows(n *Node) bool {
	if !n.usable.Load() {
		return false
	}
	for _, x := range q.Exclude {
		if x == n.Target {
			return false
		}
	}
	return true
}

// firstBelowLimit returns the first of the nodes in rendezvous order whose load
// is below the limit. Thus the other copies of an adapter become idle and are
// evicted once the first copy is enough.
func firstBelowLimit(nodes []*Node, hash uint64, q Query) *Node {
	limit := spillLoad + spillBalanceFactor*(1-q.Balance)
	var best *Node
	top := 0.0
	for _, n := range nodes {
		if !q.allows(n) || n.Load() >= limit {
			continue
		}
		if s := score(hash, n); best == nil || s > top {
			best, top = n, s
		}
	}
	return best
}

func leastLoaded(nodes []*Node, q Query) *Node {
	c, _ := chooseLeastLoaded(nodes, q)
	return c.Node
}

func chooseLeastLoaded(nodes []*Node, q Query) (Choice, bool) {
	var best *Node
	load := 0.0
	for _, n := range nodes {
		if !q.allows(n) {
			continue
		}
		if l := n.Load(); best == nil || l < load {
			best, load = n, l
		}
	}
	return Choice{Node: best, Reason: ReasonLeast}, best != nil
}

// homeCount is the number of rendezvous choices that are compared for an adapter
// that no target has loaded.
const homeCount = 2

// ranking holds the best homeCount nodes in rendezvous order, best first.
type ranking struct {
	nodes  [homeCount]*Node
	scores [homeCount]float64
	n      int
}

// add inserts the node and reports true if it is among the best.
func (r *ranking) add(n *Node, s float64) bool {
	if r.n == homeCount && s <= r.scores[homeCount-1] {
		return false
	}
	if r.n < homeCount {
		r.n++
	}
	i := r.n - 1
	for ; i > 0 && r.scores[i-1] < s; i-- {
		r.nodes[i], r.scores[i] = r.nodes[i-1], r.scores[i-1]
	}
	r.nodes[i], r.scores[i] = n, s
	return true
}

// cheapest returns the index of the node where a load costs least.
func (r *ranking) cheapest() int {
	best, leastCost := 0, 0.0
	for i, n := range r.nodes[:r.n] {
		if c := cost(n).Total(); i == 0 || c < leastCost {
			best, leastCost = i, c
		}
	}
	return best
}

// rankHomes ranks the usable nodes that do not hold the adapter. It skips most
// nodes by their draw alone, without computing their score.
func rankHomes(list nodeList, holding []*Node, hash uint64, maxWeight float64, q Query) ranking {
	var r ranking
	minDraw := uint64(0)
	for i, node := range list.hashes {
		d := RendezvousHash(hash, node)
		if d < minDraw {
			continue
		}
		n := list.nodes[i]
		if !q.allows(n) || contains(holding, n) {
			continue
		}
		if r.add(n, weightedScore(d, n.weight)) && r.n == homeCount {
			minDraw = minDrawFor(r.scores[homeCount-1], maxWeight)
		}
	}
	return r
}

// intersect returns the holding nodes that are among nodes.
func intersect(holding, nodes []*Node) []*Node {
	for i, n := range holding {
		if contains(nodes, n) {
			continue
		}
		kept := append([]*Node(nil), holding[:i]...)
		for _, later := range holding[i+1:] {
			if contains(nodes, later) {
				kept = append(kept, later)
			}
		}
		return kept
	}
	return holding
}

func contains(nodes []*Node, n *Node) bool {
	for _, other := range nodes {
		if other == n {
			return true
		}
	}
	return false
}
