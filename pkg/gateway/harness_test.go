package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	plainService  ident.Service = "plain"
	streamService ident.Service = "streams"
)

// testRouteTimeout is the timeout of all routes of testConfiguration.
const testRouteTimeout = 10 * time.Second

func testConfiguration(version uint64) *platform.Configuration {
	route := func(prefix string, policy platform.RetryPolicy, targets int) platform.Route {
		return platform.Route{
			Name: prefix, Host: "host.example", PathPrefix: prefix, RetryPolicy: policy, Timeout: testRouteTimeout,
			Objective: 100 * time.Millisecond, MaxTargets: targets, Split: []platform.TrafficShare{{Service: plainService, Weight: 1}},
		}
	}
	stream := route("/stream/", platform.RunStream, 2)
	stream.CanResume, stream.GapObjective, stream.Split[0].Service = true, 300*time.Millisecond, streamService
	once := route("/once-stream/", platform.RunStream, 1)
	once.Split[0].Service = streamService
	return &platform.Configuration{
		Version: version, Limits: platform.DefaultLimits(),
		Routes: []platform.Route{route("/safe/", platform.RunIdempotent, 2), route("/unsafe/", platform.RunAtMostOnce, 1), stream, once},
		Services: map[ident.Service]platform.Service{
			plainService: {Name: plainService}, streamService: {Name: streamService},
		},
	}
}

// receivedRequest is a request that a target received.
type receivedRequest struct {
	*http.Request
	Body    []byte
	Address string
}

// reply writes a target's response to a request. The connection closes if it
// returns false.
type reply func(w net.Conn, call receivedRequest) bool

// harness runs a gateway between callers and targets over pipes in virtual time.
type harness struct {
	*Gateway
	t        *testing.T
	mu       sync.Mutex
	received []receivedRequest
	replies  map[string][]reply
	closed   map[string]time.Time // when a target's connection closed
	conns    []net.Conn
}

// testGateway returns a gateway that is in sync with a store of four targets.
func testGateway() *Gateway {
	g := New(common.Discard(), platform.Node{VM: "vm-1", PeerPort: 7380, Bounds: platform.Bounds{RetryRatio: 0.2, RetrySlack: 1000, RetryWindow: 10 * time.Second, StopGrace: 8 * time.Second}})
	g.awaitTargetList = func(context.Context, time.Time) bool { return true }
	g.runningAt = func(string) ([]ident.Attempt, error) { return nil, errors.NotFoundf("report") }
	g.directory.Update(testConfiguration(1))
	g.fleet.Replace([]fleet.Target{
		{Instance: "p-1", Service: plainService, Address: "10.0.0.1:1"}, {Instance: "p-2", Service: plainService, Address: "10.0.0.2:1"},
		{Instance: "s-1", Service: streamService, Address: "10.0.0.3:1"}, {Instance: "s-2", Service: streamService, Address: "10.0.0.4:1"},
	}, time.Now())
	for _, k := range requiredKinds {
		g.markListed(k)
	}
	return g
}

func testHarness(t *testing.T, f func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{Gateway: testGateway(), t: t, replies: make(map[string][]reply), closed: make(map[string]time.Time)}
		h.pool.Dial = h.dialTarget
		defer func() {
			h.mu.Lock()
			for _, c := range h.conns {
				_ = c.Close()
			}
			h.mu.Unlock()
			h.pool.Close()
			time.Sleep(2 * time.Minute) // longer than any sleep in a reply
			synctest.Wait()
		}()
		f(t, h)
	})
}

// script sets the targets' replies in order. Any target takes the next one.
func (h *harness) script(replies ...reply) { h.replies[""] = replies }

func (h *harness) dialTarget(_ context.Context, address string) (net.Conn, error) {
	near, far := net.Pipe()
	h.mu.Lock()
	h.conns = append(h.conns, far)
	h.mu.Unlock()
	go h.serveTarget(far, address)
	return near, nil
}

func (h *harness) serveTarget(c net.Conn, address string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			h.mu.Lock()
			h.closed[address] = time.Now()
			h.mu.Unlock()
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		call := receivedRequest{Request: q, Body: body, Address: address}
		h.mu.Lock()
		h.received = append(h.received, call)
		var next reply
		if len(h.replies[""]) > 0 {
			next = h.replies[""][0]
			h.replies[""] = h.replies[""][1:]
		}
		h.mu.Unlock()
		if next == nil || !next(c, call) {
			return
		}
	}
}

// connect opens a connection as a caller.
func (h *harness) connect() net.Conn {
	near, far := net.Pipe()
	h.mu.Lock()
	h.conns = append(h.conns, near)
	h.mu.Unlock()
	go h.serve(far)
	return near
}

// stopIn makes the gateway one that the balancer knows to be stopping and that answers
// all requests within a time.
func (h *harness) stopIn(d time.Duration) {
	now := time.Now()
	h.stop.begin(stopSchedule{unready: now, answerBy: now.Add(d), exit: now.Add(d)})
}

// send writes a raw request on a new connection and reads the response.
func (h *harness) send(raw string) *http.Response {
	h.t.Helper()
	c := h.connect()
	go func() { _, _ = io.WriteString(c, raw) }()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(h.t, err)
	return res
}

func (h *harness) receivedRequests() []receivedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]receivedRequest(nil), h.received...)
}

func rawRequest(method, path string, headers ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: a-1\r\nX-Deadline-Ms: 1000\r\n%s\r\n", method, path, strings.Join(headers, ""))
}

func respond(status int, body string, headers ...string) reply {
	return func(w net.Conn, call receivedRequest) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp\r\n%sContent-Length: %d\r\n\r\n%s",
			status, call.Header.Get("X-Attempt-Id"), strings.Join(headers, ""), len(body), body)
		return err == nil
	}
}

// respondRaw returns a reply that writes text and closes the connection.
func respondRaw(text string) reply {
	return func(w net.Conn, _ receivedRequest) bool { _, _ = io.WriteString(w, text); return false }
}

func events(from, to int) string {
	var b bytes.Buffer
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

const streamHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
