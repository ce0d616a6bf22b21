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

// The figures of an engine, from the sheet of the small deployment.
const (
	engineSlots    = 64
	adapterPlaces  = 21
	adapterLoad    = 250 * time.Millisecond
	tokensPerEvent = 3
	stepTime       = 10100 * time.Microsecond
	stepPerRequest = 32800 * time.Nanosecond
	prefillPerMS   = 20.4
	modelName      = "m0"
	healthPath     = "/health"
)

// run is what an engine knows of one request that reached it.
type run struct {
	Attempt  string
	Arrived  time.Time
	Began    time.Time // zero if the request was rejected
	Ended    time.Time
	Rejected int
	Complete bool // the whole answer was sent
}

// engine is a stand-in for a sound model engine.
type engine struct {
	instance, address, zone string
	born                    int64

	mu      sync.Mutex
	seq     uint64
	prefill time.Time      // when the prompts that have arrived are prefilled
	held    map[string]int // uses by adapter
	pending map[string]bool
	unload  map[string]bool // adapters to unload once they are unused
	active  map[string]bool
	runs    map[string]*run
}

func newEngine(instance, address, zone string) *engine {
	return &engine{
		instance: instance, address: address, zone: zone, born: time.Now().UnixMilli(),
		held: make(map[string]int), pending: make(map[string]bool), unload: make(map[string]bool), active: make(map[string]bool), runs: make(map[string]*run),
	}
}

func (e *engine) serve(l net.Listener) { go func() { _ = http.Serve(l, e) }() }

// entry is what the engine writes of itself into the store.
func (e *engine) entry(service string) map[string]any {
	return map[string]any{
		"service": service, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready",
		"cold-left-ms": 0, "stage": "colocated", "seq": 1, "born": e.born,
		"models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}},
	}
}

// ServeHTTP answers requests, health checks, reports and orders.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		e.serveReport(w)
	case "/order":
		e.serveOrder(w, r)
	case healthPath:
		w.Header().Set("X-Instance-Id", e.instance)
	default:
		e.serveRequest(w, r)
	}
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	adapters, pending, runs := []string{}, []string{}, [][]any{}
	for a := range e.held {
		adapters = append(adapters, a+"@1")
	}
	for a := range e.pending {
		pending = append(pending, modelName+"/"+a+"@1")
	}
	for id := range e.active {
		runs = append(runs, []any{id, 100, 1, 1})
	}
	report := map[string]any{
		"stage": "colocated", "state": "ready", "busy": false, "seq": e.seq, "queued": 0, "active": len(runs), "kv-used": 0, "kv-total": 133316, "handles": 0,
		"models": []any{map[string]any{"name": modelName, "version": 1, "adapters": adapters}}, "pending": pending, "runs": runs, "born": e.born,
	}
	e.mu.Unlock()
	reply(w, http.StatusOK, report)
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Expect                            *uint64
		Token                             uint64 `json:"fencing-token"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == 0 || o.Adapter == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if i := r.Header.Get("X-Expect-Instance"); i != "" && i != e.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	uses, held := e.held[o.Adapter]
	switch {
	case o.Expect != nil && *o.Expect != e.seq, o.Operation == "load" && len(e.pending) >= 4:
		w.WriteHeader(http.StatusConflict)
		return
	case o.Operation == "unload" && uses > 0: // waits for its runs to finish
		e.unload[o.Adapter] = true
		e.seq++
		w.WriteHeader(http.StatusAccepted)
		return
	case o.Operation == "unload":
		delete(e.held, o.Adapter)
		e.seq++
		w.WriteHeader(http.StatusOK)
		return
	case held || e.pending[o.Adapter]:
		w.WriteHeader(http.StatusOK)
		return
	}
	e.seq++
	e.pending[o.Adapter] = true
	time.AfterFunc(adapterLoad, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.pending, o.Adapter)
		e.held[o.Adapter] = 0
	})
	w.WriteHeader(http.StatusAccepted)
}

// admit begins a request, or returns the status of its rejection.
func (e *engine) admit(r *http.Request, adapter string) (*run, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := &run{Attempt: r.Header.Get("X-Attempt-Id"), Arrived: time.Now()}
	e.runs[v.Attempt] = v
	if i := r.Header.Get("X-Expect-Instance"); i != "" && i != e.instance {
		v.Rejected = http.StatusMisdirectedRequest
	} else if _, held := e.held[adapter]; !held {
		v.Rejected = http.StatusMisdirectedRequest
	} else if len(e.active) >= engineSlots {
		v.Rejected = http.StatusServiceUnavailable
	}
	if v.Rejected != 0 {
		return v, v.Rejected
	}
	v.Began = time.Now()
	e.held[adapter]++
	e.active[v.Attempt] = true
	return v, 0
}

func (e *engine) end(v *run, adapter string, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v.Ended, v.Complete = time.Now(), complete
	delete(e.active, v.Attempt)
	if e.held[adapter]--; e.held[adapter] == 0 && e.unload[adapter] {
		delete(e.held, adapter)
		delete(e.unload, adapter)
	}
}

// eventsHeader is the number of events that a request's answer has. It stands for the
// request's contents.
const eventsHeader = "X-Review-Events"

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", e.instance)
	v, rejected := e.admit(r, adapter)
	if rejected != 0 {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(rejected)
		return
	}
	complete := false
	defer func() { e.end(v, adapter, complete) }()
	w.Header().Set("X-Server-Stamp", stamp(id))
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	events, _ := strconv.Atoi(r.Header.Get(eventsHeader))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	input, _, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(input)
	pause := e.beginPrefill(tokens) + e.eventPause()
	for n := last + 1; n <= events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
		pause = e.eventPause()
		if _, err := io.WriteString(w, eventText(id, n)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
	complete = true
}

// beginPrefill queues a prompt and returns the time until it is prefilled. Prompts are
// prefilled one after the other.
func (e *engine) beginPrefill(tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.prefill.Before(now) {
		e.prefill = now
	}
	e.prefill = e.prefill.Add(time.Duration(float64(tokens) / prefillPerMS * float64(time.Millisecond)))
	return e.prefill.Sub(now)
}

// eventPause returns the time between two events, which rises with the batch.
func (e *engine) eventPause() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return tokensPerEvent * (stepTime + time.Duration(len(e.active))*stepPerRequest)
}

func (e *engine) record(attempt string) (run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.runs[attempt]
	if v == nil {
		return run{}, false
	}
	return *v, true
}

func eventText(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, attempt, n)
}

func stamp(attempt string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(attempt)) // never fails
	return strconv.FormatUint(h.Sum64(), 16)
}
