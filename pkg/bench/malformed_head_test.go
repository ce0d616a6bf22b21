package bench

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

// A right answer with a malformed head is an error of the run, not a right answer.
func TestMalformedHeadIsNoRightAnswer(t *testing.T) {
	in := completion{model: "m@1", prompt: "p", maxTokens: 1}
	body := fmt.Sprintf(`{"choices":[{"text":%q}]}`, standin.Token(in.model, in.prompt, 0))
	for _, test := range []struct {
		begin string
		want  verdict
	}{
		{"HTTP/1.1 200 OK\r\n", verdictRight}, {"HTTP/1.1 000 OK\r\n", verdictError}, {"HTTP/1.1 200 OK\r\nX A: 1\r\n", verdictError}, {"HTTP/1.1 200 OK\r\nX-A : 1\r\n", verdictError},
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
					_, _ = fmt.Fprintf(c, "%sHyssoproad-Adapter: m@1\r\nContent-Length: %d\r\n\r\n%s", test.begin, len(body), body)
				}
				_ = c.Close()
			}
		}()
		url := "http://" + l.Addr().String()
		require.Equal(t, test.want, newClient([]string{url}, "token").complete(in).verdict, "%q", test.begin)
		var stats map[string]any
		err = getJSON(url, &stats)
		require.Equal(t, test.want == verdictError, errors.Is(err, httphead.ErrMalformed), "%q: %v", test.begin, err)
	}
}
