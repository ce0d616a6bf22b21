package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// relay passes text from the dispatcher to the caller's connection. It holds
// at most one answer, whose length is bounded by its token limit.
type relay struct {
	mu      sync.Mutex
	texts   []string
	ended   bool
	gone    bool
	result  dispatch.Result
	target  ident.Target
	stall   time.Duration
	changed chan struct{}
	began   chan struct{} // closed at the first text or at the end
	once    sync.Once
}

func newRelay() *relay {
	return &relay{changed: make(chan struct{}, 1), began: make(chan struct{})}
}

func (r *relay) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *relay) started(_ ident.AdapterVersion, target ident.Target, stall time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target, r.stall = target, stall
}

func (r *relay) tokens(_ int, texts []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return errors.New("caller gone")
	}
	r.texts = append(r.texts, texts...)
	r.once.Do(func() { close(r.began) })
	r.signal()
	return nil
}

func (r *relay) end(result dispatch.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.result = true, result
	r.once.Do(func() { close(r.began) })
	r.signal()
}

func (r *relay) take() (texts []string, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	texts, r.texts = r.texts, nil
	return texts, r.ended
}

func (r *relay) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = true
}

// refusedEarly returns the refusal of a request that ended before any text.
func (r *relay) refusedEarly() *dispatch.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended && len(r.texts) == 0 {
		return r.result.Refusal
	}
	return nil
}

// streamed answers with server-sent events. The status waits for the first
// text, so that a refusal is a problem document.
func (f *Face) streamed(x *exchange, job *dispatch.Job, s shape) *dispatch.Refusal {
	ctx, cancel := context.WithCancel(context.Background())
	r := newRelay()
	go func() {
		r.end(f.run(ctx, job, dispatch.Output{Started: r.started, Tokens: r.tokens}))
	}()
	<-r.began
	if refusal := r.refusedEarly(); refusal != nil {
		cancel()
		return refusal
	}
	r.mu.Lock()
	setHeaders(x, job, dispatch.Result{Target: r.target, Stall: r.stall})
	r.mu.Unlock()
	x.ctx.SetContentType("text/event-stream")
	x.ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		defer f.inFlight.leave(x.caller.Name)
		if err := f.writeEvents(w, r, x, job, s); err != nil {
			r.leave()
			f.Info("msg", "caller gone", "request", job.Request, "err", err)
		}
	})
	return nil
}

func (f *Face) writeEvents(w *bufio.Writer, r *relay, x *exchange, job *dispatch.Job, s shape) error {
	id, model := string(job.Request), job.Key.String()
	for {
		texts, ended := r.take()
		for _, text := range texts {
			if err := writeEvent(w, s.chunk(id, model, text)); err != nil {
				return errors.Trace(err)
			}
		}
		if ended {
			return f.writeEnd(w, r, x, job, s)
		}
		if err := w.Flush(); err != nil {
			return errors.Trace(err)
		}
		<-r.changed
	}
}

// writeEnd closes the stream with the finished answer's usage, or with the
// problem that cut it.
func (f *Face) writeEnd(w *bufio.Writer, r *relay, x *exchange, job *dispatch.Job, s shape) error {
	result := r.result
	if result.Refusal == nil && result.Repeated {
		result.Refusal = f.repeatedEnd(w, result, job, s)
	}
	if result.Refusal != nil {
		f.logRefusal(x, result.Refusal)
		return errors.Trace(writeEvent(w, struct {
			Error Problem `json:"error"`
		}{problemOf(result.Refusal, string(job.Request))}))
	}
	f.records.answered(job, result)
	last := s.chunk(string(job.Request), job.Key.String(), "")
	last.Choices[0].Finish = result.Finish
	last.Usage = &CompletionUsage{CompletionTokens: result.Total}
	if err := writeEvent(w, last); err != nil {
		return errors.Trace(err)
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(w.Flush())
}

// repeatedEnd writes a remembered answer. An answer whose beginning was sent
// from the lost stream cannot be joined to the remembered one.
func (f *Face) repeatedEnd(w *bufio.Writer, result dispatch.Result, job *dispatch.Job, s shape) *dispatch.Refusal {
	if result.Truncated {
		return truncated()
	}
	if len(result.Tokens) > 0 {
		return &dispatch.Refusal{Outcome: wire.Ran, Status: 502, Reason: dispatch.ReasonStreamLost, Detail: "the request ran; repeat it to get the whole answer"}
	}
	if err := writeEvent(w, s.chunk(string(job.Request), job.Key.String(), string(result.Body))); err != nil {
		return notRun(499, dispatch.ReasonCallerGone, err.Error())
	}
	return nil
}

func writeEvent(w *bufio.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", data)
	return errors.Trace(err)
}
