// Package route chooses the target of each request. It does no I/O, and callers
// pass the current time.
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

// Pool identifies the targets that can serve a service.
type Pool struct {
	Kind  wire.TargetKind
	Model ident.Model
	Role  string
}

// Node is one target in the table.
type Node struct {
	Target ident.Target
	Pool   Pool

	hash       uint64
	weight     float64
	maxRunning int
	report     atomic.Pointer[wire.Report]
	usable     atomic.Bool
	// sent counts the requests that this process sent to the target since the
	// newest report, which does not include them yet.
	sent atomic.Int64
}

// Report returns the target's newest report.
func (n *Node) Report() *wire.Report { return n.report.Load() }

// Load returns the number of the target's running, waiting and just sent requests
// divided by its MaxRunning.
func (n *Node) Load() float64 {
	r := n.report.Load()
	return float64(int64(r.Running+r.Waiting)+n.sent.Load()) / float64(max(r.MaxRunning, 1))
}

// Table holds the targets by pool, and which targets have an adapter loaded.
type Table struct {
	mu        sync.RWMutex
	nodes     map[ident.Target]*Node
	pools     map[Pool]nodeList
	locations locationShards
	// maxWeight is the highest weight that any node has had.
	maxWeight float64
	packing
}

// New returns an empty table.
func New() *Table {
	t := &Table{nodes: make(map[ident.Target]*Node), pools: make(map[Pool]nodeList)}
	t.locations.init()
	t.packing.share = 1
	return t
}

// Update applies a target's report. usable says whether the target may get new
// requests.
func (t *Table) Update(report wire.Report, usable bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool := Pool{Kind: report.Kind, Model: report.Model, Role: report.Role}
	n := t.nodes[report.Target]
	if n == nil || n.Pool != pool || n.weight != nodeWeight(report) || n.maxRunning != report.MaxRunning {
		n = t.replaceNode(n, report, pool)
	}
	old := n.report.Swap(&report)
	n.usable.Store(usable)
	if old == nil || old.Sequence != report.Sequence || old.Incarnation != report.Incarnation {
		n.sent.Store(0)
		t.locations.update(n, old, &report, now)
	}
}

func nodeWeight(r wire.Report) float64 { return float64(max(r.Slots, 1)) }

func (t *Table) replaceNode(old *Node, report wire.Report, pool Pool) *Node {
	if old != nil {
		t.detach(old)
	}
	n := &Node{Target: report.Target, Pool: pool, hash: xxhash.Sum64String(string(report.Target)), weight: nodeWeight(report), maxRunning: report.MaxRunning}
	t.nodes[n.Target] = n
	t.maxWeight = max(t.maxWeight, n.weight)
	members := append(append([]*Node(nil), t.pools[pool].nodes...), n)
	sortForPacking(members)
	t.pools[pool] = newNodeList(members)
	return n
}

func (t *Table) detach(n *Node) {
	t.locations.removeNode(n)
	var kept []*Node
	for _, other := range t.pools[n.Pool].nodes {
		if other != n {
			kept = append(kept, other)
		}
	}
	t.pools[n.Pool] = newNodeList(kept)
}

// SetUsable sets whether a target may get new requests.
func (t *Table) SetUsable(target ident.Target, usable bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if n := t.nodes[target]; n != nil {
		n.usable.Store(usable)
	}
}

// Remove removes a target.
func (t *Table) Remove(target ident.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := t.nodes[target]; n != nil {
		t.detach(n)
		delete(t.nodes, target)
	}
}

// nodeList holds the targets of a pool. The hashes are in a slice of their own,
// since most targets are skipped by their hash alone.
type nodeList struct {
	nodes  []*Node
	hashes []uint64
}

func newNodeList(nodes []*Node) nodeList {
	l := nodeList{nodes: nodes, hashes: make([]uint64, len(nodes))}
	for i, n := range nodes {
		l.hashes[i] = n.hash
	}
	return l
}

// first returns the first n targets.
func (l nodeList) first(n int) nodeList {
	return nodeList{nodes: l.nodes[:n], hashes: l.hashes[:n]}
}

func (t *Table) pool(p Pool) nodeList {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.pools[p]
}

func (t *Table) maxNodeWeight() float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.maxWeight
}

// Size returns the number of targets.
func (t *Table) Size() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.nodes)
}

// score returns the weighted rendezvous hashing score of a node for an adapter.
// The node with the highest score is the first choice, and each node is the first
// choice for a share of adapters in proportion to its weight.
func score(adapter uint64, n *Node) float64 {
	return weightedScore(RendezvousHash(adapter, n.hash), n.weight)
}

// drawBits is the number of bits of a draw, as RendezvousHash returns it.
const drawBits = 53

// MaxDraw is the bound below which rendezvous hashes are.
const MaxDraw = 1 << drawBits

// RendezvousHash returns the rendezvous hash of an adapter and a node, which is uniformly
// distributed over drawBits bits.
func RendezvousHash(adapter, node uint64) uint64 { return mix(adapter^node) >> (64 - drawBits) }

func weightedScore(draw uint64, weight float64) float64 {
	return -weight / fastLog((float64(draw)+0.5)/(1<<drawBits))
}

// minDrawFor returns a draw below which no node of up to maxWeight reaches the
// score. The margin covers the error of the approximate logarithm.
func minDrawFor(score, maxWeight float64) uint64 {
	const margin = 0.97
	return uint64(margin * math.Exp(-maxWeight/score) * (1 << drawBits))
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// fastLog approximates the natural logarithm of u in (0, 1) to about 1%, with the
// same result on every machine. Ranking needs no more precision.
func fastLog(u float64) float64 {
	bits := math.Float64bits(u)
	exponent := float64(int64(bits>>52) - 1023)
	mantissa := math.Float64frombits(bits&(1<<52-1) | 1023<<52)
	log2 := exponent + (-1.0/3*mantissa+2)*mantissa - 5.0/3
	return min(log2*math.Ln2, -1e-12)
}
