package bench

import (
	"fmt"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/pkg/tcptest"
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
		url := "http://" + tcptest.ServeText(t, fmt.Sprintf("%sHyssoproad-Adapter: m@1\r\nContent-Length: %d\r\n\r\n%s", test.begin, len(body), body))
		require.Equal(t, test.want, newClient([]string{url}, "token").complete(in).verdict, "%q", test.begin)
		var stats map[string]any
		err := getJSON(url, &stats)
		require.Equal(t, test.want == verdictError, errors.Is(err, httphead.ErrMalformed), "%q: %v", test.begin, err)
	}
}
