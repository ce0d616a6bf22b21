package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/queue"
	"github.com/hyssoproad/hyssoproad/pkg/rollout"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Refusal reasons. All of them mean that the attempt has not started and never
// will.
const (
	reasonDraining    = "draining"
	reasonSuperseded  = "superseded"
	reasonIncarnation = "incarnation"
	reasonStaleConfig = "stale-config"
	reasonFenced      = "fenced"
	reasonFull        = "queue-full"
	reasonDeadline    = "deadline"
	reasonWeights     = "weights-mismatch"
	reasonCancelled   = "cancelled"
	reasonNotLoaded   = "not-loaded"
)

// job is one attempt that this agent handles.
type job struct {
	submit  wire.Submit
	stream  *link.Stream
	request *queue.Request
	started time.Time
	// mayStillRun is set when the engine may still be generating after the
	// attempt's end.
	mayStillRun bool
	done        chan struct{} // closed when the attempt has ended
}

func (j *job) id() ident.Request { return j.request.ID }

func (j *job) send(e wire.Event) { _ = j.stream.Send(link.KindEvent, &e) }

func (a *Agent) serveSubmit(ctx context.Context, s *link.Stream, f link.Frame) error {
	var in wire.Submit
	if _, err := in.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	a.catchUp(ctx, s.Conn(), in.Revision)
	j := newJob(in, s)
	if reason := a.refusalReason(in); reason != "" {
		a.refuse(j, reason, 0)
		return nil
	}
	if in.NonIdempotent && !a.attempts.Enqueue(in.Attempt) {
		a.refuse(j, reasonFenced, 0)
		return nil
	}
	if reason, retryAfter := a.enqueue(j); reason != "" {
		a.refuse(j, reason, retryAfter)
		return nil
	}
	select {
	case <-j.done:
	case <-ctx.Done():
		a.abandon(j)
		<-j.done
	}
	return nil
}

func newJob(in wire.Submit, s *link.Stream) *job {
	now := time.Now()
	return &job{
		submit: in, stream: s, done: make(chan struct{}),
		request: &queue.Request{
			ID: ident.Request(in.Attempt), Key: in.Adapter, Priority: in.Priority, ReserveRetry: in.ReserveRetry,
			Arrival:  now.Add(-time.Duration(in.WaitedMS) * time.Millisecond),
			Deadline: now.Add(time.Duration(in.DeadlineMS) * time.Millisecond),
		},
	}
}

// catchUp pulls the configuration if it is older than the sender's revision.
func (a *Agent) catchUp(ctx context.Context, c *link.Conn, revision ident.Revision) {
	if a.log.Catalog().Revision() >= revision {
		return
	}
	if err := a.pull(ctx, c); err != nil {
		a.Warn("msg", "failed to pull the configuration", "err", err)
	}
	a.applyConfig()
}

// pull asks the peer for the records after the current revision.
func (a *Agent) pull(ctx context.Context, c *link.Conn) error {
	return rollout.Pull(ctx, c, a.log, true)
}

// refusalReason returns why the attempt cannot run here, or an empty string if it
// can.
func (a *Agent) refusalReason(in wire.Submit) string {
	revision := a.log.Catalog().Revision()
	switch {
	case a.refusesWork():
		return reasonDraining
	case a.fence.Superseded():
		return reasonSuperseded
	case in.Incarnation != 0 && in.Incarnation != a.fence.Number():
		return reasonIncarnation
	case in.Revision != revision:
		return reasonStaleConfig
	case a.engine == nil != in.Adapter.IsZero():
		return reasonNotLoaded
	}
	return ""
}

// enqueue adds the attempt to the queue, or returns why it is refused and when to
// retry.
func (a *Agent) enqueue(j *job) (reason string, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := j.request.Key
	if held, ok := a.weights[key]; ok && held != j.submit.Weights {
		return reasonWeights, 0
	}
	retryAfter, err := a.sched.Enqueue(time.Now(), j.request)
	switch {
	case errors.Is(err, queue.ErrDeadline):
		return reasonDeadline, retryAfter
	case err != nil:
		return reasonFull, retryAfter
	}
	a.rememberWeights(key, j.submit.Weights)
	a.jobs[j.id()] = j
	signal(a.scheduleWake)
	return "", 0
}

