package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

// WorkerHealthPath is the path of a worker's health check.
const WorkerHealthPath = "/health"

// duplicateDelay is the delay between a response and its duplicate.
const duplicateDelay = 5 * time.Millisecond

// workerRequest holds the headers of a request that a worker uses.
type workerRequest struct {
	attempt        ident.Attempt
	model          ident.Model
	adapter        ident.Adapter
	expectInstance ident.Target
	expectVersion  ident.Version
	parts          []ident.PromptPart
	lastEvent      int
	events         int // number of events of a stream; 0 for a plain response
	eventBytes     int // least length of each event
	prompt, output int // tokens that the caller states
}

// tokens returns the tokens that the request takes in memory. An engine makes no more than
// the caller states.
func (r workerRequest) tokens() int {
	if r.output > 0 {
		return r.prompt + r.output
	}
	return r.prompt + r.events
}

// HeaderEvents is the number of events of a stream whose caller states no number of output
// tokens, or a wrong one.
const HeaderEvents = "X-Standin-Events"

// HeaderEventBytes is the least length of each event of a stream.
const HeaderEventBytes = "X-Standin-Event-Bytes"

func readWorkerRequest(r *http.Request) workerRequest {
	h := r.Header
	req := workerRequest{
		attempt:        ident.Attempt(h.Get(platform.HeaderAttempt)),
		expectInstance: ident.Target(h.Get(platform.HeaderExpectInstance)),
		lastEvent:      parseNumber(h.Get(platform.HeaderLastEvent)),
		expectVersion:  ident.Version(parseNumber(h.Get(platform.HeaderExpectVersion))),
	}
	req.parts = platform.ParsePromptParts([]byte(h.Get(platform.HeaderPromptParts)))
	req.model, req.adapter = platform.ParseModel([]byte(h.Get(platform.HeaderModel)))
	req.prompt, req.output = platform.ParseTokenCount([]byte(h.Get(platform.HeaderTokenCount)))
	req.eventBytes = parseNumber(h.Get(HeaderEventBytes))
	if req.model != "" {
		req.events = req.output
		if n := parseNumber(h.Get(HeaderEvents)); n > 0 {
			req.events = n
		}
	}
	return req
}

// parseNumber parses a numeric header value. It returns 0 for an invalid value.
func parseNumber(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return n
}

