//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// tokensPerEvent is the stride of the deployments.
const tokensPerEvent = 3

// run is a request that an engine has begun to work on.
type run struct {
	attempt    string
	engine     string
	arrived    time.Time
	began      time.Time
	ended      time.Time // zero while the engine works on it
	leftAt     time.Time // when its connection closed before the end
	incomplete bool      // the engine ended first
}

// engine is a stand-in of an engine. It runs what it is sent, and registers itself in the
// store.
type engine struct {
	w       *world
	id      string
	service string
	ip      string
	address string
	born    int64
	model   string        // empty for a plain service
	work    time.Duration // of a plain request, or until the first event of a stream
	holds   int           // adapters at the start: a1 and so on
	gap     time.Duration // between two events
	// pausesAfter is the event after which a stream pauses once for pauseTime; 0 for none.
	pausesAfter int
	pauseTime   time.Duration
	// preempts says whether a stream that begins now pauses in this way.
	preempts func(path string) bool
	// stays says that it does not drop a request when its connection closes.
	stays   bool
	onStart func(*run) // called as a request begins

	mu       sync.Mutex
	server   *http.Server
	seq      int // beats of this process
	sequence int // orders that this process has accepted
	adapters map[string]int
	state    string
	runs     []*run
	stop     chan struct{}
}

func (w *world) newEngine(service, model string, n int) *engine {
	ip := w.ip(3, n)
	e := &engine{w: w, id: fmt.Sprintf("i-%s-%d", service, n), service: service, model: model, ip: ip, address: fmt.Sprintf("%s:%d", ip, w.freePort(ip))}
	w.engines = append(w.engines, e)
	return e
}

// start starts a process of the engine, under the id that it has.
func (e *engine) start() {
	e.mu.Lock()
	e.born, e.seq, e.sequence, e.state, e.stop, e.adapters = time.Now().UnixMilli(), 0, 0, "ready", make(chan struct{}), make(map[string]int)
	for n := 1; n <= e.holds; n++ {
		e.adapters[fmt.Sprintf("a%d", n)] = 1
	}
	e.server = &http.Server{Handler: e}
	e.mu.Unlock()
	l, err := net.Listen("tcp4", e.address)
	must(err)
	go func() { _ = e.server.Serve(l) }()
	e.w.note("engine %s starts, born %d", e.id, e.born)
}

// beats writes the engine's entry regularly until the process ends.
func (e *engine) beats() {
	stop := e.stop
	go func() {
		for {
			e.beat()
			select {
			case <-stop:
				return
			case <-time.After(beatInterval):
			}
		}
	}()
}

// entry returns the next beat.
func (e *engine) entry() json.RawMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	spec := map[string]any{"service": e.service, "address": e.address, "zone": "z1", "version": 1, "slots": 64, "state": e.state, "cold-left-ms": 0, "seq": e.seq, "born": e.born}
	if e.model != "" {
		spec["models"] = []any{map[string]any{"name": e.model, "version": 1, "adapters": e.held()}}
	}
	out, _ := json.Marshal(spec) // never fails
	return out
}

func (e *engine) beat() {
	e.w.put(e.id, e.entry())
}

// setState sets the state and reports it at once.
func (e *engine) setState(state string) {
	e.mu.Lock()
	e.state = state
	e.mu.Unlock()
	e.beat()
	e.w.note("the store acknowledges that %s is %s", e.id, state)
}

// crash ends the process: its connections close, and what it ran is lost.
func (e *engine) crash() {
	e.mu.Lock()
	server, stop := e.server, e.stop
	e.server = nil
	now := time.Now()
	for _, r := range e.runs {
		if r.ended.IsZero() {
			r.ended, r.incomplete = now, true
		}
	}
	e.mu.Unlock()
	if server == nil {
		return
	}
	close(stop)
	_ = server.Close()
}

func (e *engine) begin(attempt string) *run {
	r := &run{attempt: attempt, engine: e.id, arrived: time.Now(), began: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, r)
	e.mu.Unlock()
	if e.onStart != nil {
		e.onStart(r)
	}
	return r
}

func (e *engine) end(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.ended.IsZero() {
		r.ended = time.Now()
	}
}

