package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

// WorkerHealthPath is where a worker answers health checks.
const WorkerHealthPath = "/health"

// extraPause is how long after an answer its second copy comes.
const extraPause = 5 * time.Millisecond

// workerRequest is what a worker reads of a request.
type workerRequest struct {
	attempt        ident.Attempt
	model          ident.Model
	adapter        ident.Adapter
	expectInstance ident.Target
	expectVersion  ident.Version
	lastEvent      int
	events         int // that a stream has; 0 for a plain answer
}

func readWorkerRequest(r *http.Request) workerRequest {
	h := r.Header
	q := workerRequest{
		attempt:        ident.Attempt(h.Get(platform.HeaderAttempt)),
		expectInstance: ident.Target(h.Get(platform.HeaderExpectInstance)),
		lastEvent:      number(h.Get(platform.HeaderLastEvent)),
		expectVersion:  ident.Version(number(h.Get(platform.HeaderExpectVersion))),
	}
	q.model, q.adapter = platform.ParseModel([]byte(h.Get(platform.HeaderModel)))
	if _, output := platform.ParseTokenCount([]byte(h.Get(platform.HeaderTokenCount))); q.model != "" {
		q.events = output
	}
	return q
}

// number reads a header that holds a number; 0 if it does not.
func number(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return n
}

// ServeHTTP answers requests, health checks, reports and orders. net/http serves
// it since a worker must notice that a caller has left.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		w.serveReport(out)
	case "/order":
		w.serveOrder(out, r)
	case WorkerHealthPath:
		out.Header().Set(platform.HeaderInstance, string(w.Instance()))
	default:
		w.serveRequest(out, r)
	}
}

func (w *Worker) serveReport(out http.ResponseWriter) {
	w.mu.Lock()
	report := map[string]any{
		"stage": "colocated", "born": w.startMS, "busy": w.busy, "seq": w.sequence, "active": len(w.running), "queued": 0,
		"models": []any{}, "pending": []string{},
	}
	var adapters, pending []string
	for name, a := range w.held {
		adapters = append(adapters, fmt.Sprintf("%s@%d", name, a.version))
	}
	for name, version := range w.pending {
		pending = append(pending, fmt.Sprintf("%s/%s@%d", w.Model, name, version))
	}
	if w.model {
		report["models"] = []any{map[string]any{"name": w.Model, "version": 1, "adapters": adapters}}
	}
	if w.onDisk {
		report["available"] = map[string]any{"on-disk": []ident.Model{w.Model}}
	}
	runs := [][]any{}
	for attempt := range w.running {
		runs = append(runs, []any{attempt, 0, 0, 0})
	}
	report["pending"], report["runs"] = pending, runs
	w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(report) // the caller may have left
}

func (w *Worker) serveOrder(out http.ResponseWriter, r *http.Request) {
	var o workerOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	out.WriteHeader(w.order(o, ident.Target(r.Header.Get(platform.HeaderExpectInstance))))
}

func (w *Worker) serveRequest(out http.ResponseWriter, r *http.Request) {
	q := readWorkerRequest(r)
	out.Header().Set(platform.HeaderAttempt, string(q.attempt))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.mu.Lock()
	faults := w.faults
	w.mu.Unlock()
	a := w.admit(q)
	if a.status == 0 && w.strikes(faults.ShedShare) {
		w.release(a, q)
		a = admission{status: http.StatusServiceUnavailable, reason: "shed"}
	}
	event := WorkerEvent{Kind: WorkerTurnedAway, Instance: w.Instance(), Attempt: q.attempt, Named: q.adapter, Resumed: q.lastEvent > 0}
	if a.status != 0 {
		w.seen(event)
		out.Header().Set(platform.HeaderNotExecuted, a.reason)
		out.WriteHeader(a.status)
		return
	}
	defer w.release(a, q)
	event.Kind, event.Adapter = WorkerRan, ident.AdapterVersion{Adapter: q.adapter, Version: a.version}
	w.seen(event)
	out.Header().Set(platform.HeaderSignature, WorkerSignature(q.attempt))
	switch {
	case w.strikes(faults.MuteShare):
		<-r.Context().Done()
	case w.strikes(faults.FailShare):
		out.WriteHeader(http.StatusInternalServerError)
	case q.events > 0:
		w.stream(out, r, q, w.strikes(faults.CutShare))
	default:
		w.answer(out, q, faults)
	}
}

// answer sends a plain answer.
func (w *Worker) answer(out http.ResponseWriter, q workerRequest, faults WorkerFaults) {
	time.Sleep(w.Work)
	body := WorkerBody(q.attempt)
	if !w.strikes(faults.CutShare) && !w.strikes(faults.ExtraShare) {
		_, _ = io.WriteString(out, body) // the caller may have left
		return
	}
	hijacker, ok := out.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderAttempt, q.attempt, platform.HeaderSignature, WorkerSignature(q.attempt), len(body), body)
	if w.strikes(faults.CutShare) {
		whole = whole[:len(whole)-len(body)/2]
	}
	_, _ = io.WriteString(conn, whole) // the caller may have left
	if faults.ExtraShare > 0 {
		time.Sleep(extraPause)
		_, _ = io.WriteString(conn, whole)
	}
}

// WorkerBody is the body of a plain answer to the attempt.
func WorkerBody(attempt ident.Attempt) string { return "answer to " + string(attempt) + "\n" }

// WorkerEventText is one event of a stream that answers the attempt.
func WorkerEventText(attempt ident.Attempt, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, attempt, n)
}

// stream sends the events after the last one that the caller has.
func (w *Worker) stream(out http.ResponseWriter, r *http.Request, q workerRequest, cut bool) {
	out.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := out.(http.Flusher)
	for n := q.lastEvent + 1; n <= q.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(w.EventPause):
		}
		text := WorkerEventText(q.attempt, n)
		if cut && n > q.events/2 {
			_, _ = io.WriteString(out, strings.TrimSuffix(text, "\n")) // in the middle of an event
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(out, text); err != nil {
			return
		}
		flusher.Flush()
	}
}

// Serve answers on the listener until the server is closed.
func (w *Worker) Serve(l net.Listener) *http.Server {
	server := &http.Server{Handler: w}
	go func() { _ = server.Serve(l) }() // ends when the server is closed
	return server
}
