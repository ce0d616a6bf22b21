// Package route chooses the target of each request. It does no I/O, and its
// callers pass the time.
package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Pool names the targets that can serve a service.
type Pool struct {
	Kind  wire.TargetKind
	Model ident.Model
	Role  string
}

// Node is one target in the table.
type Node struct {
	Target ident.Target
	Pool   Pool

	hash   uint64
	weight float64
	seats  int
	report atomic.Pointer[wire.Report]
	usable atomic.Bool
	// sent counts the requests that this process sent to the target since
	// the newest report, which cannot show them yet.
	sent atomic.Int64
}

// Report returns the target's newest report.
func (n *Node) Report() *wire.Report { return n.report.Load() }

// Load returns the target's requests, running, waiting and just sent, over its
// seats.
func (n *Node) Load() float64 {
	r := n.report.Load()
	return float64(int64(r.Running+r.Waiting)+n.sent.Load()) / float64(max(r.Seats, 1))
}

// Table holds the targets, by pool, and where adapters are loaded.
type Table struct {
	mu     sync.RWMutex
	nodes  map[ident.Target]*Node
	pools  map[Pool][]*Node
	places placeShards
	packing
}

// New returns an empty table.
func New() *Table {
	t := &Table{nodes: make(map[ident.Target]*Node), pools: make(map[Pool][]*Node)}
	t.places.init()
	t.packing.share = 1
	return t
}

// Update puts a target's report in force. usable says if it may get new work.
func (t *Table) Update(report wire.Report, usable bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool := Pool{Kind: report.Kind, Model: report.Model, Role: report.Role}
	n := t.nodes[report.Target]
	if n == nil || n.Pool != pool || n.weight != weightOf(report) || n.seats != report.Seats {
		n = t.replace(n, report, pool)
	}
	old := n.report.Swap(&report)
	n.usable.Store(usable)
	if old == nil || old.Sequence != report.Sequence || old.Incarnation != report.Incarnation {
		n.sent.Store(0)
		t.places.update(n, old, &report, now)
	}
}

func weightOf(r wire.Report) float64 { return float64(max(r.Slots, 1)) }

func (t *Table) replace(old *Node, report wire.Report, pool Pool) *Node {
	if old != nil {
		t.detach(old)
	}
	n := &Node{Target: report.Target, Pool: pool, hash: xxhash.Sum64String(string(report.Target)), weight: weightOf(report), seats: report.Seats}
	t.nodes[n.Target] = n
	members := append(append([]*Node(nil), t.pools[pool]...), n)
	sortPool(members)
	t.pools[pool] = members
	return n
}

func (t *Table) detach(n *Node) {
	t.places.removeNode(n)
	var kept []*Node
	for _, other := range t.pools[n.Pool] {
		if other != n {
			kept = append(kept, other)
		}
	}
	t.pools[n.Pool] = kept
}

// SetUsable says if a target may get new work.
func (t *Table) SetUsable(target ident.Target, usable bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if n := t.nodes[target]; n != nil {
		n.usable.Store(usable)
	}
}

// Remove forgets a target.
func (t *Table) Remove(target ident.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := t.nodes[target]; n != nil {
		t.detach(n)
		delete(t.nodes, target)
	}
}

func (t *Table) pool(p Pool) []*Node {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.pools[p]
}

// Size returns the number of targets.
func (t *Table) Size() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.nodes)
}

// score is the weighted rendezvous score of a node for an adapter: the node
// with the highest wins, and each wins in proportion to its weight.
func score(adapter uint64, n *Node) float64 {
	u := (float64(mix(adapter^n.hash)>>11) + 0.5) / (1 << 53)
	return -n.weight / fastLog(u)
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// fastLog approximates the natural logarithm of u in (0, 1) to about 1%, the
// same on every machine. Ranks need no more.
func fastLog(u float64) float64 {
	bits := math.Float64bits(u)
	exponent := float64(int64(bits>>52) - 1023)
	mantissa := math.Float64frombits(bits&(1<<52-1) | 1023<<52)
	log2 := exponent + (-1.0/3*mantissa+2)*mantissa - 5.0/3
	return min(log2*math.Ln2, -1e-12)
}
