package forward

import (
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
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		malformed := "HTTP/1.1 " + status + " X\r\n" + ending
		for _, text := range []string{
			malformed, interim + malformed, earlier + malformed,
			malformed + head + ending, strings.Replace(malformed, "a-1", "a-0", 1) + head + ending,
		} {
			_, err := receive(t, text)
			require.ErrorIs(t, err, httphead.ErrMalformed, "%q", text)
		}
	}
}
