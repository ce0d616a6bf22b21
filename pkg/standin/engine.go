package standin

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/target"
)

// EngineFaults are the faults of an engine.
type EngineFaults struct {
	// FailLoads is the share of loads that fail.
	FailLoads float64 `json:"fail-loads"`
	// LoseLoadAnswers is the share of loads that take effect unanswered.
	LoseLoadAnswers float64 `json:"lose-load-answers"`
	// Crossed is the share of chunks that arrive on another request's stream.
	Crossed float64 `json:"crossed"`
	// Late is the share of chunks that arrive after later ones.
	Late   float64 `json:"late"`
	LateMS int     `json:"late-ms"`
	// CutStreams is the share of streams that end before their answer does.
	CutStreams float64 `json:"cut-streams"`
}

// EngineSettings describe an engine.
type EngineSettings struct {
	Name  string
	Slots int
	Seats int
	// IgnoreFencing makes the engine take orders with any fencing token.
	IgnoreFencing bool
	TokenTime     time.Duration // of one token at one running request
	// Fetch gets an adapter's weights and reports success.
	Fetch func(weights string) bool
}

// EngineRecord is what an engine saw.
type EngineRecord struct {
	Loads        int64             `json:"loads"`
	EvictedInUse int64             `json:"evicted-in-use"`
	WrongModel   int64             `json:"wrong-model"` // requests for an adapter that was not loaded
	Started      int64             `json:"started"`     // completions begun or resumed
	MaxRunning   int               `json:"max-running"`
	Runs         map[string]int    `json:"runs"` // by idempotency key
	Fencing      ident.Incarnation `json:"fencing"`
	// RoleInUse counts the adapters that were in use when the role changed.
	RoleInUse   int64  `json:"role-in-use"`
	Role        string `json:"role"`
	StaleOrders int64  `json:"stale-orders"`
}

// Engine is a model engine that generates text which names the adapter,
// version and prompt that it was made from.
type Engine struct {
	settings EngineSettings

	mu      sync.Mutex
	boot    string
	loaded  map[string]string // adapter to weights
	inUse   map[string]int
	uses    []use // of the recent past, for load reports
	running int
	seats   chan struct{}
	streams map[string]*engineStream
	known   map[string]bool // requests that can be resumed in this boot
	faults  EngineFaults
	record  EngineRecord
	random  *rand.Rand
}

// use is a span of time for which a request used an adapter.
type use struct {
	model      string
	began, end time.Time // end is zero while the request runs
}

const (
	reportLag = time.Second
	maxUses   = 4096
)

// InUse returns the adapters that were in use a while ago.
func (e *Engine) InUse() ([]string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf := time.Now().Add(-reportLag)
	seen := make(map[string]bool)
	var out []string
	for _, u := range e.uses {
		if !u.began.After(asOf) && (u.end.IsZero() || u.end.After(asOf)) && !seen[u.model] {
			seen[u.model] = true
			out = append(out, u.model)
		}
	}
	return out, nil
}

// beginUse notes that a request uses an adapter. It is called with the lock
// held.
func (e *Engine) beginUse(model string) time.Time {
	e.inUse[model]++
	now := time.Now()
	e.uses = append(e.uses, use{model: model, began: now})
	e.uses = e.uses[max(0, len(e.uses)-maxUses):]
	return now
}

func (e *Engine) endUse(model string, began time.Time, boot string) {
	if e.boot == boot {
		e.inUse[model]--
	}
	for i := range e.uses {
		if u := &e.uses[i]; u.model == model && u.began.Equal(began) && u.end.IsZero() {
			u.end = time.Now()
			return
		}
	}
}

// NewEngine returns an engine with nothing loaded.
func NewEngine(settings EngineSettings, seed uint64) *Engine {
	e := &Engine{settings: settings, random: rand.New(rand.NewPCG(seed, 2))}
	e.record.Runs = make(map[string]int)
	e.seats = make(chan struct{}, settings.Seats)
	e.streams = make(map[string]*engineStream)
	e.reset()
	return e
}

func (e *Engine) reset() {
	e.boot = uuid.NewString()
	e.loaded = make(map[string]string)
	e.inUse = make(map[string]int)
	e.known = make(map[string]bool)
}

// Restart drops every stream and everything loaded.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
	for _, s := range e.streams {
		s.abort()
	}
}

// SetFaults switches faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Record returns what the engine saw.
func (e *Engine) Record() EngineRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.record
	out.Runs = make(map[string]int, len(e.record.Runs))
	for k, n := range e.record.Runs {
		out.Runs[k] = n
	}
	return out
}

func (e *Engine) chance(p float64) bool { return p > 0 && e.random.Float64() < p }

// admitOrder refuses an order with an old fencing token, unless the engine
// ignores those. It is called with the lock held.
func (e *Engine) admitOrder(fencing ident.Incarnation) error {
	if fencing < e.record.Fencing {
		e.record.StaleOrders++
		if !e.settings.IgnoreFencing {
			return errors.Annotatef(target.ErrStaleToken, "number %d", fencing)
		}
	}
	e.record.Fencing = max(e.record.Fencing, fencing)
	return nil
}

