package forward

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutHeads are heads of responses in all framings. Bare line feeds are not accepted.
var cutHeads = []struct {
	name, text string
	accepted   bool
}{
	{"with a length", head + "X-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n", true},
	{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Attempt-Id: a-1\r\nX-Server-Stamp: s\r\n\r\n", true},
	{"chunked", head + "X-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", true},
	{"without framing", head + "X-Server-Stamp: s\r\n\r\n", true},
	{"bare line feeds", "HTTP/1.1 200 OK\nX-Attempt-Id: a-1\nX-Server-Stamp: s\nContent-Length: 0\n\n", false},
}

// connPair returns the two ends of a TCP connection.
func connPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	near, err = net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	far, err = l.Accept()
	require.NoError(t, err)
	return near, far
}

// Guards against MIXED: a head that ends early, at whatever byte, is no response. It may
// follow informational ones or the response to an earlier request, and the connection may
// end by a close or a reset.
func TestCutHeadIsNoResponse(t *testing.T) {
	const earlier = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-0\r\nContent-Length: 2\r\n\r\nok"
	for _, before := range []struct{ name, text string }{
		{"", ""},
		{" after 100", "HTTP/1.1 100 Continue\r\n\r\n"},
		{" after 103 and 100", "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"},
		{" after an earlier response", earlier},
		{" after an earlier response and 100", earlier + "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		for _, test := range cutHeads {
			t.Run(test.name+before.name, func(t *testing.T) {
				for cut := range len(test.text) {
					for _, reset := range []bool{false, true} {
						near, far := connPair(t)
						_, err := io.WriteString(far, before.text+test.text[:cut])
						require.NoError(t, err)
						if reset {
							require.NoError(t, far.(*net.TCPConn).SetLinger(0))
						}
						require.NoError(t, far.Close())
						c := &Conn{nc: near, r: bufio.NewReaderSize(near, readBufferBytes), reused: before.text != ""}
						_, err = c.Receive("POST", "a-1", time.Now().Add(time.Minute))
						require.Error(t, err, "%q", test.text[:cut])
						require.NoError(t, near.Close())
					}
				}
				_, err := receive(t, before.text+test.text)
				require.Equal(t, test.accepted, err == nil, "%v", err)
			})
		}
	}
}
