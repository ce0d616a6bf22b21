package affinity

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
)

const (
	// TTL is how long a beginning counts as kept after its last use. An engine with a
	// usual load has filled its memory with other prompts by then.
	TTL = 30 * time.Second
	// tick is the unit of the times in a record; 32 bits of it last for 497 days.
	tick = 10 * time.Millisecond
	// shardCount is the number of locks, and maxRecords the number of records under each
	// of them: 105,600 in all, which take less than 12 MB.
	shardCount = 16
	maxRecords = 6600
	// maxHolders is the number of engines that are remembered for one beginning. One that
	// more engines are needed for is soon kept by all engines that its requests reach.
	maxHolders = 4
	// rateMemory is the time constant over which the rate of a beginning is averaged.
	rateMemory = 10 * time.Second
	// maxEngineShare is the share of an engine's time that the requests with one shared
	// beginning may take before they are spread over further engines: about the share
	// that an engine with a usual load has left beside its other requests.
	maxEngineShare = 0.25
)

// Table is what one process knows of the beginnings that engines keep.
type Table struct {
	epoch   time.Time
	engines engineSet
	shards  [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	known map[uint64]record // by the hash of the beginning
}

// record is what is known of one beginning. It holds no pointers, so that the garbage
// collector does not read the table.
type record struct {
	holders [maxHolders]holder
	rate    float32 // of requests of this process, per second, at the time of the last one
	usedAt  uint32  // in ticks
}

// holder is an engine that has read a beginning.
type holder struct {
	engine uint32 // number of the process
	usedAt uint32 // in ticks
	read   uint32 // tokens that the engine had read when it was last used
}

// New returns a table without knowledge.
func New(now time.Time) *Table {
	t := &Table{epoch: now, engines: newEngineSet()}
	for i := range t.shards {
		t.shards[i].known = make(map[uint64]record)
	}
	return t
}

// ticks returns the time since the epoch, at least 1, so that an empty holder is the oldest.
func (t *Table) ticks(now time.Time) uint32 { return 1 + uint32(now.Sub(t.epoch)/tick) }

func (t *Table) shard(hash uint64) *shard { return &t.shards[hash%shardCount] }

// find returns what is known of a beginning.
func (t *Table) find(hash uint64) (record, bool) {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.known[hash]
	return r, known
}

// Record records that a target has read a prompt. newTokens is the number of tokens for
// which it took memory: those that it did not keep before, and those of its answer.
func (t *Table) Record(p Prompt, target fleet.Target, newTokens int, now time.Time) {
	if p.IsZero() {
		return
	}
	e := t.engines.get(target)
	at := t.ticks(now)
	used := holder{engine: e.number, usedAt: at, read: e.read.Add(uint32(newTokens))}
	for _, prefix := range p.prefixes {
		s := t.shard(prefix.hash)
		s.mu.Lock()
		r, known := s.known[prefix.hash]
		if !known && len(s.known) >= maxRecords {
			s.prune(at)
		}
		r.use(used)
		s.known[prefix.hash] = r
		s.mu.Unlock()
	}
}

// use records a use of the beginning at an engine, in place of the engine's earlier use or
// else of the oldest one.
func (r *record) use(h holder) {
	oldest := 0
	for i, other := range r.holders {
		if other.engine == h.engine {
			oldest = i
			break
		}
		if other.usedAt < r.holders[oldest].usedAt {
			oldest = i
		}
	}
	r.holders[oldest] = h
	r.rate = float32(r.rateAt(h.usedAt) + 1/rateMemory.Seconds())
	r.usedAt = h.usedAt
}

// rateAt returns the rate of the requests with the beginning.
func (r *record) rateAt(at uint32) float64 {
	return float64(r.rate) * math.Exp(-float64(at-r.usedAt)*tick.Seconds()/rateMemory.Seconds())
}

// prune drops at least half of the records, oldest first, without the cost of sorting them.
func (s *shard) prune(at uint32) {
	for age := uint32(TTL / tick); age > 0; age /= 2 {
		maps.DeleteFunc(s.known, func(_ uint64, r record) bool { return at-r.usedAt >= age })
		if len(s.known) <= maxRecords/2 {
			break
		}
	}
	if len(s.known) > maxRecords/2 {
		clear(s.known)
	}
	// A map keeps its memory, and grows further, as records are dropped and added.
	kept := make(map[uint64]record, maxRecords)
	maps.Copy(kept, s.known)
	s.known = kept
}

// Drop forgets what an engine keeps, after its memory was short or it has failed.
func (t *Table) Drop(address string) { t.engines.drop(address) }

// Retain forgets all engines but those at the given addresses.
func (t *Table) Retain(addresses map[string]bool) { t.engines.retain(addresses) }

// Size returns the number of beginnings that something is known of.
func (t *Table) Size() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.known)
		s.mu.Unlock()
	}
	return n
}
