package gateway

import (
	"hash/fnv"
	"math"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

// loadTracker tracks the load of targets: what they report in their responses, and
// the requests of this process.
type loadTracker struct {
	mu       sync.Mutex
	byTarget map[ident.Target]*load
}

type load struct {
	ownRequests   int
	otherRequests int // requests of other gateways, by the newest response
	slots         int
	reportedAt    time.Time
}

const (
	// otherRequestsTTL is how long the reported requests of other gateways count
	// after a response: a few latency objectives of a plain service.
	otherRequestsTTL = 300 * time.Millisecond
	// maxTrackedTargets bounds the number of tracked targets, since some no longer
	// exist.
	maxTrackedTargets = 4096
)

func newLoadTracker() *loadTracker { return &loadTracker{byTarget: make(map[ident.Target]*load)} }

// get returns a target's load, and adds an empty one if there is none. The caller
// holds mu.
func (l *loadTracker) get(t ident.Target) *load {
	v := l.byTarget[t]
	if v == nil {
		if len(l.byTarget) >= maxTrackedTargets {
			l.removeIdle()
		}
		v = &load{}
		l.byTarget[t] = v
	}
	return v
}

func (l *loadTracker) removeIdle() {
	for t, v := range l.byTarget {
		if v.ownRequests == 0 {
			delete(l.byTarget, t)
		}
	}
}

func (l *loadTracker) begin(t ident.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(t).ownRequests++
}

func (l *loadTracker) end(t ident.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(t).ownRequests--
}

// record stores the load that a target reported. The request that the report came
// with may still be counted as running.
func (l *loadTracker) record(t ident.Target, reported platform.TargetLoad, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.get(t)
	v.otherRequests, v.slots, v.reportedAt = max(reported.Running+reported.Waiting-v.ownRequests, 0), reported.Slots, now
}

// perSlot returns a target's load in requests per slot.
func (l *loadTracker) perSlot(t fleet.Target) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.byTarget[t.Instance]
	if v == nil {
		return 0 // nothing is added for a look at it
	}
	requests := v.ownRequests
	if time.Since(v.reportedAt) < otherRequestsTTL {
		requests += v.otherRequests
	}
	return float64(requests) / float64(max(v.slots, t.Slots, 1))
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// unitHash maps s to [0, 1).
func unitHash(s string) float64 { return float64(hash(s)>>11) / math.Exp2(53) }
