package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
	"github.com/hyssoproad/hyssoproad/pkg/socket"
	"github.com/hyssoproad/hyssoproad/platform"
)

// writeTimeout is how long a caller may read nothing of its response.
const writeTimeout = 5 * time.Second

// errCallerDisconnected is in the chain of the cancellation cause of a request whose caller
// has closed its connection. The cause has the message of the read that shows it.
const errCallerDisconnected = errors.ConstError("caller disconnected")

// callerConn is one caller's connection.
type callerConn struct {
	g  *Gateway
	nc net.Conn
	r  *bufio.Reader
	// out buffers response bytes that are not written yet.
	out []byte
	// held holds what the caller has not read of a stream; nil until there is one.
	held *heldOutput
	// unreadLogged reports whether it was logged that the caller does not read the response.
	unreadLogged bool
	// streaming is the context of the stream that is being written, or nil.
	streaming context.Context
	// served reports whether the connection has carried a request.
	served bool
	// delayed says that the response is kept back in out, and delayedCap is the capacity
	// that counts in the body buffers for it.
	delayed    bool
	delayedCap int
	response   responseState
	// closeAfterResponse reports whether the connection closes after the current
	// response.
	closeAfterResponse bool
	http11             bool
}

// serve handles the connection's requests one after the other.
func (c *callerConn) serve() {
	defer c.nc.Close()
	for c.serveNext() {
	}
}

// serveNext serves one request and reports whether the connection can carry
// another.
func (c *callerConn) serveNext() bool {
	limits := c.g.limits()
	_, err := c.r.Peek(1)
	c.g.conns.set(c, connReading)
	if err != nil && !c.requestPending(err) {
		return false
	}
	// A stop waits for requests from their first byte on.
	c.g.active.Add(1)
	defer c.g.active.Add(-1)
	began := time.Now()
	_ = c.nc.SetReadDeadline(began.Add(limits.HeaderTimeout))
	q := &request{}
	if err := c.readRequest(q, limits); err != nil {
		q.releaseBody(c.g.bodies)
		c.g.conns.set(c, connServing)
		c.rejectUnreadable(q, err)
		return false
	}
	c.g.conns.set(c, connServing)
	_ = c.nc.SetReadDeadline(time.Time{})
	c.closeAfterResponse, c.http11, c.unreadLogged = !q.keepAlive || c.g.stop.begun(), q.head.IsHTTP11(), false
	c.response.await(c.http11)
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	q.ctx = ctx
	peekErr := make(chan error, 1)
	go c.watchForClose(ctx, cancel, peekErr)
	// A response that started before the stop did not announce the close, so its
	// connection carries another request, whose response does.
	reusable := c.g.handle(ctx, c, q, began)
	q.releaseBody(c.g.bodies)
	delivered := c.awaitDelivery(q)
	c.response.end()
	if !delivered || !reusable || c.closeAfterResponse {
		return false
	}
	return c.awaitNext(peekErr, limits.IdleTimeout)
}

// awaitDelivery waits until the caller has read what is held of its stream, and reports
// whether it has.
func (c *callerConn) awaitDelivery(q *request) bool {
	if c.streaming == nil {
		return true
	}
	c.streaming = nil
	c.g.conns.setUnread(c, q)
	defer c.g.conns.set(c, connServing)
	err := c.held.await(q.ctx)
	if err != nil {
		c.logCut(q, err)
	}
	return err == nil
}

// awaitNext waits for the connection's next request and reports whether it arrived.
func (c *callerConn) awaitNext(peekErr <-chan error, idleTimeout time.Duration) bool {
	c.g.active.Add(-1)
	defer c.g.active.Add(1)
	_ = c.nc.SetReadDeadline(time.Now().Add(idleTimeout))
	c.served = true
	c.g.conns.set(c, connIdle)
	err := <-peekErr
	return err == nil || c.requestPending(err)
}

