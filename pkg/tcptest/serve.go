// Package tcptest serves TCP connections to the clients under test.
package tcptest

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Serve calls handle for each connection to the returned address, and then closes the
// connection. It listens until the test ends.
func Serve(t testing.TB, handle func(c net.Conn, r *bufio.Reader)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// ServeText answers the first request of each connection with a text, whatever it asks for.
func ServeText(t testing.TB, text string) (address string) {
	t.Helper()
	return Serve(t, func(c net.Conn, r *bufio.Reader) {
		if q, err := http.ReadRequest(r); err == nil {
			_ = q.Body.Close()
			_, _ = c.Write([]byte(text)) // fails if the client has left
		}
	})
}
