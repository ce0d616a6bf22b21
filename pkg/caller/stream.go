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

func (b *streamBuffer) signal() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

func (b *streamBuffer) started(_ ident.AdapterVersion, target ident.Target, stall time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.target, b.stall = target, stall
}

func (b *streamBuffer) tokens(_ int, texts []string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.callerDisconnected {
		return errors.New("caller disconnected")
	}
	b.texts = append(b.texts, texts...)
	b.once.Do(func() { close(b.ready) })
	b.signal()
	return nil
}

func (b *streamBuffer) end(result dispatch.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended, b.result = true, result
	b.once.Do(func() { close(b.ready) })
	b.signal()
}

func (b *streamBuffer) takeTexts() (texts []string, ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	texts, b.texts = b.texts, nil
	return texts, b.ended
}

func (b *streamBuffer) disconnect() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callerDisconnected = true
}

// earlyRefusal returns the refusal of a request that ended before its first
// text, or nil.
func (b *streamBuffer) earlyRefusal() *dispatch.Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended && len(b.texts) == 0 {
		return b.result.Refusal
	}
	return nil
}

// respondStream answers with server-sent events. It sends the status only with
// the first text, so that an earlier refusal is sent as a problem document.
func (srv *Server) respondStream(x *exchange, job *dispatch.Job, format responseFormat) *dispatch.Refusal {
	ctx, cancel := context.WithCancel(context.Background())
	b := newStreamBuffer()
	go func() {
		b.end(srv.run(ctx, job, dispatch.Output{Started: b.started, Tokens: b.tokens}))
	}()
	<-b.ready
	if refusal := b.earlyRefusal(); refusal != nil {
		cancel()
		return refusal
	}
	b.mu.Lock()
	setHeaders(x, job, dispatch.Result{Target: b.target, LoadStall: b.stall})
	b.mu.Unlock()
	x.ctx.SetContentType("text/event-stream")
	x.ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		defer srv.inFlight.release(x.caller.Name)
		if err := srv.writeEvents(w, b, x, job, format); err != nil {
			b.disconnect()
			srv.Info("msg", "caller disconnected", "request", job.Request, "err", err)
		}
	})
	return nil
}

func (srv *Server) writeEvents(w *bufio.Writer, b *streamBuffer, x *exchange, job *dispatch.Job, format responseFormat) error {
	id, model := string(job.Request), job.Adapter.String()
	for {
		texts, ended := b.takeTexts()
		for _, text := range texts {
			if err := writeEvent(w, format.chunk(id, model, text)); err != nil {
				return errors.Trace(err)
			}
		}
		if ended {
			return srv.writeEnd(w, b, x, job, format)
		}
		if err := w.Flush(); err != nil {
			return errors.Trace(err)
		}
		<-b.changed
	}
}

// writeEnd ends the stream with the token usage, or with the problem that
// interrupted the answer.
func (srv *Server) writeEnd(w *bufio.Writer, b *streamBuffer, x *exchange, job *dispatch.Job, format responseFormat) error {
	result := b.result
	if result.Refusal == nil && result.Repeated {
		result.Refusal = srv.writeRepeated(w, result, job, format)
	}
	if result.Refusal != nil {
		srv.logRefusal(x, result.Refusal)
		return errors.Trace(writeEvent(w, struct {
			Error Problem `json:"error"`
		}{newProblem(result.Refusal, string(job.Request))}))
	}
	srv.stats.answered(job, result)
	last := format.chunk(string(job.Request), job.Adapter.String(), "")
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
func (srv *Server) writeRepeated(w *bufio.Writer, result dispatch.Result, job *dispatch.Job, format responseFormat) *dispatch.Refusal {
	if result.Truncated {
		return answerNotKept()
	}
	if len(result.Tokens) > 0 {
		return &dispatch.Refusal{Outcome: wire.Ran, Status: 502, Reason: dispatch.ReasonStreamLost, Detail: "the request ran; repeat it to get the whole answer"}
	}
	if err := writeEvent(w, format.chunk(string(job.Request), job.Adapter.String(), string(result.Body))); err != nil {
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
