package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

const (
	orderTimeout   = 60 * time.Second
	queryTimeout   = 2 * time.Second
	maxEngineConns = 1024
	dataPrefix     = "data: "
	doneMark       = "[DONE]"
)

// ErrStale is returned when an engine refuses an order for its fencing number.
const ErrStale = errors.ConstError("fencing number refused")

// ErrMissing is returned when an engine does not hold the named adapter or
// does not know the stream to resume. Nothing ran.
const ErrMissing = errors.ConstError("engine does not hold what was named")

// Engine is a client of one model engine.
type Engine struct {
	base  string
	plain *fasthttp.Client
	// streams has its own connections, which end with their streams.
	streams *fasthttp.Client
	// Boot is called with the engine's boot mark on each answer; a new mark
	// means that the engine restarted with nothing loaded.
	Boot func(mark string)
}

// NewEngine returns a client of the engine at base, such as
// http://127.0.0.1:8000.
func NewEngine(base string) *Engine {
	noRetry := func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	return &Engine{
		base:    base,
		plain:   &fasthttp.Client{MaxConnsPerHost: maxEngineConns, RetryIfErr: noRetry},
		streams: &fasthttp.Client{MaxConnsPerHost: maxEngineConns, RetryIfErr: noRetry, StreamResponseBody: true},
		Boot:    func(string) {},
	}
}

// Generate runs or resumes a completion and passes every chunk that arrives on
// its stream to deliver, also those of other requests. It returns when the
// stream ends; whether the answer is whole is for the receiver to judge.
func (e *Engine) Generate(in CompletionRequest, key string, deadline time.Time, deliver func(CompletionChunk)) error {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	if err := e.prepare(req, "/v1/completions", in); err != nil {
		return errors.Trace(err)
	}
	if key != "" {
		req.Header.Set(HeaderKey, key)
	}
	if err := e.streams.DoDeadline(req, res, deadline); err != nil {
		return errors.Annotatef(err, "completion %s", in.ID)
	}
	defer func() { _ = res.CloseBodyStream() }()
	e.Boot(string(res.Header.Peek(HeaderBoot)))
	switch code := res.StatusCode(); code {
	case fasthttp.StatusOK:
		return readEvents(bufio.NewReader(res.BodyStream()), deliver)
	case fasthttp.StatusNotFound, fasthttp.StatusConflict, fasthttp.StatusServiceUnavailable:
		return errors.Annotatef(ErrMissing, "completion %s: status %d", in.ID, code)
	default:
		return errors.Errorf("completion %s: status %d", in.ID, code)
	}
}

func readEvents(r *bufio.Reader, deliver func(CompletionChunk)) error {
	for {
		row, err := r.ReadBytes('\n')
		if err != nil {
			return errors.Annotate(err, "reading completion stream")
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(row), []byte(dataPrefix))
		if !ok {
			continue
		}
		if string(data) == doneMark {
			return nil
		}
		var chunk CompletionChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return errors.Annotate(err, "decoding completion chunk")
		}
		deliver(chunk)
	}
}

func (e *Engine) prepare(req *fasthttp.Request, path string, body any) error {
	req.SetRequestURI(e.base + path)
	if body == nil {
		return nil
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(encoded)
	return nil
}

// call returns the answer's status and body.
func (e *Engine) call(path string, body any, fencing ident.Incarnation, timeout time.Duration) (int, []byte, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	if err := e.prepare(req, path, body); err != nil {
		return 0, nil, errors.Trace(err)
	}
	if fencing != 0 {
		req.Header.Set(HeaderFencing, strconv.FormatUint(uint64(fencing), 10))
	}
	if err := e.plain.DoTimeout(req, res, timeout); err != nil {
		return 0, nil, errors.Annotate(err, path)
	}
	e.Boot(string(res.Header.Peek(HeaderBoot)))
	return res.StatusCode(), append([]byte(nil), res.Body()...), nil
}

func orderError(path string, status int, body []byte) error {
	switch {
	case status < 300:
		return nil
	case status == fasthttp.StatusPreconditionFailed:
		return errors.Annotate(ErrStale, path)
	}
	return errors.Errorf("%s: status %d: %s", path, status, body)
}

// Load orders the engine to load an adapter, and returns when it is loaded.
// After an error the adapter may be loaded nevertheless, now or later.
func (e *Engine) Load(order AdapterOrder, fencing ident.Incarnation) error {
	const path = "/v1/load_lora_adapter"
	status, body, err := e.call(path, order, fencing, orderTimeout)
	if err != nil {
		return errors.Trace(err)
	}
	return orderError(path, status, body)
}

// Unload orders the engine to unload an adapter.
func (e *Engine) Unload(order AdapterOrder, fencing ident.Incarnation) error {
	const path = "/v1/unload_lora_adapter"
	status, body, err := e.call(path, order, fencing, orderTimeout)
	if err != nil {
		return errors.Trace(err)
	}
	return orderError(path, status, body)
}

// Loaded returns what the engine holds.
func (e *Engine) Loaded() ([]LoadedModel, error) {
	const path = "/v1/models"
	status, body, err := e.call(path, nil, 0, queryTimeout)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := orderError(path, status, body); err != nil {
		return nil, errors.Trace(err)
	}
	var list ModelList
	return list.Data, errors.Trace(json.Unmarshal(body, &list))
}

// Cancel ends a completion that is no longer wanted.
func (e *Engine) Cancel(id string) error {
	_, _, err := e.call("/v1/cancel", CancelOrder{ID: id}, 0, queryTimeout)
	return errors.Trace(err)
}

// Probe returns nil if the engine answers.
func (e *Engine) Probe(context.Context) error {
	_, err := e.Loaded()
	return errors.Trace(err)
}
