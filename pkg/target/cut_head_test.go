package target_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/target"
	"github.com/hyssoproad/hyssoproad/pkg/tcptest"
)

// serveRaw answers the request of each connection with a text and closes it.
func serveRaw(t *testing.T, text string) (base string) {
	t.Helper()
	return "http://" + tcptest.ServeText(t, text)
}

// Guards against MIXED in the agent: an answer of a target that ends inside its head, also
// after informational ones, is no answer.
func TestCutHeadsOfTargets(t *testing.T) {
	deadline := time.Now().Add(time.Minute)
	for _, test := range []struct {
		name, headers, body string
		call                func(base string) error
	}{
		{"call of a service", "Content-Length: 4\r\n", "done", func(base string) error {
			answer, err := target.NewService(base).Call(target.ServiceCall{Method: "POST", Path: "/x"}, deadline)
			if err == nil {
				require.Equal(t, 200, answer.Status)
				require.Equal(t, "done", string(answer.Body))
			}
			return err
		}},
		{"call of a service, length first", "Content-Length: 4\r\nX-Own: 1\r\n", "done", func(base string) error {
			_, err := target.NewService(base).Call(target.ServiceCall{Method: "POST", Path: "/x"}, deadline)
			return err
		}},
		{"call of a service, without framing", "X-Own: 1\r\n", "done", func(base string) error {
			_, err := target.NewService(base).Call(target.ServiceCall{Method: "POST", Path: "/x"}, deadline)
			return err
		}},
		{"completion", "Transfer-Encoding: chunked\r\n", "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", func(base string) error {
			return target.NewEngine(base).Generate(target.CompletionRequest{ID: "r"}, "", deadline, func(target.CompletionChunk) {})
		}},
		{"load", "Content-Length: 0\r\n", "", func(base string) error {
			return target.NewEngine(base).Load(target.AdapterOrder{Name: "a"}, ident.Incarnation(1))
		}},
	} {
		for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"} {
			t.Run(test.name+" "+before, func(t *testing.T) {
				head := before + "HTTP/1.1 200 OK\r\n" + test.headers + "\r\n"
				for cut := range len(head) {
					require.Error(t, test.call(serveRaw(t, head[:cut])), "%q", head[:cut])
				}
				require.NoError(t, test.call(serveRaw(t, head+test.body)))
			})
		}
	}
}