// ServeHTTP serves requests, health checks, reports and orders. Workers use
// net/http because they must detect that a caller disconnects.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	limit := w.faults.Limit
	w.mu.Unlock()
	if limit > 0 {
		out.Header().Set(platform.HeaderLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
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
	if w.modelLoaded {
		report["models"] = []any{map[string]any{"name": w.Model, "version": 1, "adapters": adapters}}
	}
	if w.modelOnDisk {
		report["available"] = map[string]any{"on-disk": []ident.Model{w.Model}}
	}
	runs := [][]any{}
	for attempt, tokens := range w.running {
		runs = append(runs, []any{attempt, tokens, 0, 0})
	}
	report["pending"], report["runs"] = pending, runs
	w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(report) // fails if the caller disconnects
}

func (w *Worker) serveOrder(out http.ResponseWriter, r *http.Request) {
	var o workerOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	out.WriteHeader(w.handleOrder(o, ident.Target(r.Header.Get(platform.HeaderExpectInstance))))
}

func (w *Worker) serveRequest(out http.ResponseWriter, r *http.Request) {
	req := readWorkerRequest(r)
	out.Header().Set(platform.HeaderAttempt, string(req.attempt))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		breakOff()
	}
	w.mu.Lock()
	faults := w.faults
	w.mu.Unlock()
	a := w.admit(req)
	if a.status == 0 && w.drawFault(faults.ShedShare) {
		w.release(a, req)
		a = admission{status: http.StatusServiceUnavailable, reason: "shed"}
		if w.drawFault(faults.RefusalCopyShare) {
			defer keepRefusal(r, req, a)
		}
	}
	event := WorkerEvent{Kind: WorkerRejected, Instance: w.Instance(), Attempt: req.attempt, RequestedAdapter: req.adapter, Resumed: req.lastEvent > 0, Software: w.Software(),
		Account: strings.Join(r.Header.Values(platform.HeaderAccount), ","), HasKey: len(r.Header.Values(platform.HeaderAPIKey)) > 0}
	if a.status != 0 {
		w.notify(event)
		out.Header().Set(platform.HeaderNotExecuted, a.reason)
		out.WriteHeader(a.status)
		return
	}
	event.Kind, event.Adapter = WorkerRan, ident.AdapterVersion{Adapter: req.adapter, Version: a.version}
	w.notify(event)
	defer func() {
		w.release(a, req)
		event.Kind = WorkerEnded
		w.notify(event)
	}()
	w.sendRefusalCopy(r)
	out.Header().Set(platform.HeaderSignature, WorkerSignature(req.attempt))
	w.stateLoad(out.Header())
	if w.isDeadly(r) {
		w.runDeadly(out, r, req, event)
	}
	if slices.Contains(req.parts, faults.DeadlyPart) && w.OnCrash != nil {
		event.Kind = WorkerCrashed
		w.notify(event)
		w.OnCrash()
		breakOff()
	}
	if a.overfilled && w.OnCrash != nil {
		event.Kind = WorkerOverfilled
		w.notify(event)
		w.OnCrash()
		breakOff()
	}
	switch {
	case w.drawFault(faults.NoResponseShare):
		<-r.Context().Done()
		breakOff()
	case w.drawFault(faults.EndlessShare):
		w.sendWithoutEnd(out, req)
	case w.drawFault(faults.FailShare):
		out.WriteHeader(http.StatusInternalServerError)
		_, _ = out.Write(make([]byte, faults.FailBytes)) // fails if the caller disconnects
	case req.events > 0 && w.drawFault(faults.LateEndShare):
		half := req
		half.events = (req.lastEvent + req.events) / 2
		w.stream(out, r, half, false, event)
		w.endLate(r, a)
	case req.events > 0:
		w.stream(out, r, req, w.drawFault(faults.TruncateShare), event)
	default:
		w.sendResponse(out, req, faults)
		if w.drawFault(faults.LateCopyShare) {
			sendLateCopy(r, req)
		}
	}
}

// breakOff ends a handler and closes its connection. A handler that returns instead completes
// its response.
func breakOff() { panic(http.ErrAbortHandler) }

// lateEnd is how long a run may go on after its connection is closed. Its worker looks for
// that every lateEndPoll.
const (
	lateEnd     = 3 * time.Second
	lateEndPoll = 20 * time.Millisecond
)

// endLate runs on, without an event, until lateEnd after the connection is closed, or until
// the worker ends. It then breaks the response off.
func (w *Worker) endLate(r *http.Request, a admission) {
	var closed time.Time
	for closed.IsZero() || time.Since(closed) < lateEnd {
		if w.endedSince(a) {
			break
		}
		if closed.IsZero() && r.Context().Err() != nil {
			closed = time.Now()
		}
		time.Sleep(lateEndPoll)
	}
	breakOff()
}

// plainResponse returns a complete plain response to the attempt.
func plainResponse(attempt ident.Attempt) string {
	body := WorkerBody(attempt)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderAttempt, attempt, platform.HeaderSignature, WorkerSignature(attempt), len(body), body)
}

// sendWithoutEnd sends bytes that are no response until the caller disconnects: a head
// without end, or a body or an event without end.
func (w *Worker) sendWithoutEnd(out http.ResponseWriter, req workerRequest) {
	conn := hijack(out)
	if conn == nil {
		return
	}
	defer conn.Close()
	start := "HTTP/1.1 200 OK\r\nX-Filler: "
	if w.drawFault(0.5) {
		start = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\n", platform.HeaderAttempt, req.attempt, platform.HeaderSignature, WorkerSignature(req.attempt))
	}
	_, err := io.WriteString(conn, start)
	for filler := strings.Repeat("x", 4<<10); err == nil; {
		_, err = io.WriteString(conn, filler)
	}
}

