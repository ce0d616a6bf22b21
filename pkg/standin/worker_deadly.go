package standin

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hyssoproad/hyssoproad/platform"
)

// DeadlyPath is in the path of each request that ends the worker that runs it.
const DeadlyPath = "/deadly-"

// deadlyEvents is the number of events that a worker sends of a deadly stream.
const deadlyEvents = 3

// isDeadly reports whether a request ends the worker that runs it.
func (w *Worker) isDeadly(r *http.Request) bool {
	return w.OnCrash != nil && strings.Contains(r.URL.Path, DeadlyPath)
}

// runDeadly runs a request that ends the worker. One that drains only closes its connection.
func (w *Worker) runDeadly(out http.ResponseWriter, r *http.Request, req workerRequest, event WorkerEvent) {
	if req.events > 0 {
		req.events = min(req.events-1, req.lastEvent+deadlyEvents)
		w.stream(out, r, req, false, event)
	} else {
		time.Sleep(w.scaled(w.Work))
	}
	if !w.Draining() && r.Context().Err() == nil {
		event.Kind = WorkerCrashed
		w.notify(event)
		w.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

// refusalCopyDelay is the longest time between the start of a run and the copy of an earlier
// refusal on its connection.
const refusalCopyDelay = 40 * time.Millisecond

// keepRefusal keeps a refusal, which is sent once more into the next request on the connection.
func keepRefusal(r *http.Request, req workerRequest, a admission) {
	if conn, ok := r.Context().Value(connKey{}).(*workerConn); ok {
		conn.refusal = fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", a.status, platform.HeaderAttempt, req.attempt, platform.HeaderNotExecuted, a.reason)
	}
}

// sendRefusalCopy sends the kept refusal, if there is one, while the request runs.
func (w *Worker) sendRefusalCopy(r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*workerConn)
	if !ok || conn.refusal == "" {
		return
	}
	w.mu.Lock()
	delay := time.Duration(w.random.Int64N(int64(refusalCopyDelay)))
	w.mu.Unlock()
	time.Sleep(delay)
	_, _ = io.WriteString(conn, conn.refusal) // fails if the caller has disconnected
	conn.refusal = ""
}
