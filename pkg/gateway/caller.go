package gateway

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
	"github.com/hyssoproad/hyssoproad/platform"
)

// writeTimeout is how long a caller may leave its answer unread.
const writeTimeout = 5 * time.Second

// errCallerGone ends the work on a request whose caller has closed its
// connection.
const errCallerGone = errors.ConstError("caller gone")

// caller is one connection of a caller.
type caller struct {
	g  *Gateway
	nc net.Conn
	r  *bufio.Reader
	// out holds the bytes of the answer that were not yet written.
	out []byte
	// served says that the connection has carried a request.
	served bool
	// begun says that bytes of the present answer were written.
	begun bool
	// closing says that the connection ends after the present answer.
	closing bool
	http11  bool
	// lastResort says that the balancer sent the connection here although it has had
	// time to notice that the process stops: it has no other entry to choose.
	lastResort bool
}

// stopRetryAfter is when a request that cannot end before the process does, at the
// given time, may come back.
func (c *caller) stopRetryAfter(stopAt time.Time) time.Duration {
	if c.lastResort {
		return time.Until(stopAt) + restartTime
	}
	return otherEntryRetryAfter
}

// serve answers the connection's requests one after the other.
func (c *caller) serve() {
	defer c.nc.Close()
	for c.next() {
	}
}

// next serves one request and reports whether another may follow.
func (c *caller) next() bool {
	limits := c.g.limits()
	_, err := c.r.Peek(1)
	c.g.idle(c, false)
	if err != nil {
		return false
	}
	began := time.Now()
	_ = c.nc.SetReadDeadline(began.Add(limits.HeaderTimeout))
	q := &request{}
	if err := c.read(q, limits); err != nil {
		c.refuseUnread(err)
		return false
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	c.g.active.Add(1)
	defer c.g.active.Add(-1)
	c.begun, c.closing, c.http11 = false, !q.keepAlive || c.g.stopping.Load(), q.head.IsHTTP11()
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	peeked := make(chan error, 1)
	go c.watch(cancel, peeked)
	// An answer that began before the stop did not announce the close; a request
	// that crosses it was not read, and is the caller's to send again.
	if !c.g.handle(ctx, c, q, began) || c.closing || c.g.stopping.Load() {
		return false
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	c.served = true
	c.g.idle(c, true)
	return <-peeked == nil
}

// watch waits for the connection's next byte or end, and ends the work on the
// present request when the caller has gone.
func (c *caller) watch(cancel context.CancelCauseFunc, peeked chan<- error) {
	_, err := c.r.Peek(1)
	if err != nil {
		cancel(errCallerGone)
	}
	peeked <- err
}

func (c *caller) read(q *request, limits platform.Limits) error {
	f, err := q.readHead(c.r)
	if err != nil {
		return err
	}
	if f.expect && (f.chunked || f.length > 0) && f.length <= limits.BodyBytes {
		if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	return q.readBody(c.r, f, limits.BodyBytes)
}

// refuseUnread answers a request that could not be read.
func (c *caller) refuseUnread(err error) {
	var r *rejection
	if !errors.As(err, &r) {
		return
	}
	c.g.Debug("msg", "request rejected", "remote", c.nc.RemoteAddr(), "status", r.status, "reason", r.reason)
	c.closing, c.begun = true, false
	_ = c.problem(r.status, r.reason, 0)
	// A reset would reach the caller before the answer if unread bytes are
	// dropped with the connection.
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = c.r.WriteTo(discard{})
	}
}

// lingerTime is how long a rejected caller's further bytes are read over.
const lingerTime = 300 * time.Millisecond

type discard struct{}

// Write drops b.
func (discard) Write(b []byte) (int, error) { return len(b), nil }

// problem answers with a failure of the system's own.
func (c *caller) problem(status int, reason string, retryAfter time.Duration) error {
	body := `{"reason":` + strconv.Quote(reason) + "}\n"
	c.out = appendStatus(c.out[:0], status)
	c.out = appendHeader(c.out, "Content-Type", "application/problem+json")
	if retryAfter > 0 {
		c.out = appendHeader(c.out, "Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	c.out = appendHeader(c.out, "Content-Length", strconv.Itoa(len(body)))
	c.out = c.appendConnection(c.out)
	c.out = append(c.out, "\r\n"...)
	c.out = append(c.out, body...)
	return c.flush()
}

func appendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, fasthttp.StatusMessage(status)...)
	return append(b, "\r\n"...)
}

func (c *caller) appendConnection(b []byte) []byte {
	if c.g.stopping.Load() {
		c.closing = true
	}
	if c.closing {
		return append(b, "Connection: close\r\n"...)
	}
	if !c.http11 {
		return append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}

// appendAnswerHead appends a target's status and end-to-end headers.
func (c *caller) appendAnswerHead(b []byte, a *forward.Answer) []byte {
	b = appendStatus(b, a.Status)
	for k, v := range a.Header.All() {
		if !dropped[strings.ToLower(string(k))] {
			b = append(b, k...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return c.appendConnection(b)
}

// whole answers with a target's answer and its whole body.
func (c *caller) whole(a *forward.Answer, body []byte, method string) error {
	c.out = c.appendAnswerHead(c.out[:0], a)
	length := len(body)
	if method == fasthttp.MethodHead {
		length = max(a.Length(), 0)
	}
	if a.Status != fasthttp.StatusNoContent && a.Status != fasthttp.StatusNotModified {
		c.out = appendHeader(c.out, "Content-Length", strconv.Itoa(length))
	}
	c.out = append(c.out, "\r\n"...)
	c.out = append(c.out, body...)
	return c.flush()
}

// beginStream queues the head of an answer whose body comes in parts.
func (c *caller) beginStream(a *forward.Answer) {
	if !c.http11 {
		c.closing = true
	}
	c.out = c.appendAnswerHead(c.out[:0], a)
	if c.http11 {
		c.out = appendHeader(c.out, "Transfer-Encoding", "chunked")
	}
	c.out = append(c.out, "\r\n"...)
}

// part writes the next part of a body.
func (c *caller) part(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if !c.http11 {
		c.out = append(c.out, b...)
		return c.flush()
	}
	c.out = strconv.AppendInt(c.out, int64(len(b)), 16)
	c.out = append(c.out, "\r\n"...)
	c.out = append(c.out, b...)
	c.out = append(c.out, "\r\n"...)
	return c.flush()
}

// endStream marks the body as whole.
func (c *caller) endStream() error {
	if c.http11 {
		c.out = append(c.out, "0\r\n\r\n"...)
	}
	return c.flush()
}

func (c *caller) flush() error {
	if len(c.out) == 0 {
		return nil
	}
	c.begun = true
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.nc.Write(c.out)
	c.out = c.out[:0]
	return errors.Trace(err)
}
