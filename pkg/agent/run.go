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
	// lateGrace is the wait for chunks that other streams still carry.
	lateGrace  = 2 * time.Second
	maxResumes = 3
	resumeWait = 20 * time.Millisecond
	// maxRun bounds a started request.
	maxRun = 10 * time.Minute
)

// run carries out an attempt that has a seat, and then frees the seat.
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
	a.conclude(j, end)
}

// execute runs the attempt and returns its last event.
func (a *Agent) execute(j *job) wire.Event {
	if a.service != nil {
		return a.call(j)
	}
	return a.generate(j)
}

func (a *Agent) release(j *job) {
	a.mu.Lock()
	if j.unclean {
		a.holds.add(a.sched, j.request.Key, time.Now())
	}
	a.sched.Finish(j.request, time.Since(j.started))
	a.mu.Unlock()
	signal(a.wake)
}

func (a *Agent) conclude(j *job, end wire.Event) {
	switch end.Kind {
	case wire.EventRefused:
		if j.submit.NonIdempotent {
			a.attempts.Reject(j.submit.Attempt)
		}
		a.refuse(j, end.Reason, 0)
		return
	case wire.EventFailed:
		a.metrics.failed.Inc(1)
		a.attempts.Failed(j.submit.Attempt)
		a.Warn("msg", "attempt failed", "request", j.submit.Request, "attempt", j.submit.Attempt, "reason", end.Reason)
	default:
		a.metrics.finished.Inc(1)
		a.attempts.Done(j.submit.Attempt, order.Trim(wire.StoredAnswer{
			Status: end.Status, ContentType: end.ContentType, Body: end.Body,
		}))
	}
	j.send(end)
	a.forget(j)
}

func (a *Agent) announce(j *job) {
	j.send(wire.Event{
		Kind: wire.EventStarted, Adapter: j.request.Key,
		StallMS: j.request.Stall.Milliseconds(),
		QueueMS: j.started.Sub(j.request.Arrival).Milliseconds(),
	})
}

// call makes the one call of a plain service.
func (a *Agent) call(j *job) wire.Event {
	a.announce(j)
	in := j.submit
	answer, err := a.service.Call(target.ServiceCall{
		Method: in.Method, Path: in.Path, ContentType: in.ContentType, Body: in.Body, Key: in.Key,
	}, j.started.Add(maxRun))
	if err != nil {
		return wire.Event{Kind: wire.EventFailed, Reason: "no-answer"}
	}
	return wire.Event{Kind: wire.EventAnswer, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
}

// generate runs a completion, and resumes it while its answer is not whole.
func (a *Agent) generate(j *job) wire.Event {
	id, model := string(j.submit.Attempt), j.request.Key.String()
	var whole []string
	s := newSink(model, j.submit.Resume, func(offset int, texts []string) {
		if j.submit.NonIdempotent {
			whole = append(whole, texts...)
		}
		_ = j.stream.Send(link.KindEvent, &wire.Event{Kind: wire.EventTokens, Offset: offset, Tokens: texts, Adapter: j.request.Key})
	})
	a.sinks.put(id, s)
	defer a.sinks.remove(id)
	a.announce(j)
	err := a.drive(j, s)
	if j.unclean {
		a.cancelAtEngine(id)
	}
	p := s.progress()
	switch {
	case p.whole:
		return wire.Event{
			Kind: wire.EventFinished, Total: p.total, Finish: p.finish, Adapter: j.request.Key,
			Status: statusOK, ContentType: "text/plain", Body: joined(whole),
		}
	case p.wrong:
		return wire.Event{Kind: wire.EventFailed, Reason: "wrong-adapter"}
	case errors.Is(err, target.ErrMissing) && p.next == j.submit.Resume:
		return wire.Event{Kind: wire.EventRefused, Reason: reasonNotLoaded}
	}
	return wire.Event{Kind: wire.EventFailed, Reason: "stream-lost"}
}

const statusOK = 200

func joined(texts []string) []byte {
	var out []byte
	for _, t := range texts {
		out = append(out, t...)
	}
	return out
}

// drive streams the completion until its sink is whole or tries run out. It
// returns ErrMissing only if the engine refused the first stream, so that
// nothing ran.
func (a *Agent) drive(j *job, s *sink) error {
	for try := 0; ; try++ {
		p := s.progress()
		if p.whole || p.wrong {
			return nil
		}
		err := a.stream(j, p.next)
		if err != nil && !errors.Is(err, target.ErrMissing) {
			j.unclean = true // the engine may still be generating
		}
		if errors.Is(err, target.ErrMissing) {
			if try > 0 {
				return errors.New("stream not resumed")
			}
			return err
		}
		s.wait(a.lateWait(err))
		if p = s.progress(); p.whole || p.wrong {
			return nil
		}
		if try == maxResumes || !resumable(j, p) {
			return errors.Annotatef(err, "after %d resumes", try)
		}
		a.metrics.resumes.Inc(1)
		time.Sleep(resumeWait << try)
	}
}

// resumable reports whether another stream cannot be another run. An engine
// that is asked from the first token on begins anew.
func resumable(j *job, p progress) bool {
	return !j.submit.NonIdempotent || p.next > 0
}

// lateWait is short when the stream was cut: its own chunks are lost then.
func (a *Agent) lateWait(err error) time.Duration {
	if err != nil {
		return resumeWait
	}
	return lateGrace
}

func (a *Agent) stream(j *job, from int) error {
	in := target.CompletionRequest{
		ID: string(j.submit.Attempt), Model: j.request.Key.String(),
		Prompt: j.submit.Prompt, MaxTokens: j.submit.MaxTokens, Stream: true,
		Priority: int(j.submit.Priority), ResumeFrom: from,
	}
	return a.engine.Generate(in, j.submit.Key, j.started.Add(maxRun), func(c target.CompletionChunk) {
		if c.ID != in.ID {
			a.metrics.foreignChunks.Inc(1)
		}
		if s := a.sinks.get(c.ID); s != nil {
			s.add(c)
		}
	})
}
