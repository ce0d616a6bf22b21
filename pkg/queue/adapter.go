package queue

import (
	"container/heap"
	"math"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Request is one request that waits for, or runs on, the engine.
type Request struct {
	ID       ident.Request
	Key      ident.AdapterVersion
	Priority ident.Priority
	Arrival  time.Time // when the request first entered the system
	Deadline time.Time
	// ReserveRetry asks Enqueue to reserve a retry when it refuses the request with
	// ErrDeadline, so that the adapter is expected to be loaded by the returned
	// retry time. Without a reservation the returned time is 0.
	ReserveRetry bool
	// Stall is how long the request waited for its adapter to load. Start
	// sets it.
	Stall time.Duration

	enqueuedAt time.Time
	rank       time.Time // arrival time minus a bonus for the priority; the earliest rank starts first
	index      int       // position in the adapter's heap; -1 when not waiting
}

type requestHeap []*Request

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool { return h[i].rank.Before(h[j].rank) }

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *requestHeap) Push(x any) {
	r := x.(*Request)
	r.index = len(*h)
	*h = append(*h, r)
}

func (h *requestHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.index = -1
	return r
}

type loadState uint8

const (
	absent loadState = iota
	loading
	loaded
	evicting // an unload order is in progress
)

// adapterState is the scheduler's state of one adapter version.
type adapterState struct {
	key     ident.AdapterVersion
	state   loadState
	closing bool // starts no requests and is evicted once unpinned, unless it is reopened first
	pins    int
	waiting requestHeap
	rankSum float64 // sum of the waiting requests' ranks, in seconds since the scheduler's epoch
	reservations

	loadedAt time.Time
	failures int
	retryAt  time.Time
	arrivals decayingCount
}

func (a *adapterState) push(r *Request, epoch time.Time) {
	heap.Push(&a.waiting, r)
	a.rankSum += r.rank.Sub(epoch).Seconds()
}

func (a *adapterState) pop(epoch time.Time) *Request {
	r := heap.Pop(&a.waiting).(*Request)
	a.rankSum -= r.rank.Sub(epoch).Seconds()
	return r
}

func (a *adapterState) remove(r *Request, epoch time.Time) {
	heap.Remove(&a.waiting, r.index)
	a.rankSum -= r.rank.Sub(epoch).Seconds()
}

// demand returns the number of waiting requests and reserved retries.
func (a *adapterState) demand() int { return len(a.waiting) + len(a.reserved) }

// meanAge returns the mean age of the demand in seconds. Priorities add to the
// age.
func (a *adapterState) meanAge(now, epoch time.Time) float64 {
	n := a.demand()
	if n == 0 {
		return 0
	}
	return max(0, now.Sub(epoch).Seconds()-(a.rankSum+a.reservedSum)/float64(n))
}

// decayingCount is an event count that halves every half-life.
type decayingCount struct {
	count float64
	at    time.Time
}

func (d *decayingCount) value(now time.Time, halfLife time.Duration) float64 {
	if d.count == 0 {
		return 0
	}
	return d.count * math.Exp2(-float64(now.Sub(d.at))/float64(halfLife))
}

func (d *decayingCount) add(now time.Time, halfLife time.Duration) {
	d.count = d.value(now, halfLife) + 1
	d.at = now
}
