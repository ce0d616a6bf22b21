package experiment

import (
	"container/heap"
	"time"
)

// clock is a virtual clock. It runs events in the order of their times.
type clock struct {
	now      time.Time
	events   eventHeap
	sequence int
}

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at       time.Time
	sequence int // orders simultaneous events by when they were scheduled
	run      func()
}

func newClock() *clock { return &clock{now: epoch} }

func (c *clock) at(t time.Time, run func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.sequence++
	heap.Push(&c.events, event{at: t, sequence: c.sequence, run: run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// every calls step now and then once per period until end.
func (c *clock) every(period time.Duration, end time.Time, step func()) {
	step()
	if next := c.now.Add(period); next.Before(end) {
		c.at(next, func() { c.every(period, end, step) })
	}
}

func (c *clock) run() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
