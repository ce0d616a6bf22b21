package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

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
	// IgnoreFencing makes the engine take orders with any fencing number.
	IgnoreFencing bool
	TokenTime     time.Duration // of one token at one running request
	// Fetch gets an adapter's weights and reports success.
	Fetch func(weights string) bool
}

// EngineRecord is what an engine saw.
type EngineRecord struct {
	Loads        int64          `json:"loads"`
	EvictedInUse int64          `json:"evicted-in-use"`
	WrongModel   int64          `json:"wrong-model"` // requests for an adapter that was not loaded
	MaxRunning   int            `json:"max-running"`
	Runs         map[string]int `json:"runs"` // by idempotency key
	Fencing      uint64         `json:"fencing"`
	StaleOrders  int64          `json:"stale-orders"`
}

// Engine is a model engine that generates text which names the adapter,
// version and prompt that it was made from.
type Engine struct {
	settings EngineSettings

	mu      sync.Mutex
	boot    string
	loaded  map[string]string // adapter to weights
	inUse   map[string]int
	running int
	seats   chan struct{}
	streams map[string]*engineStream
	known   map[string]bool // requests that can be resumed in this boot
	faults  EngineFaults
	record  EngineRecord
	random  *rand.Rand
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

// Register serves the engine.
func (e *Engine) Register(r *router.Router) {
	r.POST("/v1/completions", e.serveCompletion)
	r.POST("/v1/load_lora_adapter", e.serveLoad)
	r.POST("/v1/unload_lora_adapter", e.serveUnload)
	r.POST("/v1/cancel", e.serveCancel)
	r.GET("/v1/models", e.serveModels)
	r.GET("/record", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, e.Record()) })
	r.POST("/restart", func(*fasthttp.RequestCtx) { e.Restart() })
	r.POST("/faults", func(ctx *fasthttp.RequestCtx) {
		var f EngineFaults
		if readJSON(ctx, &f) {
			e.SetFaults(f)
		}
	})
}

func (e *Engine) setBoot(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(target.HeaderBoot, e.boot)
}

// admitOrder refuses an order with an old fencing number, unless the engine
// ignores those.
func (e *Engine) admitOrder(ctx *fasthttp.RequestCtx) bool {
	e.setBoot(ctx)
	n, _ := strconv.ParseUint(string(ctx.Request.Header.Peek(target.HeaderFencing)), 10, 64)
	if n < e.record.Fencing {
		e.record.StaleOrders++
		if !e.settings.IgnoreFencing {
			ctx.Error("stale fencing number", fasthttp.StatusPreconditionFailed)
			return false
		}
	}
	e.record.Fencing = max(e.record.Fencing, n)
	return true
}

