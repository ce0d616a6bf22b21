package control

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
)

// A reply with a malformed head counts neither as an entry's reply nor as a gateway's page.
func TestMalformedHeadsOfReplies(t *testing.T) {
	for _, head := range []struct {
		begin string
		sound bool
	}{
		{"HTTP/1.1 200 OK\r\n", true}, {"HTTP/1.1 000 OK\r\n", false}, {"HTTP/1.1 200 OK\r\nX A: 1\r\n", false}, {"HTTP/1.1 200 OK\r\nX-A : 1\r\n", false},
	} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, head.begin+"Content-Length: 2\r\n\r\n{}")
				}
				_ = c.Close()
			}
		}()
		_, replyErr := NewClient("http://"+l.Addr().String(), "token").Query("x")
		var page map[string]any
		pageErr := readGatewayPage(l.Addr().String(), "/bans", &page)
		for _, err := range []error{replyErr, pageErr} {
			if head.sound {
				require.NoError(t, err)
				continue
			}
			require.ErrorIs(t, err, httphead.ErrMalformed, "%q", head.begin)
		}
	}
}
