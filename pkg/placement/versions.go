package placement

import (
	"sync"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

const shardCount = 16

// Versions holds the newest known version of each adapter. A version is never
// replaced by an older one.
type Versions struct {
	shards [shardCount]versionShard
}

type versionShard struct {
	mu     sync.RWMutex
	newest map[ident.Weights]ident.Version
}

// NewVersions returns an empty table.
func NewVersions() *Versions {
	v := &Versions{}
	for i := range v.shards {
		v.shards[i].newest = make(map[ident.Weights]ident.Version)
	}
	return v
}

func (v *Versions) shard(w ident.Weights) *versionShard { return &v.shards[shardOf(w)] }

func shardOf(w ident.Weights) uint32 {
	sum := uint32(0)
	for i := range len(w.Adapter) {
		sum = sum*31 + uint32(w.Adapter[i])
	}
	return sum % shardCount
}

// Update records a version that was announced or observed, and reports whether it is
// newer than the known one.
func (v *Versions) Update(w ident.Weights) bool {
	s, key := v.shard(w), w.Unversioned()
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Version <= s.newest[key] {
		return false
	}
	s.newest[key] = w.Version
	return true
}

// Newest returns the weights at their newest known version, or at version 0 if none
// is known.
func (v *Versions) Newest(w ident.Weights) ident.Weights {
	s, key := v.shard(w), w.Unversioned()
	s.mu.RLock()
	defer s.mu.RUnlock()
	key.Version = s.newest[key]
	return key
}
