package control

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// A reply that announces more bytes than any entry sends is an error at once.
func TestRepliesWithoutEndAreBounded(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n")
		_, _ = io.Copy(io.Discard, c) // until the client closes
	}()
	_, err = NewClient("http://"+l.Addr().String(), "token").call("GET", "/v1/x", nil)
	require.ErrorIs(t, err, fasthttp.ErrBodyTooLarge)
}