// Load loads an adapter.
func (e *Engine) Load(order target.AdapterOrder, fencing ident.Incarnation) error {
	boot, lose, err := e.beginLoad(fencing)
	if err != nil {
		return errors.Trace(err)
	}
	if !e.settings.Fetch(order.Weights) {
		return errors.New("weights not fetched")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if boot != e.boot {
		return errors.New("engine restarted")
	}
	if _, held := e.loaded[order.Name]; !held && len(e.loaded) >= e.settings.Slots {
		return errors.New("no free slot")
	}
	e.loaded[order.Name] = order.Weights
	e.record.Loads++
	if lose {
		return errors.New("answer lost")
	}
	return nil
}

func (e *Engine) beginLoad(fencing ident.Incarnation) (boot string, lose bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admitOrder(fencing); err != nil {
		return "", false, errors.Trace(err)
	}
	if e.chance(e.faults.FailLoads) {
		return "", false, errors.New("load failed")
	}
	return e.boot, e.chance(e.faults.LoseLoadAnswers), nil
}

// SetRole changes the engine's role.
func (e *Engine) SetRole(order target.RoleOrder, fencing ident.Incarnation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admitOrder(fencing); err != nil {
		return errors.Trace(err)
	}
	for _, n := range e.inUse {
		if n > 0 {
			e.record.RoleInUse++
		}
	}
	e.record.Role = order.Role
	return nil
}

// Unload unloads an adapter, also one in use.
func (e *Engine) Unload(order target.AdapterOrder, fencing ident.Incarnation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admitOrder(fencing); err != nil {
		return errors.Trace(err)
	}
	if e.inUse[order.Name] > 0 {
		e.record.EvictedInUse++
	}
	delete(e.loaded, order.Name)
	return nil
}

// Loaded returns what the engine holds and the mark of its boot.
func (e *Engine) Loaded() ([]target.LoadedAdapter, string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []target.LoadedAdapter
	for name, weights := range e.loaded {
		list = append(list, target.LoadedAdapter{ID: name, Root: weights})
	}
	return list, e.boot, nil
}

// Cancel ends a completion.
func (e *Engine) Cancel(id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil {
		s.abort()
	}
	return nil
}

// Client returns the engine as agents use it, without a network.
func (e *Engine) Client() *target.Engine {
	return &target.Engine{
		Generate: func(in target.CompletionRequest, key string, _ time.Time, deliver func(target.CompletionChunk)) error {
			return e.Generate(in, key, deliver)
		},
		Load: e.Load, Unload: e.Unload, ListAdapters: e.Loaded, Cancel: e.Cancel, InUse: e.InUse, SetRole: e.SetRole,
	}
}

// Token returns the text that an engine generates at an offset, so that tests
// can tell a right answer from any other.
func Token(model, prompt string, offset int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s|%s|%d", model, prompt, offset)
	return fmt.Sprintf(" %s:%d:%x", model, offset, h.Sum64()&0xffff)
}

// Generate runs or resumes a completion, and passes on the chunks that its
// stream carries.
func (e *Engine) Generate(in target.CompletionRequest, key string, deliver func(target.CompletionChunk)) error {
	s, err := e.begin(in, key)
	if err != nil {
		return errors.Trace(err)
	}
	return s.each(func(c target.CompletionChunk) error {
		deliver(c)
		return nil
	})
}

// begin checks a completion and starts it.
func (e *Engine) begin(in target.CompletionRequest, key string) (*engineStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, held := e.loaded[in.Model]; !held {
		e.record.WrongModel++
		return nil, errors.Annotatef(target.ErrNotHeld, "adapter %s", in.Model)
	}
	if key != "" && in.ResumeFrom > 0 && !e.known[in.ID] {
		return nil, errors.Annotatef(target.ErrNotHeld, "stream %s", in.ID)
	}
	if key != "" && in.ResumeFrom == 0 {
		e.record.Runs[key]++
	}
	e.record.Started++
	e.known[in.ID] = true
	s := newEngineStream(in)
	s.boot, s.began = e.boot, e.beginUse(in.Model)
	e.streams[in.ID] = s
	cut := -1
	if e.chance(e.faults.CutStreams) {
		cut = in.ResumeFrom + 1
	}
	go e.generate(s, cut)
	return s, nil
}

// generate produces the tokens of one request while it has a seat.
func (e *Engine) generate(s *engineStream, cut int) {
	e.seats <- struct{}{}
	e.mu.Lock()
	e.running++
	e.record.MaxRunning = max(e.record.MaxRunning, e.running)
	e.mu.Unlock()
	for i := s.in.ResumeFrom; i < s.in.MaxTokens; i++ {
		time.Sleep(e.settings.TokenTime)
		if s.aborted() || i == cut {
			break
		}
		e.emit(s, s.chunk(i))
	}
	<-e.seats
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	s.finish()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endUse(s.in.Model, s.began, s.boot)
	if e.streams[s.in.ID] == s {
		delete(e.streams, s.in.ID)
	}
}

// emit sends a chunk on its own stream or, as the faults have it, late or on
// another.
func (e *Engine) emit(s *engineStream, chunk target.CompletionChunk) {
	e.mu.Lock()
	late, lateMS := e.chance(e.faults.Late), e.faults.LateMS
	via := s
	if e.chance(e.faults.Crossed) {
		for _, other := range e.streams {
			via = other
			break
		}
	}
	e.mu.Unlock()
	send := func() {
		if !via.push(chunk) {
			s.push(chunk)
		}
	}
	if !late {
		send()
		return
	}
	s.late.Add(1)
	time.AfterFunc(time.Duration(lateMS)*time.Millisecond, func() {
		send()
		s.late.Done()
	})
}
