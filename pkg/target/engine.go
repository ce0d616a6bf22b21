package target

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

const (
	orderTimeout   = 60 * time.Second
	queryTimeout   = 2 * time.Second
	maxEngineConns = 1024
	// maxAnswerBytes bounds the body of an answer to an order or query. A list of adapters
	// takes less than 200 bytes for each.
	maxAnswerBytes = 1 << 20
	// maxEventBytes bounds a line of a completion. It holds the text of a few tokens.
	maxEventBytes    = 64 << 10
	eventBufferBytes = 4 << 10
	dataPrefix       = "data: "
	doneEvent        = "[DONE]"
)

// ErrStaleToken is returned when an engine refuses the fencing token of an order.
const ErrStaleToken = errors.ConstError("fencing token refused")

// ErrNotHeld is returned when an engine does not hold the requested adapter or
// does not know the stream to resume. Nothing ran.
const ErrNotHeld = errors.ConstError("engine does not hold the adapter or stream")

// Engine is the client of one model engine. Tests replace its functions.
type Engine struct {
	// Generate runs or resumes a completion and passes every chunk on its
	// stream to deliver, including chunks of other requests. It returns when
	// the stream ends. The caller has to check whether the answer is complete.
	Generate func(in CompletionRequest, key string, deadline time.Time, deliver func(CompletionChunk)) error
	// Load orders the engine to load an adapter, and returns when it is
	// loaded. After an error, the adapter may still be loaded, now or later.
	Load func(order AdapterOrder, fencing ident.Incarnation) error
	// Unload orders the engine to unload an adapter.
	Unload func(order AdapterOrder, fencing ident.Incarnation) error
	// ListAdapters returns the adapters that the engine holds, and its boot ID. A
	// new boot ID means that the engine restarted with no adapter loaded.
	ListAdapters func() ([]LoadedAdapter, string, error)
	// Cancel cancels a completion.
	Cancel func(id string) error
	// InUse returns the adapters that requests are using. The answer may be
	// up to ReportLag old.
	InUse func() ([]string, error)
	// SetRole orders the engine to change its role. The engine must be idle.
	SetRole func(order RoleOrder, fencing ident.Incarnation) error
}

// ReportLag is the maximum age of an engine's load report.
const ReportLag = 2 * time.Second

// NewEngine returns a client of the engine at the base URL, such as
// http://127.0.0.1:8000.
func NewEngine(base string) *Engine {
	neverRetry := func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	c := &engineClient{
		base:    base,
		unary:   &fasthttp.Client{ConfigureClient: httphead.Configure, MaxConnsPerHost: maxEngineConns, RetryIfErr: neverRetry, MaxResponseBodySize: maxAnswerBytes},
		streams: &fasthttp.Client{ConfigureClient: httphead.Configure, MaxConnsPerHost: maxEngineConns, RetryIfErr: neverRetry, StreamResponseBody: true},
	}
	return &Engine{Generate: c.generate, Load: c.load, Unload: c.unload, ListAdapters: c.listAdapters, Cancel: c.cancel, InUse: c.inUse, SetRole: c.setRole}
}

type engineClient struct {
	base  string
	unary *fasthttp.Client
	// streams has connections of its own, which close with their streams.
	streams *fasthttp.Client
}

func (e *engineClient) generate(in CompletionRequest, key string, deadline time.Time, deliver func(CompletionChunk)) error {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	if err := e.prepare(req, "/v1/completions", in); err != nil {
		return errors.Trace(err)
	}
	if key != "" {
		req.Header.Set(HeaderIdempotencyKey, key)
	}
	if err := e.streams.DoDeadline(req, res, deadline); err != nil {
		return errors.Annotatef(err, "completion %s", in.ID)
	}
	defer func() { _ = res.CloseBodyStream() }()
	switch code := res.StatusCode(); code {
	case fasthttp.StatusOK:
		return readEvents(res.BodyStream(), deliver)
	case fasthttp.StatusNotFound, fasthttp.StatusConflict, fasthttp.StatusServiceUnavailable:
		return errors.Annotatef(ErrNotHeld, "completion %s: status %d", in.ID, code)
	default:
		return errors.Errorf("completion %s: status %d", in.ID, code)
	}
}

