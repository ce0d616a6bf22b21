package system

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/caller"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// oracle is a simple model of the guarantees. It checks them against the answers
// that callers get and the requests that targets run.
type oracle struct {
	mu         sync.Mutex
	violations []string
	records    map[ident.Command]wire.Record
	keys       map[string]*keyState
	drained    map[ident.Target]*drainState
	counts     map[string]int
	evicted    int64
	traces     map[string][]string // by idempotency key, prompt or engineTrace
}

func engineTrace(i int) string { return fmt.Sprintf("engine %d", i) }

// trace records an event of an idempotency key, a prompt or an engine.
func (o *oracle) trace(key, format string, args ...any) {
	if key == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.traces[key] = append(o.traces[key], time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

// maxTraceEvents is the number of latest events that a violation report shows.
const maxTraceEvents = 20

// addTracedViolation records a violation with the latest events of the key.
func (o *oracle) addTracedViolation(key, format string, args ...any) {
	o.mu.Lock()
	events := append([]string(nil), o.traces[key]...)
	o.mu.Unlock()
	events = events[max(0, len(events)-maxTraceEvents):]
	o.addViolation("key %s %s\n  %s", key, fmt.Sprintf(format, args...), strings.Join(events, "\n  "))
}

// keyState is the expected state of one idempotency key.
type keyState struct {
	sent    int  // requests sent with the key
	pending int  // of these, requests without an answer so far
	notRun  bool // the latest request was reported as not run
	answers map[string]bool
}

// drainState is the expected state of a drained target.
type drainState struct {
	since     time.Time
	graceOver bool // drainGrace is over, and started is set
	started   int64
}

func newOracle() *oracle {
	return &oracle{
		records: make(map[ident.Command]wire.Record), keys: make(map[string]*keyState),
		drained: make(map[ident.Target]*drainState), counts: make(map[string]int), traces: make(map[string][]string),
	}
}

func (o *oracle) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

func (o *oracle) count(what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[what]++
}

func (o *oracle) recordAccepted(r wire.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, known := o.records[r.Command]; known && old.Revision != r.Revision {
		o.violations = append(o.violations, fmt.Sprintf("command %s accepted at revisions %d and %d", r.Command, old.Revision, r.Revision))
	}
	o.records[r.Command] = r
}

func (o *oracle) countOf(what string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts[what]
}

func (o *oracle) headRevision() ident.Revision {
	o.mu.Lock()
	defer o.mu.Unlock()
	highest := ident.Revision(0)
	for _, r := range o.records {
		highest = max(highest, r.Revision)
	}
	return highest
}

// request is a request of a caller.
type request struct {
	model   string // empty for the plain service
	prompt  string
	tokens  int
	key     string
	repeat  bool
	timeout time.Duration
}

func (r request) expectedText() string {
	var b strings.Builder
	for i := range r.tokens {
		b.WriteString(standin.Token(r.model, r.prompt, i))
	}
	return b.String()
}

// send sends a request to an entry and checks the answer against the model.
func (cl *cluster) send(p *process, r request) {
	if !p.alive() {
		return
	}
	inst := p.current.Load()
	inst.inFlight.Add(1)
	defer inst.inFlight.Add(-1)
	position := cl.oracle.recordSent(r)
	r.repeat = position > 1
	ctx := cl.requestContext(r)
	cl.oracle.trace(r.key, "sent to %s, repeat %t", p.name, r.repeat)
	inst.handler(ctx)
	cl.oracle.trace(r.key, "%s answered %.300s", p.name, ctx.Response.Body())
	select {
	case <-inst.dead:
		// The caller of a killed entry gets no answer.
		cl.oracle.recordLost(r)
		return
	default:
	}
	cl.checkResponse(r, position, ctx)
}

func (cl *cluster) requestContext(r request) *fasthttp.RequestCtx {
	ctx := &fasthttp.RequestCtx{}
	h := &ctx.Request.Header
	h.SetMethod(fasthttp.MethodPost)
	h.Set("Authorization", "Bearer "+token)
	h.Set(caller.HeaderDeadline, fmt.Sprint(r.timeout.Milliseconds()))
	if r.key != "" {
		h.Set(caller.HeaderIdempotencyKey, r.key)
	}
	if r.repeat {
		h.Set(caller.HeaderRepeat, "1")
	}
	if r.model == "" {
		ctx.Request.SetRequestURI("/services/booking/call/book")
		ctx.Request.SetBodyString(r.prompt)
		return ctx
	}
	ctx.Request.SetRequestURI("/v1/completions")
	body, err := json.Marshal(caller.CompletionRequest{Model: r.model, Prompt: r.prompt, MaxTokens: r.tokens})
	if err != nil {
		panic(err)
	}
	ctx.Request.SetBody(body)
	return ctx
}

// recordSent records a request and returns its position, counted from 1, among
// those with its key. It returns 0 for a request without a key.
func (o *oracle) recordSent(r request) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.key == "" {
		return 0
	}
	k := o.keys[r.key]
	if k == nil {
		k = &keyState{answers: make(map[string]bool)}
		o.keys[r.key] = k
	}
	k.sent++
	k.pending++
	k.notRun = false
	return k.sent
}

func (o *oracle) recordLost(r request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts["lost"]++
	if r.key != "" {
		o.keys[r.key].pending--
	}
}

func (cl *cluster) checkResponse(r request, position int, ctx *fasthttp.RequestCtx) {
	body := ctx.Response.Body()
	status := ctx.Response.StatusCode()
	if status != fasthttp.StatusOK {
		cl.checkRefusal(r, position, body)
		return
	}
	text := string(body)
	if r.model != "" {
		var c caller.Completion
		if err := json.Unmarshal(body, &c); err != nil || len(c.Choices) != 1 {
			cl.oracle.addViolation("answer to %v is not a completion: %s", r, body)
			return
		}
		text = c.Choices[0].Text
		if text != r.expectedText() {
			cl.oracle.addViolation("answer to %v is wrong: %q", r, text)
		}
	} else if !strings.HasPrefix(text, r.key) {
		cl.oracle.addViolation("answer to %v belongs to another request: %q", r, text)
	}
	cl.checkSuccess(r, text)
}

func (cl *cluster) checkSuccess(r request, text string) {
	cl.oracle.count("right")
	if r.key == "" {
		return
	}
	if cl.runs(r.key) != 1 {
		cl.oracle.addViolation("key %s answered after %d runs", r.key, cl.runs(r.key))
	}
	o := cl.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	k := o.keys[r.key]
	k.pending--
	k.answers[text] = true
	if len(k.answers) > 1 {
		o.violations = append(o.violations, fmt.Sprintf("key %s got different answers", r.key))
	}
}

func (cl *cluster) checkRefusal(r request, position int, body []byte) {
	var p caller.Problem
	if err := json.Unmarshal(body, &p); err != nil {
		cl.oracle.addViolation("refusal of %v is not a problem document: %s", r, body)
		return
	}
	cl.oracle.count(string(p.Outcome) + " " + p.Reason)
	cl.oracle.trace(r.prompt, "refused: %s", body)
	if r.key == "" {
		return
	}
	o := cl.oracle
	runs := cl.runs(r.key)
	o.mu.Lock()
	defer o.mu.Unlock()
	k := o.keys[r.key]
	k.pending--
	// A refusal covers its own request and those sent before it with the key. It
	// doesn't cover a request that was sent later or is still pending: that one
	// gets its own answer.
	newest := k.pending == 0 && position == k.sent
	k.notRun = p.Outcome == wire.NotRun && newest
	if k.notRun && runs > 0 {
		o.violations = append(o.violations, fmt.Sprintf("key %s reported as not run (%s), and ran %d times", r.key, p.Reason, runs))
	}
}

// runs returns how many times the targets ran the request with the key.
func (cl *cluster) runs(key string) int {
	n := 0
	for _, e := range cl.engines {
		n += e.Stats().Runs[key]
	}
	for _, s := range cl.services {
		n += s.Runs()[key]
	}
	return n
}

// checkInvariants checks what must hold at any time.
func (cl *cluster) checkInvariants() {
	for i, e := range cl.engines {
		if n := e.Stats().EvictedInUse; n > cl.oracle.evicted {
			cl.oracle.evicted = n
			cl.oracle.addTracedViolation(engineTrace(i), "evicted an adapter in use")
		}
	}
	for _, p := range cl.processes() {
		if p.isAgent || !p.alive() {
			continue
		}
		inst := p.current.Load()
		revision := inst.peer.Config.Catalog().Revision()
		if cl.variant == configReverts && revision > 1 {
			revision = inst.seenRevision - 1
		}
		if revision < inst.seenRevision {
			cl.oracle.addViolation("%s went back from revision %d to %d", p.name, inst.seenRevision, revision)
		}
		inst.seenRevision = max(inst.seenRevision, revision)
	}
	cl.checkDrains()
}

// drainGrace is the time after which a drained target gets no new requests.
const drainGrace = 5 * time.Second

func (cl *cluster) checkDrains() {
	for i, e := range cl.engines {
		d := cl.oracle.drained[cl.targets[i].Name]
		if d == nil || time.Since(d.since) < drainGrace {
			continue
		}
		started := e.Stats().Started
		if d.graceOver && started > d.started {
			cl.oracle.addViolation("%s got %d requests after its drain", cl.targets[i].Name, started-d.started)
		}
		d.graceOver, d.started = true, started
	}
}

// checkFinalState checks what must hold once all faults have ended and no request
// is in progress.
func (cl *cluster) checkFinalState() {
	cl.checkInvariants()
	for key, k := range cl.oracle.keys {
		runs := cl.runs(key)
		if runs > 1 {
			cl.oracle.addTracedViolation(key, "ran %d times", runs)
		}
		if k.notRun && runs > 0 {
			cl.oracle.addTracedViolation(key, "reported as not run, and ran later")
		}
	}
	headRevision := cl.oracle.headRevision()
	for _, p := range cl.entries {
		if got := p.peer().Config.Catalog().Revision(); got < headRevision {
			cl.oracle.addViolation("%s is at revision %d, the highest accepted is %d", p.name, got, headRevision)
		}
	}
	cl.checkAcceptedCommands()
}

// checkAcceptedCommands checks that each accepted command is in the log in force, at
// the revision at which it was accepted.
func (cl *cluster) checkAcceptedCommands() {
	found := make(map[ident.Command]ident.Revision)
	for _, d := range cl.entries[0].peer().Config.Delta(0, false) {
		for _, r := range d.Records {
			found[r.Command] = r.Revision
		}
	}
	for id, r := range cl.oracle.records {
		if cl.variant == appendsUndone {
			delete(found, id)
		}
		if found[id] != r.Revision {
			cl.oracle.addViolation("command %s was accepted at revision %d, and is at %d", id, r.Revision, found[id])
		}
	}
}
