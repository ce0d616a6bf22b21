package placement

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/forecast"
)

const (
	// initialLoad is the time of an adapter load before any was observed: that of the
	// deployments with 14 and 16 adapter slots.
	initialLoad = 288 * time.Millisecond
	// initialRun is the time of a whole request before any was observed.
	initialRun = 2 * time.Second
	// initialPrefill is the prefill speed at the usual pace before it was observed, in
	// tokens per ms: the deployments have 19.1 and 25.8.
	initialPrefill         = 20.0
	minPrefill, maxPrefill = 2.0, 100.0
	// timeWeight is the weight of the newest of observed times.
	timeWeight = 0.1
	// minLoadTime is the least wait for a grant that counts as an adapter load. An
	// engine's own copy is loaded in a tenth of the time.
	minLoadTime = 20 * time.Millisecond
	// prefillMemory is how much of the earlier observations of prefills remains after
	// each one, and minPrefills how many are needed.
	prefillMemory = 0.99
	minPrefills   = 50
)

// Speed is how fast the engines of a service are.
type Speed struct {
	Load, Run   time.Duration
	TokensPerMS float64 // of prefill, at the usual pace
}

// Prefill returns the time to read prompt tokens at the usual pace.
func (s Speed) Prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.TokensPerMS * float64(time.Millisecond))
}

// Speeds learns how fast engines are from the requests of this process.
type Speeds struct {
	mu            sync.Mutex
	load, run     time.Duration
	requestTokens float64 // mean of prompt and answer
	prefill       prefillLine
}

// NewSpeeds returns the speeds of engines of which nothing is known.
func NewSpeeds() *Speeds { return &Speeds{load: initialLoad, run: initialRun} }

// Speed returns the current estimates.
func (s *Speeds) Speed() Speed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Speed{Load: s.load, Run: s.run, TokensPerMS: s.prefill.tokensPerMS()}
}

// RequestTokens returns the mean memory of a request, in tokens.
func (s *Speeds) RequestTokens() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestTokens
}

// RecordLoad records the wait for a grant at an engine that did not hold the adapter.
func (s *Speeds) RecordLoad(wait time.Duration) {
	if wait < minLoadTime {
		return // another request had it loaded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load += time.Duration(timeWeight * float64(wait-s.load))
}

// RecordRun records the time of a whole request and the tokens of its prompt and answer.
func (s *Speeds) RecordRun(took time.Duration, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.run += time.Duration(timeWeight * float64(took-s.run))
	if s.requestTokens == 0 {
		s.requestTokens = float64(tokens)
	}
	s.requestTokens += timeWeight * (float64(tokens) - s.requestTokens)
}

// RecordPrefill records the time to the first event of a request whose engine had to read
// a number of tokens at a pace.
func (s *Speeds) RecordPrefill(tokens int, pace float64, took time.Duration) {
	if tokens <= 0 || pace <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefill.record(float64(tokens)*pace/UsualPace, float64(took)/float64(time.Millisecond))
}

// prefillLine estimates the ms that one more token takes. Waits for other requests do not
// depend on the length of a prompt, so they do not distort the slope.
type prefillLine struct {
	forecast.Line
	samples int
}

func (l *prefillLine) record(tokens, ms float64) {
	l.samples++
	l.Forget(prefillMemory)
	l.Add(tokens, ms, 1)
}

func (l *prefillLine) tokensPerMS() float64 {
	if l.samples < minPrefills {
		return initialPrefill
	}
	variance, covariance := l.Spread()
	if variance <= 0 || covariance <= 0 {
		return initialPrefill
	}
	return min(max(variance/covariance, minPrefill), maxPrefill)
}
