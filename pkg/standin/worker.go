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

// WorkerSettings are the settings of a worker: a fake engine or plain service that
// speaks the protocol of the users' platform.
type WorkerSettings struct {
	Service ident.Service
	// Model is the base model of the service. It is empty for a plain service,
	// which accepts no orders.
	Model        ident.Model
	Slots        int // maximum number of concurrent requests
	AdapterSlots int
	ModelLoad    time.Duration
	AdapterLoad  time.Duration
	EventPause   time.Duration // before each event of a stream
	// KVTokens is the memory of an engine in tokens; 0 for no limit. A request that does
	// not fit beside those that the worker holds ends it.
	KVTokens int
	// UnreadTime is how long a response may stay unread before the worker cuts it off; 0
	// for no limit.
	UnreadTime time.Duration
	Work       time.Duration // duration of a plain request
	Seed       uint64
	Pace       WorkerPace // scales EventPause and Work
	// Newest returns the newest announced version of an adapter.
	Newest  func(ident.Adapter) ident.Version
	OnCrash func() // ends the worker
	// OnEvent is called for each event of the worker. It must not call the worker.
	OnEvent func(WorkerEvent)
}

// WorkerFaults are the faults that a worker injects. Its health check keeps
// passing.
type WorkerFaults struct {
	FailShare       float64 // of requests that fail with status 500
	FailBytes       int     // length of the body of such a failure
	TruncateShare   float64 // of responses that are incomplete
	NoResponseShare float64 // of requests that run but get no response
	ShedShare       float64 // of requests that are rejected as not run
	DuplicateShare  float64 // of responses that are sent twice
	// LateCopyShare is the share of responses of which a second copy is sent when the
	// connection may be in use again.
	LateCopyShare float64
	// RefusalCopyShare is the share of the requests that are rejected as not run whose
	// refusal is sent once more while the next request on the connection runs.
	RefusalCopyShare float64
	EndlessShare     float64 // of responses that go on without end, in the head or the body
	// LateEndShare is the share of streams that stall halfway, and that go on to run for
	// lateEnd after their connection is closed.
	LateEndShare float64
	// EventDelay is what each event of a stream takes in addition.
	EventDelay time.Duration
	// DeadlyPart is a part of prompts: OnCrash is called when the worker begins to answer
	// a request with it.
	DeadlyPart ident.PromptPart
	// Limit is the rate limit that the worker states in its responses, in requests per
	// second; 0 if none. It takes any number of requests all the same.
	Limit float64
}

// WorkerEventKind is the kind of a worker's event.
type WorkerEventKind uint8

// The kinds of worker events.
const (
	WorkerRejected      WorkerEventKind = iota + 1 // a request was rejected and not run
	WorkerRan                                      // a request started to run
	WorkerOrderAccepted                            // an order was accepted
	WorkerOvercommitted                            // an order asked for more adapters than there are slots
	WorkerEvictedInUse                             // an order unloads or replaces an adapter in use
	WorkerCrashed                                  // a request with the deadly part ends the worker
	WorkerEnded                                    // the worker stopped work on a request
	WorkerOverfilled                               // a request exceeds the memory and ends the worker
	WorkerCutUnread                                // a response stayed unread and was cut off
)

// WorkerEvent is an event that a worker reports to OnEvent.
type WorkerEvent struct {
	Kind             WorkerEventKind
	At               time.Time
	Instance         ident.Target
	Service          ident.Service
	Attempt          ident.Attempt
	Adapter          ident.AdapterVersion // that the request ran on or that the order names
	RequestedAdapter ident.Adapter        // that the request names
	Resumed          bool                 // the request resumes a stream after an event
	Software         ident.Software       // that the worker runs
	Account          string               // that the request names; several with commas
	HasKey           bool                 // the request carries a caller's key
	Holder           ident.VM             // that sent the order
	// Limit is the rate limit that the worker states, and LimitedSince since when; zero
	// without one.
	Limit        float64
	LimitedSince time.Time
}

// Worker is a fake engine or plain service that speaks the platform's protocol.
type Worker struct {
	WorkerSettings
	mu          sync.Mutex
	random      *rand.Rand
	instance    ident.Target
	startMS     int64
	starts      int
	software    ident.Software
	heartbeats  uint64 // records written since the start
	sequence    uint64 // orders accepted since the start
	busy        bool
	modelLoaded bool // whether the base model is loaded
	modelOnDisk bool
	held        map[ident.Adapter]*heldAdapter
	pending     map[ident.Adapter]ident.Version
	running     map[ident.Attempt]int // the tokens that each request takes
	faults      WorkerFaults
	// limitedSince is when the worker first stated its rate limit.
	limitedSince time.Time
	draining     bool
	ended        bool // the process has ended, and not started again
	clockOffset  time.Duration
}

type heldAdapter struct {
	version ident.Version
	uses    int
}

// NewWorker returns a started worker with nothing loaded.
func NewWorker(s WorkerSettings) *Worker {
	w := &Worker{WorkerSettings: s, random: rand.New(rand.NewPCG(s.Seed, 2))}
	w.Restart()
	return w
}

// Restart simulates a restart: the worker gets a new instance name and drops
// its model and adapters from memory.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.instance = ident.Target(string(w.Service) + "-" + strconv.FormatUint(w.Seed, 10) + "-" + strconv.Itoa(w.starts))
	w.startMS, w.sequence, w.busy, w.modelLoaded, w.draining, w.ended = time.Now().Add(w.clockOffset).UnixMilli(), 0, false, false, false, false
	w.heartbeats = 0
	w.held, w.pending = make(map[ident.Adapter]*heldAdapter), make(map[ident.Adapter]ident.Version)
	w.running = make(map[ident.Attempt]int)
}