// readEvents passes the chunks of a completion to deliver until its last event. A line
// longer than maxEventBytes is an error.
func readEvents(r io.Reader, deliver func(CompletionChunk)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, eventBufferBytes), maxEventBytes)
	lines.Split(splitCompleteLines)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(lines.Bytes()), []byte(dataPrefix))
		if !ok {
			continue
		}
		if string(data) == doneEvent {
			return nil
		}
		var chunk CompletionChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return errors.Annotate(err, "decoding completion chunk")
		}
		deliver(chunk)
	}
	return errors.Annotate(lines.Err(), "reading completion stream")
}

// splitCompleteLines splits text into lines. Text that ends without the last event, also
// inside a line, has been cut off.
func splitCompleteLines(data []byte, atEOF bool) (advance int, line []byte, err error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	if atEOF {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

func (e *engineClient) prepare(req *fasthttp.Request, path string, body any) error {
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

// answer is an engine's response to an order or query.
type answer struct {
	status int
	boot   string
	body   []byte
}

func (e *engineClient) call(path string, body any, fencing ident.Incarnation, timeout time.Duration) (answer, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	if err := e.prepare(req, path, body); err != nil {
		return answer{}, errors.Trace(err)
	}
	if fencing != 0 {
		req.Header.Set(HeaderFencingToken, strconv.FormatUint(uint64(fencing), 10))
	}
	if err := e.unary.DoTimeout(req, res, timeout); err != nil {
		return answer{}, errors.Annotate(err, path)
	}
	return answer{
		status: res.StatusCode(),
		boot:   string(res.Header.Peek(HeaderBootID)),
		body:   append([]byte(nil), res.Body()...),
	}, nil
}

func (a answer) check(path string) error {
	switch {
	case a.status >= fasthttp.StatusOK && a.status < fasthttp.StatusMultipleChoices:
		return nil
	case a.status == fasthttp.StatusPreconditionFailed:
		return errors.Annotate(ErrStaleToken, path)
	}
	return errors.Errorf("%s: status %d: %s", path, a.status, a.body)
}

func (e *engineClient) order(path string, order AdapterOrder, fencing ident.Incarnation) error {
	a, err := e.call(path, order, fencing, orderTimeout)
	if err != nil {
		return errors.Trace(err)
	}
	return a.check(path)
}

func (e *engineClient) load(order AdapterOrder, fencing ident.Incarnation) error {
	return e.order("/v1/load_lora_adapter", order, fencing)
}

func (e *engineClient) unload(order AdapterOrder, fencing ident.Incarnation) error {
	return e.order("/v1/unload_lora_adapter", order, fencing)
}

func (e *engineClient) listAdapters() ([]LoadedAdapter, string, error) {
	const path = "/v1/models"
	a, err := e.call(path, nil, 0, queryTimeout)
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	if err := a.check(path); err != nil {
		return nil, "", errors.Trace(err)
	}
	var list ModelList
	return list.Data, a.boot, errors.Trace(json.Unmarshal(a.body, &list))
}

func (e *engineClient) cancel(id string) error {
	_, err := e.call("/v1/cancel", CancelOrder{ID: id}, 0, queryTimeout)
	return errors.Trace(err)
}

func (e *engineClient) setRole(order RoleOrder, fencing ident.Incarnation) error {
	const path = "/v1/role"
	a, err := e.call(path, order, fencing, orderTimeout)
	if err != nil {
		return errors.Trace(err)
	}
	return a.check(path)
}

func (e *engineClient) inUse() ([]string, error) {
	const path = "/load"
	a, err := e.call(path, nil, 0, queryTimeout)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := a.check(path); err != nil {
		return nil, errors.Trace(err)
	}
	var report LoadReport
	return report.InUse, errors.Trace(json.Unmarshal(a.body, &report))
}
