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

// EngineFaults are the faults that an engine injects.
type EngineFaults struct {
	// FailLoads is the share of loads that fail.
	FailLoads float64 `json:"fail-loads"`
	// LoseLoadResponses is the share of loads that take effect but whose response
	// is lost.
	LoseLoadResponses float64 `json:"lose-load-answers"`
	// MisroutedChunks is the share of chunks that are sent on another request's
	// stream.
	MisroutedChunks float64 `json:"crossed"`
	// DelayedChunks is the share of chunks that are delayed by LateMS, so that they
	// arrive out of order.
	DelayedChunks float64 `json:"late"`
	LateMS        int     `json:"late-ms"`
	// CutStreams is the share of streams that end before their response is
	// complete.
	CutStreams float64 `json:"cut-streams"`
}

// EngineSettings are the settings of an engine.
type EngineSettings struct {
	Name       string
	Slots      int
	MaxRunning int
	// IgnoreFencing makes the engine accept orders with a stale fencing token.
	IgnoreFencing bool
	TokenTime     time.Duration // to generate one token
	// Fetch fetches an adapter's weights and reports whether it succeeded.
	Fetch func(weights string) bool
}

// EngineStats holds the counters of an engine.
type EngineStats struct {
	Loads        int64             `json:"loads"`
	EvictedInUse int64             `json:"evicted-in-use"`
	NotLoaded    int64             `json:"wrong-model"` // requests for an adapter that is not loaded
	Started      int64             `json:"started"`     // completions started or resumed
	PeakRunning  int               `json:"max-running"`
	Runs         map[string]int    `json:"runs"` // by idempotency key
	Fencing      ident.Incarnation `json:"fencing"`
	// RoleInUse counts the adapters in use at changes of the role.
	RoleInUse   int64  `json:"role-in-use"`
	Role        string `json:"role"`
	StaleOrders int64  `json:"stale-orders"`
}

// Engine is a fake model engine. The text that it generates is determined by
// the adapter version, the prompt and the offset; see Token.
type Engine struct {
	settings EngineSettings

	mu         sync.Mutex
	boot       string
	loaded     map[string]string // adapter to weights
	inUse      map[string]int
	recentUses []adapterUse // for load reports
	running    int
	semaphore  chan struct{}
	streams    map[string]*engineStream
	resumable  map[string]bool // IDs of requests that can be resumed until the next restart
	faults     EngineFaults
	stats      EngineStats
	random     *rand.Rand
}

// adapterUse is the time span in which one request used an adapter.
type adapterUse struct {
	model      string
	began, end time.Time // end is zero while the request runs
}

const (
	reportLag     = time.Second
	maxRecentUses = 4096
)

// InUse returns the adapters that were in use reportLag ago.
func (e *Engine) InUse() ([]string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf := time.Now().Add(-reportLag)
	seen := make(map[string]bool)
	var out []string
	for _, u := range e.recentUses {
		if !u.began.After(asOf) && (u.end.IsZero() || u.end.After(asOf)) && !seen[u.model] {
			seen[u.model] = true
			out = append(out, u.model)
		}
	}
	return out, nil
}

// beginUse records that a request uses an adapter, and returns the start time.
// The caller holds mu.
func (e *Engine) beginUse(model string) time.Time {
	e.inUse[model]++
	now := time.Now()
	e.recentUses = append(e.recentUses, adapterUse{model: model, began: now})
	e.recentUses = e.recentUses[max(0, len(e.recentUses)-maxRecentUses):]
	return now
}

func (e *Engine) endUse(model string, began time.Time, boot string) {
	if e.boot == boot {
		e.inUse[model]--
	}
	for i := range e.recentUses {
		if u := &e.recentUses[i]; u.model == model && u.began.Equal(began) && u.end.IsZero() {
			u.end = time.Now()
			return
		}
	}
}

// NewEngine returns an engine with no adapters loaded.
func NewEngine(settings EngineSettings, seed uint64) *Engine {
	e := &Engine{settings: settings, random: rand.New(rand.NewPCG(seed, 2))}
	e.stats.Runs = make(map[string]int)
	e.semaphore = make(chan struct{}, settings.MaxRunning)
	e.streams = make(map[string]*engineStream)
	e.reset()
	return e
}

func (e *Engine) reset() {
	e.boot = uuid.NewString()
	e.loaded = make(map[string]string)
	e.inUse = make(map[string]int)
	e.resumable = make(map[string]bool)
}

// Restart simulates a restart: it aborts all streams and drops all adapters.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
	for _, s := range e.streams {
		s.abort()
	}
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.stats
	out.Runs = make(map[string]int, len(e.stats.Runs))
	for k, n := range e.stats.Runs {
		out.Runs[k] = n
	}
	return out
}

func (e *Engine) chance(p float64) bool { return p > 0 && e.random.Float64() < p }

// admitOrder rejects an order with a stale fencing token, unless the engine
// ignores fencing. The caller holds mu.
func (e *Engine) admitOrder(fencing ident.Incarnation) error {
	if fencing < e.stats.Fencing {
		e.stats.StaleOrders++
		if !e.settings.IgnoreFencing {
			return errors.Annotatef(target.ErrStaleToken, "fencing token %d", fencing)
		}
	}
	e.stats.Fencing = max(e.stats.Fencing, fencing)
	return nil
}

