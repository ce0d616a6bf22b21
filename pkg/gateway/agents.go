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

// agentDialWait bounds how long a request waits for a link to an agent: a dial
// takes a few round trips.
const agentDialWait = 250 * time.Millisecond

// agents keeps a link to the agent beside each engine, and tells each what its
// engine is for.
type agents struct {
	pool *link.Pool
	port int

	mu   sync.Mutex
	told map[*link.Conn]told
	// mute holds the agents that said nothing, and when they are asked again.
	mute map[string]time.Time
}

// told is the newest setup that was sent over a link.
type told struct {
	configuration uint64
	instance      ident.Target
}

func newAgents(self link.Identity, port int) *agents {
	return &agents{pool: link.NewPool(self, nil), port: port, told: make(map[*link.Conn]told), mute: make(map[string]time.Time)}
}

// muteTime is how long an agent that said nothing is not asked again, so that not
// every request waits for it.
const muteTime = time.Second

// silent notes that the target's agent said nothing.
func (a *agents) silent(t fleet.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mute[agentAddress(t, a.port)] = time.Now().Add(muteTime)
}

// conn returns the link to the target's agent.
func (a *agents) conn(ctx context.Context, t fleet.Target) (*link.Conn, error) {
	address := agentAddress(t, a.port)
	a.mu.Lock()
	until, mute := a.mute[address]
	if mute && !time.Now().Before(until) {
		delete(a.mute, address)
		mute = false
	}
	a.mu.Unlock()
	if mute {
		return nil, errors.Timeoutf("agent at %s silent", address)
	}
	dialing, cancel := context.WithTimeout(ctx, agentDialWait)
	defer cancel()
	conn, err := a.pool.Get(dialing, address)
	if err != nil && dialing.Err() != nil && ctx.Err() == nil {
		a.silent(t)
	}
	return conn, errors.Trace(err)
}

// tell returns the link to the target's agent, after it has sent the agent its
// engine's setup, unless the agent has it.
func (a *agents) tell(ctx context.Context, t fleet.Target, c *platform.Configuration, s platform.Service) (*link.Conn, error) {
	conn, err := a.conn(ctx, t)
	if err != nil {
		return nil, errors.Trace(err)
	}
	now := told{configuration: c.Version, instance: t.Instance}
	a.mu.Lock()
	known := a.told[conn] == now
	if !known {
		a.told[conn] = now
		a.forgetLost()
	}
	a.mu.Unlock()
	if known {
		return conn, nil
	}
	setup := setupOf(t, c, s)
	stream, err := conn.Open(link.KindEngineSetup, &setup)
	if err != nil {
		return nil, errors.Trace(err)
	}
	// The agent ends the stream by itself.
	go func() {
		defer stream.Close()
		_, _ = stream.Receive(context.Background())
	}()
	return conn, nil
}

// forgetLost drops the links that have ended.
func (a *agents) forgetLost() {
	for conn := range a.told {
		select {
		case <-conn.Done():
			delete(a.told, conn)
		default:
		}
	}
}

func setupOf(t fleet.Target, c *platform.Configuration, s platform.Service) wire.EngineSetup {
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
