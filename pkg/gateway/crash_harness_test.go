package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/follow"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

// deadly is in the path of each request that ends the process that runs it, and closing in
// the path of one whose connection the process closes, and goes on.
const (
	deadly  = "deadly"
	closing = "closing"
)

// mortalTarget is a plain target whose process ends and is started again.
type mortalTarget struct {
	address string

	mu       sync.Mutex
	process  int // number of the process
	startMS  int64
	down     bool
	conns    []net.Conn
	arrivals []arrival
}

// crashFleet runs several gateways, which share a store, before plain targets.
type crashFleet struct {
	t        *testing.T
	ctx      context.Context
	store    *standin.Objects
	gateways []*Gateway
	targets  []*mortalTarget
	// ends are the times at which processes ended.
	mu   sync.Mutex
	ends []time.Time
}

const (
	crashRunTime = 60 * time.Millisecond
	crashRestart = 4 * time.Second
	crashExpiry  = 3600 * time.Millisecond // of the record
)

func testCrashFleet(t *testing.T, gateways, targets int, f func(t *testing.T, h *crashFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &crashFleet{t: t, store: standin.NewObjects(1)}
		var cancel context.CancelFunc
		h.ctx, cancel = context.WithCancel(t.Context())
		for i := range targets {
			target := &mortalTarget{address: fmt.Sprintf("10.0.1.%d:1", i+1), down: true}
			h.targets = append(h.targets, target)
			h.start(target)
		}
		for range gateways {
			h.gateways = append(h.gateways, nil)
		}
		for i := range h.gateways {
			h.startGateway(i)
		}
		defer func() {
			cancel()
			for _, target := range h.targets {
				target.end()
			}
			time.Sleep(2 * time.Minute)
			synctest.Wait()
		}()
		time.Sleep(time.Second)
		f(t, h)
	})
}

// startGateway starts gateway i, or replaces it by a new process that knows nothing.
func (h *crashFleet) startGateway(i int) {
	g := New(common.Discard(), platform.Node{VM: ident.VM(fmt.Sprintf("gateway-%d", i)), PeerPort: 7380, TargetHeartbeat: 1200 * time.Millisecond, Bounds: platform.Bounds{
		RetryRatio: 0.2, RetrySlack: 1000, RetryWindow: 10 * time.Second, StopGrace: 8 * time.Second,
		Draining: 2 * time.Second, Configuration: 2 * time.Second, Version: 5 * time.Second, Settled: 3 * time.Second,
	}})
	g.directory.Update(testConfiguration(1))
	g.pool.Dial = func(_ context.Context, address string) (net.Conn, error) { return h.dial(i, address) }
	for _, k := range requiredKinds {
		g.markListed(k)
	}
	for _, follower := range g.followers(follow.Source{List: h.store.ListKind, Watch: h.store.WatchKind}) {
		go follower.Run(h.ctx)
	}
	h.useStore(g)
	h.gateways[i] = g
}

// useStore makes the gateway's evidence last in the stand-in of the store.
func (h *crashFleet) useStore(g *Gateway) {
	name := string(g.node.VM)
	find := func() (platform.Object, error) {
		list, _, err := h.store.ListKind(kindEvidence)
		for _, o := range list {
			if o.Name == name {
				return o, nil
			}
		}
		if err == nil {
			err = platform.ErrNotFound
		}
		return platform.Object{}, err
	}
	g.evidence.get = find
	g.evidence.put = func(spec json.RawMessage, at platform.Position) (platform.Position, error) {
		o, err := find()
		if errors.Is(err, platform.ErrUnavailable) {
			return platform.Position{}, err
		}
		if o.Position.Revision != at.Revision {
			return platform.Position{}, platform.ErrConflict
		}
		if err := h.store.Publish(kindEvidence, name, spec); err != nil {
			return platform.Position{}, err
		}
		o, err = find()
		return o.Position, err
	}
	g.evidence.remove = func(name string, _ platform.Position) error {
		h.store.Withdraw(kindEvidence, name)
		return nil
	}
}

// start starts a process of a target, which writes its record.
func (h *crashFleet) start(t *mortalTarget) {
	t.mu.Lock()
	t.process, t.startMS, t.down = t.process+1, time.Now().UnixMilli(), false
	name, spec := t.name(), fmt.Sprintf(`{"service":"plain","address":%q,"state":"ready","born":%d}`, t.address, t.startMS)
	t.mu.Unlock()
	require.NoError(h.t, h.store.Publish(platform.KindTargets, name, []byte(spec)))
}

