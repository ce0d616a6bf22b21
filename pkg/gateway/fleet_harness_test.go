package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
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
	"github.com/hyssoproad/hyssoproad/pkg/orderer"
	"github.com/hyssoproad/hyssoproad/platform"
)

// arrival is a request that reached a target.
type arrival struct {
	at      time.Time
	gateway int
	path    string
}

// fleetTarget is an engine or a plain service.
type fleetTarget struct {
	fleet.Target

	mu       sync.Mutex
	headers  string // header lines of each response
	reported string // header lines of each report
	status   int    // of each response; 200 if 0
	arrivals []arrival
}

// state makes the target add header lines to all its responses.
func (t *fleetTarget) state(headers string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.headers = headers
}

// report makes the target, an engine, add header lines to its reports.
func (t *fleetTarget) report(headers string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported = headers
}

// turnAway makes the target turn requests away as not run, and add header lines.
func (t *fleetTarget) turnAway(headers string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status, t.headers = 503, "X-Not-Executed: 1\r\n"+headers
}

// arrived returns the requests that reached the target between two times.
func (t *fleetTarget) arrived(from, to time.Time) []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []arrival
	for _, a := range t.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			out = append(out, a)
		}
	}
	return out
}

// fleetAgent is an orderer process.
type fleetAgent struct {
	*orderer.Orderer
	stop context.CancelFunc
}

// fleetHarness runs several gateways before engines with real orderers and before plain
// services, over pipes in virtual time.
type fleetHarness struct {
	t        *testing.T
	ctx      context.Context // ends with the gateways
	random   *rand.Rand
	gateways []*Gateway
	engines  []*fleetTarget
	plain    []*fleetTarget

	mu       sync.Mutex
	agents   map[string]*fleetAgent // by address
	conns    []io.Closer
	closed   bool
	answered map[int]int // responses to callers by status
}

// fleetSize is the size of a fleet under test.
type fleetSize struct{ gateways, engines, plain int }

const (
	fleetPeerPort = 7380
	fleetAdapters = 120
	// fleetWork is the time of a plain request, and until the first event of a stream.
	fleetWork       = 10 * time.Millisecond
	fleetStreamTime = 200 * time.Millisecond // from the first to the last event
)

func testFleet(t *testing.T, size fleetSize, f func(t *testing.T, h *fleetHarness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &fleetHarness{t: t, random: rand.New(rand.NewPCG(1, 2)), agents: make(map[string]*fleetAgent), answered: make(map[int]int)}
		for i := range size.engines {
			e := &fleetTarget{Target: fleet.Target{Instance: ident.Target(fmt.Sprintf("e-%d", i)), Service: streamService, Address: fmt.Sprintf("10.0.1.%d:1", i+1), Slots: 32, StartMS: 1, Models: fleet.ModelsOf([]ident.Model{streamModel})}}
			h.engines = append(h.engines, e)
			h.startAgent(e)
		}
		for i := range size.plain {
			h.plain = append(h.plain, &fleetTarget{Target: fleet.Target{Instance: ident.Target(fmt.Sprintf("p-%d", i)), Service: plainService, Address: fmt.Sprintf("10.0.2.%d:1", i+1), Slots: 8, StartMS: 1}})
		}
		for range size.gateways {
			h.gateways = append(h.gateways, nil)
		}
		var cancel context.CancelFunc
		h.ctx, cancel = context.WithCancel(t.Context())
		for i := range h.gateways {
			h.startGateway(i)
		}
		defer func() {
			cancel()
			for _, a := range h.agents {
				a.stop()
			}
			h.closeConns()
			time.Sleep(2 * time.Minute)
			synctest.Wait()
		}()
		time.Sleep(time.Second) // links and setups
		f(t, h)
	})
}

// startGateway starts gateway i, or replaces it by a new process that knows nothing.
func (h *fleetHarness) startGateway(i int) {
	g := New(common.Discard(), platform.Node{VM: ident.VM(fmt.Sprintf("gateway-%d", i)), PeerPort: fleetPeerPort, Bounds: platform.Bounds{RetryRatio: 0.2, RetrySlack: 1000, RetryWindow: 10 * time.Second, StopGrace: 8 * time.Second}})
	g.pool.Dial = func(_ context.Context, address string) (net.Conn, error) { return h.dialTarget(i, address) }
	g.agents.pool.Dial = func(_ context.Context, address string) (net.Conn, error) { return h.dialAgent(address) }
	c := testConfiguration(1)
	for j := range c.Routes {
		c.Routes[j].MaxTargets = 3
	}
	s := c.Services[streamService]
	s.Engine = &platform.EngineSpec{Slots: 32, KVTokens: 100_000, MB: 1000, AdapterSlots: fleetAdapters, TokensPerEvent: 1, Models: []platform.ModelSpec{{Name: streamModel, MB: 900, AdapterMB: 1}}}
	c.Services[streamService] = s
	g.directory.Update(c)
	var targets []fleet.Target
	for _, t := range slices.Concat(h.engines, h.plain) {
		targets = append(targets, t.Target)
	}
	g.fleet.Replace(targets, time.Now())
	for _, k := range requiredKinds {
		g.markListed(k)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gateways[i] = g
	go g.maintain(h.ctx)
}

// parseNotice parses the notice in header lines.
func parseNotice(headers string) platform.TargetNotice {
	return platform.ParseNotice(func(yield func([]byte, []byte) bool) {
		for line := range strings.Lines(headers) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			if !yield([]byte(name), []byte(value)) {
				return
			}
		}
	})
}