// Load loads an adapter.
func (e *Engine) Load(order target.AdapterOrder, fencing ident.Incarnation) error {
	boot, loseResponse, err := e.beginLoad(fencing)
	if err != nil {
		return errors.Trace(err)
	}
	if !e.settings.Fetch(order.Weights) {
		return errors.New("failed to fetch weights")
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
	e.stats.Loads++
	if loseResponse {
		return errors.New("response lost")
	}
	return nil
}

func (e *Engine) beginLoad(fencing ident.Incarnation) (boot string, loseResponse bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admitOrder(fencing); err != nil {
		return "", false, errors.Trace(err)
	}
	if e.chance(e.faults.FailLoads) {
		return "", false, errors.New("load failed")
	}
	return e.boot, e.chance(e.faults.LoseLoadResponses), nil
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
			e.stats.RoleInUse++
		}
	}
	e.stats.Role = order.Role
	return nil
}

// Unload unloads an adapter, even one in use.
func (e *Engine) Unload(order target.AdapterOrder, fencing ident.Incarnation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admitOrder(fencing); err != nil {
		return errors.Trace(err)
	}
	if e.inUse[order.Name] > 0 {
		e.stats.EvictedInUse++
	}
	delete(e.loaded, order.Name)
	return nil
}

// Loaded returns the loaded adapters and the engine's boot ID.
func (e *Engine) Loaded() ([]target.LoadedAdapter, string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []target.LoadedAdapter
	for name, weights := range e.loaded {
		list = append(list, target.LoadedAdapter{ID: name, Root: weights})
	}
	return list, e.boot, nil
}

// Cancel aborts a completion.
func (e *Engine) Cancel(id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil {
		s.abort()
	}
	return nil
}

// Client returns the client that agents use. It calls the engine directly,
// without a network.
func (e *Engine) Client() *target.Engine {
	return &target.Engine{
		Generate: func(in target.CompletionRequest, key string, _ time.Time, deliver func(target.CompletionChunk)) error {
			return e.Generate(in, key, deliver)
		},
		Load: e.Load, Unload: e.Unload, ListAdapters: e.Loaded, Cancel: e.Cancel, InUse: e.InUse, SetRole: e.SetRole,
	}
}

// Token returns the text that an engine generates at an offset. Tests use it to
// check responses.
func Token(model, prompt string, offset int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s|%s|%d", model, prompt, offset)
	return fmt.Sprintf(" %s:%d:%x", model, offset, h.Sum64()&0xffff)
}

// Generate starts or resumes a completion and calls deliver for each chunk of its
// stream.
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

// begin validates a completion and starts it.
func (e *Engine) begin(in target.CompletionRequest, key string) (*engineStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, held := e.loaded[in.Model]; !held {
		e.stats.NotLoaded++
		return nil, errors.Annotatef(target.ErrNotHeld, "adapter %s", in.Model)
	}
	if key != "" && in.ResumeFrom > 0 && !e.resumable[in.ID] {
		return nil, errors.Annotatef(target.ErrNotHeld, "stream %s", in.ID)
	}
	if key != "" && in.ResumeFrom == 0 {
		e.stats.Runs[key]++
	}
	e.stats.Started++
	e.resumable[in.ID] = true
	s := newEngineStream(in)
	s.boot, s.began = e.boot, e.beginUse(in.Model)
	e.streams[in.ID] = s
	cutAt := -1
	if e.chance(e.faults.CutStreams) {
		cutAt = in.ResumeFrom + 1
	}
	go e.generate(s, cutAt)
	return s, nil
}

// generate waits until fewer than MaxRunning requests are running, then generates the
// tokens of one request. It stops early if it reaches offset cutAt.
func (e *Engine) generate(s *engineStream, cutAt int) {
	e.semaphore <- struct{}{}
	e.mu.Lock()
	e.running++
	e.stats.PeakRunning = max(e.stats.PeakRunning, e.running)
	e.mu.Unlock()
	for i := s.in.ResumeFrom; i < s.in.MaxTokens; i++ {
		time.Sleep(e.settings.TokenTime)
		if s.aborted() || i == cutAt {
			break
		}
		e.emit(s, s.chunk(i))
	}
	<-e.semaphore
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	s.late.Wait()
	e.end(s)
	s.finish()
}

// end ends a request's use of its adapter. A caller that has seen the end of the
// stream may unload the adapter at once, so finish follows it.
func (e *Engine) end(s *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endUse(s.in.Model, s.began, s.boot)
	if e.streams[s.in.ID] == s {
		delete(e.streams, s.in.ID)
	}
}

// emit sends a chunk on its stream. Depending on the faults, it sends the chunk
// late or on another stream.
func (e *Engine) emit(s *engineStream, chunk target.CompletionChunk) {
	e.mu.Lock()
	late, lateMS := e.chance(e.faults.DelayedChunks), e.faults.LateMS
	dest := s
	if e.chance(e.faults.MisroutedChunks) {
		for _, other := range e.streams {
			dest = other
			break
		}
	}
	e.mu.Unlock()
	send := func() {
		if !dest.push(chunk) {
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
