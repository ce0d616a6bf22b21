package placement

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

const (
	// replicaMemory is how long an engine is taken to hold an adapter that it
	// served: an idle adapter is evicted within seconds of a busy engine.
	replicaMemory = 3 * time.Second
	// maxReplicas bounds the memory of a shard.
	maxReplicas = 1024
)

// Replicas remembers which adapters are held beside their first home.
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
	s.seen[replica{w.Unversioned(), address}] = now
}

// Holds reports whether the target at the address is likely to hold the weights.
func (r *Replicas) Holds(w ident.Weights, address string, now time.Time) bool {
	s := r.shard(w)
	s.mu.Lock()
	defer s.mu.Unlock()
	at, seen := s.seen[replica{w.Unversioned(), address}]
	return seen && now.Sub(at) < replicaMemory
}
