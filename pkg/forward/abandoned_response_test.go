package forward_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
)

// promptTarget is a connection whose target writes the rest of its response, and closes, as
// soon as it sees the end of the requests: while the abandoned request is still being read.
type promptTarget struct {
	net.Conn
	target net.Conn
	rest   string
	closes bool
}

// CloseWrite returns once the rest has been read.
func (p promptTarget) CloseWrite() error {
	_, err := io.WriteString(p.target, p.rest)
	if p.closes {
		err = firstError(err, p.target.Close())
		time.Sleep(time.Millisecond) // virtual: the read ends first
	}
	return err
}

// Guards against the answers of targets that end a request properly once its connection is
// half closed: a caller got one without a body, as a complete response.
func TestResponseAfterAbandonIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\n"
	for _, test := range []struct {
		name, before, rest string
		closes             bool
	}{
		{"a whole response", "", head + "Content-Length: 0\r\n\r\n", false},
		{"the last chunk", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "0\r\n\r\n", false},
		{"the rest of a length", head + "Content-Length: 6\r\n\r\nabc", "def", false},
		{"the end of a body without length", head + "\r\nabc", "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer far.Close()
				p := forward.NewPool()
				p.Dial = func(context.Context, string) (net.Conn, error) {
					return promptTarget{near, far, test.rest, test.closes}, nil
				}
				c, err := p.Get(t.Context(), "target", "a-1", 0)
				require.NoError(t, err)
				read := make(chan error, 1)
				go func() {
					res, err := c.Receive("GET", "a-1", time.Now().Add(time.Minute))
					if err == nil {
						_, err = io.ReadAll(res)
					}
					read <- err
				}()
				_, err = io.WriteString(far, test.before)
				require.NoError(t, err)
				synctest.Wait()
				c.Abandon()
				require.Error(t, <-read)
				require.False(t, c.PeerClosed(), "it had not closed before")
				c.Close()
			})
		})
	}
}
