package standin

import (
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// WorkerSettings describe a worker: an engine or a plain service as the users'
// platform runs it, which speaks the platform's protocol.
type WorkerSettings struct {
	Service ident.Service
	// Model is the base model of the service; empty for a plain service, which
	// takes no orders.
	Model        ident.Model
	Slots        int // requests at once
	AdapterSlots int
	ModelLoad    time.Duration
	AdapterLoad  time.Duration
	EventPause   time.Duration // between two events of a stream
	Work         time.Duration // of a plain request
	Seed         uint64
	// Newest returns the newest announced version of an adapter.
	Newest func(ident.Adapter) ident.Version
	// Seen is told what the worker does. It must not call the worker.
	Seen func(WorkerEvent)
}

// WorkerFaults are the faults of a worker. Its health check stays good.
type WorkerFaults struct {
	FailShare  float64 // of requests that end with a status of 500
	CutShare   float64 // of answers that break off
	MuteShare  float64 // of requests that run and are not answered
	ShedShare  float64 // of requests that are turned away as not run
	ExtraShare float64 // of answers that come twice
}

// WorkerEventKind says what a worker did.
type WorkerEventKind uint8

// The kinds of events.
const (
	WorkerTurnedAway WorkerEventKind = iota + 1 // a request was not run
	WorkerRan                                   // a request began to run
	WorkerOrdered                               // an order was accepted
	WorkerOverfilled                            // an order asks for more than fits
	WorkerEvicted                               // an adapter in use is to be unloaded or replaced
)

// WorkerEvent is one thing that a worker did.
type WorkerEvent struct {
	Kind     WorkerEventKind
	At       time.Time
	Instance ident.Target
	Service  ident.Service
	Attempt  ident.Attempt
	Adapter  ident.AdapterVersion // that the request ran on, or that the order names
	Named    ident.Adapter        // by the request
	Resumed  bool                 // the request goes on after an event
	Holder   ident.VM             // of the order
}

// Worker is one stand-in engine or plain service.
type Worker struct {
	WorkerSettings
	mu       sync.Mutex
	random   *rand.Rand
	instance ident.Target
	startMS  int64
	starts   int
	sequence uint64
	busy     bool
	model    bool // the base model is held
	onDisk   bool
	held     map[ident.Adapter]*heldAdapter
	pending  map[ident.Adapter]ident.Version
	running  map[ident.Attempt]bool
	faults   WorkerFaults
	draining bool
}

type heldAdapter struct {
	version ident.Version
	uses    int
}

// NewWorker returns a worker that has just started, with nothing loaded.
func NewWorker(s WorkerSettings) *Worker {
	w := &Worker{WorkerSettings: s, random: rand.New(rand.NewPCG(s.Seed, 2))}
	w.Restart()
	return w
}

// Restart starts the worker anew, under another name and empty.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.instance = ident.Target(string(w.Service) + "-" + strconv.FormatUint(w.Seed, 10) + "-" + strconv.Itoa(w.starts))
	w.startMS, w.sequence, w.busy, w.model, w.draining = time.Now().UnixMilli(), 0, false, false, false
	w.held, w.pending = make(map[ident.Adapter]*heldAdapter), make(map[ident.Adapter]ident.Version)
	w.running = make(map[ident.Attempt]bool)
}

// Instance returns the name of the worker's present life.
func (w *Worker) Instance() ident.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instance
}

// SetFaults switches faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// SetDraining announces that the worker leaves, or takes that back.
func (w *Worker) SetDraining(d bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = d
}

// Entry returns the worker's entry for the store's list, reachable at address.
func (w *Worker) Entry(address string) json.RawMessage {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{ // encodes without fail
		"service": w.Service, "address": address, "zone": "local", "slots": w.Slots, "state": state, "born": w.startMS, "seq": w.sequence,
	})
	return entry
}

// WorkerSignature is the signature of an answer to the attempt.
func WorkerSignature(attempt ident.Attempt) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(attempt)) // never fails
	return strconv.FormatUint(h.Sum64(), 16)
}

// strikes draws whether a fault of the share strikes.
func (w *Worker) strikes(share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return share > 0 && w.random.Float64() < share
}