const maxWeights = 8192

// rememberWeights records the weights of key. It is called with the lock held.
func (a *Agent) rememberWeights(key ident.AdapterVersion, weights string) {
	if key.IsZero() {
		return
	}
	a.weights[key] = weights
	if len(a.weights) <= maxWeights {
		return
	}
	for old := range a.weights {
		if !a.sched.InUse(old) {
			delete(a.weights, old)
		}
	}
}

// refuse tells the entry that the attempt did not run, and ensures that a
// non-idempotent attempt never will.
func (a *Agent) refuse(j *job, reason string, retryAfter time.Duration) {
	if j.submit.NonIdempotent {
		a.attempts.Fence(j.submit.Attempt)
	}
	a.metrics.refused.Inc(1)
	a.Debug("msg", "refused", "request", j.submit.Request, "attempt", j.submit.Attempt, "reason", reason)
	j.send(wire.Event{
		Kind: wire.EventRefused, Reason: reason,
		RetryAfterMS: retryAfter.Milliseconds(), Revision: a.log.Catalog().Revision(),
	})
	a.endJob(j)
}

func (a *Agent) endJob(j *job) {
	a.mu.Lock()
	delete(a.jobs, j.id())
	a.mu.Unlock()
	close(j.done)
}

// abandon ends an attempt whose entry no longer waits for it. A non-idempotent
// attempt that has started runs to its end.
func (a *Agent) abandon(j *job) {
	a.mu.Lock()
	cancelled := a.sched.Cancel(j.id())
	a.mu.Unlock()
	if cancelled {
		a.refuse(j, reasonCancelled, 0)
		return
	}
	if a.engine != nil && !j.submit.NonIdempotent {
		a.cancelAtEngine(string(j.submit.Attempt))
	}
}

// cancelAtEngine cancels a generation whose answer is no longer needed. If that
// fails, the generation only wastes engine time.
func (a *Agent) cancelAtEngine(id string) {
	if err := a.engine.Cancel(id); err != nil {
		a.Debug("msg", "failed to cancel generation", "id", id, "err", err)
	}
}

// scheduleLoop starts and expires requests whenever the state changes or a timer
// fires.
func (a *Agent) scheduleLoop(ctx context.Context) {
	for ctx.Err() == nil {
		next := a.schedule()
		timer := time.NewTimer(next)
		select {
		case <-a.scheduleWake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// startNext returns the next request to start, if any. An agent that no home entry
// confirmed recently may have been superseded, and starts no requests.
func (a *Agent) startNext(now time.Time) *queue.Request {
	if !a.homes.leased(now) {
		return nil
	}
	return a.sched.Start(now)
}

const (
	minPause = time.Millisecond
	maxPause = time.Second
)

// schedule expires and starts requests, and returns the longest time until it has
// to run again.
func (a *Agent) schedule() time.Duration {
	now := time.Now()
	a.mu.Lock()
	var expired, started []*job
	for _, r := range a.sched.Expire(now) {
		expired = append(expired, a.jobs[r.ID])
	}
	for r := a.startNext(now); r != nil; r = a.startNext(now) {
		started = append(started, a.jobs[r.ID])
	}
	_, _, requested := a.sched.NextLoad(now)
	next := a.sched.NextEvent(now)
	a.metrics.running.Update(float64(a.sched.Running()))
	a.metrics.waiting.Update(float64(a.sched.Waiting()))
	a.mu.Unlock()
	for _, j := range expired {
		a.refuse(j, reasonDeadline, 0)
	}
	for _, j := range started {
		go a.run(j)
	}
	if requested {
		signal(a.loadWake)
	}
	if next.IsZero() {
		return maxPause
	}
	return min(max(next.Sub(now), minPause), maxPause)
}
