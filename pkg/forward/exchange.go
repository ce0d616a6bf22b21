package forward

import (
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
	"github.com/hyssoproad/hyssoproad/platform"
)

// ErrInvalidResponse marks a response whose body is incomplete or malformed, that
// belongs to another request, or that the gateway rejects. A failure to read the head
// is returned as the error of the read instead, a malformed head as httphead.ErrMalformed.
const ErrInvalidResponse = errors.ConstError("invalid response")

const (
	// maxStrayResponses is how many responses to earlier requests are skipped.
	maxStrayResponses = 2
	// maxStrayBytes bounds the body of a response that is skipped or discarded.
	maxStrayBytes = 64 << 10
	// maxInformational is how many informational (1xx) heads may precede a response.
	maxInformational = 8
	// maxTrailerLines bounds the trailer after a chunked body.
	maxTrailerLines = 32
)

// Response is a target's response whose head has been read.
type Response struct {
	Status   int
	Header   fasthttp.ResponseHeader
	c        *Conn
	method   string
	body     io.Reader
	stray    bool // a response to another request came first
	named    bool // it names the request
	complete bool // the whole body was read
}

// Send writes a complete request.
func (c *Conn) Send(request []byte, deadline time.Time) error {
	if err := c.nc.SetWriteDeadline(deadline); err != nil {
		return errors.Trace(err)
	}
	_, err := c.nc.Write(request)
	c.observeEnd(err)
	return errors.Trace(err)
}

