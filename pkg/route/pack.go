package route

import (
	"math"
	"sort"
	"sync"
)

const (
	minShare = 0.1
	// growStep and shrinkStep are how much one Step changes the share.
	growStep   = 0.04
	shrinkStep = 0.02
	// The share grows while the utilization of the load budget is above
	// highUtilization, and shrinks only while it is below lowUtilization.
	highUtilization = 0.95
	lowUtilization  = 0.85
	// highLoad and lowLoad are the same bounds for the request load of the
	// active targets.
	highLoad = 0.85
	lowLoad  = 0.7
)

// Packer decides what share of a pool's targets gets requests. Fewer targets run
// fuller batches but hold fewer adapters, so the packer shrinks the share while
// the load budget and the active targets have spare capacity. Only the budget
// holder runs a packer; the other entries use its share.
type Packer struct {
	share float64
}

// NewPacker returns a packer that starts with all targets.
func NewPacker() *Packer { return &Packer{share: 1} }

// Step takes the current use of the load budget and the request load of the active
// targets, both as fractions, and returns the share of targets to use. Callers
// call it once a second.
func (p *Packer) Step(utilization, load float64) float64 {
	switch {
	case utilization > highUtilization || load > highLoad:
		p.share = min(1, p.share+growStep)
	case utilization < lowUtilization && load < lowLoad:
		p.share = max(minShare, p.share-shrinkStep)
	}
	return p.share
}

// packing holds the current share of targets to use.
type packing struct {
	mu    sync.RWMutex
	share float64
}

// SetPackingShare sets the share of targets to use, as a Packer computes it. 1 uses all
// targets.
func (t *Table) SetPackingShare(share float64) {
	t.packing.mu.Lock()
	defer t.packing.mu.Unlock()
	t.packing.share = share
}

// unpackedBalance is the balance from which a service uses all targets.
const unpackedBalance = 0.5

// activeNodes returns the targets of a pool that a service with the given balance
// uses.
func (t *Table) activeNodes(all nodeList, balance float64) nodeList {
	t.packing.mu.RLock()
	share := t.packing.share
	t.packing.mu.RUnlock()
	floor := min(1, balance*balance/(unpackedBalance*unpackedBalance))
	share = floor + (1-floor)*share
	n := int(math.Ceil(share * float64(len(all.nodes))))
	return all.first(min(max(n, 1), len(all.nodes)))
}

// sortForPacking sorts a pool so that targets with the highest MaxRunning come
// first.
func sortForPacking(nodes []*Node) {
	sort.Slice(nodes, func(i, j int) bool {
		a, b := nodes[i], nodes[j]
		if a.maxRunning != b.maxRunning {
			return a.maxRunning > b.maxRunning
		}
		return a.Target < b.Target
	})
}

// ActiveLoad returns the request load of the usable targets that a service with
// the given balance uses: their running and waiting requests as a fraction of the
// requests that they can run at once.
func (t *Table) ActiveLoad(p Pool, balance float64) float64 {
	used, maxRunning := 0.0, 0
	for _, n := range t.activeNodes(t.pool(p), balance).nodes {
		r := n.Report()
		if n.usable.Load() {
			used += float64(r.Running + r.Waiting)
			maxRunning += r.MaxRunning
		}
	}
	return used / float64(max(maxRunning, 1))
}
