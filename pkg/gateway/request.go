package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

// request is a caller's request, with its complete body.
type request struct {
	ctx     context.Context // ends when the caller disconnects
	head    fasthttp.RequestHeader
	method  string
	uri     string
	path    string
	attempt string
	// headerLines are the header lines to forward, each with its line ending.
	headerLines   []byte
	body          []byte
	hasBody       bool
	keepAlive     bool
	callerTimeout time.Duration // set by the caller; 0 if none
	lastEvent     string
	resumes       string // attempt that brought the first event of the stream to continue
	// key is the client account's key, if the caller sent one. severalKeys says that it
	// sent another one too, and hasAccountHeaders that headerLines contains headers which are not
	// forwarded if the configuration has client accounts.
	key                                    string
	hasKey, severalKeys, hasAccountHeaders bool

	authorization   string // the caller's credentials for the target, if it sent any
	weights         ident.Weights
	parts           []ident.PromptPart // that other requests may share
	prompt          platform.Prompt    // all its parts, in order
	promptTokens    int                // 0 if unknown
	maxOutputTokens int                // 0 if unknown
}

// rejection is the error response to an unreadable request. The connection closes
// after it.
type rejection struct {
	status int
	reason string
}

// Error returns the reason.
func (r *rejection) Error() string { return r.reason }

func reject(status int, reason string) error { return &rejection{status, reason} }

// hopHeaders are hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// notForwarded contains the lower-case names of headers that are not forwarded.
var notForwarded = lowerSet(append(append([]string(nil), hopHeaders...), platform.ReservedHeaders...))

func lowerSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[strings.ToLower(n)] = true
	}
	return out
}

// framing is what the headers say about the body.
type framing struct {
	length            int // -1 if none is given
	chunked           bool
	expect            bool
	connectionHeaders []string // headers listed in the Connection header
}

// readHead reads and checks a request's head. It returns a *rejection for a
// malformed or unsupported one.
func (q *request) readHead(r *bufio.Reader) (framing, error) {
	// Header names are forwarded as the caller wrote them.
	q.head.DisableNormalizing()
	if err := q.head.Read(r); err != nil {
		return framing{}, headError(err)
	}
	q.method, q.uri = string(q.head.Method()), string(q.head.RequestURI())
	q.keepAlive = !q.head.ConnectionClose()
	if !strings.HasPrefix(q.uri, "/") || strings.ContainsAny(q.uri, " #") {
		return framing{}, reject(fasthttp.StatusBadRequest, "request target is not a path")
	}
	q.path, _, _ = strings.Cut(q.uri, "?")
	if len(q.head.Host()) == 0 {
		return framing{}, reject(fasthttp.StatusBadRequest, "no host")
	}
	f, err := q.readHeaderLines(q.head.RawHeaders())
	if err != nil {
		return f, err
	}
	if f.chunked && f.length >= 0 {
		return f, reject(fasthttp.StatusBadRequest, "both a length and a transfer encoding")
	}
	return f, nil
}

func headError(err error) error {
	var small *fasthttp.ErrSmallBuffer
	var nothing fasthttp.ErrNothingRead
	switch {
	case errors.As(err, &small):
		return reject(fasthttp.StatusRequestHeaderFieldsTooLarge, "header too large")
	case errors.Is(err, io.EOF), errors.As(err, &nothing), isTimeout(err):
		return err
	}
	return reject(fasthttp.StatusBadRequest, "malformed header")
}

// readHeaderLines parses the raw header lines. It evaluates those that the gateway
// uses and keeps those to forward.
func (q *request) readHeaderLines(raw []byte) (framing, error) {
	f := framing{length: -1}
	for rest := raw; len(rest) > 0; {
		line, after, _ := bytes.Cut(rest, []byte{'\n'})
		rest = after
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			return f, reject(fasthttp.StatusBadRequest, "folded header")
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok {
			return f, reject(fasthttp.StatusBadRequest, "header without a colon")
		}
		if err := q.readHeaderLine(&f, string(bytes.ToLower(name)), bytes.TrimSpace(value), line); err != nil {
			return f, err
		}
	}
	if len(f.connectionHeaders) > 0 {
		q.headerLines = removeHeaders(q.headerLines, f.connectionHeaders)
	}
	return f, nil
}

func (q *request) readHeaderLine(f *framing, name string, value, line []byte) error {
	switch name {
	case "content-length":
		n, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil || f.length >= 0 || value[0] == '+' {
			return reject(fasthttp.StatusBadRequest, "invalid length")
		}
		f.length = int(n)
	case "transfer-encoding":
		if f.chunked || !strings.EqualFold(string(value), "chunked") || !q.head.IsHTTP11() {
			return reject(fasthttp.StatusBadRequest, "transfer encoding not supported")
		}
		f.chunked = true
	case "expect":
		f.expect = strings.EqualFold(string(value), "100-continue")
	case "connection":
		for token := range strings.SplitSeq(strings.ToLower(string(value)), ",") {
			if token = strings.TrimSpace(token); token != "" && token != "close" && token != "keep-alive" {
				f.connectionHeaders = append(f.connectionHeaders, token)
			}
		}
	default:
		q.readRoutingHeader(name, value)
	}
	if !notForwarded[name] {
		q.headerLines = append(append(q.headerLines, line...), '\r', '\n')
	}
	return nil
}

