package standin

import (
	"net/http"
	"strings"
	"time"
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
