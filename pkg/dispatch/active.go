package dispatch

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// ReasonCancelled is the reason of requests that an operator cancelled.
const ReasonCancelled = "cancelled"

// errCancelled is the cause of a cancelled request's end.
const errCancelled = errors.ConstError("cancelled by an operator")

const activeShards = 16

// active holds the requests under way, in shards, each under its own lock.
type active [activeShards]struct {
	mu   sync.Mutex
	runs map[ident.Request]*activeRun
}

type activeRun struct {
	job    *Job
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	target ident.Target
	state  string
}

func (a *active) init() {
	for i := range a {
		a[i].runs = make(map[ident.Request]*activeRun)
	}
}

func activeShard(id ident.Request) int {
	sum := 0
	for i := range len(id) {
		sum += int(id[i])
	}
	return sum % activeShards
}

func (a *active) add(job *Job, cancel context.CancelCauseFunc) *activeRun {
	r := &activeRun{job: job, cancel: cancel, state: "routing"}
	shard := &a[activeShard(job.Request)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.runs[job.Request] = r
	return r
}

func (a *active) remove(id ident.Request) {
	shard := &a[activeShard(id)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.runs, id)
}

func (r *activeRun) set(target ident.Target, state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target, r.state = target, state
}

// Active describes one request under way at this entry.
type Active struct {
	Request ident.Request
	Caller  ident.Caller
	Service ident.Service
	Adapter ident.AdapterVersion
	Target  ident.Target
	State   string // routing, waiting or running
	Age     time.Duration
}

// Active returns the requests under way, oldest first.
func (d *Dispatcher) Active() []Active {
	now := time.Now()
	var out []Active
	for i := range d.active {
		shard := &d.active[i]
		shard.mu.Lock()
		for id, r := range shard.runs {
			r.mu.Lock()
			out = append(out, Active{
				Request: id, Caller: r.job.Caller, Service: r.job.Service.Name, Adapter: r.job.Key,
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

// Cancel ends a request under way at this entry, as if its caller were gone. It
// reports whether there is one. A non-idempotent request that has started goes
// on, and its caller is told what is known.
func (d *Dispatcher) Cancel(id ident.Request) bool {
	shard := &d.active[activeShard(id)]
	shard.mu.Lock()
	r, ok := shard.runs[id]
	shard.mu.Unlock()
	if ok {
		r.cancel(errCancelled)
	}
	return ok
}
