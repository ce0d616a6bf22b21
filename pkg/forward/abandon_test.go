package forward_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
)

// A target learns at once that a request is given up, and the gateway whether it has ended
// it. A target that takes the end of the requests for a half-closed connection gets a reset.
func TestAbandonTellsTheTarget(t *testing.T) {
	for _, test := range []struct {
		name   string
		target func(c *net.TCPConn) error // returns what ended the connection
		closed bool
		ended  error
	}{
		{"it closes", func(c *net.TCPConn) error {
			_, err := io.Copy(io.Discard, c)
			return firstError(err, c.Close())
		}, true, nil},
		{"it closes after an event", func(c *net.TCPConn) error {
			_, err := io.Copy(io.Discard, c)
			_, writeErr := io.WriteString(c, "id: 1\ndata: 1\n\n")
			return firstError(err, writeErr, c.Close())
		}, true, nil},
		{"it goes on in silence", func(c *net.TCPConn) error {
			_, err := io.Copy(io.Discard, c)
			if err != nil {
				return errors.Trace(err)
			}
			for range 400 {
				time.Sleep(5 * time.Millisecond)
				if err := socketError(c); err != nil {
					return err
				}
			}
			return nil
		}, false, syscall.ECONNRESET},
		{"it goes on to send", func(c *net.TCPConn) error {
			for {
				if _, err := c.Write(make([]byte, 1000)); err != nil {
					return errors.Trace(err)
				}
			}
		}, false, syscall.ECONNRESET},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			ended := make(chan error, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					ended <- err
					return
				}
				ended <- test.target(c.(*net.TCPConn))
			}()
			p := newPatientPool()
			c, err := p.Get(context.Background(), l.Addr().String(), "a-1", 0)
			require.NoError(t, err)
			require.NoError(t, c.Send([]byte("GET / HTTP/1.1\r\n\r\n"), time.Now().Add(time.Minute)))
			c.Abandon()
			require.False(t, c.PeerClosed())
			wait := 200 * time.Millisecond
			if test.closed {
				wait = time.Minute
			}
			require.Equal(t, test.closed, c.AwaitClose(time.Now().Add(wait)))
			if err := <-ended; test.ended == nil {
				require.NoError(t, err)
			} else {
				require.True(t, errors.Is(err, test.ended) || errors.Is(err, syscall.EPIPE), "%v", err)
			}
		})
	}
}

// newPatientPool returns a pool that waits long for connections: a busy machine may not run
// this process for longer than the usual limit.
func newPatientPool() *forward.Pool {
	p := forward.NewPool()
	p.DialTimeout = time.Minute
	return p
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// socketError returns the pending error of a connection that is not read.
func socketError(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	var number int
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		number, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	}); err != nil || optionErr != nil {
		return firstError(err, optionErr)
	}
	if number != 0 {
		return syscall.Errno(number)
	}
	return nil
}

// A caller leaves while its request is sent to a target that does not read, or while the
// response is awaited: neither is waited for, whatever deadline is set meanwhile.
func TestEndOfARequestEndsWhatItWaitsFor(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	far := time.Now().Add(time.Hour)
	for _, test := range []struct {
		name string
		wait func(c *forward.Conn) error
	}{
		{"a send", func(c *forward.Conn) error { return c.Send(make([]byte, 64<<20), far) }},
		{"a response", func(c *forward.Conn) error { _, err := c.Receive("GET", "a-1", far); return err }},
		{"a response that is not awaited yet", func(c *forward.Conn) error {
			time.Sleep(50 * time.Millisecond)
			_, err := c.Receive("GET", "a-1", far)
			return err
		}},
	} {
		p := newPatientPool()
		c, err := p.Get(context.Background(), l.Addr().String(), "a-1", 0)
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		c.Bind(ctx)
		time.AfterFunc(20*time.Millisecond, cancel)
		require.Error(t, test.wait(c), test.name)
		require.False(t, c.AwaitClose(time.Now().Add(10*time.Millisecond)), "the target has not closed it")
	}
}
