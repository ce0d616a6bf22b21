package httphead_test

import (
	"bufio"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
)

// BenchmarkConn reads an engine's answer to an order as a client does, with and without the
// check.
func BenchmarkConn(b *testing.B) {
	for _, answer := range []struct{ name, text string }{
		{"length", "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nX-Instance-Id: i-4cdfeb7358\r\nContent-Length: 2\r\n\r\n{}"},
		{"chunks", "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nX-Instance-Id: i-4cdfeb7358\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
	} {
		source := strings.NewReader(answer.text)
		raw := pipeConn{Reader: source}
		for _, test := range []struct {
			name string
			conn net.Conn
		}{
			{"unchecked", raw}, {"checked", httphead.NewConn(raw)},
		} {
			b.Run(answer.name+"/"+test.name, func(b *testing.B) {
				r := bufio.NewReader(test.conn)
				var res fasthttp.Response
				b.ReportAllocs()
				for b.Loop() {
					source.Reset(answer.text)
					_, _ = test.conn.Write(nil)
					if err := res.Read(r); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