// End simulates the end of the process, and of all that runs in it, until a restart.
func (w *Worker) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
}

// Instance returns the instance name, which changes at each restart.
func (w *Worker) Instance() ident.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instance
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.Limit != w.faults.Limit {
		w.limitedSince = time.Now()
	}
	w.faults = f
}

// SetClockOffset sets how far the wall clock of the worker's VM is off. The start times
// that the worker reports later follow it.
func (w *Worker) SetClockOffset(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clockOffset = d
}

// SetDraining sets whether the worker announces that it is draining.
func (w *Worker) SetDraining(d bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = d
}

// Draining reports whether the worker announces that it is draining.
func (w *Worker) Draining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

// Entry returns the worker's object for the list of targets in the store, with
// the given address. Each call is a heartbeat.
func (w *Worker) Entry(address string) json.RawMessage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heartbeats++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{ // encoding never fails
		"service": w.Service, "address": address, "zone": "local", "slots": w.Slots, "state": state, "born": w.startMS, "seq": w.heartbeats, "version": w.software,
	})
	return entry
}

// WorkerSignature returns the signature of a response to the attempt.
func WorkerSignature(attempt ident.Attempt) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(attempt)) // never fails
	return strconv.FormatUint(h.Sum64(), 16)
}

// drawFault draws at random whether a fault with the given share occurs.
func (w *Worker) drawFault(share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return share > 0 && w.random.Float64() < share
}

func (w *Worker) notify(e WorkerEvent) {
	if w.OnEvent != nil {
		e.At, e.Service = time.Now(), w.Service
		w.mu.Lock()
		if w.faults.Limit > 0 {
			e.Limit, e.LimitedSince = w.faults.Limit, w.limitedSince
		}
		w.mu.Unlock()
		w.OnEvent(e)
	}
}

// admission is the result of admitting or rejecting a request.
type admission struct {
	startCount int // the worker's starts at admission
	reason     string
	status     int // 0 if the request is admitted
	overfilled bool
	version    ident.Version
}

// admit decides whether a request may run and counts it as a use of its adapter.
func (w *Worker) admit(r workerRequest) admission {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case r.expectInstance != "" && r.expectInstance != w.instance:
		return admission{status: 421, reason: "another instance"}
	case w.Model != "" && (!w.modelLoaded || r.model != w.Model):
		return admission{status: 421, reason: "model absent"}
	case len(w.running) >= w.Slots:
		return admission{status: 503, reason: "full"}
	}
	a := admission{startCount: w.starts}
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
	w.running[r.attempt] = r.tokens()
	if w.KVTokens > 0 {
		held := 0
		for _, tokens := range w.running {
			held += tokens
		}
		a.overfilled = held > w.KVTokens
	}
	return a
}

// release ends an admitted request.
func (w *Worker) release(a admission, r workerRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.startCount != w.starts {
		return
	}
	delete(w.running, r.attempt)
	if held := w.held[r.adapter]; held != nil {
		held.uses--
	}
}

// endedSince reports whether the worker has ended since it admitted a request.
func (w *Worker) endedSince(a admission) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended || a.startCount != w.starts
}

// workerOrder is the JSON form of an order.
type workerOrder struct {
	Operation    string        `json:"operation"`
	Model        ident.Model   `json:"model"`
	Adapter      ident.Adapter `json:"adapter"`
	Version      ident.Version `json:"version"`
	Expect       *uint64       `json:"expect"`
	Holder       ident.VM      `json:"holder"`
	FencingToken uint64        `json:"fencing-token"`
}

// handleOrder applies an order and returns the HTTP status of the response.
func (w *Worker) handleOrder(o workerOrder, instance ident.Target) int {
	w.mu.Lock()
	status, events := w.applyOrder(o, instance)
	w.mu.Unlock()
	for _, e := range events {
		w.notify(e)
	}
	return status
}

func (w *Worker) applyOrder(o workerOrder, instance ident.Target) (int, []WorkerEvent) {
	switch {
	case instance != "" && instance != w.instance:
		return 421, nil
	case o.Holder == "" || o.FencingToken == 0 || o.Model != w.Model:
		return 400, nil
	case w.busy, o.Expect != nil && *o.Expect != w.sequence:
		return 409, nil
	}
	event := WorkerEvent{Kind: WorkerOrderAccepted, Instance: w.instance, Holder: o.Holder, Adapter: ident.AdapterVersion{Adapter: o.Adapter, Version: o.Version}}
	events := []WorkerEvent{event}
	held := w.held[o.Adapter]
	if held != nil && held.uses > 0 {
		event.Kind = WorkerEvictedInUse
		events = append(events, event)
	}
	switch {
	case o.Adapter == "":
		w.loadModel()
	case o.Operation == "unload":
		delete(w.held, o.Adapter)
	default:
		if held == nil && len(w.held)+len(w.pending) >= w.AdapterSlots {
			event.Kind = WorkerOvercommitted
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
	if w.modelOnDisk {
		took /= 2
	}
	startCount := w.starts
	time.AfterFunc(took, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if startCount == w.starts {
			w.busy, w.modelLoaded, w.modelOnDisk = false, true, true
		}
	})
}

func (w *Worker) loadAdapter(name ident.Adapter, version ident.Version) {
	if version == 0 {
		version = w.Newest(name)
	}
	w.pending[name] = version
	startCount := w.starts
	time.AfterFunc(w.AdapterLoad, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if startCount != w.starts {
			return
		}
		delete(w.pending, name)
		w.held[name] = &heldAdapter{version: version}
	})
}
