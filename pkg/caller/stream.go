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

// streamBuffer passes text from the dispatcher to the caller's connection. It
// holds at most one answer, whose length its token limit bounds.
type streamBuffer struct {
	mu                 sync.Mutex
	texts              []string
	ended              bool
	callerDisconnected bool
	result             dispatch.Result
	target             ident.Target
	stall              time.Duration
	changed            chan struct{}
	ready              chan struct{} // closed at the first text or the end of the request
	once               sync.Once
}

func newStreamBuffer() *streamBuffer {
	return &streamBuffer{changed: make(chan struct{}, 1), ready: make(chan struct{})}
}

func (r *streamBuffer) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *streamBuffer) started(_ ident.AdapterVersion, target ident.Target, stall time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target, r.stall = target, stall
}

func (r *streamBuffer) tokens(_ int, texts []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.callerDisconnected {
		return errors.New("caller disconnected")
	}
	r.texts = append(r.texts, texts...)
	r.once.Do(func() { close(r.ready) })
	r.signal()
	return nil
}

func (r *streamBuffer) end(result dispatch.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.result = true, result
	r.once.Do(func() { close(r.ready) })
	r.signal()
}

func (r *streamBuffer) takeTexts() (texts []string, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	texts, r.texts = r.texts, nil
	return texts, r.ended
}

func (r *streamBuffer) disconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callerDisconnected = true
}

// earlyRefusal returns the refusal of a request that ended before its first
// text, or nil.
func (r *streamBuffer) earlyRefusal() *dispatch.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended && len(r.texts) == 0 {
		return r.result.Refusal
	}
	return nil
}

// respondStream answers with server-sent events. It sends the status only with
// the first text, so that an earlier refusal is sent as a problem document.
func (srv *Server) respondStream(x *exchange, job *dispatch.Job, s responseFormat) *dispatch.Refusal {
	ctx, cancel := context.WithCancel(context.Background())
	r := newStreamBuffer()
	go func() {
		r.end(srv.run(ctx, job, dispatch.Output{Started: r.started, Tokens: r.tokens}))
	}()
	<-r.ready
	if refusal := r.earlyRefusal(); refusal != nil {
		cancel()
		return refusal
	}
	r.mu.Lock()
	setHeaders(x, job, dispatch.Result{Target: r.target, LoadStall: r.stall})
	r.mu.Unlock()
	x.ctx.SetContentType("text/event-stream")
	x.ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		defer srv.inFlight.release(x.caller.Name)
		if err := srv.writeEvents(w, r, x, job, s); err != nil {
			r.disconnect()
			srv.Info("msg", "caller disconnected", "request", job.Request, "err", err)
		}
	})
	return nil
}

func (srv *Server) writeEvents(w *bufio.Writer, r *streamBuffer, x *exchange, job *dispatch.Job, s responseFormat) error {
	id, model := string(job.Request), job.Adapter.String()
	for {
		texts, ended := r.takeTexts()
		for _, text := range texts {
			if err := writeEvent(w, s.chunk(id, model, text)); err != nil {
				return errors.Trace(err)
			}
		}
		if ended {
			return srv.writeEnd(w, r, x, job, s)
		}
		if err := w.Flush(); err != nil {
			return errors.Trace(err)
		}
		<-r.changed
	}
}

// writeEnd ends the stream with the token usage, or with the problem that
// interrupted the answer.
func (srv *Server) writeEnd(w *bufio.Writer, r *streamBuffer, x *exchange, job *dispatch.Job, s responseFormat) error {
	result := r.result
	if result.Refusal == nil && result.Repeated {
		result.Refusal = srv.writeRepeated(w, result, job, s)
	}
	if result.Refusal != nil {
		srv.logRefusal(x, result.Refusal)
		return errors.Trace(writeEvent(w, struct {
			Error Problem `json:"error"`
		}{newProblem(result.Refusal, string(job.Request))}))
	}
	srv.stats.answered(job, result)
	last := s.chunk(string(job.Request), job.Adapter.String(), "")
	last.Choices[0].Finish = result.FinishReason
	last.Usage = &CompletionUsage{CompletionTokens: result.TokenCount}
	if err := writeEvent(w, last); err != nil {
		return errors.Trace(err)
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(w.Flush())
}

// writeRepeated writes the stored answer of an earlier request with the same
// idempotency key. It returns a refusal if part of a lost stream was already
// sent, because that part cannot be joined to the stored answer.
func (srv *Server) writeRepeated(w *bufio.Writer, result dispatch.Result, job *dispatch.Job, s responseFormat) *dispatch.Refusal {
	if result.Truncated {
		return answerNotKept()
	}
	if len(result.Tokens) > 0 {
		return &dispatch.Refusal{Outcome: wire.Ran, Status: 502, Reason: dispatch.ReasonStreamLost, Detail: "the request ran; repeat it to get the whole answer"}
	}
	if err := writeEvent(w, s.chunk(string(job.Request), job.Adapter.String(), string(result.Body))); err != nil {
		return notRun(499, dispatch.ReasonCallerDisconnected, err.Error())
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
