package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against MIXED and ORDER: an engine that stops in the middle of its response's
// head and closes gives no caller a success.
func TestCutHeadGivesNoCallerASuccess(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	plain := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Attempt-Id: a-1\r\nX-Server-Stamp: s\r\n\r\n"
	unframed := strings.Replace(streamHead, "Transfer-Encoding: chunked\r\n", "", 1)
	for _, test := range []struct{ path, head string }{
		{"/safe/x", plain}, {"/unsafe/x", plain}, {"/stream/x", streamHead}, {"/stream/x", unframed}, {"/once-stream/x", streamHead}, {"/once-stream/x", unframed},
	} {
		for _, head := range []string{test.head, interim + test.head} {
			t.Run(test.path, func(t *testing.T) {
				for cut := range len(head) {
					testHarness(t, func(t *testing.T, h *harness) {
						h.repeat(respondRaw(head[:cut]))
						res := h.send(rawRequest("POST", test.path, "Content-Length: 0\r\n"))
						require.Contains(t, []int{502, 503}, res.StatusCode, "%q", head[:cut])
					})
				}
			})
		}
	}
}
