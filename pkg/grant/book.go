// Package grant decides, beside one engine, which requests may be sent to it
// and what it holds. It does no I/O, and its callers pass the time.
//
// It answers three load patterns: many rare adapters that compete for few
// places (adapters in use are pinned, the least recently used idle one goes
// first); a popular adapter whose prompts arrive faster than one engine reads
// them (the forecast sends later ones elsewhere at once); and more requests than
// fit the engine's places or memory (they wait here, in order of urgency, where
// they can still be refused as not run).
package grant

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// WantID identifies one request for a grant, unique in the life of a book.
type WantID uint64

// Want is one request that asks for a grant.
type Want struct {
	wire.GrantWant
	ID    WantID
	Asked time.Time
}

func (w *Want) weights() ident.Weights {
	return ident.Weights{Model: w.Model, AdapterVersion: w.Adapter}
}

// tokens is the memory that the request may need, in tokens.
func (w *Want) tokens() int { return w.PromptTokens + w.OutputTokens }

// expires is when the request is of no more use.
func (w *Want) expires() time.Time {
	return w.Asked.Add(time.Duration(w.WaitMS) * time.Millisecond)
}

// objective is the time left to the request's latency objective.
func (w *Want) objective(now time.Time) time.Duration {
	return time.Duration(w.ObjectiveMS)*time.Millisecond - now.Sub(w.Asked)
}

// running is a granted request.
type running struct {
	*Want
	granted time.Time
	backlog int // prompt tokens to be read until its first event, its own among them
	started bool
}

// adapter is one adapter that the engine holds.
type adapter struct {
	version ident.Version
	uses    int
	lastUse time.Time
}

// Book is what one agent knows of its engine and of those who want to use it.
type Book struct {
	setup wire.EngineSetup
	// instance is the engine's own name, as entries or the engine itself told it
	// last; empty if it is not known.
	instance ident.Target
	named    int64 // the start of the engine that told its name
	born     int64
	up       bool
	// unknownSince is since when requests run that were not granted here, zero if none
	// do, and unknownAt when they were seen last.
	unknownSince, unknownAt time.Time
	// ended is when a granted request ended last.
	ended  time.Time
	models map[ident.Model]bool
	// onDisk and inMemory are the models of whose weights the engine has copies.
	onDisk, inMemory []ident.Model
	held             map[ident.Weights]*adapter // by unversioned weights
	busy             bool                       // a model is being loaded or unloaded
	// busySince is when the order that the engine is busy with was given.
	busySince time.Time
	// sequence is the number of orders that the engine has accepted.
	sequence uint64

	waiting []*Want
	running map[WantID]*running
	usage
	speed
	loads
	switching
}

// usage sums up the granted requests.
type usage struct {
	tokens    int // memory that they may need
	unstarted int // prompt tokens still to be read
}

// New returns a book that knows nothing of its engine.
func New() *Book {
	b := &Book{running: make(map[WantID]*running), speed: newSpeed(), loads: newLoads()}
	b.forget()
	return b
}

// forget drops what the engine held.
func (b *Book) forget() {
	b.models = make(map[ident.Model]bool)
	b.held = make(map[ident.Weights]*adapter)
	clear(b.flying)
	b.busy = false
	b.sequence = 0
}

// Setup puts a newer description of the engine in force.
func (b *Book) Setup(s wire.EngineSetup) {
	if b.instance == "" || s.Instance != b.setup.Instance {
		b.instance = s.Instance
	}
	if s.Configuration >= b.setup.Configuration || s.Instance != b.setup.Instance {
		b.setup = s
	}
}

// Unidentified returns the path at which the engine tells its name, if it has
// started since it last did.
func (b *Book) Unidentified() (path string, ok bool) {
	return b.setup.HealthPath, b.up && b.setup.HealthPath != "" && b.named != b.born
}

// Identify records the name by which the engine itself goes since its start.
func (b *Book) Identify(instance ident.Target, born int64) { b.instance, b.named = instance, born }

// Instance returns the engine's own name, empty while it is not known.
func (b *Book) Instance() ident.Target { return b.instance }

// Idle reports whether nothing is waited for, so that the engine need not be
// asked often.
func (b *Book) Idle() bool { return len(b.waiting) == 0 && len(b.flying) == 0 && !b.busy }

// Ask adds a request. Decide answers it.
func (b *Book) Ask(w *Want) {
	if w.MaySwitch && !b.models[w.Model] {
		b.noteDemand(w.Model, w.Asked)
	}
	b.waiting = append(b.waiting, w)
}

// Withdraw drops a request that waits, or ends one that was granted.
func (b *Book) Withdraw(id WantID, now time.Time) {
	for i, w := range b.waiting {
		if w.ID == id {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
	r := b.running[id]
	if r == nil {
		return
	}
	b.start(r)
	b.ran(now.Sub(r.granted))
	b.ended = now
	b.tokens -= r.tokens()
	delete(b.running, id)
	if a := b.held[r.weights().Unversioned()]; a != nil {
		a.uses--
		a.lastUse = now
	}
}

// Started records that a granted request's first event came, some time after
// it was sent.
func (b *Book) Started(id WantID, delay time.Duration) {
	if r := b.running[id]; r != nil && !r.started {
		b.read(r.backlog, delay)
		b.start(r)
	}
}

func (b *Book) start(r *running) {
	if !r.started {
		r.started = true
		b.unstarted -= r.PromptTokens
	}
}

// Holdings returns the number of adapters held and on their way.
func (b *Book) Holdings() (held, flying int) { return len(b.held), len(b.flying) }

// Counts returns the number of requests that wait and that run.
func (b *Book) Counts() (waiting, running int) { return len(b.waiting), len(b.running) }