// requestPending reports whether a request has arrived although the wait for it ended
// with the given error.
func (c *callerConn) requestPending(err error) bool {
	return isTimeout(err) && !socket.Quiet(c.nc) && c.nc.SetReadDeadline(time.Time{}) == nil
}

// watchForClose waits for the connection's next byte. It cancels the current
// request when the caller closes the connection, but not when it has closed its sending
// side only.
func (c *callerConn) watchForClose(ctx context.Context, cancel context.CancelCauseFunc, peekErr chan<- error) {
	_, err := c.r.Peek(1)
	switch {
	case err == nil || isTimeout(err):
	case err == io.EOF && c.isHalfClosed(ctx):
		c.g.metrics.halfClosed.Inc(1)
	default:
		cancel(errors.WithType(err, errCallerDisconnected))
	}
	peekErr <- err
}

func (c *callerConn) readRequest(q *request, limits platform.Limits) error {
	f, err := q.readHead(c.r)
	if err != nil {
		return err
	}
	c.g.conns.set(c, connReadingBody)
	if f.expect && (f.chunked || f.length > 0) && f.length <= limits.BodyBytes {
		if err := writeInterim(c.nc); err != nil {
			return err
		}
	}
	err = q.readBody(c.r, f, limits.BodyBytes, c.g.bodies)
	if !isTimeout(err) || !c.g.stop.begun() {
		return err
	}
	return errUnreadAtStop
}

// errUnreadAtStop is the rejection of a request whose body the stop of the process leaves
// no time for.
var errUnreadAtStop = reject(fasthttp.StatusServiceUnavailable, reasonStopping)

// rejectUnreadable responds to a request that could not be read.
func (c *callerConn) rejectUnreadable(q *request, err error) {
	var r *rejection
	if !errors.As(err, &r) {
		c.g.metrics.unreadable.Inc(1)
		c.g.Info("msg", "request not read", "request", q.attempt, "remote", c.nc.RemoteAddr(), "err", err, "stopping", c.g.stop.begun())
		return
	}
	c.g.Info("msg", "request rejected", "request", q.attempt, "remote", c.nc.RemoteAddr(), "status", r.status, "reason", r.reason)
	c.closeAfterResponse = true
	wait := time.Duration(0)
	switch {
	case err == errUnreadAtStop:
		c.g.metrics.refused.Inc(1)
		c.g.Info("msg", "refused", "request", q.attempt, "reason", r.reason, "cause", "body incomplete")
		wait = c.g.addJitter(c.g.stop.retryAfter())
	case r.status == fasthttp.StatusServiceUnavailable:
		wait = c.g.addJitter(memoryRetryAfter)
	}
	_ = c.writeError(r.status, r.reason, wait)
	// Closing a connection with unread bytes sends a reset, which may overtake the
	// response. So the write side is closed first and the unread bytes are
	// discarded.
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = c.r.WriteTo(discard{})
	}
}

// memoryRetryAfter is the Retry-After time of a request for whose body there is no memory:
// about the time that a large body takes to arrive and to be forwarded.
const memoryRetryAfter = time.Second

// lingerTimeout bounds how long the remaining bytes of a rejected caller are read
// and discarded.
const lingerTimeout = 300 * time.Millisecond

type discard struct{}

// Write discards b.
func (discard) Write(b []byte) (int, error) { return len(b), nil }

