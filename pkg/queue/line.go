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
	// Promise asks that a refusal for the deadline's sake be followed up: its
	// retry time is kept, as far as one can be told.
	Promise bool
	// Stall is the time for which the request waited for its adapter, set
	// when the request is started.
	Stall time.Duration

	enqueued time.Time
	rank     time.Time // arrival moved forward by the priority; lower starts first
	index    int       // in its line's heap; -1 when not waiting
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

type lineState uint8

const (
	absent lineState = iota
	loading
	loaded
	evicting // the order to unload it is under way
)

// line is everything the scheduler knows of one adapter version.
type line struct {
	key     ident.AdapterVersion
	state   lineState
	closing bool // loaded, takes no new request, evicted when unpinned
	pins    int
	waiting requestHeap
	rankSum float64 // sum of the waiting requests' ranks, in s since the epoch
	promises

	loadedAt time.Time
	failures int
	retryAt  time.Time
	arrivals decayed
}

func (l *line) push(r *Request, epoch time.Time) {
	heap.Push(&l.waiting, r)
	l.rankSum += r.rank.Sub(epoch).Seconds()
}

func (l *line) pop(epoch time.Time) *Request {
	r := heap.Pop(&l.waiting).(*Request)
	l.rankSum -= r.rank.Sub(epoch).Seconds()
	return r
}

func (l *line) remove(r *Request, epoch time.Time) {
	heap.Remove(&l.waiting, r.index)
	l.rankSum -= r.rank.Sub(epoch).Seconds()
}

// demand is the number of requests that wait or were told when to come back.
func (l *line) demand() int { return len(l.waiting) + len(l.due) }

// age returns the mean age of the demand in s, priorities included.
func (l *line) age(now, epoch time.Time) float64 {
	n := l.demand()
	if n == 0 {
		return 0
	}
	return max(0, now.Sub(epoch).Seconds()-(l.rankSum+l.promisedSum)/float64(n))
}

// decayed is an event count that halves each half-life.
type decayed struct {
	count float64
	at    time.Time
}

func (d *decayed) value(now time.Time, halfLife time.Duration) float64 {
	if d.count == 0 {
		return 0
	}
	return d.count * math.Exp2(-float64(now.Sub(d.at))/float64(halfLife))
}
