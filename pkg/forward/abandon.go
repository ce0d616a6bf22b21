package forward

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/socket"
)

// Abandon abandons the request in progress. It ends the direction to the target, which makes
// the target stop its work and close the connection. Reads and writes in progress end, and no
// read of the response returns bytes that arrive later.
func (c *Conn) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned.Swap(true) {
		return
	}
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || c.PeerClosed() || half.CloseWrite() != nil || c.nc.SetDeadline(time.Now()) != nil {
		c.Close()
	}
}

// setReadDeadline sets the deadline of reads. Once the request is abandoned, they fail.
func (c *Conn) setReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned.Load() {
		return os.ErrDeadlineExceeded
	}
	return c.nc.SetReadDeadline(t)
}

// PeerClosed reports whether the target had closed the connection before the request was
// abandoned.
func (c *Conn) PeerClosed() bool { return c.peerClosed.Load() }

// AwaitClose waits, after Abandon, until the target closes the connection too, and reports
// whether it does so before the deadline. It closes the connection in any case.
func (c *Conn) AwaitClose(deadline time.Time) bool {
	defer c.Close()
	if c.PeerClosed() {
		return true
	}
	if err := c.nc.SetReadDeadline(deadline); err != nil {
		return false
	}
	buffer := make([]byte, readBufferBytes)
	for read := 0; read <= maxStrayBytes; {
		n, err := c.nc.Read(buffer)
		read += n
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.resetIfAcknowledged()
			return false
		default:
			return !errors.Is(err, net.ErrClosed)
		}
	}
	return false
}

// resetIfAcknowledged makes Close send a reset to a target that has received the end of the
// requests and goes on all the same: it may take that end for a half-closed connection. A
// reset is sent only once, so that an end that is not acknowledged is better sent again.
func (c *Conn) resetIfAcknowledged() {
	if tcp, ok := c.nc.(*net.TCPConn); ok && socket.CloseAcknowledged(c.nc) {
		_ = tcp.SetLinger(0) // without it, the connection ends as usual
	}
}
