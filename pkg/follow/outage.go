package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/platform"
)

// minRetryDelay is the first delay after a failed call, before jitter of up to half of
// it in either direction.
const minRetryDelay = 50 * time.Millisecond

// Outage is what the followers of one store know of its failures. It handles an outage
// during which all processes retry: the first follower that meets it retries with
// backoff, and the others wait until a call has succeeded.
type Outage struct {
	common.Common
	limits   OutageLimits
	onOutage func(lastFailure time.Time)

	mu          sync.Mutex
	failing     bool
	since       time.Time // when the first call failed
	answered    time.Time // when the store last answered
	lastFailure time.Time
	evident     bool // a retry has failed since then
	retrying    bool // a follower is about to retry
	backoff     time.Duration
	changed     chan struct{} // closed at the next result of a call during an outage
}

// OutageLimits are the parameters of an Outage.
type OutageLimits struct {
	// RetryDelay bounds the delay between two retries, before jitter.
	RetryDelay time.Duration
	// Expiry is the least time without an answer in which the store may have lost the
	// records of live targets, which they renew at intervals.
	Expiry time.Duration
}

// NewOutage returns the state of a store without failures. onOutage is called, also
// concurrently, with the time of the last failure of an outage that was long enough for
// records to expire, before a list that may lack them is passed on.
func NewOutage(c common.Common, l OutageLimits, onOutage func(lastFailure time.Time)) *Outage {
	return &Outage{Common: c, limits: l, onOutage: onOutage, backoff: minRetryDelay, changed: make(chan struct{})}
}

// succeeded records an answer of the store, before it is passed on.
func (o *Outage) succeeded() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if o.evident {
		o.reportLocked(now)
	}
	o.answered, o.evident = now, false
}

// failed records a call without an answer. A connection that goes silent or is cut off
// does not show that the store was away; a retry that fails as well does.
func (o *Outage) failed(retry bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.lastFailure, o.evident = now, o.evident || retry
	if o.evident {
		o.reportLocked(now)
	}
}

// reportLocked reports an outage that was long enough for records to expire. The caller
// holds mu.
func (o *Outage) reportLocked(now time.Time) {
	if now.Sub(o.answered) >= o.limits.Expiry {
		o.onOutage(o.lastFailure)
	}
}

// await waits until the follower may make its next call. It reports whether that call
// shows whether the outage is over. It has to be short then, since the other followers
// wait for it.
func (o *Outage) await(ctx context.Context) (probe bool) {
	for ctx.Err() == nil {
		o.mu.Lock()
		if !o.failing {
			o.mu.Unlock()
			return false
		}
		if !o.retrying {
			o.retrying = true
			// Jitter prevents the processes of a fleet from retrying at the same time.
			delay := o.backoff/2 + rand.N(o.backoff)
			o.backoff = min(2*o.backoff, o.limits.RetryDelay)
			o.mu.Unlock()
			sleep(ctx, delay)
			return true
		}
		changed := o.changed
		o.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return false
}

// record records the result of a call, and whether that was the one that the other
// followers wait for. keyvals are added to the row of a first error.
func (o *Outage) record(kind platform.Kind, probe bool, err error, keyvals ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil && !o.failing:
		o.since = time.Now()
		o.Warn(append([]any{"msg", "store unavailable; retrying", "kind", kind, "err", err}, keyvals...)...)
	case err == nil && o.failing:
		o.Info("msg", "store reachable again", "kind", kind, "after", time.Since(o.since))
		o.backoff = minRetryDelay
	}
	if o.failing {
		close(o.changed)
		o.changed = make(chan struct{})
	}
	o.failing = err != nil
	if probe {
		o.retrying = false
	}
}
