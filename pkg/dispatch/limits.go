package dispatch

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
)

const maxBudgets = 16384

// budgets bounds each caller's retries to a share of its requests.
type budgets struct {
	ratio, burst float64

	mu     sync.Mutex
	tokens map[ident.Caller]float64
}

func (b *budgets) init(s settings.Retry) {
	b.ratio, b.burst = s.Ratio, float64(s.Burst)
	b.tokens = make(map[ident.Caller]float64)
}

func (b *budgets) earn(c ident.Caller) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, known := b.tokens[c]
	if !known {
		if len(b.tokens) >= maxBudgets {
			clear(b.tokens)
		}
		tokens = b.burst
	}
	b.tokens[c] = min(b.burst, tokens+b.ratio)
}

func (b *budgets) spend(c ident.Caller) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[c] < 1 {
		return false
	}
	b.tokens[c]--
	return true
}

const (
	breakerFailures = 3
	breakerPause    = 3 * time.Second
)

// breakers keeps requests away from targets that failed several times in a
// row; after a pause, one failure more closes them off again.
type breakers struct {
	mu    sync.Mutex
	state map[ident.Target]breaker
}

type breaker struct {
	failures int
	until    time.Time
}

func (b *breakers) init() { b.state = make(map[ident.Target]breaker) }

func (b *breakers) allow(t ident.Target, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, known := b.state[t]
	return !known || s.failures < breakerFailures || !now.Before(s.until)
}

func (b *breakers) fail(t ident.Target, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state[t]
	s.failures++
	s.until = now.Add(breakerPause)
	b.state[t] = s
}

func (b *breakers) succeed(t ident.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.state, t)
}