// writeError writes an error response of the gateway itself.
func (c *callerConn) writeError(status int, reason string, retryAfter time.Duration) error {
	body := `{"reason":` + strconv.Quote(reason) + "}\n"
	c.out = appendStatus(c.out[:0], status)
	c.out = appendHeader(c.out, "Content-Type", "application/problem+json")
	if status == fasthttp.StatusUnauthorized {
		c.out = appendHeader(c.out, "WWW-Authenticate", "ApiKey") // RFC 9110 asks for a scheme
	}
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

func (c *callerConn) appendConnection(b []byte) []byte {
	if c.g.stop.begun() {
		c.closeAfterResponse = true
	}
	if c.closeAfterResponse {
		return append(b, "Connection: close\r\n"...)
	}
	if !c.http11 {
		return append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}

// appendResponseHead appends a target's status line and end-to-end headers.
func (c *callerConn) appendResponseHead(b []byte, res *forward.Response) []byte {
	b = appendStatus(b, res.Status)
	for k, v := range res.Header.All() {
		if !notForwarded[strings.ToLower(string(k))] {
			b = append(b, k...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return c.appendConnection(b)
}

// writeResponse writes a target's response with its complete body.
func (c *callerConn) writeResponse(res *forward.Response, body []byte, method string) error {
	c.out = c.appendResponseHead(c.out[:0], res)
	length := len(body)
	if method == fasthttp.MethodHead {
		length = max(res.Length(), 0)
	}
	if res.Status != fasthttp.StatusNoContent && res.Status != fasthttp.StatusNotModified {
		c.out = appendHeader(c.out, "Content-Length", strconv.Itoa(length))
	}
	c.out = append(c.out, "\r\n"...)
	return c.flushWith(body)
}

// beginStream buffers the head of a response whose body is sent in parts until ctx ends.
func (c *callerConn) beginStream(ctx context.Context, res *forward.Response) {
	if c.held == nil {
		c.held = newHeldOutput(c.nc, c.g.bodies)
	}
	c.streaming = ctx
	if !c.http11 {
		c.closeAfterResponse = true
	}
	c.out = c.appendResponseHead(c.out[:0], res)
	if c.http11 {
		c.out = appendHeader(c.out, "Transfer-Encoding", "chunked")
	}
	c.out = append(c.out, "\r\n"...)
}

// writeBodyPart writes one part of the body.
func (c *callerConn) writeBodyPart(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if !c.http11 {
		return c.flushWith(b)
	}
	c.out = strconv.AppendInt(c.out, int64(len(b)), 16)
	c.out = append(c.out, "\r\n"...)
	if len(b) <= maxCopiedBytes {
		c.out = append(append(c.out, b...), "\r\n"...)
		return c.flush()
	}
	if err := c.flushWith(b); err != nil {
		return errors.Trace(err)
	}
	c.out = append(c.out, "\r\n"...)
	return c.flush()
}

// endStream writes the end of the body.
func (c *callerConn) endStream() error {
	if c.http11 {
		c.out = append(c.out, "0\r\n\r\n"...)
	}
	if c.held.isWriting() {
		out := c.out
		c.out = nil
		return errors.Trace(c.held.addEnd(out))
	}
	return c.flush()
}

const (
	// maxCopiedBytes is the size up to which bytes are copied to be written together with
	// others.
	maxCopiedBytes = 4 << 10
	// keptOutBytes is the capacity that the buffer of a connection keeps between responses.
	keptOutBytes = 8 << 10
)

// flush writes the buffered bytes, unless the response is kept back.
func (c *callerConn) flush() error {
	if len(c.out) == 0 || c.delayed {
		return nil
	}
	err := c.write(c.out)
	c.releaseDelayed()
	if c.out = c.out[:0]; cap(c.out) > keptOutBytes {
		c.out = nil
	}
	return errors.Trace(err)
}

// flushWith writes the buffered bytes and then body, which is copied only if it is small.
func (c *callerConn) flushWith(body []byte) error {
	if len(body) <= maxCopiedBytes || c.delayed {
		c.out = append(c.out, body...)
		return c.flush()
	}
	if err := c.flush(); err != nil {
		return errors.Trace(err)
	}
	return c.write(body)
}

func (c *callerConn) write(b []byte) error {
	c.response.begin()
	if c.streaming == nil {
		return errors.Trace(writeWhileRead(c.nc, b))
	}
	held, err := c.held.write(c.streaming, b)
	if held {
		c.g.metrics.heldWrites.Inc(1)
	}
	return errors.Trace(err)
}
