package standin

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/target"
)

// engineStream is the response stream of one request.
type engineStream struct {
	in    target.CompletionRequest
	boot  string // boot ID of the engine that runs the request
	began time.Time
	late  sync.WaitGroup

	mu     sync.Mutex
	queue  []target.CompletionChunk
	closed bool
	stop   bool
	wake   chan struct{}
}

func newEngineStream(in target.CompletionRequest) *engineStream {
	return &engineStream{in: in, wake: make(chan struct{}, 1)}
}

func (s *engineStream) chunk(offset int) target.CompletionChunk {
	c := target.CompletionChunk{
		ID: s.in.ID, Object: "text_completion", Model: s.in.Model,
		Choices: []target.Choice{{Text: Token(s.in.Model, s.in.Prompt, offset), TokenOffset: offset}},
	}
	if offset == s.in.MaxTokens-1 {
		c.Choices[0].Finish = "length"
		c.Usage = &target.Usage{CompletionTokens: s.in.MaxTokens}
	}
	return c
}

func (s *engineStream) push(c target.CompletionChunk) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.stop {
		return false
	}
	s.queue = append(s.queue, c)
	s.signal()
	return true
}

func (s *engineStream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *engineStream) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = true
	s.signal()
}

func (s *engineStream) aborted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stop
}

func (s *engineStream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.signal()
}

func (s *engineStream) take() (chunks []target.CompletionChunk, closed, aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chunks, s.queue = s.queue, nil
	return chunks, s.closed, s.stop
}

// each calls deliver for each chunk until the stream ends. It returns an error if
// the stream is aborted.
func (s *engineStream) each(deliver func(target.CompletionChunk) error) error {
	for {
		chunks, closed, aborted := s.take()
		if aborted {
			return errors.New("stream aborted")
		}
		for _, c := range chunks {
			if err := deliver(c); err != nil {
				s.abort()
				return errors.Trace(err)
			}
		}
		if closed {
			return nil
		}
		<-s.wake
	}
}
