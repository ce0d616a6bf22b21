// Package retry limits the retries that all entries together send to a service. It
// does no I/O, and callers pass in the current time.
//
// It prevents retry storms when many targets fail at once: each entry uses a share of
// the total retry budget, which it computes without communication.
package retry

import "time"

// Limits are the retry limits of all entries together.
type Limits struct {
	Ratio      float64 // retries per request
	MinRetries int     // retries per window in addition to those that Ratio allows
	Window     time.Duration
}

const (
	// buckets is the number of parts into which the window is divided for counting.
	buckets = 10
	// safetyFactor is the fraction of the share that is used. It allows for requests
	// that reach a target later than they are counted here.
	safetyFactor = 0.8
)

// Budget is one entry's share of the retry budget of a service.
type Budget struct {
	limits Limits
	// start is the time of the first call, which starts bucket 0. The wall clock
	// may jump, so that buckets aligned to it would forget retries.
	start  time.Time
	bucket int64
	// requests and retries hold the counts per bucket. The newest is at index
	// bucket modulo buckets.
	requests, retries [buckets]int
}

// New returns an unused budget.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

func (b *Budget) advance(now time.Time) {
	if b.start.IsZero() {
		b.start = now
	}
	bucket := int64(now.Sub(b.start) / (b.limits.Window / buckets))
	if bucket-b.bucket >= buckets {
		b.requests, b.retries = [buckets]int{}, [buckets]int{}
		b.bucket = bucket
	}
	for b.bucket < bucket {
		b.bucket++
		b.requests[b.bucket%buckets], b.retries[b.bucket%buckets] = 0, 0
	}
}

// CountRequest counts one request of a caller.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[b.bucket%buckets]++
}

// Allow reports whether the budget allows a retry, and if so counts it. MinRetries is
// divided by the given number of entries.
func (b *Budget) Allow(entries int, now time.Time) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	share := b.limits.Ratio*float64(requests) + float64(b.limits.MinRetries)/float64(max(entries, 1))
	if float64(retries+1) > safetyFactor*share {
		return false
	}
	b.retries[b.bucket%buckets]++
	return true
}
