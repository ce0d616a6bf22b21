//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelName    = "daka510000"
	draftService = "drafts"
	deskService  = "desk"
	healthPath   = "/health"
	// preemptPath is for the case alone: the engine preempts what it runs for a while.
	preemptPath = "/case/preempt"
	hostName    = "ficu95.example"
)

// run is the work of an engine on one request.
type run struct {
	attempt, engine string
	begin, end      time.Time
	why             string
	last            string // Last-Event-Id of the request
}

// runLog is what all engines have run.
type runLog struct {
	mu   sync.Mutex
	runs []*run
	// tell, if it is set, is called for the begin and the end of each run.
	tell func(r *run)
}

func (l *runLog) begin(engine, attempt, last string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{attempt: attempt, engine: engine, begin: time.Now(), last: last}
	l.runs = append(l.runs, r)
	if l.tell != nil {
		l.tell(r)
	}
	return r
}

func (l *runLog) finish(r *run, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.end, r.why = time.Now(), why
	if l.tell != nil {
		l.tell(r)
	}
}

// byAttempt returns copies of the runs of each request.
func (l *runLog) byAttempt() map[string][]run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string][]run)
	for _, r := range l.runs {
		out[r.attempt] = append(out[r.attempt], *r)
	}
	return out
}

// engine is a stand-in of a model engine, or of an instance of a plain service.
type engine struct {
	w       *world
	log     *runLog
	service string
	id      string
	address string
	model   bool
	slots   int
	// drops says that the engine drops a request when its connection closes, as most do.
	drops bool
	// unframed says that the answers have no length and end with their connection.
	unframed bool
	pause    time.Duration // between two events
	linger   time.Duration // from the last event of a stream to its end
	work     time.Duration // of a plain request

	mu        sync.Mutex
	born      int64
	seq       uint64
	beats     uint64
	busy      bool
	loaded    bool
	adapters  map[string]int
	pending   map[string]int
	running   map[string]int // events made
	preempted bool           // what runs waits for memory
	draining  bool
	gone      bool
	orders    []string
}

func newEngine(w *world, log *runLog, service, id, address string, model bool, slots int) *engine {
	return &engine{w: w, log: log, service: service, id: id, address: address, model: model, slots: slots, drops: true, pause: 40 * time.Millisecond, work: 15 * time.Millisecond,
		born: time.Now().UnixMilli(), adapters: make(map[string]int), pending: make(map[string]int), running: make(map[string]int)}
}

// serve serves the engine and writes its status reports into the store.
func (e *engine) serve() error {
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, e) }()
	go func() {
		for ; ; time.Sleep(1200 * time.Millisecond) {
			e.beat()
		}
	}()
	return nil
}

func (e *engine) beat() {
	e.mu.Lock()
	if e.gone {
		e.mu.Unlock()
		return
	}
	e.beats++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	entry := map[string]any{"service": e.service, "address": e.address, "zone": "vasteras", "version": "v1", "slots": e.slots, "state": state, "cold-left-ms": 0, "seq": e.beats, "born": e.born}
	if e.model {
		entry["stage"], entry["models"] = "colocated", e.models()
	}
	e.mu.Unlock()
	e.w.store.put("servers", e.id, entry)
}

func (e *engine) models() []any {
	if !e.loaded {
		return []any{}
	}
	names := []string{}
	for name, version := range e.adapters {
		names = append(names, fmt.Sprintf("%s@%d", name, version))
	}
	return []any{map[string]any{"name": modelName, "version": 1, "adapters": names}}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	case healthPath:
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(200)
	case preemptPath:
		e.keepOn()
		e.preempt(true)
		ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
		time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { e.preempt(false) })
	default:
		e.request(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	runs, pending := []any{}, []string{}
	for id, events := range e.running {
		runs = append(runs, []any{id, 1000, events, 1})
	}
	for name, version := range e.pending {
		pending = append(pending, fmt.Sprintf("%s/%s@%d", modelName, name, version))
	}
	out := map[string]any{
		"stage": "colocated", "models": e.models(), "busy": e.busy, "seq": e.seq, "queued": 0, "active": len(e.running), "kv-used": 1000 * len(e.running), "kv-total": 133316,
		"handles": 0, "born": e.born, "runs": runs, "pending": pending, "available": map[string]any{"in-memory": []string{modelName}, "on-disk": []string{modelName}},
	}
	e.mu.Unlock()
	answer(w, 200, out)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Version                           int
		Expect                            *uint64
		Fence                             *int `json:"fencing-token"`
	}
	text, _ := io.ReadAll(r.Body)
	if json.Unmarshal(text, &o) != nil || o.Holder == "" || o.Fence == nil || o.Model != modelName {
		answer(w, 400, map[string]any{})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	expect := r.Header.Get("X-Expect-Instance")
	switch {
	case expect != "" && expect != e.id:
		answer(w, 421, map[string]any{})
	case e.busy || o.Expect != nil && *o.Expect != e.seq:
		answer(w, 409, map[string]any{})
	default:
		e.seq++
		e.w.rec.row("engine %s takes an order: %s", e.id, text)
		e.orders = append(e.orders, string(text))
		e.apply(o.Operation, o.Adapter, o.Version)
		answer(w, 202, map[string]any{})
	}
}

