package agent

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/target"
)

// maxAhead bounds the chunks that a sink keeps while an earlier one is late.
const maxAhead = 4096

// sink puts one answer's chunks in order, on whatever stream and in whatever
// order they arrive.
type sink struct {
	model string
	emit  func(offset int, text []string)

	mu     sync.Mutex
	next   int
	total  int // -1 until the last chunk tells
	finish string
	ahead  map[int]string
	wrong  bool // a chunk came from another adapter or version
	whole  chan struct{}
	closed bool
}

func newSink(model string, from int, emit func(int, []string)) *sink {
	return &sink{
		model: model, emit: emit, next: from, total: -1,
		ahead: make(map[int]string), whole: make(chan struct{}),
	}
}

// add takes a chunk of this request.
func (s *sink) add(c target.CompletionChunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if c.Model != s.model {
		s.wrong = true
		s.close()
		return
	}
	if c.Usage != nil {
		s.total = c.Usage.CompletionTokens
	}
	for _, choice := range c.Choices {
		if choice.Finish != "" {
			s.finish = choice.Finish
		}
		if choice.TokenOffset >= s.next && len(s.ahead) < maxAhead {
			s.ahead[choice.TokenOffset] = choice.Text
		}
	}
	s.flush()
}

// flush emits what is in order. It is called with the lock held, so that
// emits keep their order.
func (s *sink) flush() {
	start := s.next
	var texts []string
	for {
		text, ok := s.ahead[s.next]
		if !ok {
			break
		}
		delete(s.ahead, s.next)
		texts = append(texts, text)
		s.next++
	}
	if len(texts) > 0 {
		s.emit(start, texts)
	}
	if s.total >= 0 && s.next >= s.total {
		s.close()
	}
}

func (s *sink) close() {
	s.closed = true
	close(s.whole)
}

// progress is how far an answer has come.
type progress struct {
	next, total int
	finish      string
	whole       bool
	wrong       bool
}

func (s *sink) progress() progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return progress{
		next: s.next, total: s.total, finish: s.finish, wrong: s.wrong,
		whole: s.total >= 0 && s.next >= s.total && !s.wrong,
	}
}

// wait gives late chunks some time to arrive by other streams.
func (s *sink) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.whole:
	case <-timer.C:
	}
}

const sinkShards = 16

// sinks finds the sink of a chunk by its request, in shards, each under its
// own lock.
type sinks [sinkShards]struct {
	mu   sync.RWMutex
	open map[string]*sink
}

func (s *sinks) init() {
	for i := range s {
		s[i].open = make(map[string]*sink)
	}
}

func shardOf(id string) int {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return int(h % sinkShards)
}

func (s *sinks) put(id string, x *sink) {
	shard := &s[shardOf(id)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.open[id] = x
}

func (s *sinks) remove(id string) {
	shard := &s[shardOf(id)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.open, id)
}

func (s *sinks) get(id string) *sink {
	shard := &s[shardOf(id)]
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.open[id]
}
