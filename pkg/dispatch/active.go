package dispatch

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// ReasonCancelled is the refusal reason of a request that an operator cancelled.
const ReasonCancelled = "cancelled"

// ReasonStopping is the refusal reason of a request that the entry cannot finish before
// it exits.
const ReasonStopping = "stopping"

// The context causes of requests that an operator cancelled, and of those that the stop of
// the entry ends.
const (
	errCancelled = errors.ConstError("cancelled by an operator")
	errStopping  = errors.ConstError("entry is stopping")
)

const activeShards = 16

// active holds the requests in progress, in shards that each have a lock.
type active [activeShards]struct {
	mu       sync.Mutex
	requests map[ident.Request]*activeRequest
}

// activeRequest is a request in progress, with its present target and state.
type activeRequest struct {
	job    *Job
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	target ident.Target
	state  string
}

func (a *active) init() {
	for i := range a {
		a[i].requests = make(map[ident.Request]*activeRequest)
	}
}

func activeShard(id ident.Request) int {
	sum := 0
	for i := range len(id) {
		sum += int(id[i])
	}
	return sum % activeShards
}

func (a *active) add(job *Job, cancel context.CancelCauseFunc) *activeRequest {
	r := &activeRequest{job: job, cancel: cancel, state: "routing"}
	shard := &a[activeShard(job.Request)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.requests[job.Request] = r
	return r
}

func (a *active) remove(id ident.Request) {
	shard := &a[activeShard(id)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.requests, id)
}

func (r *activeRequest) setState(target ident.Target, state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target, r.state = target, state
}

// ActiveRequest describes one request in progress at this entry.
type ActiveRequest struct {
	Request ident.Request
	Caller  ident.Caller
	Service ident.Service
	Adapter ident.AdapterVersion
	Target  ident.Target
	State   string // routing, waiting or running
	Age     time.Duration
}

// ActiveRequests returns the requests in progress, oldest first.
func (d *Dispatcher) ActiveRequests() []ActiveRequest {
	now := time.Now()
	var out []ActiveRequest
	for i := range d.active {
		shard := &d.active[i]
		shard.mu.Lock()
		for id, r := range shard.requests {
			r.mu.Lock()
			out = append(out, ActiveRequest{
				Request: id, Caller: r.job.Caller, Service: r.job.Service.Name, Adapter: r.job.Adapter,
				Target: r.target, State: r.state, Age: now.Sub(r.job.Arrival),
			})
			r.mu.Unlock()
		}
		shard.mu.Unlock()
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Age > out[j].Age || out[i].Age == out[j].Age && out[i].Request < out[j].Request
	})
	return out
}

// Cancel ends a request in progress at this entry as if its caller had
// disconnected, and reports whether it found the request. A non-idempotent
// request that has started is not stopped; its caller is told what is known of
// the outcome.
func (d *Dispatcher) Cancel(id ident.Request) bool {
	shard := &d.active[activeShard(id)]
	shard.mu.Lock()
	r, ok := shard.requests[id]
	shard.mu.Unlock()
	if ok {
		r.cancel(errCancelled)
	}
	return ok
}

// CancelAll ends all requests in progress, as Cancel does, and every further one at once.
// The entry is about to exit.
func (d *Dispatcher) CancelAll() {
	d.stopping.Store(true)
	for i := range d.active {
		shard := &d.active[i]
		shard.mu.Lock()
		for _, r := range shard.requests {
			r.cancel(errStopping)
		}
		shard.mu.Unlock()
	}
}
