// Package order guards the orders that an agent sends to one target. It issues and
// checks fencing tokens and records non-idempotent attempts.
package order

import (
	"container/heap"
	"sync"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	maxAttempts = 8192
	// maxAnswerBytes is the size limit of a stored answer body.
	maxAnswerBytes = 2048
)

// Attempts records the non-idempotent attempts of one agent incarnation. A fenced
// attempt is never started, and no attempt is started twice.
type Attempts struct {
	mu     sync.Mutex
	states map[ident.Attempt]*attempt
	oldest attemptHeap
	// floor is the highest attempt id that was evicted. Attempt ids sort by creation
	// time, so an unknown attempt at or below the floor may have been evicted and
	// must not start.
	floor ident.Attempt
	limit int
}

type attempt struct {
	id     ident.Attempt
	state  wire.AttemptState
	answer wire.StoredAnswer
}

// NewAttempts returns an empty record.
func NewAttempts() *Attempts {
	return &Attempts{states: make(map[ident.Attempt]*attempt), limit: maxAttempts}
}

// Enqueue records that an attempt is waiting to start. It returns false if the
// attempt must not run here.
func (a *Attempts) Enqueue(id ident.Attempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.states[id]; known || id <= a.floor {
		return false
	}
	return a.add(id, wire.AttemptWaiting)
}

// Start records that the attempt is about to be sent to the target. It returns false
// if the attempt is not waiting, for example because it was fenced.
func (a *Attempts) Start(id ident.Attempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	x, known := a.states[id]
	if !known || x.state != wire.AttemptWaiting {
		return false
	}
	x.state = wire.AttemptRunning
	return true
}

// Fence prevents an attempt from starting. It returns false if the attempt has
// started or may have started.
func (a *Attempts) Fence(id ident.Attempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	x, known := a.states[id]
	if !known {
		return id > a.floor && a.add(id, wire.AttemptFenced)
	}
	if x.state == wire.AttemptWaiting {
		x.state = wire.AttemptFenced
	}
	return x.state == wire.AttemptFenced
}

// Reject records that the target rejected a started attempt without running it.
func (a *Attempts) Reject(id ident.Attempt) {
	a.finish(id, wire.AttemptFenced, wire.StoredAnswer{})
}

// Complete records the answer of a started attempt.
func (a *Attempts) Complete(id ident.Attempt, answer wire.StoredAnswer) {
	a.finish(id, wire.AttemptDone, answer)
}

// Fail records that the outcome of a started attempt is unknown.
func (a *Attempts) Fail(id ident.Attempt) {
	a.finish(id, wire.AttemptFailed, wire.StoredAnswer{})
}

func (a *Attempts) finish(id ident.Attempt, state wire.AttemptState, answer wire.StoredAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if x, known := a.states[id]; known && x.state == wire.AttemptRunning {
		x.state = state
		x.answer = answer
	}
}

// Query returns the state of an attempt. It first fences an attempt that has not
// started, so that the reply stays valid.
func (a *Attempts) Query(id ident.Attempt) wire.AttemptReply {
	if a.Fence(id) {
		return wire.AttemptReply{State: wire.AttemptFenced}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	x, known := a.states[id]
	if !known {
		return wire.AttemptReply{State: wire.AttemptUnknown}
	}
	return wire.AttemptReply{State: x.state, Answer: x.answer}
}

func (a *Attempts) add(id ident.Attempt, state wire.AttemptState) bool {
	if len(a.states) >= a.limit && !a.evict() {
		return false
	}
	if id <= a.floor {
		return false
	}
	x := &attempt{id: id, state: state}
	a.states[id] = x
	heap.Push(&a.oldest, x)
	return true
}

// evict removes the oldest attempt that is neither waiting nor running, and reports
// whether there was one.
func (a *Attempts) evict() bool {
	var active []*attempt
	evicted := false
	for len(a.oldest) > 0 && !evicted {
		x := heap.Pop(&a.oldest).(*attempt)
		if x.state == wire.AttemptWaiting || x.state == wire.AttemptRunning {
			active = append(active, x)
			continue
		}
		delete(a.states, x.id)
		a.floor = max(a.floor, x.id)
		evicted = true
	}
	for _, x := range active {
		heap.Push(&a.oldest, x)
	}
	return evicted
}

// Len returns the number of recorded attempts.
func (a *Attempts) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.states)
}

// TruncateAnswer returns the answer in the form in which it is stored: a body above
// maxAnswerBytes is dropped and the answer marked as truncated.
func TruncateAnswer(answer wire.StoredAnswer) wire.StoredAnswer {
	if len(answer.Body) > maxAnswerBytes {
		answer.Body = nil
		answer.Truncated = true
	}
	return answer
}

type attemptHeap []*attempt

func (h attemptHeap) Len() int           { return len(h) }
func (h attemptHeap) Less(i, j int) bool { return h[i].id < h[j].id }
func (h attemptHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *attemptHeap) Push(x any)        { *h = append(*h, x.(*attempt)) }
func (h *attemptHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return x
}
