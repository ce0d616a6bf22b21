package route

import (
	"sort"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Query says what a request needs of its target.
type Query struct {
	Pool Pool
	Key  ident.AdapterVersion // zero for plain services
	// Exclude are targets that already refused the request.
	Exclude []ident.Target
	// Balance weighs batch efficiency (0) against load stalls (1).
	Balance float64
}

// Reason says why a target was chosen.
type Reason uint8

// The reasons for a choice.
const (
	ReasonLoaded   Reason = iota + 1 // it holds the adapter
	ReasonExpected                   // it was sent a request for the adapter just now
	ReasonHome                       // it is the adapter's first rendezvous choice
	ReasonSecond                     // the first choice would evict a busier adapter or wait longer
	ReasonReplica                    // the targets that hold the adapter are full
	ReasonLeast                      // it has the least load
)

var reasonNames = [...]string{"none", "loaded", "expected", "home", "second-home", "replica", "least-loaded"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// Choice is a chosen target.
type Choice struct {
	Node   *Node
	Reason Reason
}

const (
	// spillLoad is the load above which a target's queue is taken to cost
	// more than another copy of the adapter.
	spillLoad     = 1.0
	spillPerPoint = 0.5
	// replicaLoad is the load below which a target takes another's overflow.
	replicaLoad = 0.7
	// evictPenalty is the wait in s that one recent request of the adapter
	// to be evicted stands for.
	evictPenalty = 0.05
)

// Pick chooses the target of a request and counts it as sent there. It
// reports false when no usable target remains.
func (t *Table) Pick(q Query, now time.Time) (Choice, bool) {
	c, ok := t.choose(q, now)
	if ok {
		c.Node.sent.Add(1)
	}
	return c, ok
}

// Explain returns what Pick would choose, without counting it.
func (t *Table) Explain(q Query, now time.Time) (Choice, bool) { return t.choose(q, now) }

func (t *Table) choose(q Query, now time.Time) (Choice, bool) {
	nodes := t.pool(q.Pool)
	if q.Key.IsZero() {
		return least(nodes, q)
	}
	hash := keyHash(q.Key)
	shard := t.places.shard(hash)
	loaded, expected := shard.find(q.Key, now)
	if n := firstBelow(loaded, hash, q); n != nil {
		return Choice{n, ReasonLoaded}, true
	}
	if len(loaded) == 0 && expected != nil && q.allows(expected) {
		return Choice{expected, ReasonExpected}, true
	}
	home, second := homes(nodes, loaded, hash, q)
	if full := leastLoaded(loaded, q); full != nil {
		if home == nil || home.Load() > replicaLoad {
			return Choice{full, ReasonLoaded}, true
		}
		shard.expect(q.Key, home, now)
		return Choice{home, ReasonReplica}, true
	}
	if home == nil {
		return Choice{}, false
	}
	c := Choice{home, ReasonHome}
	if second != nil && cost(second) < cost(home) {
		c = Choice{second, ReasonSecond}
	}
	shard.expect(q.Key, c.Node, now)
	return c, true
}

// cost estimates in s what a load on the node costs this and later requests.
func cost(n *Node) float64 {
	r := n.Report()
	return float64(r.LoadWaitMS)/1000 + evictPenalty*r.EvictCost + n.Load()
}

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

// firstBelow returns the first of the nodes in rendezvous order whose load is
// below the limit. Later copies of an adapter thus fall idle, and are evicted,
// once the first suffices.
func firstBelow(nodes []*Node, hash uint64, q Query) *Node {
	limit := spillLoad + spillPerPoint*(1-q.Balance)
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
	c, _ := least(nodes, q)
	return c.Node
}

func least(nodes []*Node, q Query) (Choice, bool) {
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
	return Choice{best, ReasonLeast}, best != nil
}

// homes returns the first two usable nodes in rendezvous order that do not
// hold the adapter.
func homes(nodes, holding []*Node, hash uint64, q Query) (first, second *Node) {
	var top, next float64
	for _, n := range nodes {
		s := score(hash, n)
		if s <= next && second != nil || !q.allows(n) || contains(holding, n) {
			continue
		}
		if first == nil || s > top {
			first, second = n, first
			top, next = s, top
			continue
		}
		second, next = n, s
	}
	return first, second
}

func contains(nodes []*Node, n *Node) bool {
	for _, other := range nodes {
		if other == n {
			return true
		}
	}
	return false
}

// Candidate is one target that was weighed for a request.
type Candidate struct {
	Choice
	Chosen bool
	Holds  bool
	Usable bool
}

// Candidates returns the targets of a request's pool in rendezvous order, and
// which of them would be chosen and why.
func (t *Table) Candidates(q Query, now time.Time) []Candidate {
	hash := keyHash(q.Key)
	loaded, _ := t.places.shard(hash).find(q.Key, now)
	chosen, ok := t.choose(q, now)
	var out []Candidate
	for _, n := range t.pool(q.Pool) {
		c := Candidate{Choice: Choice{Node: n}, Holds: contains(loaded, n), Usable: q.allows(n)}
		if ok && n == chosen.Node {
			c.Chosen, c.Reason = true, chosen.Reason
		}
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return score(hash, out[i].Node) > score(hash, out[j].Node) })
	return out
}
