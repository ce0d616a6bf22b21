package route

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	placeShardCount = 32
	// expectedFor is how long a target is taken to be about to hold the
	// adapter that a request was sent for.
	expectedFor         = 10 * time.Second
	maxExpectedPerShard = 4096
)

// placeShards knows which nodes hold an adapter version, and which one is
// about to.
type placeShards [placeShardCount]placeShard

type placeShard struct {
	mu       sync.RWMutex
	loaded   map[ident.AdapterVersion][]*Node
	expected map[ident.AdapterVersion]expectation
}

type expectation struct {
	node  *Node
	until time.Time
}

func (p *placeShards) init() {
	for i := range p {
		p[i].loaded = make(map[ident.AdapterVersion][]*Node)
		p[i].expected = make(map[ident.AdapterVersion]expectation)
	}
}

func keyHash(key ident.AdapterVersion) uint64 {
	return xxhash.Sum64String(string(key.Adapter)) + uint64(key.Version)*0x9e3779b97f4a7c15
}

func (p *placeShards) shard(hash uint64) *placeShard { return &p[mix(hash)%placeShardCount] }

func (p *placeShards) update(n *Node, old, report *wire.Report, now time.Time) {
	held := make(map[ident.AdapterVersion]bool, len(report.Loaded))
	for _, key := range report.Loaded {
		held[key] = true
	}
	if old != nil {
		for _, key := range old.Loaded {
			if !held[key] {
				p.shard(keyHash(key)).remove(key, n)
			}
		}
	}
	for _, key := range report.Loaded {
		p.shard(keyHash(key)).add(key, n)
	}
}

func (p *placeShards) removeNode(n *Node) {
	for i := range p {
		s := &p[i]
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

func (s *placeShard) add(key ident.AdapterVersion, n *Node) {
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
	// The slices are never changed in place, so that readers need no lock.
	s.loaded[key] = append(append([]*Node(nil), s.loaded[key]...), n)
}

func (s *placeShard) remove(key ident.AdapterVersion, n *Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key, n)
}

func (s *placeShard) removeLocked(key ident.AdapterVersion, n *Node) {
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

func (s *placeShard) find(key ident.AdapterVersion, now time.Time) (loaded []*Node, expected *Node) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if e, ok := s.expected[key]; ok && now.Before(e.until) {
		expected = e.node
	}
	return s.loaded[key], expected
}

func (s *placeShard) expect(key ident.AdapterVersion, n *Node, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.expected) >= maxExpectedPerShard {
		s.expireLocked(now)
	}
	if len(s.expected) < maxExpectedPerShard {
		s.expected[key] = expectation{node: n, until: now.Add(expectedFor)}
	}
}

func (s *placeShard) expireLocked(now time.Time) {
	for key, e := range s.expected {
		if !now.Before(e.until) {
			delete(s.expected, key)
		}
	}
}
