package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

// benchGateway starts a gateway in front of one target on loopback and connects to
// it as a caller.
func benchGateway(b *testing.B, service ident.Service, handler http.HandlerFunc) (net.Conn, *bufio.Reader) {
	b.Helper()
	target, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = http.Serve(target, handler) }()
	g := New(common.Discard(), platform.Node{VM: "vm-1", CallerAddress: "127.0.0.1:0", Bounds: platform.Bounds{RetryWindow: time.Second}})
	g.directory.Update(testConfiguration(1))
	g.fleet.Put(fleet.Target{Instance: "i-1", Service: service, Address: target.Addr().String()})
	for _, k := range requiredKinds {
		g.markListed(k)
	}
	if err := g.Start(b.Context()); err != nil {
		b.Fatal(err)
	}
	c, err := net.Dial("tcp4", g.listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close(); _ = g.listener.Close(); _ = target.Close() })
	return c, bufio.NewReader(c)
}

func exchangeOnce(b *testing.B, c net.Conn, r *bufio.Reader, raw string) {
	if _, err := io.WriteString(c, raw); err != nil {
		b.Fatal(err)
	}
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != 200 {
		b.Fatal(res.StatusCode, err)
	}
}

// BenchmarkPlainRequest measures one request through the gateway, including the
// work of target and caller.
func BenchmarkPlainRequest(b *testing.B) {
	body := make([]byte, 800)
	c, r := benchGateway(b, plainService, func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(platform.HeaderAttempt, q.Header.Get(platform.HeaderAttempt))
		w.Header().Set(platform.HeaderSignature, "s")
		_, _ = w.Write(body)
	})
	raw := rawRequest("GET", "/safe/x")
	b.ReportAllocs()
	for b.Loop() {
		exchangeOnce(b, c, r, raw)
	}
}

// BenchmarkStreamEvent measures one event of a stream through the gateway.
func BenchmarkStreamEvent(b *testing.B) {
	const perStream = 500
	c, r := benchGateway(b, streamService, func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(platform.HeaderAttempt, q.Header.Get(platform.HeaderAttempt))
		w.Header().Set(platform.HeaderSignature, "s")
		flush := http.NewResponseController(w)
		for i := range perStream {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: abcdefghijklmnopqrstuvwxyz\n\n", i)
			_ = flush.Flush()
		}
	})
	raw := rawRequest("POST", "/once-stream/x", "Content-Length: 0\r\n")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%perStream == 0 {
			exchangeOnce(b, c, r, raw)
		}
	}
}
