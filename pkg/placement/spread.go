package placement

import (
	"math"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

const (
	// spreadMemory is the time constant with which a width shrinks back to one engine.
	spreadMemory = 10 * time.Second
	// maxSpreads bounds the number of records in a shard.
	maxSpreads = 1024
)

// Spread records over how many of its homes the requests for an adapter version are
// spread. It handles an adapter whose demand exceeds what its first homes can run: its
// width grows with each home that is found crowded, without a bound of its own, and
// shrinks again while none is. Adapters with little demand keep one home.
type Spread struct {
	shards [shardCount]spreadShard
}

type spreadShard struct {
	mu     sync.Mutex
	widths map[ident.Weights]width
}

// width is a number of homes beyond the first, as of a time.
type width struct {
	extra   float64
	updated time.Time
}

func (w width) at(now time.Time) float64 {
	return w.extra * math.Exp(-now.Sub(w.updated).Seconds()/spreadMemory.Seconds())
}

// NewSpread returns a record in which each adapter has one home.
func NewSpread() *Spread {
	s := &Spread{}
	for i := range s.shards {
		s.shards[i].widths = make(map[ident.Weights]width)
	}
	return s
}

// Widen records that a home of the weights is crowded.
func (s *Spread) Widen(w ident.Weights, now time.Time) {
	shard := &s.shards[shardOf(w)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if len(shard.widths) >= maxSpreads {
		clear(shard.widths)
	}
	shard.widths[w] = width{shard.widths[w].at(now) + 1, now}
}

// Width returns the number of homes over which requests are spread, at least 1.
func (s *Spread) Width(w ident.Weights, now time.Time) int {
	shard := &s.shards[shardOf(w)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return 1 + int(math.Round(shard.widths[w].at(now)))
}

// Rotate returns the homes with the first ones, as many as the width, rotated by the
// pick, so that requests begin with each of them equally often.
func (s *Spread) Rotate(w ident.Weights, homes []fleet.Target, now time.Time, pick uint64) []fleet.Target {
	n := min(s.Width(w, now), len(homes))
	if n < 2 {
		return homes
	}
	at := int(pick % uint64(n))
	out := make([]fleet.Target, 0, len(homes))
	out = append(out, homes[at:n]...)
	out = append(out, homes[:at]...)
	return append(out, homes[n:]...)
}
