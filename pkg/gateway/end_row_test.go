package gateway

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/common"
)

// logRows makes the gateway write its rows, from level info on, to a buffer.
func (h *harness) logRows() *syncBuffer {
	rows := new(syncBuffer)
	h.Log = common.NewLog(rows, "info")
	return rows
}

// Guards against LOST without a trace: requests whose caller had left, or whose response could
// not be written, ended without a row.
func TestEveryEndOfARequestHasARow(t *testing.T) {
	stream := patient(streamRequest("/stream/x"))
	slow := func(w net.Conn, _ receivedRequest) bool { time.Sleep(30 * time.Second); return false }
	for _, test := range []struct {
		name    string
		raw     string
		reply   reply
		events  int // that the caller reads before it leaves
		waits   time.Duration
		want    []string
		started bool
	}{
		{"half of a head", "POST /stream/x HTTP/1.1\r\nHost", slow, 0, time.Second, []string{`msg="request not read"`}, false},
		{"half of a body", rawRequest("POST", "/unsafe/x", "Content-Length: 9\r\n") + "half", slow, 0, time.Second, []string{`msg="request not read" request=a-1`, `err="unexpected EOF"`}, false},
		{"malformed chunks", rawRequest("POST", "/unsafe/x", "Transfer-Encoding: chunked\r\n") + "x\r\n", slow, 0, time.Second, []string{`msg="request rejected" request=a-1`, "status=400"}, false},
		{"before a response", rawRequest("GET", "/safe/x"), slow, 0, 100 * time.Millisecond, []string{`msg="caller disconnected" request=a-1`, "step=answer", "err=EOF", "outcome=unknown", "sends=1"}, true},
		{"within a stream", stream, respondStream(0, 50*time.Millisecond, 40), 3, 0, []string{`msg="caller disconnected" request=a-1`, "step=stream", "outcome=unfinished", "last-event=3"}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			testAgentHarness(t, func(t *testing.T, h *agentHarness) {
				rows := h.logRows()
				h.script(test.reply)
				c := h.connect()
				go func() { _, _ = io.WriteString(c, test.raw) }()
				for r, events := bufio.NewReader(c), 0; events < test.events; {
					line, err := r.ReadString('\n')
					require.NoError(t, err)
					if strings.HasPrefix(line, "id:") {
						events++
					}
				}
				time.Sleep(test.waits)
				require.NoError(t, c.Close())
				time.Sleep(5 * time.Second)
				require.Equal(t, test.started, len(h.receivedRequests()) > 0)
				for _, want := range test.want {
					require.NotZero(t, rows.rows(want), want)
				}
			})
		})
	}
}
