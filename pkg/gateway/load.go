package gateway

import (
	"hash/fnv"
	"math"
	"sync"

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
	own      int
	reported int // by the newest answer, own requests among them
	slots    int
}

func newLoads() *loads { return &loads{byTarget: make(map[ident.Target]*load)} }

func (l *loads) get(t ident.Target) *load {
	v := l.byTarget[t]
	if v == nil {
		v = &load{}
		l.byTarget[t] = v
	}
	return v
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

func (l *loads) saw(t ident.Target, reported platform.TargetLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.get(t)
	v.reported, v.slots = reported.Running+reported.Waiting, reported.Slots
}

// of returns a target's load in requests per slot.
func (l *loads) of(t fleet.Target) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.get(t.Instance)
	slots := max(v.slots, t.Slots, 1)
	return float64(v.own) / float64(slots)
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// unitHash maps s to [0, 1).
func unitHash(s string) float64 { return float64(hash(s)>>11) / math.Exp2(53) }
