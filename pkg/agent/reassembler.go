package agent

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/target"
)

// maxBuffered limits the chunks that a reassembler keeps while an earlier one is
// missing.
const maxBuffered = 4096

// reassembler puts the chunks of one answer in order. They may arrive on any
// stream and in any order.
type reassembler struct {
	model string
	emit  func(offset int, text []string)

	mu         sync.Mutex
	next       int
	total      int // number of tokens; -1 until the last chunk states it
	finish     string
	buffered   map[int]string
	wrongModel bool // a chunk came from another adapter or version
	done       chan struct{}
	closed     bool
}

func newReassembler(model string, from int, emit func(int, []string)) *reassembler {
	return &reassembler{
		model: model, emit: emit, next: from, total: -1,
		buffered: make(map[int]string), done: make(chan struct{}),
	}
}

// add processes a chunk of this request.
func (r *reassembler) add(c target.CompletionChunk) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	if c.Model != r.model {
		r.wrongModel = true
		r.close()
		return
	}
	if c.Usage != nil {
		r.total = c.Usage.CompletionTokens
	}
	for _, choice := range c.Choices {
		if choice.Finish != "" {
			r.finish = choice.Finish
		}
		if choice.TokenOffset >= r.next && len(r.buffered) < maxBuffered {
			r.buffered[choice.TokenOffset] = choice.Text
		}
	}
	r.flush()
}

// flush emits the chunks that are next in order. It is called with the lock held, so
// that concurrent calls emit in order.
func (r *reassembler) flush() {
	start := r.next
	var texts []string
	for {
		text, ok := r.buffered[r.next]
		if !ok {
			break
		}
		delete(r.buffered, r.next)
		texts = append(texts, text)
		r.next++
	}
	if len(texts) > 0 {
		r.emit(start, texts)
	}
	if r.total >= 0 && r.next >= r.total {
		r.close()
	}
}

func (r *reassembler) close() {
	r.closed = true
	close(r.done)
}

// progress is how much of an answer has arrived.
type progress struct {
	next, total int
	finish      string
	complete    bool
	wrongModel  bool
}

func (r *reassembler) progress() progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return progress{
		next: r.next, total: r.total, finish: r.finish, wrongModel: r.wrongModel,
		complete: r.total >= 0 && r.next >= r.total && !r.wrongModel,
	}
}

// wait waits until the answer is complete, or until d has passed, for late chunks
// on other streams.
func (r *reassembler) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
	}
}

const reassemblerShards = 16

// reassemblers maps request IDs to reassemblers. It is sharded, with one lock per
// shard.
type reassemblers [reassemblerShards]struct {
	mu   sync.RWMutex
	open map[string]*reassembler
}

func (r *reassemblers) init() {
	for i := range r {
		r[i].open = make(map[string]*reassembler)
	}
}

func shardOf(id string) int {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return int(h % reassemblerShards)
}

func (r *reassemblers) put(id string, x *reassembler) {
	shard := &r[shardOf(id)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.open[id] = x
}

func (r *reassemblers) remove(id string) {
	shard := &r[shardOf(id)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.open, id)
}

func (r *reassemblers) get(id string) *reassembler {
	shard := &r[shardOf(id)]
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.open[id]
}
