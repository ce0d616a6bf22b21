// Package retry bounds the repeated sends of all entries to a service. It does
// no I/O, and its callers pass the time.
//
// It answers failures of many targets at once, under which every entry would
// send again: each takes a share of the whole budget that it knows without
// asking anybody.
package retry

import "time"

// Limits are the whole system's.
type Limits struct {
	Ratio  float64 // repeated sends per request
	Slack  int     // repeated sends beside
	Window time.Duration
}

const (
	// slots is the number of parts that the window is counted in.
	slots = 10
	// safety is the part of the share that is used: requests reach a target
	// later than they are counted here.
	safety = 0.8
)

// Budget is one entry's share of a service's budget.
type Budget struct {
	limits Limits
	slot   int64
	// requests and repeats count the window's parts, newest at slot modulo slots.
	requests, repeats [slots]int
}

// New returns an unused budget.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

func (b *Budget) advance(now time.Time) {
	slot := now.UnixNano() / (int64(b.limits.Window) / slots)
	if slot-b.slot >= slots || slot < b.slot {
		b.requests, b.repeats = [slots]int{}, [slots]int{}
		b.slot = slot
	}
	for b.slot < slot {
		b.slot++
		b.requests[b.slot%slots], b.repeats[b.slot%slots] = 0, 0
	}
}

// Request counts one request of a client.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.slot%slots]++
}

// Take counts a repeated send and reports whether the budget allows it. entries
// is the number of entries that share the slack.
func (b *Budget) Take(entries int, now time.Time) bool {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range slots {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	share := b.limits.Ratio*float64(requests) + float64(b.limits.Slack)/float64(max(entries, 1))
	if float64(repeats+1) > safety*share {
		return false
	}
	b.repeats[b.slot%slots]++
	return true
}
