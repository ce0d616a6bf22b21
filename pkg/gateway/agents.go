package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// agentDialWait bounds the time a request waits for a link to an agent. A dial
// takes a few round trips.
const agentDialWait = 250 * time.Millisecond

// agentLinks keeps a link to the agent beside each engine and sends it the engine's
// setup.
type agentLinks struct {
	pool *link.Pool
	port int
	// greet is called on a link before a setup of the target's engine is sent over it.
	greet func(*link.Conn, fleet.Target)

	mu         sync.Mutex
	sentSetups map[*link.Conn]setupID
	// established holds the links over which setups were sent, by the target's address.
	established map[string]establishedLink
	// backoffUntil maps an unresponsive agent's address to the time of its next
	// attempt.
	backoffUntil map[string]time.Time
}

// setupID identifies the newest setup that was sent over a link.
type setupID struct {
	configuration uint64
	instance      ident.Target
}

// establishedLink is a link with the newest setup that was sent over it.
type establishedLink struct {
	conn  *link.Conn
	setup setupID
}

func newAgentLinks(self link.Identity, port int, greet func(*link.Conn, fleet.Target), handlers link.Handlers) *agentLinks {
	return &agentLinks{pool: link.NewPool(self, handlers), port: port, greet: greet, sentSetups: make(map[*link.Conn]setupID), established: make(map[string]establishedLink), backoffUntil: make(map[string]time.Time)}
}

// agentBackoff is how long no request is sent to an agent that did not answer, so
// that not every request waits for it.
const agentBackoff = time.Second

// backOff starts the backoff of the target's agent after it did not answer.
func (a *agentLinks) backOff(t fleet.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.backoffUntil[agentAddress(t, a.port)] = time.Now().Add(agentBackoff)
	delete(a.established, t.Address)
}

// conn returns the link to the target's agent. It returns a Timeout error while the
// agent is in backoff.
func (a *agentLinks) conn(ctx context.Context, t fleet.Target) (*link.Conn, error) {
	address := agentAddress(t, a.port)
	a.mu.Lock()
	until, backingOff := a.backoffUntil[address]
	if backingOff && !time.Now().Before(until) {
		delete(a.backoffUntil, address)
		backingOff = false
	}
	a.mu.Unlock()
	if backingOff {
		return nil, errors.Timeoutf("agent at %s recently unresponsive:", address)
	}
	dialCtx, cancel := context.WithTimeout(ctx, agentDialWait)
	defer cancel()
	conn, err := a.pool.Get(dialCtx, address)
	if err != nil && dialCtx.Err() != nil && ctx.Err() == nil {
		a.backOff(t)
	}
	return conn, errors.Trace(err)
}

// connWithSetup returns the link to the target's agent. It first sends the engine's
// setup, unless that was sent over this link before.
func (a *agentLinks) connWithSetup(ctx context.Context, t fleet.Target, c *platform.Configuration, s platform.Service) (*link.Conn, error) {
	current := setupID{configuration: c.Version, instance: t.Instance}
	if conn := a.establishedTo(t, current); conn != nil {
		return conn, nil
	}
	conn, err := a.conn(ctx, t)
	if err != nil {
		return nil, errors.Trace(err)
	}
	a.mu.Lock()
	before, known := a.sentSetups[conn]
	sent := before == current
	if !known {
		a.removeClosed() // the new link may replace one
	}
	a.sentSetups[conn] = current
	a.established[t.Address] = establishedLink{conn, current}
	a.mu.Unlock()
	if sent {
		return conn, nil
	}
	a.greet(conn, t)
	setup := engineSetup(t, c, s)
	stream, err := conn.Open(link.KindEngineSetup, &setup)
	if err != nil {
		return nil, errors.Trace(err)
	}
	// The agent closes the stream.
	go func() {
		defer stream.Close()
		_, _ = stream.Receive(context.Background())
	}()
	return conn, nil
}

// establishedTo returns the open link to the target's agent over which the setup was sent,
// or nil. Each request and each round of maintenance asks for it.
func (a *agentLinks) establishedTo(t fleet.Target, setup setupID) *link.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.established[t.Address]; ok && e.setup == setup && !isClosed(e.conn) {
		return e.conn
	}
	return nil
}

// removeClosed removes the links that are closed.
func (a *agentLinks) removeClosed() {
	for conn := range a.sentSetups {
		if isClosed(conn) {
			delete(a.sentSetups, conn)
		}
	}
	for address, e := range a.established {
		if isClosed(e.conn) {
			delete(a.established, address)
		}
	}
}

func isClosed(c *link.Conn) bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

func engineSetup(t fleet.Target, c *platform.Configuration, s platform.Service) wire.EngineSetup {
	out := wire.EngineSetup{
		Configuration: c.Version, Instance: t.Instance, Service: s.Name, HealthPath: s.HealthPath,
		Slots: s.Engine.Slots, KVTokens: s.Engine.KVTokens, MB: s.Engine.MB, AdapterSlots: s.Engine.AdapterSlots,
	}
	for _, m := range s.Engine.Models {
		out.Models = append(out.Models, wire.ModelSetup{
			Name: m.Name, MB: m.MB, AdapterMB: m.AdapterMB,
			LoadMS: m.LoadTime.Milliseconds(), DiskMS: m.DiskTime.Milliseconds(), WarmMS: m.WarmTime.Milliseconds(),
		})
	}
	return out
}
