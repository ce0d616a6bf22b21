package placement

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

const (
	// copyTTL is how long an engine is assumed to have a copy of an adapter that it
	// served. An idle adapter loses its slot within seconds, but the engine keeps the
	// copy for minutes, until enough other adapters are loaded to displace it.
	copyTTL = 30 * time.Second
	// holdTTL is how long an engine is assumed to hold an adapter that it served. A
	// busy engine evicts an idle adapter within seconds.
	holdTTL = 3 * time.Second
	// maxReplicas bounds the number of records in a shard.
	maxReplicas = 1024
)

// Replicas records which engines hold which adapter versions.
type Replicas struct {
	shards [shardCount]replicaShard
}

type replicaShard struct {
	mu   sync.Mutex
	seen map[replica]time.Time
}

type replica struct {
	weights ident.Weights
	address string
}

// NewReplicas returns an empty record.
func NewReplicas() *Replicas {
	r := &Replicas{}
	for i := range r.shards {
		r.shards[i].seen = make(map[replica]time.Time)
	}
	return r
}

func (r *Replicas) shard(w ident.Weights) *replicaShard { return &r.shards[shardOf(w)] }

// Record records that the target at the address holds the weights.
func (r *Replicas) Record(w ident.Weights, address string, now time.Time) {
	s := r.shard(w)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.seen) >= maxReplicas {
		s.prune(now)
	}
	s.seen[replica{w, address}] = now
}

// prune drops the records that are no longer used, or all if that leaves too many.
func (s *replicaShard) prune(now time.Time) {
	maps.DeleteFunc(s.seen, func(_ replica, at time.Time) bool { return now.Sub(at) >= copyTTL })
	if len(s.seen) >= maxReplicas {
		clear(s.seen)
	}
}

// Holds reports whether the target at the address is likely to hold the weights.
func (r *Replicas) Holds(w ident.Weights, address string, now time.Time) bool {
	s := r.shard(w)
	s.mu.Lock()
	defer s.mu.Unlock()
	at, seen := s.seen[replica{w, address}]
	return seen && now.Sub(at) < holdTTL
}

// PreferCopies returns the homes, first those among the holders' addresses, then those
// that are likely to have a copy of the weights, and otherwise in the given order. A
// further copy would have to be loaded from the weight store, which all engines
// share.
func (r *Replicas) PreferCopies(w ident.Weights, homes []fleet.Target, holders []string, now time.Time) []fleet.Target {
	s := r.shard(w)
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]fleet.Target, 0, len(homes))
	var copies, rest []fleet.Target
	for _, t := range homes {
		at, seen := s.seen[replica{w, t.Address}]
		switch {
		case slices.Contains(holders, t.Address):
			out = append(out, t)
		case seen && now.Sub(at) < copyTTL:
			copies = append(copies, t)
		default:
			rest = append(rest, t)
		}
	}
	return append(append(out, copies...), rest...)
}
