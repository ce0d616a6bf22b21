package route

import (
	"math"
	"sort"
	"sync"
)

const (
	minShare = 0.1
	// growStep and shrinkStep are the changes of the share in one step.
	growStep   = 0.04
	shrinkStep = 0.02
	// highPressure and lowPressure bound the load budget's use between which
	// the share stays.
	highPressure = 0.95
	lowPressure  = 0.85
	// highLoad and lowLoad bound the load of the active targets' seats.
	highLoad = 0.85
	lowLoad  = 0.7
)

// Packer decides on how many targets a pool's work is packed. Fewer targets
// run fuller batches but hold fewer adapters, so it shrinks the share while the
// load budget and the seats have room to spare. Only the budget's holder runs
// one; the other entries take its share.
type Packer struct {
	share float64
}

// NewPacker returns a packer that begins with all targets.
func NewPacker() *Packer { return &Packer{share: 1} }

// Step takes the present use of the load budget and the load of the active
// targets' seats, both as shares, and returns the share of targets to use.
// Callers step it once a second.
func (p *Packer) Step(pressure, load float64) float64 {
	switch {
	case pressure > highPressure || load > highLoad:
		p.share = min(1, p.share+growStep)
	case pressure < lowPressure && load < lowLoad:
		p.share = max(minShare, p.share-shrinkStep)
	}
	return p.share
}

// packing is the share in force and each pool's targets in packing order.
type packing struct {
	mu    sync.RWMutex
	share float64
}

// SetShare puts a packer's share in force. 1 uses all targets.
func (t *Table) SetShare(share float64) {
	t.packing.mu.Lock()
	defer t.packing.mu.Unlock()
	t.packing.share = share
}

// fullBalance is the balance from which a service's work is never packed.
const fullBalance = 0.5

// active returns the part of a pool on which a service's work is packed.
func (t *Table) active(all nodeList, balance float64) nodeList {
	t.packing.mu.RLock()
	share := t.packing.share
	t.packing.mu.RUnlock()
	floor := min(1, balance*balance/(fullBalance*fullBalance))
	share = floor + (1-floor)*share
	n := int(math.Ceil(share * float64(len(all.nodes))))
	return all.first(min(max(n, 1), len(all.nodes)))
}

// sortPool puts a pool into packing order: targets with the most seats first.
func sortPool(nodes []*Node) {
	sort.Slice(nodes, func(i, j int) bool {
		a, b := nodes[i], nodes[j]
		if a.seats != b.seats {
			return a.seats > b.seats
		}
		return a.Target < b.Target
	})
}

// ActiveLoad returns the load of the seats on which a service's work is packed,
// as a share.
func (t *Table) ActiveLoad(p Pool, balance float64) float64 {
	used, seats := 0.0, 0
	for _, n := range t.active(t.pool(p), balance).nodes {
		r := n.Report()
		if n.usable.Load() {
			used += float64(r.Running + r.Waiting)
			seats += r.Seats
		}
	}
	return used / float64(max(seats, 1))
}