// restartTarget lists a target as one that has started again under its name.
func (h *fleetHarness) restartTarget(t *fleetTarget) {
	t.mu.Lock()
	t.StartMS++
	listed := t.Target
	t.mu.Unlock()
	for _, g := range h.gateways {
		g.fleet.Put(listed)
	}
}

// startAgent starts the orderer of an engine, or replaces it by a new process.
func (h *fleetHarness) startAgent(e *fleetTarget) {
	host, _, err := net.SplitHostPort(e.Address)
	require.NoError(h.t, err)
	o := orderer.New(common.Discard(), platform.Node{VM: ident.VM("side-" + e.Instance), EngineAddress: e.Address})
	o.Engine = orderer.Engine{
		Report:   e.currentReport,
		Send:     func(platform.Order) (platform.OrderResult, error) { return platform.OrderNoChange, nil },
		Identity: func(string) (ident.Target, error) { return e.Instance, nil },
	}
	ctx, cancel := context.WithCancel(h.t.Context())
	go o.Run(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.agents[net.JoinHostPort(host, fmt.Sprint(fleetPeerPort))] = &fleetAgent{o, cancel}
}

// currentReport is the report of an engine that holds all adapters.
func (t *fleetTarget) currentReport() (platform.EngineReport, error) {
	m := platform.HeldModel{Name: streamModel}
	for i := range fleetAdapters {
		m.Adapters = append(m.Adapters, ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprintf("a%d", i)), Version: 1})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return platform.EngineReport{StartMS: t.StartMS, Models: []platform.HeldModel{m}, Notice: parseNotice(t.reported)}, nil
}

// restartAgent replaces the orderer of an engine by a new process.
func (h *fleetHarness) restartAgent(e *fleetTarget) {
	h.stopAgent(e)
	h.startAgent(e)
}

// stopAgent ends the orderer of an engine and its links.
func (h *fleetHarness) stopAgent(e *fleetTarget) {
	host, _, err := net.SplitHostPort(e.Address)
	require.NoError(h.t, err)
	h.mu.Lock()
	defer h.mu.Unlock()
	address := net.JoinHostPort(host, fmt.Sprint(fleetPeerPort))
	if a := h.agents[address]; a != nil {
		a.stop()
		delete(h.agents, address)
	}
	for _, c := range h.conns {
		if l, ok := c.(agentConn); ok && l.address == address {
			_ = l.Close()
		}
	}
}

func (h *fleetHarness) isClosed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}

// agentConn is a connection to the agent at an address.
type agentConn struct {
	net.Conn
	address string
}

func (h *fleetHarness) dialAgent(address string) (net.Conn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.agents[address]
	if a == nil {
		return nil, errors.New("connection refused")
	}
	if h.closed {
		return nil, net.ErrClosed
	}
	near, far := net.Pipe()
	h.conns = append(h.conns, agentConn{far, address})
	go func() { _, _ = a.ServeLink(far) }() // fails if the other side closes first
	return near, nil
}

func (h *fleetHarness) dialTarget(gateway int, address string) (net.Conn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range slices.Concat(h.engines, h.plain) {
		if t.Address == address && !h.closed {
			near, far := net.Pipe()
			h.conns = append(h.conns, far)
			go t.serve(far, gateway)
			return near, nil
		}
	}
	return nil, errors.NotFoundf("target at %s", address)
}

func (h *fleetHarness) closeConns() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, c := range h.conns {
		_ = c.Close()
	}
}

// serve answers the requests of one connection.
func (t *fleetTarget) serve(c net.Conn, gateway int) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		t.mu.Lock()
		t.arrivals = append(t.arrivals, arrival{time.Now(), gateway, q.URL.Path})
		headers, status := t.headers, max(t.status, 200)
		t.mu.Unlock()
		head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp\r\n%s", status, q.Header.Get("X-Attempt-Id"), headers)
		if !t.answer(c, q, head) {
			return
		}
	}
}

func (t *fleetTarget) answer(c net.Conn, q *http.Request, head string) bool {
	time.Sleep(fleetWork)
	if !strings.HasPrefix(q.URL.Path, "/stream/") || !strings.HasPrefix(head, "HTTP/1.1 200") {
		_, err := io.WriteString(c, head+"Content-Length: 2\r\n\r\nok")
		return err == nil
	}
	if _, err := io.WriteString(c, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(events(1, 1))); err != nil {
		return false
	}
	time.Sleep(fleetStreamTime)
	_, err := io.WriteString(c, chunk(events(2, 2))+"0\r\n\r\n")
	return err == nil
}
