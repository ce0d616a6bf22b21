package route

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	locationShardCount = 32
	// expectedTTL is how long after a request was sent to a target the target
	// is expected to load the request's adapter.
	expectedTTL         = 10 * time.Second
	maxExpectedPerShard = 4096
)

// locationShards records which nodes have an adapter version loaded and which node
// is expected to load it.
type locationShards [locationShardCount]locationShard

type locationShard struct {
	mu       sync.RWMutex
	loaded   map[ident.AdapterVersion][]*Node
	expected map[ident.AdapterVersion]expectation
}

type expectation struct {
	node  *Node
	until time.Time
}

func (l *locationShards) init() {
	for i := range l {
		l[i].loaded = make(map[ident.AdapterVersion][]*Node)
		l[i].expected = make(map[ident.AdapterVersion]expectation)
	}
}

func keyHash(key ident.AdapterVersion) uint64 {
	return xxhash.Sum64String(string(key.Adapter)) + uint64(key.Version)*0x9e3779b97f4a7c15
}

func (l *locationShards) shard(hash uint64) *locationShard { return &l[mix(hash)%locationShardCount] }

func (l *locationShards) update(n *Node, old, report *wire.Report, now time.Time) {
	held := make(map[ident.AdapterVersion]bool, len(report.Loaded))
	for _, key := range report.Loaded {
		held[key] = true
	}
	if old != nil {
		for _, key := range old.Loaded {
			if !held[key] {
				l.shard(keyHash(key)).remove(key, n)
			}
		}
	}
	for _, key := range report.Loaded {
		l.shard(keyHash(key)).add(key, n)
	}
}

func (l *locationShards) removeNode(n *Node) {
	for i := range l {
		s := &l[i]
		s.mu.Lock()
		for key := range s.loaded {
			s.removeLocked(key, n)
		}
		for key, e := range s.expected {
			if e.node == n {
				delete(s.expected, key)
			}
		}
		s.mu.Unlock()
	}
}

func (s *locationShard) add(key ident.AdapterVersion, n *Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.expected[key]; ok && e.node == n {
		delete(s.expected, key)
	}
	for _, other := range s.loaded[key] {
		if other == n {
			return
		}
	}
	// The slices are copied on write, so that readers can use them without the
	// lock.
	s.loaded[key] = append(append([]*Node(nil), s.loaded[key]...), n)
}

func (s *locationShard) remove(key ident.AdapterVersion, n *Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key, n)
}

func (s *locationShard) removeLocked(key ident.AdapterVersion, n *Node) {
	var kept []*Node
	for _, other := range s.loaded[key] {
		if other != n {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(s.loaded, key)
		return
	}
	s.loaded[key] = kept
}

func (s *locationShard) find(key ident.AdapterVersion, now time.Time) (loaded []*Node, expected *Node) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if e, ok := s.expected[key]; ok && now.Before(e.until) {
		expected = e.node
	}
	return s.loaded[key], expected
}

func (s *locationShard) expect(key ident.AdapterVersion, n *Node, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.expected) >= maxExpectedPerShard {
		s.expireLocked(now)
	}
	if len(s.expected) < maxExpectedPerShard {
		s.expected[key] = expectation{node: n, until: now.Add(expectedTTL)}
	}
}

func (s *locationShard) expireLocked(now time.Time) {
	for key, e := range s.expected {
		if !now.Before(e.until) {
			delete(s.expected, key)
		}
	}
}