func (e *Engine) serveLoad(ctx *fasthttp.RequestCtx) {
	var order target.AdapterOrder
	if !readJSON(ctx, &order) {
		return
	}
	boot, lose, ok := e.beginLoad(ctx)
	if !ok {
		return
	}
	if !e.settings.Fetch(order.Weights) {
		ctx.Error("weights not fetched", fasthttp.StatusBadGateway)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if boot != e.boot {
		ctx.Error("engine restarted", fasthttp.StatusServiceUnavailable)
		return
	}
	if _, held := e.loaded[order.Name]; !held && len(e.loaded) >= e.settings.Slots {
		ctx.Error("no free slot", fasthttp.StatusConflict)
		return
	}
	e.loaded[order.Name] = order.Weights
	e.record.Loads++
	if lose {
		ctx.Error("answer lost", fasthttp.StatusGatewayTimeout)
	}
}

func (e *Engine) beginLoad(ctx *fasthttp.RequestCtx) (boot string, lose, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admitOrder(ctx) {
		return "", false, false
	}
	if e.chance(e.faults.FailLoads) {
		ctx.Error("load failed", fasthttp.StatusInternalServerError)
		return "", false, false
	}
	return e.boot, e.chance(e.faults.LoseLoadAnswers), true
}

func (e *Engine) serveUnload(ctx *fasthttp.RequestCtx) {
	var order target.AdapterOrder
	if !readJSON(ctx, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admitOrder(ctx) {
		return
	}
	if e.inUse[order.Name] > 0 {
		e.record.EvictedInUse++
	}
	delete(e.loaded, order.Name)
}

func (e *Engine) serveModels(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setBoot(ctx)
	var list target.ModelList
	for name, weights := range e.loaded {
		list.Data = append(list.Data, target.LoadedModel{ID: name, Root: weights})
	}
	writeJSON(ctx, list)
}

func (e *Engine) serveCancel(ctx *fasthttp.RequestCtx) {
	var order target.CancelOrder
	if !readJSON(ctx, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[order.ID]; s != nil {
		s.abort()
	}
}

// Token returns the text that an engine generates at an offset, so that tests
// can tell a right answer from any other.
func Token(model, prompt string, offset int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s|%s|%d", model, prompt, offset)
	return fmt.Sprintf(" %s:%d:%x", model, offset, h.Sum64()&0xffff)
}

func (e *Engine) serveCompletion(ctx *fasthttp.RequestCtx) {
	var in target.CompletionRequest
	if !readJSON(ctx, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setBoot(ctx)
	if _, held := e.loaded[in.Model]; !held {
		e.record.WrongModel++
		ctx.Error("adapter not loaded", fasthttp.StatusNotFound)
		return
	}
	key := string(ctx.Request.Header.Peek(target.HeaderKey))
	if key != "" && in.ResumeFrom > 0 && !e.known[in.ID] {
		ctx.Error("stream not known", fasthttp.StatusNotFound)
		return
	}
	if key != "" && in.ResumeFrom == 0 {
		e.record.Runs[key]++
	}
	e.known[in.ID] = true
	e.inUse[in.Model]++
	s := newEngineStream(in)
	e.streams[in.ID] = s
	ctx.SetContentType("text/event-stream")
	cut := -1
	if e.chance(e.faults.CutStreams) {
		cut = in.ResumeFrom + 1
	}
	go e.generate(s, cut)
	ctx.SetBodyStreamWriter(s.write)
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
	e.inUse[s.in.Model]--
	e.mu.Unlock()
	s.finish()
	e.mu.Lock()
	defer e.mu.Unlock()
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

// engineStream is the open answer of one request.
type engineStream struct {
	in   target.CompletionRequest
	late sync.WaitGroup

	mu     sync.Mutex
	queue  []target.CompletionChunk
	closed bool
	stop   bool
	wake   chan struct{}
}

func newEngineStream(in target.CompletionRequest) *engineStream {
	return &engineStream{in: in, wake: make(chan struct{}, 1)}
}

func (s *engineStream) chunk(offset int) target.CompletionChunk {
	c := target.CompletionChunk{
		ID: s.in.ID, Object: "text_completion", Model: s.in.Model,
		Choices: []target.Choice{{Text: Token(s.in.Model, s.in.Prompt, offset), TokenOffset: offset}},
	}
	if offset == s.in.MaxTokens-1 {
		c.Choices[0].Finish = "length"
		c.Usage = &target.Usage{CompletionTokens: s.in.MaxTokens}
	}
	return c
}

func (s *engineStream) push(c target.CompletionChunk) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.stop {
		return false
	}
	s.queue = append(s.queue, c)
	s.signal()
	return true
}

func (s *engineStream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *engineStream) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = true
	s.signal()
}

func (s *engineStream) aborted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stop
}

func (s *engineStream) finish() {
	s.late.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.signal()
}

func (s *engineStream) take() (chunks []target.CompletionChunk, closed, aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chunks, s.queue = s.queue, nil
	return chunks, s.closed, s.stop
}

func (s *engineStream) write(w *bufio.Writer) {
	for {
		chunks, closed, aborted := s.take()
		if aborted {
			return
		}
		for _, c := range chunks {
			data, _ := json.Marshal(c)
			fmt.Fprintf(w, "data: %s\n\n", data)
		}
		if closed {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if w.Flush() != nil {
			s.abort()
			return
		}
		<-s.wake
	}
}
