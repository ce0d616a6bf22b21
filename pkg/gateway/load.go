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

// loads holds what targets say of their load with their answers, and what this
// process has under way.
type loads struct {
	mu       sync.Mutex
	byTarget map[ident.Target]*load
}

type load struct {
	own    int
	others int // requests of other gateways, by the newest answer
	slots  int
	seen   time.Time
}

const (
	// othersFor is how long the others' requests count after an answer told them:
	// some of a plain service's latency objectives.
	othersFor = 300 * time.Millisecond
	// maxLoads bounds the memory of targets that are gone.
	maxLoads = 4096
)

func newLoads() *loads { return &loads{byTarget: make(map[ident.Target]*load)} }

// get returns a target's load. The caller holds mu.
func (l *loads) get(t ident.Target) *load {
	v := l.byTarget[t]
	if v == nil {
		if len(l.byTarget) >= maxLoads {
			l.forgetIdle()
		}
		v = &load{}
		l.byTarget[t] = v
	}
	return v
}

func (l *loads) forgetIdle() {
	for t, v := range l.byTarget {
		if v.own == 0 {
			delete(l.byTarget, t)
		}
	}
}

func (l *loads) begin(t ident.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(t).own++
}

func (l *loads) end(t ident.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(t).own--
}

// saw records what a target said of its load. The request that it answered may
// still count among its running ones.
func (l *loads) saw(t ident.Target, reported platform.TargetLoad, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.get(t)
	v.others, v.slots, v.seen = max(reported.Running+reported.Waiting-v.own, 0), reported.Slots, now
}

// of returns a target's load in requests per slot.
func (l *loads) of(t fleet.Target) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.get(t.Instance)
	requests := v.own
	if time.Since(v.seen) < othersFor {
		requests += v.others
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
