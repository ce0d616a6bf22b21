package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// receive reads the head of a response that the target writes before it closes the
// connection.
func receive(t *testing.T, text string) (*Response, error) {
	t.Helper()
	near, far := net.Pipe()
	go func() {
		_, _ = io.WriteString(far, text)
		_ = far.Close()
	}()
	c := &Conn{nc: near, r: bufio.NewReaderSize(near, readBufferBytes)}
	return c.Receive("POST", "a-1", time.Now().Add(time.Minute))
}

const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\n"

func TestDetectsIncompleteBodies(t *testing.T) {
	for _, test := range []struct {
		name, text, body string
		complete         bool
	}{
		{"a length", head + "Content-Length: 3\r\n\r\nabc", "abc", true},
		{"short of its length", head + "Content-Length: 4\r\n\r\nabc", "abc", false},
		{"no body", head + "Content-Length: 0\r\n\r\n", "", true},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "abc", true},
		{"chunks with a trailer", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n", "abc", true},
		{"no last chunk", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "abc", false},
		{"no chunk", head + "Transfer-Encoding: chunked\r\n\r\n", "", false},
		{"half a chunk", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc", "abc", false},
		{"no end after the last chunk", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", "abc", false},
		{"ends with its connection", head + "\r\nabc", "abc", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range 200 {
				res, err := receive(t, test.text)
				require.NoError(t, err)
				body, err := io.ReadAll(res)
				require.Equal(t, test.body, string(body))
				require.Equal(t, test.complete, err == nil, "%v", err)
				require.Equal(t, test.complete, res.complete)
			}
		})
	}
}

// docs/settings.md tells the limits of targets' responses.
func TestSettingsPageTellsResponseLimits(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	require.NoError(t, err)
	for _, row := range []string{
		fmt.Sprintf("| head of a response | %d |", readBufferBytes),
		fmt.Sprintf("| informational heads before it | %d heads |", maxInformational),
		fmt.Sprintf("| responses to earlier requests before it | %d responses of %d |", maxStrayResponses, maxStrayBytes),
		fmt.Sprintf("| body of a request that was not run | %d |", maxStrayBytes),
		fmt.Sprintf("| trailer of a chunked body | %d lines |", maxTrailerLines),
	} {
		require.Contains(t, string(page), row)
	}
}

// A body with neither a length nor chunks ends with its connection. One whose connection
// is reset is incomplete.
func TestResetEndsABodyWithoutLength(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	read := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, head+"\r\nabc")
		<-read
		_ = c.(*net.TCPConn).SetLinger(0) // the close sends a reset
		_ = c.Close()
	}()
	near, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer near.Close()
	c := &Conn{nc: near, r: bufio.NewReaderSize(near, readBufferBytes)}
	res, err := c.Receive("POST", "a-1", time.Now().Add(time.Minute))
	require.NoError(t, err)
	require.True(t, res.EndsWithConnection())
	_, err = io.ReadFull(res, make([]byte, 3))
	require.NoError(t, err)
	close(read)
	_, err = io.ReadAll(res)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.False(t, res.complete)
}
