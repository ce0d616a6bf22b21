package dispatch

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
)

// maxRetryBudgets bounds the memory for retry budgets. When it is reached, all
// callers start again with a full budget.
const maxRetryBudgets = 16384

// retryBudgets limits each caller's retries to a share of its requests.
type retryBudgets struct {
	ratio, burst float64

	mu     sync.Mutex
	tokens map[ident.Caller]float64
}

func (b *retryBudgets) init(s settings.Retry) {
	b.ratio, b.burst = s.Ratio, float64(s.Burst)
	b.tokens = make(map[ident.Caller]float64)
}

func (b *retryBudgets) credit(c ident.Caller) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, known := b.tokens[c]
	if !known {
		if len(b.tokens) >= maxRetryBudgets {
			clear(b.tokens)
		}
		tokens = b.burst
	}
	b.tokens[c] = min(b.burst, tokens+b.ratio)
}

func (b *retryBudgets) spend(c ident.Caller) bool {
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
	breakerOpenTime = 3 * time.Second
)

// breakers holds a circuit breaker for each target. A breaker opens after
// several failures in a row. When its pause is over, it admits requests again,
// and one further failure reopens it.
type breakers struct {
	mu    sync.Mutex
	state map[ident.Target]breaker
}

type breaker struct {
	failures  int
	openUntil time.Time
}

func (b *breakers) init() { b.state = make(map[ident.Target]breaker) }

func (b *breakers) allow(t ident.Target, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, known := b.state[t]
	return !known || s.failures < breakerFailures || !now.Before(s.openUntil)
}

func (b *breakers) recordFailure(t ident.Target, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state[t]
	s.failures++
	s.openUntil = now.Add(breakerOpenTime)
	b.state[t] = s
}

func (b *breakers) recordSuccess(t ident.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.state, t)
}