// readRoutingHeader reads the headers that the gateway uses, most of whose names are defined
// in package platform. All of them begin with x, l, a or r.
func (q *request) readRoutingHeader(name string, value []byte) {
	if name[0] != 'x' && name[0] != 'l' && name[0] != 'a' && name[0] != 'r' {
		return
	}
	switch {
	case strings.EqualFold(name, platform.HeaderAPIKey):
		q.severalKeys = q.severalKeys || q.hasKey && q.key != string(value)
		q.key, q.hasKey, q.hasAccountHeaders = string(value), true, true
	case strings.EqualFold(name, platform.HeaderAccount):
		q.hasAccountHeaders = true
	case strings.EqualFold(name, fasthttp.HeaderAuthorization):
		q.authorization = string(value)
	case strings.EqualFold(name, platform.HeaderAttempt):
		q.attempt = string(value)
	case strings.EqualFold(name, platform.HeaderDeadline):
		q.callerTimeout = platform.ParseDeadline(value)
	case strings.EqualFold(name, platform.HeaderLastEvent):
		q.lastEvent = string(value)
	case strings.EqualFold(name, platform.HeaderResumes):
		if q.resumes != "" {
			q.resumes += "," // several lines are one value (RFC 9110, section 5.3), which names no stream
		}
		q.resumes += string(value)
	case strings.EqualFold(name, platform.HeaderModel):
		q.weights.Model, q.weights.Adapter = platform.ParseModel(value)
	case strings.EqualFold(name, platform.HeaderPromptParts):
		q.parts, q.prompt = platform.ParsePromptParts(value), platform.ParsePrompt(value)
	case strings.EqualFold(name, platform.HeaderTokenCount):
		q.promptTokens, q.maxOutputTokens = platform.ParseTokenCount(value)
	}
}

// dropAccountHeaders takes the headers of client accounts out of what is forwarded.
func (q *request) dropAccountHeaders() {
	if q.hasAccountHeaders {
		q.headerLines, q.hasAccountHeaders = removeHeaders(q.headerLines, platform.AccountHeaders), false
	}
}

// removeHeaders removes the lines of the named headers. It always keeps Host, which
// a request needs.
func removeHeaders(lines []byte, names []string) []byte {
	var out []byte
	for rest := lines; len(rest) > 0; {
		line, after, _ := bytes.Cut(rest, []byte{'\n'})
		rest = after
		name, _, _ := bytes.Cut(line, []byte{':'})
		drop := false
		for _, n := range names {
			drop = drop || strings.EqualFold(string(name), n) && !strings.EqualFold(n, "host")
		}
		if !drop {
			out = append(append(out, line...), '\n')
		}
	}
	return out
}

// maxTrailerLines bounds the trailer after a chunked body.
const maxTrailerLines = 32

// readBody reads a body with the given framing into one of the body buffers, which the
// caller releases, also after an error.
func (q *request) readBody(r *bufio.Reader, f framing, limit int, buffers bodyBuffers) error {
	switch {
	case f.length > limit:
		return reject(fasthttp.StatusRequestEntityTooLarge, "body too large")
	case f.length >= 0:
		q.hasBody = true
		return q.readBytes(io.LimitReader(r, int64(f.length)), f.length, f.length, buffers)
	case !f.chunked:
		return nil
	}
	q.hasBody = true
	err := q.readBytes(httputil.NewChunkedReader(r), -1, limit, buffers)
	var rejected *rejection
	switch {
	case err == nil:
		return readTrailer(r)
	case errors.As(err, &rejected), isTimeout(err), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	}
	return reject(fasthttp.StatusBadRequest, "malformed chunks")
}

// readBytes reads bytes until r ends. The length is -1 if it is not known in advance.
func (q *request) readBytes(r io.Reader, length, limit int, buffers bodyBuffers) error {
	for {
		if len(q.body) == cap(q.body) {
			larger, ok := buffers.grow(q.body, length)
			if !ok {
				return reject(fasthttp.StatusServiceUnavailable, "no memory for the body")
			}
			q.body = larger
		}
		n, err := r.Read(q.body[len(q.body):cap(q.body)])
		q.body = q.body[:len(q.body)+n]
		switch {
		case len(q.body) > limit:
			return reject(fasthttp.StatusRequestEntityTooLarge, "body too large")
		case err == io.EOF && len(q.body) < length:
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// releaseBody gives the buffer of the body back.
func (q *request) releaseBody(buffers bodyBuffers) {
	buffers.release(cap(q.body))
	q.body = nil
}

// readTrailer skips the trailer of a chunked body.
func readTrailer(r *bufio.Reader) error {
	for range maxTrailerLines {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
		if len(line) == 0 {
			return nil
		}
		if !bytes.Contains(line, []byte{':'}) {
			break
		}
	}
	return reject(fasthttp.StatusBadRequest, "malformed trailer")
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// sendParams holds the values that differ between two sends of one request.
type sendParams struct {
	remaining time.Duration
	instance  ident.Target
	version   ident.Version // 0 for any version
	lastEvent string
	account   ident.Account // empty for none
}

// encodeHead appends the head of the request in the form that is sent to a target.
func (q *request) encodeHead(b []byte, s sendParams) []byte {
	b = append(b, q.method...)
	b = append(b, ' ')
	b = append(b, q.uri...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = append(b, q.headerLines...)
	b = appendHeader(b, platform.HeaderDeadline, strconv.FormatInt(max(s.remaining.Milliseconds(), 1), 10))
	if s.instance != "" {
		b = appendHeader(b, platform.HeaderExpectInstance, string(s.instance))
	}
	if s.version > 0 {
		b = appendHeader(b, platform.HeaderExpectVersion, strconv.FormatUint(uint64(s.version), 10))
	}
	if s.lastEvent != "" {
		b = appendHeader(b, platform.HeaderLastEvent, s.lastEvent)
	}
	if s.account != "" {
		b = appendHeader(b, platform.HeaderAccount, string(s.account))
	}
	if q.hasBody {
		b = appendHeader(b, "Content-Length", strconv.Itoa(len(q.body)))
	}
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
