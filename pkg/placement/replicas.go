package placement

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

const (
	// holderMemory is how long an engine is taken to have a copy of an adapter
	// that it served: idle ones leave its places within seconds, and its copies
	// within the minutes in which as many others were brought.
	holderMemory = 30 * time.Second
	// replicaMemory is how long an engine is taken to hold an adapter that it
	// served: an idle adapter is evicted within seconds of a busy engine.
	replicaMemory = 3 * time.Second
	// maxReplicas bounds the memory of a shard.
	maxReplicas = 1024
)

// Replicas remembers which engines hold which adapter versions.
type Replicas struct {
	shards [versionShardCount]replicaShard
}

type replicaShard struct {
	mu   sync.Mutex
	seen map[replica]time.Time
}

type replica struct {
	weights ident.Weights
	address string
}

// NewReplicas returns an empty memory.
func NewReplicas() *Replicas {
	r := &Replicas{}
	for i := range r.shards {
		r.shards[i].seen = make(map[replica]time.Time)
	}
	return r
}

func (r *Replicas) shard(w ident.Weights) *replicaShard { return &r.shards[shardOf(w)] }

// Saw records that the target at the address holds the weights.
func (r *Replicas) Saw(w ident.Weights, address string, now time.Time) {
	s := r.shard(w)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.seen) >= maxReplicas {
		clear(s.seen)
	}
	s.seen[replica{w, address}] = now
}

// Holds reports whether the target at the address is likely to hold the weights.
func (r *Replicas) Holds(w ident.Weights, address string, now time.Time) bool {
	s := r.shard(w)
	s.mu.Lock()
	defer s.mu.Unlock()
	at, seen := s.seen[replica{w, address}]
	return seen && now.Sub(at) < replicaMemory
}

// First returns the homes with those first that have a copy of the weights, each
// group in its order. A second copy would have to be brought from the weight
// store, which serves all engines.
func (r *Replicas) First(w ident.Weights, homes []fleet.Target, now time.Time) []fleet.Target {
	s := r.shard(w)
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]fleet.Target, 0, len(homes))
	var rest []fleet.Target
	for _, t := range homes {
		if at, seen := s.seen[replica{w, t.Address}]; seen && now.Sub(at) < holderMemory {
			out = append(out, t)
			continue
		}
		rest = append(rest, t)
	}
	return append(out, rest...)
}
