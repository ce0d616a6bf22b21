package placement

import (
	"maps"
	"sync"
	"time"
)

// maxWaits bounds the number of engines with a record, since some no longer exist.
const maxWaits = 4096

// Waits records what a request has to wait for at each engine, as far as this process knows:
// the prompts that it has sent there and that are not read yet, and the last forecast of the
// engine's agent.
type Waits struct {
	mu        sync.Mutex
	byAddress map[string]engineWait
}

type engineWait struct {
	backlog    int // prompt tokens
	forecast   time.Duration
	forecastAt time.Time
}

// Wait is what a request has to wait for at an engine.
type Wait struct {
	Backlog int           // prompt tokens that are not read yet
	Busy    time.Duration // the rest of the last forecast
	Age     time.Duration // of that forecast
}

// NewWaits returns an empty record.
func NewWaits() *Waits { return &Waits{byAddress: make(map[string]engineWait)} }

// Begin records that a prompt is sent to the engine at the address. The function that it
// returns records once that the prompt is read.
func (w *Waits) Begin(address string, tokens int) (read func()) {
	w.change(address, func(e *engineWait) { e.backlog += tokens })
	var once sync.Once
	return func() {
		once.Do(func() { w.change(address, func(e *engineWait) { e.backlog -= tokens }) })
	}
}

// Forecast records the wait that the engine's agent forecasts.
func (w *Waits) Forecast(address string, wait time.Duration, now time.Time) {
	w.change(address, func(e *engineWait) { e.forecast, e.forecastAt = wait, now })
}

func (w *Waits) change(address string, f func(*engineWait)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, known := w.byAddress[address]
	if !known && len(w.byAddress) >= maxWaits {
		maps.DeleteFunc(w.byAddress, func(_ string, e engineWait) bool { return e.backlog == 0 })
	}
	f(&e)
	if e.backlog == 0 && e.forecast == 0 {
		delete(w.byAddress, address)
		return
	}
	w.byAddress[address] = e
}

// At returns what a request has to wait for at the engine at the address.
func (w *Waits) At(address string, now time.Time) Wait {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.byAddress[address]
	out := Wait{Backlog: e.backlog}
	if e.forecast > 0 {
		out.Age = now.Sub(e.forecastAt)
		out.Busy = max(e.forecast-out.Age, 0)
	}
	return out
}
