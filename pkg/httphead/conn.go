package httphead

import (
	"bytes"
	"net"
)

// Conn is a client's connection that checks the heads of the responses on it. The client has
// to write a request before it reads the response, as HTTP clients without pipelining do.
type Conn struct {
	net.Conn
	checker  Checker
	line     []byte // the part that was read of an unfinished line
	complete bool   // the whole head of the response was read
	err      error  // the fault of a malformed head
}

// NewConn returns a connection that checks the heads that arrive on nc.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Write writes a part of a request. The next bytes to read are a head.
func (c *Conn) Write(b []byte) (int, error) {
	c.checker, c.line, c.complete = Checker{}, c.line[:0], false
	return c.Conn.Write(b)
}

// Read reads a part of a response. A malformed line is returned without its line feed, and
// then ErrMalformed: no parser takes that head for complete, and fasthttp does not report the
// error of a connection on which no byte has arrived.
func (c *Conn) Read(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(b)
	sound := c.check(b[:n])
	switch {
	case c.err == nil:
		return n, err
	case sound == 0:
		return 0, c.err
	}
	return sound, nil
}

// check checks bytes that were read. It returns how many precede the end of a malformed line.
func (c *Conn) check(b []byte) (sound int) {
	for !c.complete && sound < len(b) {
		length := bytes.IndexByte(b[sound:], '\n') + 1
		if length == 0 {
			c.line = append(c.line, b[sound:]...)
			return len(b)
		}
		line := b[sound : sound+length]
		if len(c.line) > 0 {
			c.line = append(c.line, line...)
			line = c.line
		}
		end, err := c.checker.Line(line)
		if err != nil {
			c.err = err
			return sound + length - 1
		}
		if end {
			c.complete = !c.checker.Informational()
			c.checker = Checker{}
		}
		c.line = c.line[:0]
		sound += length
	}
	return len(b)
}
