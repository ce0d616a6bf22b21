package agent

import (
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/order"
	"github.com/hyssoproad/hyssoproad/pkg/target"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	// lateChunkWait is how long to wait for chunks that arrive on other streams.
	lateChunkWait = 2 * time.Second
	maxResumes    = 3
	resumeWait    = 20 * time.Millisecond
	// maxRunTime is the longest time that a started request may run.
	maxRunTime = 10 * time.Minute
)

// run executes an attempt that the queue admitted to run, and then releases its
// place among the running requests.
func (a *Agent) run(j *job) {
	if j.submit.NonIdempotent && !a.attempts.Start(j.submit.Attempt) {
		a.release(j)
		a.refuse(j, reasonFenced, 0)
		return
	}
	j.started = time.Now()
	a.metrics.started.Inc(1)
	a.metrics.stall.RecordDuration(j.request.Stall)
	a.metrics.queueWait.RecordDuration(j.started.Sub(j.request.Arrival))
	end := a.execute(j)
	a.release(j)
	a.finishAttempt(j, end)
}

// execute runs the attempt and returns its last event.
func (a *Agent) execute(j *job) wire.Event {
	if a.service != nil {
		return a.callService(j)
	}
	return a.generate(j)
}

func (a *Agent) release(j *job) {
	a.mu.Lock()
	if j.mayStillRun {
		a.untracked.add(a.sched, j.request.Key, time.Now())
	}
	a.sched.Finish(j.request, time.Since(j.started))
	a.mu.Unlock()
	signal(a.scheduleWake)
}

func (a *Agent) finishAttempt(j *job, end wire.Event) {
	switch end.Kind {
	case wire.EventRefused:
		if j.submit.NonIdempotent {
			a.attempts.Reject(j.submit.Attempt)
		}
		a.refuse(j, end.Reason, 0)
		return
	case wire.EventFailed:
		a.metrics.failed.Inc(1)
		a.attempts.Fail(j.submit.Attempt)
		a.Warn("msg", "attempt failed", "request", j.submit.Request, "attempt", j.submit.Attempt, "reason", end.Reason)
	default:
		a.metrics.finished.Inc(1)
		a.attempts.Complete(j.submit.Attempt, order.TruncateAnswer(wire.StoredAnswer{
			Status: end.Status, ContentType: end.ContentType, Body: end.Body,
		}))
	}
	j.send(end)
	a.endJob(j)
}

func (a *Agent) sendStarted(j *job) {
	j.send(wire.Event{
		Kind: wire.EventStarted, Adapter: j.request.Key,
		StallMS: j.request.Stall.Milliseconds(),
		QueueMS: j.started.Sub(j.request.Arrival).Milliseconds(),
	})
}

// callService calls the plain service once, without a retry.
func (a *Agent) callService(j *job) wire.Event {
	a.sendStarted(j)
	in := j.submit
	answer, err := a.service.Call(target.ServiceCall{
		Method: in.Method, Path: in.Path, ContentType: in.ContentType, Body: in.Body, Key: in.Key,
	}, j.started.Add(maxRunTime))
	if err != nil {
		return wire.Event{Kind: wire.EventFailed, Reason: "no-answer"}
	}
	return wire.Event{Kind: wire.EventAnswer, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
}

// generate runs a completion, and resumes it while its answer is incomplete.
func (a *Agent) generate(j *job) wire.Event {
	id, model := string(j.submit.Attempt), j.request.Key.String()
	var tokens []string
	r := newReassembler(model, j.submit.ResumeFrom, func(offset int, texts []string) {
		if j.submit.NonIdempotent {
			tokens = append(tokens, texts...)
		}
		_ = j.stream.Send(link.KindEvent, &wire.Event{Kind: wire.EventTokens, Offset: offset, Tokens: texts, Adapter: j.request.Key})
	})
	a.reassemblers.put(id, r)
	defer a.reassemblers.remove(id)
	a.sendStarted(j)
	err := a.streamUntilComplete(j, r)
	if j.mayStillRun {
		a.cancelAtEngine(id)
	}
	p := r.progress()
	switch {
	case p.complete:
		return wire.Event{
			Kind: wire.EventFinished, TotalTokens: p.total, FinishReason: p.finish, Adapter: j.request.Key,
			Status: statusOK, ContentType: "text/plain", Body: concat(tokens),
		}
	case p.wrongModel:
		return wire.Event{Kind: wire.EventFailed, Reason: "wrong-adapter"}
	case errors.Is(err, target.ErrNotHeld) && p.next == j.submit.ResumeFrom:
		return wire.Event{Kind: wire.EventRefused, Reason: reasonNotLoaded}
	}
	return wire.Event{Kind: wire.EventFailed, Reason: "stream-lost"}
}

const statusOK = 200

func concat(texts []string) []byte {
	var out []byte
	for _, t := range texts {
		out = append(out, t...)
	}
	return out
}

// streamUntilComplete streams the completion until the answer is complete or the
// resumes are used up. It returns ErrNotHeld only if the engine refused the first
// stream, in which case nothing ran.
func (a *Agent) streamUntilComplete(j *job, r *reassembler) error {
	for try := 0; ; try++ {
		p := r.progress()
		if p.complete || p.wrongModel {
			return nil
		}
		err := a.stream(j, p.next)
		if err != nil && !errors.Is(err, target.ErrNotHeld) {
			j.mayStillRun = true // the engine may still be generating
		}
		if errors.Is(err, target.ErrNotHeld) {
			if try > 0 {
				return errors.New("engine refused to resume the stream")
			}
			return err
		}
		r.wait(a.chunkWait(err))
		if p = r.progress(); p.complete || p.wrongModel {
			return nil
		}
		if try == maxResumes || !resumable(j, p) {
			return errors.Annotatef(err, "after %d resumes", try)
		}
		a.metrics.resumes.Inc(1)
		time.Sleep(resumeWait << try)
	}
}

// resumable reports whether the request may be streamed again. An engine that is
// asked for all tokens from the first one runs the request again, which a
// non-idempotent request must not do.
func resumable(j *job, p progress) bool {
	return !j.submit.NonIdempotent || p.next > 0
}

// chunkWait returns how long to wait for late chunks. It is short after an error,
// since the chunks of a broken stream are lost.
func (a *Agent) chunkWait(err error) time.Duration {
	if err != nil {
		return resumeWait
	}
	return lateChunkWait
}

func (a *Agent) stream(j *job, from int) error {
	in := target.CompletionRequest{
		ID: string(j.submit.Attempt), Model: j.request.Key.String(),
		Prompt: j.submit.Prompt, MaxTokens: j.submit.MaxTokens, Stream: true,
		Priority: int(j.submit.Priority), ResumeFrom: from,
	}
	return a.engine.Generate(in, j.submit.Key, j.started.Add(maxRunTime), func(c target.CompletionChunk) {
		if c.ID != in.ID {
			a.metrics.foreignChunks.Inc(1)
		}
		if r := a.reassemblers.get(c.ID); r != nil {
			r.add(c)
		}
	})
}