func (e *engine) apply(operation, adapter string, version int) {
	switch {
	case operation == "unload":
		delete(e.adapters, adapter)
	case adapter == "":
		e.busy = true
		time.AfterFunc(300*time.Millisecond, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.busy, e.loaded = false, true
		})
	default:
		e.pending[adapter] = max(version, 1)
		time.AfterFunc(100*time.Millisecond, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.adapters[adapter] = e.pending[adapter]
			delete(e.pending, adapter)
		})
	}
}

// admit returns the status with which a request is rejected as not run, or 0.
func (e *engine) admit(r *http.Request, attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != e.id {
		return 421
	}
	if e.model {
		_, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
		version, held := e.adapters[adapter]
		wanted, _ := strconv.Atoi(r.Header.Get("X-Expect-Version"))
		if !e.loaded || adapter != "" && !held || wanted != 0 && adapter != "" && wanted != version {
			return 421
		}
	}
	if len(e.running) >= e.slots {
		return 503
	}
	e.running[attempt] = 0
	return 0
}

func stampOf(engine, attempt string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(engine + "/" + attempt))
	return fmt.Sprintf("%s.%x", engine, h.Sum64())
}

func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	attempt, last := r.Header.Get("X-Attempt-Id"), r.Header.Get("Last-Event-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Attempt-Id", attempt)
	if status := e.admit(r, attempt); status != 0 {
		e.w.rec.row("engine %s rejects %s with %d", e.id, attempt, status)
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(status)
		return
	}
	work := e.log.begin(e.id, attempt, last)
	e.w.rec.row("engine %s runs %s after event %q", e.id, attempt, last)
	if e.unframed {
		defer func() {
			e.mu.Lock()
			delete(e.running, attempt)
			e.mu.Unlock()
		}()
		e.streamUnframed(w, r, work, last)
		return
	}
	defer func() {
		e.mu.Lock()
		delete(e.running, attempt)
		e.mu.Unlock()
	}()
	w.Header().Set("X-Server-Stamp", stampOf(e.id, attempt))
	if !e.model {
		time.Sleep(e.work)
		e.end(work, "done")
		w.Header().Set("Content-Length", "800")
		_, _ = w.Write(plainBody(attempt))
		return
	}
	e.stream(w, r, work, last)
}

func plainBody(attempt string) []byte {
	return []byte((attempt + strings.Repeat(".", 800))[:800])
}

func (e *engine) end(work *run, why string) {
	e.log.finish(work, why)
	e.w.rec.row("engine %s ends its work on %s: %s", e.id, work.attempt, why)
}

func eventText(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, attempt, n)
}

// stream makes the events of a stream. An engine that does not drop a request whose connection
// has closed makes them all the same.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, work *run, last string) {
	from, _ := strconv.Atoi(last)
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(output)
	if last != "" && from >= tokens/3 {
		// Nothing follows the event: by the standard of event streams, 204 tells that.
		w.WriteHeader(http.StatusNoContent)
		e.end(work, "no event is left")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	closed := false
	for n := from + 1; n <= tokens/3; n++ {
		time.Sleep(e.pause)
		for e.waits() {
			if e.dropsRuns() && r.Context().Err() != nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if r.Context().Err() != nil && !closed {
			closed = true
			e.w.rec.row("engine %s: the connection of %s is closed after event %d", e.id, work.attempt, n-1)
		}
		if closed && e.dropsRuns() {
			e.end(work, "dropped")
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
		e.running[work.attempt] = n
		e.mu.Unlock()
		if !closed {
			if _, err := io.WriteString(w, eventText(work.attempt, n)); err == nil {
				_ = controller.Flush()
			}
		}
	}
	time.Sleep(e.linger)
	why := "all events made"
	if closed {
		why = "all events made, though the connection was closed"
	}
	e.end(work, why)
	if closed {
		panic(http.ErrAbortHandler)
	}
}

// waits reports whether the engine has preempted its requests.
func (e *engine) waits() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.preempted
}

func (e *engine) preempt(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.preempted = on
	e.w.rec.row("engine %s: preempts its requests: %t", e.id, on)
}

// streamUnframed makes the events of a stream whose end is that of its connection.
func (e *engine) streamUnframed(w http.ResponseWriter, r *http.Request, work *run, last string) {
	nc, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	from, _ := strconv.Atoi(last)
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(output)
	_, err = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", work.attempt, stampOf(e.id, work.attempt))
	for n := from + 1; n <= tokens/3 && err == nil; n++ {
		time.Sleep(e.pause)
		_, err = io.WriteString(nc, eventText(work.attempt, n))
	}
	if err != nil {
		e.end(work, "dropped")
		return
	}
	e.end(work, "all events made")
}

func (e *engine) dropsRuns() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.drops
}

// keepOn makes the engine one that does not drop a request when its connection closes.
func (e *engine) keepOn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drops = false
	e.w.rec.row("engine %s doesn't drop requests when their connections close", e.id)
}
