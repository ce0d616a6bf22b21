// Package order keeps the orders to one target safe: fencing numbers, leases
// and the record of non-idempotent attempts.
package order

import (
	"container/heap"
	"sync"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	maxAttempts = 8192
	// maxAnswerBytes is the largest answer that is remembered.
	maxAnswerBytes = 2048
)

// Attempts records the non-idempotent attempts of one agent incarnation. An
// attempt that is fenced is never started; one that is started is never
// started again.
type Attempts struct {
	mu     sync.Mutex
	states map[ident.Attempt]*attempt
	order  attemptHeap
	// floor is at or above every attempt that was forgotten. Attempts sort
	// by the time at which they were made, so an attempt at or below it
	// might have been forgotten and must not start.
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

// Enqueue records that an attempt waits to be started. It reports false for
// an attempt that must not run here.
func (a *Attempts) Enqueue(id ident.Attempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.states[id]; known || id <= a.floor {
		return false
	}
	return a.add(id, wire.AttemptWaiting)
}

// Start records that the attempt is about to reach the target. It reports
// false when the attempt was fenced meanwhile.
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

// Fence makes sure that a waiting attempt never starts. It reports false when
// the attempt has been started.
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

// Reject records that the target refused a started attempt without running it.
func (a *Attempts) Reject(id ident.Attempt) {
	a.finish(id, wire.AttemptFenced, wire.StoredAnswer{})
}

// Done records the answer of a started attempt.
func (a *Attempts) Done(id ident.Attempt, answer wire.StoredAnswer) {
	a.finish(id, wire.AttemptDone, answer)
}

// Failed records that a started attempt's end is not known.
func (a *Attempts) Failed(id ident.Attempt) {
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

// Query returns what is known of an attempt. One that was never started is
// fenced first, so that the answer stays true.
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
	if len(a.states) >= a.limit && !a.forget() {
		return false
	}
	if id <= a.floor {
		return false
	}
	x := &attempt{id: id, state: state}
	a.states[id] = x
	heap.Push(&a.order, x)
	return true
}

// forget drops the oldest attempt that is neither waiting nor running.
func (a *Attempts) forget() bool {
	var busy []*attempt
	dropped := false
	for len(a.order) > 0 && !dropped {
		x := heap.Pop(&a.order).(*attempt)
		if x.state == wire.AttemptWaiting || x.state == wire.AttemptRunning {
			busy = append(busy, x)
			continue
		}
		delete(a.states, x.id)
		a.floor = max(a.floor, x.id)
		dropped = true
	}
	for _, x := range busy {
		heap.Push(&a.order, x)
	}
	return dropped
}

// Len returns the number of attempts on record.
func (a *Attempts) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.states)
}

// Trim returns an answer as it is remembered.
func Trim(answer wire.StoredAnswer) wire.StoredAnswer {
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
