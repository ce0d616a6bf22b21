package forward

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
)

// Guards against MIXED: a response whose head is malformed is none, whether it is the first on
// its connection, comes after informational ones or after the response to another request, or
// is itself one of those.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	const (
		interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
		earlier = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-0\r\nContent-Length: 2\r\n\r\nok"
		ending  = "X-Attempt-Id: a-1\r\nContent-Length: 0\r\n\r\n"
	)
	malformedHeads := []string{
		"HTTP/1.1 000 X\r\n", "HTTP/1.1 001 X\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 101 X\r\n", "HTTP/1.1 600 X\r\n", "HTTP/1.1 999 X\r\n",
		"HTTP/1.1 200 X\r\nX A: 1\r\n", "HTTP/1.1 200 X\r\nX-A : 1\r\n", "HTTP/1.1 200 X\r\nX A: 1\r\n b\r\n", "HTTP/1.1 200 X\r\nX-B: 1\r\n b\r\nX A: 1\r\n",
		"HTTP/1.1 200 X\r\nX-B: 1\nX-A: 1\r\n", "HTTP/1.1 200 X\r\nX\x00A: 1\r\n", "HTTP/1.1 200 X\r\nX\x01A: 1\r\n", "HTTP/1.1 200 X\r\nX\x01A: 1\r\n b\r\n",
		"HTTP/1.1 200 X\r\nX-B: 1\nX\x01A: 1\r\n", "HTTP/1.1 200 X\r\nX-B: 1\r\n\nX-A: 1\r\n", "HTTP/1.1 200 X\r\nX-A: a\x01b\r\n", "HTTP/1.1 200 X\r\nX-A: a\r\n b\rc\r\n",
		"HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 200 X\r\nContent-Length: 0\r\n",
		"HTTP/1.1 200 X\r\nContent-Length: 1\r\n 2\r\n", "HTTP/1.1 200 X\r\nTransfer-Encoding: gzip, chunked\r\n",
	}
	for _, text := range malformedHeads {
		malformed := text + ending
		for _, text := range []string{
			malformed, interim + malformed, earlier + malformed,
			malformed + head + ending, strings.Replace(malformed, "a-1", "a-0", 1) + head + ending,
		} {
			_, err := receive(t, text)
			require.ErrorIs(t, err, httphead.ErrMalformed, "%q", text)
		}
	}
}

// A chunked body whose trailer is malformed is incomplete.
func TestMalformedTrailerEndsNoBody(t *testing.T) {
	for _, trailer := range []string{"X T: 1\r\n\r\n", "X-T : 1\r\n\r\n", "X\x01T: 1\r\n\r\n", "X-T\r\n\r\n", "X-T: 1\n\r\n", "\n"} {
		res, err := receive(t, head+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"+trailer)
		require.NoError(t, err)
		body, err := io.ReadAll(res)
		require.Equal(t, "abc", string(body))
		require.ErrorIs(t, err, httphead.ErrMalformed, "%q", trailer)
		require.False(t, res.complete)
	}
}
