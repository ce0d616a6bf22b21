package gateway

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// resetWait is how long the reset may take with which a host answers bytes to a
	// connection that is closed: a few round trips. Until then an abandoned request may
	// still run.
	resetWait = 250 * time.Millisecond
	// resetPollInterval is how often a connection is looked at for the reset.
	resetPollInterval = 25 * time.Millisecond
)

// interimResponse may precede the response to any HTTP/1.1 request (RFC 9110, section 15.2).
const interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// responseState guards the place of an interim response: after the whole request, and before
// the first byte of its response.
type responseState struct {
	mu       sync.Mutex
	awaited  bool // the response is not complete
	begun    bool // bytes of it were written
	interims bool // the caller understands interim responses
}

// await records that a response is due.
func (s *responseState) await(interims bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaited, s.begun, s.interims = true, false, interims
}

// begin records that bytes of the response are written from now on.
func (s *responseState) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = true
}

// end records that the response is complete, or will not be.
func (s *responseState) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaited = false
}

// probe makes the caller's host tell whether the connection is closed: by the bytes of the
// response that are being written, or else by an interim response. It reports whether the
// host will tell.
func (s *responseState) probe(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.awaited:
		return false
	case s.begun:
		return true
	case !s.interims:
		return false
	}
	return writeInterim(nc) == nil
}

// writeInterim writes an interim response. The deadline of an earlier write may have passed.
func writeInterim(nc net.Conn) error {
	if err := nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Trace(err)
	}
	_, err := io.WriteString(nc, interimResponse)
	return errors.Trace(err)
}

// isHalfClosed reports whether a caller that sends nothing more still reads: then its host
// does not answer further bytes with a reset. It takes up to resetWait.
func (c *callerConn) isHalfClosed(ctx context.Context) bool {
	if !c.g.halfClosed(c.nc) || !c.response.probe(c.nc) {
		return false
	}
	poll := time.NewTicker(resetPollInterval)
	defer poll.Stop()
	for end := time.Now().Add(resetWait); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return false
		case <-poll.C:
		}
		if !c.g.halfClosed(c.nc) {
			return false
		}
	}
	return true
}

// callerDisconnected reports whether the caller has closed its connection.
func (x *exchange) callerDisconnected() bool { return hasDisconnected(x.ctx) }

// hasDisconnected reports whether the caller whose request the context is of has closed its
// connection.
func hasDisconnected(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errCallerDisconnected)
}