// hijack takes over the connection of a response. It returns nil if it cannot.
func hijack(out http.ResponseWriter) net.Conn {
	hijacker, ok := out.(http.Hijacker)
	if !ok {
		return nil
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return nil
	}
	return conn
}

// sendResponse sends a plain response.
func (w *Worker) sendResponse(out http.ResponseWriter, req workerRequest, faults WorkerFaults) {
	time.Sleep(w.scaled(w.Work))
	body := WorkerBody(req.attempt)
	if !w.drawFault(faults.TruncateShare) && !w.drawFault(faults.DuplicateShare) {
		_, _ = io.WriteString(out, body) // fails if the caller disconnects
		return
	}
	conn := hijack(out)
	if conn == nil {
		return
	}
	defer conn.Close()
	response := plainResponse(req.attempt)
	if w.drawFault(faults.TruncateShare) {
		response = response[:len(response)-len(body)/2]
	}
	_, _ = io.WriteString(conn, response) // fails if the caller disconnects
	if faults.DuplicateShare > 0 {
		time.Sleep(duplicateDelay)
		_, _ = io.WriteString(conn, response)
	}
}

// WorkerBody returns the body of a plain response to the attempt.
func WorkerBody(attempt ident.Attempt) string { return "answer to " + string(attempt) + "\n" }

// WorkerEventText returns event n of a stream for the attempt, of at least the given
// length.
func WorkerEventText(attempt ident.Attempt, n, length int) string {
	text := fmt.Sprintf("id: %d\ndata: %s %d", n, attempt, n)
	return text + strings.Repeat(".", max(length-len(text), 0)) + "\n\n"
}

// stream sends the events after the last one that the caller received. If cut is
// set, it aborts the connection halfway through, in the middle of an event.
func (w *Worker) stream(out http.ResponseWriter, r *http.Request, req workerRequest, cut bool, event WorkerEvent) {
	out.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(out)
	if w.UnreadTime > 0 {
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }() // the connection is closed otherwise
	}
	for n := req.lastEvent + 1; n <= req.events; n++ {
		select {
		case <-r.Context().Done():
			breakOff()
		case <-time.After(w.scaled(w.EventPause) + w.eventDelay()):
		}
		text := WorkerEventText(req.attempt, n, req.eventBytes)
		if cut && n > req.events/2 {
			_, _ = io.WriteString(out, strings.TrimSuffix(text, "\n")) // in the middle of an event
			_ = controller.Flush()
			breakOff()
		}
		err := w.writeEvent(out, controller, text)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			event.Kind = WorkerCutUnread
			w.notify(event)
		}
		if err != nil {
			breakOff()
		}
	}
}

func (w *Worker) eventDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.EventDelay
}

// unreadPieceBytes is the part of an event that a caller has to read within UnreadTime.
const unreadPieceBytes = 4 << 10

// writeEvent writes an event. It returns os.ErrDeadlineExceeded if it stays unread.
func (w *Worker) writeEvent(out io.Writer, controller *http.ResponseController, text string) error {
	for len(text) > 0 {
		if w.UnreadTime > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(w.UnreadTime))
		}
		n := min(len(text), unreadPieceBytes)
		if _, err := io.WriteString(out, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return controller.Flush()
}

// unreadBufferBytes is what the kernel holds of a response with UnreadTime. A larger buffer
// takes more only after a third of it has been read, which hides a slow caller's progress.
const unreadBufferBytes = 32 << 10

// Serve serves the worker on the listener until the server is closed.
func (w *Worker) Serve(l net.Listener) *http.Server {
	server := &http.Server{Handler: w, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		if tcp, ok := c.(*net.TCPConn); ok && w.UnreadTime > 0 {
			_ = tcp.SetWriteBuffer(unreadBufferBytes)
		}
		return context.WithValue(ctx, connKey{}, &workerConn{Conn: c})
	}}
	go func() { _ = server.Serve(l) }() // ends when the server is closed
	return server
}
