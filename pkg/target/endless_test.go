package target_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/target"
	"github.com/hyssoproad/hyssoproad/pkg/tcptest"
)

// endlessBytes is what a faulty engine sends at most, so that a test ends, and
// maxEndlessBytes what it may get rid of: the bound of its client, and the buffers of the
// connection.
const (
	endlessBytes    = 96 << 20
	maxEndlessBytes = 24 << 20
)

// serveEndless answers the request of each connection with a start and repeated bytes until
// its client closes, and counts the bytes.
func serveEndless(t *testing.T, start, repeated string) (base string, written *atomic.Int64) {
	t.Helper()
	written = new(atomic.Int64)
	block := []byte(strings.Repeat(repeated, 1+64<<10/max(len(repeated), 1)))
	address := tcptest.Serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, err := io.WriteString(c, start)
		for err == nil && written.Load() < endlessBytes && repeated != "" {
			var n int
			n, err = c.Write(block)
			written.Add(int64(n))
		}
		if repeated == "" {
			_, _ = io.Copy(io.Discard, c) // until the client closes
		}
	})
	return "http://" + address, written
}

// An engine sends bytes that are no answer, without end, until its client closes. Neither a
// query nor an order nor a completion keeps them.
func TestBytesWithoutEndOfEnginesAreBounded(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	calls := []struct {
		name string
		call func(e *target.Engine) error
	}{
		{"list of adapters", func(e *target.Engine) error { _, _, err := e.ListAdapters(); return err }},
		{"adapters in use", func(e *target.Engine) error { _, err := e.InUse(); return err }},
		{"order to load", func(e *target.Engine) error { return e.Load(target.AdapterOrder{Name: "a"}, 1) }},
		{"change of role", func(e *target.Engine) error { return e.SetRole(target.RoleOrder{Role: "r"}, 1) }},
		{"cancellation", func(e *target.Engine) error { return e.Cancel("r-1") }},
		{"completion", func(e *target.Engine) error {
			return e.Generate(target.CompletionRequest{ID: "r-1", Stream: true}, "", time.Now().Add(20*time.Second), func(target.CompletionChunk) {})
		}},
	}
	for _, test := range []struct{ name, start, repeated string }{
		{"a body until close", ok + "\r\n", "x"},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
		{"an announced length", ok + "Content-Length: 1000000000\r\n\r\n", "x"},
		{"a body of a failure", "HTTP/1.1 500 X\r\n\r\n", "x"},
		{"a head", ok + "X-A: ", "x"},
		{"informational heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		for _, c := range calls {
			t.Run(test.name+", "+c.name, func(t *testing.T) {
				base, written := serveEndless(t, test.start, test.repeated)
				require.Error(t, c.call(target.NewEngine(base)))
				require.LessOrEqual(t, written.Load(), int64(maxEndlessBytes))
			})
		}
	}
	t.Run("an announced length is not reserved", func(t *testing.T) {
		base, _ := serveEndless(t, ok+"Content-Length: 1000000000\r\n\r\n", "")
		_, _, err := target.NewEngine(base).ListAdapters()
		require.ErrorIs(t, err, fasthttp.ErrBodyTooLarge)
	})
}

// A chunk of a completion may be as long as the longest text of an engine's step.
func TestLongChunksOfCompletions(t *testing.T) {
	text := strings.Repeat("t", 30<<10)
	base := serveRaw(t, "HTTP/1.1 200 OK\r\n\r\ndata: {\"id\":\"r-1\",\"choices\":[{\"text\":\""+text+"\"}]}\n\ndata: [DONE]\n\n")
	var got []string
	err := target.NewEngine(base).Generate(target.CompletionRequest{ID: "r-1"}, "", time.Now().Add(time.Minute), func(c target.CompletionChunk) {
		got = append(got, c.Choices[0].Text)
	})
	require.NoError(t, err)
	require.Equal(t, []string{text}, got)
}