// Receive reads the head of the response to the request with the given method and
// attempt ID. A response that names it is believed, since the pool gives no connection that
// has carried the attempt without success, on which it may be a second copy. An error
// response that names no request counts as the response only on a new connection, which has
// carried no other request. Receive returns ErrInvalidResponse if the connection carries only
// responses to other requests, or a success that names none.
func (c *Conn) Receive(method, attempt string, deadline time.Time) (*Response, error) {
	// The error of SetReadDeadline is ignored: bytes that arrived before the
	// connection closed can still be read, and the read reports the close.
	_ = c.setReadDeadline(deadline)
	res := &Response{c: c, method: method}
	res.Header.DisableNormalizing()
	res.Header.SetNoDefaultContentType(true)
	for range maxStrayResponses + 1 {
		if err := res.readHead(); err != nil {
			return nil, errors.Trace(err)
		}
		echoed := res.Value(platform.HeaderAttempt)
		res.named = attempt != "" && echoed == attempt
		unnamed := attempt == "" || echoed == "" && res.Status >= 300
		if res.named || unnamed && !c.reused && !res.stray {
			return res, nil
		}
		if echoed == "" && res.Status < 300 {
			return nil, errors.Annotate(ErrInvalidResponse, "success without an attempt ID")
		}
		res.stray = true
		if c.onStray != nil {
			c.onStray(res.Status, echoed)
		}
		if res.EndsWithConnection() {
			return nil, errors.Annotate(ErrInvalidResponse, "response to another request without a length")
		}
		if err := res.Discard(); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return nil, errors.Annotate(ErrInvalidResponse, "only responses to other requests")
}

func (res *Response) readHead() error {
	for range maxInformational + 1 {
		if err := httphead.Read(&res.Header, res.c.r); err != nil {
			return errors.Trace(err)
		}
		res.Status = res.Header.StatusCode()
		if res.Status >= 200 {
			res.complete = false
			res.body = res.bodyReader()
			return nil
		}
	}
	return errors.Annotatef(ErrInvalidResponse, "more than %d informational responses", maxInformational)
}

// Named reports whether the response names the request. Only then what it says of the
// request can be relied on.
func (res *Response) Named() bool { return res.named }

// Discard reads the body and drops it. It returns ErrInvalidResponse if the body is
// incomplete or longer than maxStrayBytes.
func (res *Response) Discard() error {
	n, err := io.Copy(io.Discard, io.LimitReader(res.body, maxStrayBytes+1))
	if err != nil {
		return errors.Wrap(err, ErrInvalidResponse)
	}
	if n > maxStrayBytes {
		return errors.Annotatef(ErrInvalidResponse, "discarded body exceeds %d bytes", maxStrayBytes)
	}
	return nil
}

// bodyReader returns a reader of the body. It returns io.EOF only at the end of a
// complete body.
func (res *Response) bodyReader() io.Reader {
	length := res.Header.ContentLength()
	switch {
	case res.method == fasthttp.MethodHead || res.Status == fasthttp.StatusNoContent || res.Status == fasthttp.StatusNotModified:
		return &fixedLengthReader{res: res}
	case length >= 0:
		return &fixedLengthReader{res: res, r: res.c.r, left: length}
	case length == -1:
		return &chunkReader{res: res, r: httputil.NewChunkedReader(res.c.r)}
	}
	return &untilCloseReader{res: res}
}

// EndsWithConnection reports whether the close of the connection marks the end of
// the body.
func (res *Response) EndsWithConnection() bool { _, ok := res.body.(*untilCloseReader); return ok }

// Length returns the announced length of the body, or -1 if there is none.
func (res *Response) Length() int { return max(res.Header.ContentLength(), -1) }

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (res *Response) Read(b []byte) (int, error) { return res.body.Read(b) }

// Value returns the value of a header. It ignores the case of the name.
func (res *Response) Value(name string) string {
	if v := res.Header.Peek(name); len(v) > 0 {
		return string(v)
	}
	for k, v := range res.Header.All() {
		if strings.EqualFold(string(k), name) {
			return string(v)
		}
	}
	return ""
}

// SetReadDeadline sets the deadline of further reads of the body. A closed
// connection is reported by those reads.
func (res *Response) SetReadDeadline(t time.Time) { _ = res.c.setReadDeadline(t) }

// Close closes the response's connection.
func (res *Response) Close() { res.c.Close() }

// Conn returns the response's connection.
func (res *Response) Conn() *Conn { return res.c }

// ConnectionClose reports whether the target closes the connection after this
// response.
func (res *Response) ConnectionClose() bool { return res.Header.ConnectionClose() }

// Release returns the connection to the pool if it can carry another request, and
// closes it otherwise. It can if the whole response was read, no stray response or
// further bytes arrived, and the target keeps the connection open.
func (p *Pool) Release(res *Response) {
	switch {
	case !res.complete || res.stray || res.c.r.Buffered() > 0:
		p.Observe(ConnSpoiled)
		res.c.Close()
		return
	case res.ConnectionClose() || res.EndsWithConnection():
		p.Observe(ConnClosedByResponse)
		res.c.Close()
		return
	case !Shareable(res.method, res.c.attempt):
		p.Observe(ConnUnshared)
		res.c.Close()
		return
	case !res.served() && !res.c.recordUnserved():
		p.Observe(ConnUnserved)
		res.c.Close()
		return
	}
	res.c.maxIdle = MaxIdle
	if seconds, ok := keepAlive(res.Value("Keep-Alive")); ok {
		// The target started its idle timer earlier than the pool.
		res.c.maxIdle = min(MaxIdle, seconds*3/4)
	}
	p.Put(res.c)
}

// Shareable reports whether a request may share a connection with others. Nothing in a
// response tells whose it is if the request has no attempt ID, and a response to HEAD has
// another length than its head states.
func Shareable(method, attempt string) bool {
	return attempt != "" && method != fasthttp.MethodHead
}

// served reports whether the target has served the request, as far as the head tells.
func (res *Response) served() bool {
	return res.Status < 300 && res.Value(platform.HeaderNotExecuted) == ""
}

// keepAlive returns the time that the target keeps an idle connection.
func keepAlive(value string) (time.Duration, bool) {
	for part := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(number)); err == nil && s >= 0 {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}

// fixedLengthReader reads a body of known length.
type fixedLengthReader struct {
	res  *Response
	r    io.Reader
	left int
}

func (f *fixedLengthReader) Read(b []byte) (int, error) {
	if f.left == 0 {
		f.res.complete = true
		return 0, io.EOF
	}
	n, err := f.r.Read(b[:min(len(b), f.left)])
	f.left -= n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkReader reads a chunked body and skips the trailer after it.
type chunkReader struct {
	res *Response
	r   io.Reader
}

func (c *chunkReader) Read(b []byte) (int, error) {
	if c.res.complete {
		return 0, io.EOF
	}
	n, err := c.r.Read(b)
	if err != io.EOF {
		return n, err
	}
	trailer := httphead.Trailer()
	for range maxTrailerLines {
		line, err := c.res.c.r.ReadSlice('\n')
		if err == io.EOF {
			return n, io.ErrUnexpectedEOF
		}
		if err != nil {
			return n, err
		}
		end, err := trailer.Line(line)
		if err != nil {
			return n, errors.Trace(err)
		}
		if end {
			c.res.complete = true
			return n, io.EOF
		}
	}
	return n, errors.Annotatef(ErrInvalidResponse, "trailer exceeds %d lines", maxTrailerLines)
}

// untilCloseReader reads a body that ends when the connection closes.
type untilCloseReader struct{ res *Response }

func (u *untilCloseReader) Read(b []byte) (int, error) {
	n, err := u.res.c.r.Read(b)
	if err == io.EOF {
		u.res.complete = true
	}
	return n, err
}