// all returns copies of the runs.
func (e *engine) all() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]run, len(e.runs))
	for i, r := range e.runs {
		out[i] = *r
	}
	return out
}

// ServeHTTP answers requests, health checks, reports and orders.
func (e *engine) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/health":
		out.Header().Set("X-Instance-Id", e.id)
	case r.URL.Path == "/report" && e.model != "":
		e.report(out)
	case r.URL.Path == "/order" && e.model != "":
		out.WriteHeader(e.order(r))
	default:
		e.request(out, r)
	}
}

// held lists the adapters. The caller holds mu.
func (e *engine) held() []string {
	out := []string{}
	for name, version := range e.adapters {
		out = append(out, fmt.Sprintf("%s@%d", name, version))
	}
	return out
}

// order carries out an order at once, and returns the status of the answer.
func (e *engine) order(r *http.Request) int {
	var o struct {
		Operation, Model, Adapter, Holder string
		Version                           int
		Expect                            *int
		Token                             int `json:"fencing-token"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Token == 0 || o.Model != e.model || o.Adapter == "" {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Expect != nil && *o.Expect != e.sequence {
		return http.StatusConflict
	}
	e.sequence++
	if o.Operation == "unload" {
		delete(e.adapters, o.Adapter)
		return http.StatusOK
	}
	e.adapters[o.Adapter] = max(o.Version, 1)
	return http.StatusAccepted
}

func (e *engine) report(out http.ResponseWriter) {
	e.mu.Lock()
	runs := [][]any{}
	for _, r := range e.runs {
		if r.ended.IsZero() {
			runs = append(runs, []any{r.attempt, 100, 0, 1})
		}
	}
	report := map[string]any{
		"stage": "colocated", "born": e.born, "busy": false, "seq": e.sequence, "queued": 0, "active": len(runs), "kv-used": 100 * len(runs), "kv-total": 100000, "handles": 0,
		"models": []any{map[string]any{"name": e.model, "version": 1, "adapters": e.held()}}, "pending": []string{}, "state": e.state, "runs": runs,
	}
	e.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(report)
}

func (e *engine) request(out http.ResponseWriter, r *http.Request) {
	attempt, reject := r.Header.Get("X-Attempt-Id"), 0
	_, _ = io.Copy(io.Discard, r.Body)
	switch expect := r.Header.Get("X-Expect-Instance"); {
	case attempt == "":
		reject = http.StatusBadRequest
	case expect != "" && expect != e.id:
		reject = http.StatusMisdirectedRequest
	}
	out.Header().Set("X-Attempt-Id", attempt)
	if reject != 0 {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(reject)
		return
	}
	run := e.begin(attempt)
	defer e.end(run)
	out.Header().Set("X-Server-Stamp", "stamp."+attempt)
	if e.model != "" {
		e.stream(out, r, run)
		return
	}
	if e.pause(r, run, e.work) {
		_, _ = fmt.Fprintf(out, "answer to %s\n", attempt)
	}
}

// pause works for a time. It reports whether the request goes on.
func (e *engine) pause(r *http.Request, run *run, d time.Duration) bool {
	left := r.Context().Done()
	if e.stays {
		go func() {
			<-left
			e.mu.Lock()
			defer e.mu.Unlock()
			if run.ended.IsZero() && run.leftAt.IsZero() {
				run.leftAt = time.Now()
			}
		}()
		left = nil
	}
	select {
	case <-left:
		return false
	case <-time.After(d):
		return true
	}
}

// length returns the number of events of a stream: the output tokens that the client states,
// by the tokens in an event.
func (e *engine) length(r *http.Request) int {
	_, out, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens := 0
	_, _ = fmt.Sscan(out, &tokens)
	return tokens / tokensPerEvent
}

// stream sends the events after the last one that the request names.
func (e *engine) stream(out http.ResponseWriter, r *http.Request, run *run) {
	from := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	out.Header().Set("Content-Type", "text/event-stream")
	wait, preempted := e.work, e.preempts == nil || e.preempts(r.URL.Path)
	for n := from + 1; n <= e.length(r); n++ {
		if !e.pause(r, run, wait) {
			return
		}
		if wait = e.gap; preempted && n == e.pausesAfter {
			wait = e.pauseTime
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(out).Flush()
	}
}
