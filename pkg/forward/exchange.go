package forward

import (
	"bytes"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/platform"
)

// ErrSpoiled is returned for an answer that is broken off, is none in the
// protocol, or belongs to another request.
const ErrSpoiled = errors.ConstError("spoiled answer")

// maxStrayAnswers is how many answers to earlier requests are read over.
const maxStrayAnswers = 2

// Answer is a target's answer whose head has been read.
type Answer struct {
	Status int
	Header fasthttp.ResponseHeader
	c      *Conn
	method string
	body   io.Reader
	stray  bool // an answer to another request came first
	ended  bool // the body was read whole
}

// Send writes a whole request.
func (c *Conn) Send(request []byte, deadline time.Time) error {
	if err := c.nc.SetWriteDeadline(deadline); err != nil {
		return errors.Trace(err)
	}
	_, err := c.nc.Write(request)
	return errors.Trace(err)
}

// Receive reads the head of the answer to the request with the given method and
// attempt id. It returns ErrSpoiled if there is none that belongs to it.
func (c *Conn) Receive(method, attempt string, deadline time.Time) (*Answer, error) {
	// What came before the connection ended can still be read; its end shows there.
	_ = c.nc.SetReadDeadline(deadline)
	a := &Answer{c: c, method: method}
	a.Header.DisableNormalizing()
	a.Header.SetNoDefaultContentType(true)
	for range maxStrayAnswers + 1 {
		if err := a.readHead(); err != nil {
			return nil, errors.Trace(err)
		}
		echoed := a.Value(platform.HeaderAttempt)
		if attempt == "" || echoed == "" || echoed == attempt {
			return a, nil
		}
		a.stray = true
		if _, err := io.Copy(io.Discard, a.body); err != nil {
			return nil, errors.Wrap(err, ErrSpoiled)
		}
	}
	return nil, errors.Annotate(ErrSpoiled, "answers to other requests")
}

func (a *Answer) readHead() error {
	for {
		if err := a.Header.Read(a.c.r); err != nil {
			return errors.Trace(err)
		}
		a.Status = a.Header.StatusCode()
		if a.Status >= 200 {
			break
		}
	}
	a.ended = false
	a.body = a.framed()
	return nil
}

// framed returns a reader of the body that ends with io.EOF only where the body
// is whole.
func (a *Answer) framed() io.Reader {
	length := a.Header.ContentLength()
	switch {
	case a.method == fasthttp.MethodHead || a.Status == fasthttp.StatusNoContent || a.Status == fasthttp.StatusNotModified:
		return &wholeReader{a: a}
	case length >= 0:
		return &wholeReader{a: a, r: a.c.r, left: length}
	case length == -1:
		return &chunkReader{a: a, r: httputil.NewChunkedReader(a.c.r)}
	}
	return &closeReader{a: a}
}

// Unframed reports whether the answer ends with its connection.
func (a *Answer) Unframed() bool { _, ok := a.body.(*closeReader); return ok }

// Length returns the announced length of the body; -1 if there is none.
func (a *Answer) Length() int { return max(a.Header.ContentLength(), -1) }

// Read reads the body. io.EOF says that it was whole.
func (a *Answer) Read(b []byte) (int, error) { return a.body.Read(b) }

// Value returns a header's value, whatever its case.
func (a *Answer) Value(name string) string {
	if v := a.Header.Peek(name); len(v) > 0 {
		return string(v)
	}
	for k, v := range a.Header.All() {
		if strings.EqualFold(string(k), name) {
			return string(v)
		}
	}
	return ""
}

// SetReadDeadline bounds the next reads of the body. A connection that has ended
// shows in them.
func (a *Answer) SetReadDeadline(t time.Time) { _ = a.c.nc.SetReadDeadline(t) }

// Close drops the answer's connection.
func (a *Answer) Close() { a.c.Close() }

// Leaving reports whether the target closes the connection after this answer.
func (a *Answer) Leaving() bool { return a.Header.ConnectionClose() }

// Finish puts the connection back if the answer was read whole and nothing
// speaks against another request on it, and closes it otherwise.
func (p *Pool) Finish(a *Answer) {
	if !a.ended || a.stray || a.Leaving() || a.Unframed() || a.c.r.Buffered() > 0 {
		a.c.Close()
		return
	}
	a.c.limit = MaxUnused
	if seconds, ok := keepAlive(a.Value("Keep-Alive")); ok {
		// The target's clock began earlier than this one.
		a.c.limit = min(MaxUnused, seconds*3/4)
	}
	p.Put(a.c)
}

// keepAlive reads how long the target keeps an idle connection.
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

// wholeReader reads a body of a known length.
type wholeReader struct {
	a    *Answer
	r    io.Reader
	left int
}

func (w *wholeReader) Read(b []byte) (int, error) {
	if w.left == 0 {
		w.a.ended = true
		return 0, io.EOF
	}
	n, err := w.r.Read(b[:min(len(b), w.left)])
	w.left -= n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkReader reads a body in chunks and the trailer after it.
type chunkReader struct {
	a *Answer
	r io.Reader
}

func (c *chunkReader) Read(b []byte) (int, error) {
	if c.a.ended {
		return 0, io.EOF
	}
	n, err := c.r.Read(b)
	if err != io.EOF {
		return n, err
	}
	for {
		line, err := c.a.c.r.ReadSlice('\n')
		if err == io.EOF {
			return n, io.ErrUnexpectedEOF
		}
		if err != nil {
			return n, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			c.a.ended = true
			return n, io.EOF
		}
	}
}

// closeReader reads a body that ends with its connection.
type closeReader struct{ a *Answer }

func (c *closeReader) Read(b []byte) (int, error) {
	n, err := c.a.c.r.Read(b)
	if err == io.EOF {
		c.a.ended = true
	}
	return n, err
}
