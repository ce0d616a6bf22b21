package httphead

import (
	"bytes"
	"net"
	"strconv"
)

// maxLineBytes bounds what is kept of an unfinished line. It is above the buffers of clients,
// which bound the lines of heads.
const maxLineBytes = 64 << 10

// part is a part of a response.
type part uint8

const (
	partHead part = iota
	partChunkSize
	partChunk // with the line end after it
	partTrailer
	partUnchecked // a body without chunks, or what the client has to judge
)

// Conn is a client's connection that checks the heads and trailers of the responses on it. The
// client has to write a request before it reads the response, as HTTP clients without
// pipelining do.
type Conn struct {
	net.Conn
	part    part
	checker Checker
	line    []byte // what was read of an unfinished line
	left    int64  // bytes of the chunk that were not read
	err     error  // the fault of a malformed line
}

// NewConn returns a connection that checks what arrives on nc.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Write writes a part of a request. The next bytes to read are a head.
func (c *Conn) Write(b []byte) (int, error) {
	c.part, c.checker, c.line = partHead, Checker{}, c.line[:0]
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
	for sound < len(b) {
		switch c.part {
		case partUnchecked:
			return len(b)
		case partChunk:
			n := min(c.left, int64(len(b)-sound))
			sound += int(n)
			if c.left -= n; c.left == 0 {
				c.part = partChunkSize
			}
			continue
		}
		length := bytes.IndexByte(b[sound:], '\n') + 1
		if length == 0 {
			c.line = append(c.line, b[sound:]...)
			if len(c.line) > maxLineBytes {
				c.err = malformed("no line feed", c.line)
				return sound
			}
			return len(b)
		}
		line := b[sound : sound+length]
		if len(c.line) > 0 {
			c.line = append(c.line, line...)
			line = c.line
		}
		if c.err = c.checkLine(line); c.err != nil {
			return sound + length - 1
		}
		c.line = c.line[:0]
		sound += length
	}
	return len(b)
}

// checkLine checks a line outside of chunks, and finds out what follows it.
func (c *Conn) checkLine(line []byte) error {
	if c.part == partChunkSize {
		c.beginChunk(line)
		return nil
	}
	end, err := c.checker.Line(line)
	switch {
	case err != nil || !end:
		return err
	case c.part == partHead && c.checker.isInformational():
		c.checker = Checker{}
	case c.part == partHead && c.checker.hasCoding:
		c.part = partChunkSize
	default:
		c.part = partUnchecked
	}
	return nil
}

// beginChunk reads the size of a chunk. The client judges one that can't be read.
func (c *Conn) beginChunk(line []byte) {
	digits, _, _ := bytes.Cut(line, []byte{';'})
	size, err := strconv.ParseInt(string(bytes.TrimSpace(digits)), 16, 32)
	switch {
	case err != nil || size < 0:
		c.part = partUnchecked
	case size == 0:
		c.part, c.checker = partTrailer, Trailer()
	default:
		c.part, c.left = partChunk, size+int64(len(crlf))
	}
}