func (w *Worker) seen(e WorkerEvent) {
	if w.Seen != nil {
		e.At, e.Service = time.Now(), w.Service
		w.Seen(e)
	}
}

// admission is the worker's decision on one request.
type admission struct {
	life    int // of the worker, by its starts
	reason  string
	status  int // 0 if the request is taken
	version ident.Version
}

// admit takes a request that may run, and pins its adapter.
func (w *Worker) admit(r workerRequest) admission {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case r.expectInstance != "" && r.expectInstance != w.instance:
		return admission{status: 421, reason: "another instance"}
	case w.Model != "" && (!w.model || r.model != w.Model):
		return admission{status: 421, reason: "model absent"}
	case len(w.running) >= w.Slots:
		return admission{status: 503, reason: "full"}
	}
	a := admission{life: w.starts}
	if r.adapter != "" {
		held := w.held[r.adapter]
		if held == nil || r.expectVersion > 0 && held.version != r.expectVersion {
			return admission{status: 421, reason: "adapter absent"}
		}
		if _, replaced := w.pending[r.adapter]; replaced {
			return admission{status: 503, reason: "adapter is being replaced"}
		}
		held.uses++
		a.version = held.version
	}
	w.running[r.attempt] = true
	return a
}

// release ends a request that was admitted.
func (w *Worker) release(a admission, r workerRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.life != w.starts {
		return
	}
	delete(w.running, r.attempt)
	if held := w.held[r.adapter]; held != nil {
		held.uses--
	}
}

// workerOrder is an order as it arrives.
type workerOrder struct {
	Operation string        `json:"operation"`
	Model     ident.Model   `json:"model"`
	Adapter   ident.Adapter `json:"adapter"`
	Version   ident.Version `json:"version"`
	Expect    *uint64       `json:"expect"`
	Holder    ident.VM      `json:"holder"`
	Fence     uint64        `json:"fencing-token"`
}

// order decides on an order and returns the status that answers it.
func (w *Worker) order(o workerOrder, instance ident.Target) int {
	w.mu.Lock()
	status, events := w.decide(o, instance)
	w.mu.Unlock()
	for _, e := range events {
		w.seen(e)
	}
	return status
}

func (w *Worker) decide(o workerOrder, instance ident.Target) (int, []WorkerEvent) {
	switch {
	case instance != "" && instance != w.instance:
		return 421, nil
	case o.Holder == "" || o.Fence == 0 || o.Model != w.Model:
		return 400, nil
	case w.busy, o.Expect != nil && *o.Expect != w.sequence:
		return 409, nil
	}
	event := WorkerEvent{Kind: WorkerOrdered, Instance: w.instance, Holder: o.Holder, Adapter: ident.AdapterVersion{Adapter: o.Adapter, Version: o.Version}}
	events := []WorkerEvent{event}
	held := w.held[o.Adapter]
	if held != nil && held.uses > 0 {
		event.Kind = WorkerEvicted
		events = append(events, event)
	}
	switch {
	case o.Adapter == "":
		w.loadModel()
	case o.Operation == "unload":
		delete(w.held, o.Adapter)
	default:
		if held == nil && len(w.held)+len(w.pending) >= w.AdapterSlots {
			event.Kind = WorkerOverfilled
			events = append(events, event)
		}
		w.loadAdapter(o.Adapter, o.Version)
	}
	w.sequence++
	return 202, events
}

func (w *Worker) loadModel() {
	w.busy = true
	took := w.ModelLoad
	if w.onDisk {
		took /= 2
	}
	life := w.starts
	time.AfterFunc(took, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if life == w.starts {
			w.busy, w.model, w.onDisk = false, true, true
		}
	})
}

func (w *Worker) loadAdapter(name ident.Adapter, version ident.Version) {
	if version == 0 {
		version = w.Newest(name)
	}
	w.pending[name] = version
	life := w.starts
	time.AfterFunc(w.AdapterLoad, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if life != w.starts {
			return
		}
		delete(w.pending, name)
		w.held[name] = &heldAdapter{version: version}
	})
}