// leave lists the target's process as one that drains. It goes on.
func (h *crashFleet) leave(t *mortalTarget) {
	t.mu.Lock()
	defer t.mu.Unlock()
	require.NoError(h.t, h.store.Publish(platform.KindTargets, t.name(), fmt.Appendf(nil, `{"service":"plain","address":%q,"state":"draining","born":%d}`, t.address, t.startMS)))
}

// name returns the name of the running process, or of the last one. The caller holds mu.
func (t *mortalTarget) name() string { return fmt.Sprintf("t-%s-%d", t.address, t.process) }

// end ends the target's process, with all of its connections.
func (t *mortalTarget) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = true
	for _, c := range t.conns {
		_ = c.Close()
	}
	t.conns = nil
}

// crash ends the target's process; another one is started later.
func (h *crashFleet) crash(t *mortalTarget) {
	h.mu.Lock()
	h.ends = append(h.ends, time.Now())
	h.mu.Unlock()
	t.mu.Lock()
	name := t.name()
	t.mu.Unlock()
	t.end()
	go func() {
		time.Sleep(crashExpiry)
		h.store.Withdraw(platform.KindTargets, name)
		time.Sleep(crashRestart - crashExpiry)
		if h.ctx.Err() == nil {
			h.start(t)
		}
	}()
}

func (h *crashFleet) dial(gateway int, address string) (net.Conn, error) {
	for _, t := range h.targets {
		if t.address != address {
			continue
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.down {
			return nil, syscall.ECONNREFUSED
		}
		near, far := net.Pipe()
		t.conns = append(t.conns, far)
		go h.serve(t, far, gateway)
		return near, nil
	}
	return nil, errors.NotFoundf("target at %s", address)
}

func (h *crashFleet) serve(t *mortalTarget, c net.Conn, gateway int) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		t.mu.Lock()
		process, name := t.process, t.name()
		expected := q.Header.Get(platform.HeaderExpectInstance)
		if expected == name {
			t.arrivals = append(t.arrivals, arrival{time.Now(), gateway, q.URL.Path})
		}
		t.mu.Unlock()
		if expected != name {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 421 X\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", q.Header.Get("X-Attempt-Id")); err != nil {
				return
			}
			continue
		}
		time.Sleep(crashRunTime)
		t.mu.Lock()
		same := process == t.process && !t.down
		t.mu.Unlock()
		switch {
		case !same, strings.Contains(q.URL.Path, closing):
			return
		case strings.Contains(q.URL.Path, deadly):
			h.crash(t)
			return
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp\r\nContent-Length: 2\r\n\r\nok", q.Header.Get("X-Attempt-Id")); err != nil {
			return
		}
	}
}

// arrivals returns when requests with the path reached targets.
func (h *crashFleet) arrivals(path string) []time.Time {
	var out []time.Time
	for _, t := range h.targets {
		t.mu.Lock()
		for _, a := range t.arrivals {
			if a.path == path {
				out = append(out, a.at)
			}
		}
		t.mu.Unlock()
	}
	return out
}

// ended returns the times at which processes ended.
func (h *crashFleet) ended() []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]time.Time(nil), h.ends...)
}

// after counts the times that are later than one.
func after(times []time.Time, than time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(than) {
			n++
		}
	}
	return n
}

// attempts numbers the requests of a test.
var attempts int

// send sends a request to a gateway over a new connection, under an ID of its own.
func (h *crashFleet) send(gateway int, method, path string) *http.Response {
	h.t.Helper()
	near, far := net.Pipe()
	go h.gateways[gateway].serve(far)
	attempts++
	raw := strings.Replace(rawRequest(method, path, "Content-Length: 0\r\n"), "a-1", fmt.Sprintf("a-%d", attempts), 1)
	go func() { _, _ = io.WriteString(near, raw) }()
	res, err := http.ReadResponse(bufio.NewReader(near), nil)
	require.NoError(h.t, err)
	_, err = io.Copy(io.Discard, res.Body)
	require.NoError(h.t, err)
	_ = near.Close()
	return res
}
