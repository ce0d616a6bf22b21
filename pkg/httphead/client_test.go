package httphead_test

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
	"github.com/hyssoproad/hyssoproad/pkg/tcptest"
)

// pipeConn reads from a reader and drops what is written.
type pipeConn struct {
	net.Conn
	io.Reader
}

// Read reads from the reader.
func (c pipeConn) Read(b []byte) (int, error) { return c.Reader.Read(b) }

// Write drops b.
func (c pipeConn) Write(b []byte) (int, error) { return len(b), nil }

// A connection hands out no head that a parser could take for complete if it is malformed, in
// whatever parts it arrives, and all bytes of a sound one.
func TestConnOfMalformedHeads(t *testing.T) {
	for _, test := range heads {
		t.Run(test.name, func(t *testing.T) {
			text := test.text + "\r\n"
			if strings.HasPrefix(text, "HTTP/1.1 1") {
				text += "HTTP/1.1 200 OK\r\n\r\n"
			}
			text += "body 1\n X A: 1\n\n"
			for _, source := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.HalfReader(strings.NewReader(text))} {
				c := httphead.NewConn(pipeConn{Reader: source})
				read, err := io.ReadAll(c)
				if test.sound {
					require.NoError(t, err)
					require.Equal(t, text, string(read))
					continue
				}
				require.ErrorIs(t, err, httphead.ErrMalformed)
				require.True(t, strings.HasPrefix(text, string(read)))
				var head fasthttp.ResponseHeader
				require.Error(t, head.Read(bufio.NewReader(strings.NewReader(string(read)))))
			}
		})
	}
}

// The lines after the last chunk are checked like those of a head, and nothing of the chunks
// themselves is. What is no chunk is left to the client.
func TestConnOfTrailers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const chunks = "a;x=1\r\nX A: 1\n\r\n\n\r\n1 \r\n\n\r\n"
	for _, test := range []struct {
		name, text string
		sound      bool
	}{
		{"no trailer", head + chunks + "0\r\n\r\n", true},
		{"trailer", head + chunks + "000;y\r\nX-T: 1\r\n 2\r\n\r\n", true},
		{"bytes after the trailer", head + chunks + "0\r\n\r\nX T: 1\r\n", true},
		{"unreadable size", head + "x\r\n0\r\nX T: 1\r\n\r\n", true},
		{"negative size", head + "-5\r\n0\r\nX T: 1\r\n\r\n", true},
		{"cut chunk", head + "ffff\r\n0\r\nX T: 1\r\n\r\n", true},
		{"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n0\r\nX T: 1\r\n\r\n", true},
		{"space in a name", head + chunks + "0\r\nX T: 1\r\n\r\n", false},
		{"space before the colon", head + chunks + "0\r\nX-U: 1\r\nX-T : 1\r\n\r\n", false},
		{"control byte in a name", head + "0\r\nX\x01T: 1\r\n\r\n", false},
		{"chunk size without end", head + "1;" + strings.Repeat("x", 100<<10), false},
		{"bare line feed", head + chunks + "0\r\nX-T: 1\n\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, source := range []io.Reader{strings.NewReader(test.text), iotest.OneByteReader(strings.NewReader(test.text)), iotest.HalfReader(strings.NewReader(test.text))} {
				read, err := io.ReadAll(httphead.NewConn(pipeConn{Reader: source}))
				if test.sound {
					require.NoError(t, err)
					require.Equal(t, test.text, string(read))
					continue
				}
				require.ErrorIs(t, err, httphead.ErrMalformed)
				var res fasthttp.Response
				require.Error(t, res.Read(bufio.NewReader(strings.NewReader(string(read)))))
			}
		})
	}
}

// serve answers the requests of all connections with the texts in turn.
func serve(t *testing.T, texts ...string) (address string) {
	t.Helper()
	answers := make(chan string, len(texts))
	for _, text := range texts {
		answers <- text
	}
	return tcptest.Serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, <-answers)
		}
	})
}

// Calls fail with the fault that the head has, and the connection is not used again.
func TestClientReportsMalformedHeads(t *testing.T) {
	const sound = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, malformed := range []string{"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nok"} {
		dials := 0
		client := &fasthttp.Client{
			ConfigureClient: httphead.Configure,
			RetryIfErr:      func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial: func(address string) (net.Conn, error) {
				dials++
				return fasthttp.Dial(address)
			},
		}
		url := "http://" + serve(t, sound, sound, malformed, sound) + "/"
		for i, ok := range []bool{true, true, false, true} {
			status, body, err := client.GetTimeout(nil, url, 10*time.Second)
			require.Equal(t, ok, err == nil, "call %d: %v", i, err)
			if ok {
				require.Equal(t, 200, status)
				require.Equal(t, "ok", string(body))
				continue
			}
			require.ErrorIs(t, err, httphead.ErrMalformed)
			require.ErrorContains(t, err, "in line")
		}
		require.Equal(t, 2, dials)
	}
}

// Clients of servers with TLS check what is decrypted.
func TestClientChecksHeadsOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		c, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = out.WriteString("HTTP/1.1 " + q.URL.Path[1:] + " X\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
		_ = out.Flush()
		_ = c.Close()
	}))
	defer server.Close()
	client := &fasthttp.Client{ConfigureClient: httphead.Configure, TLSConfig: server.Client().Transport.(*http.Transport).TLSClientConfig}
	status, body, err := client.Get(nil, server.URL+"/200")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "ok", string(body))
	_, _, err = client.Get(nil, server.URL+"/000")
	require.ErrorIs(t, err, httphead.ErrMalformed)

	strict := &fasthttp.Client{ConfigureClient: httphead.Configure, TLSConfig: &tls.Config{MinVersion: tls.VersionTLS12}}
	_, _, err = strict.Get(nil, server.URL+"/200")
	require.ErrorContains(t, err, "certificate")
}
