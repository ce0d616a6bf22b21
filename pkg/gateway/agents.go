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
}

// told is the newest setup that was sent over a link.
type told struct {
	configuration uint64
	instance      ident.Target
}

func newAgents(self link.Identity, port int) *agents {
	return &agents{pool: link.NewPool(self, nil), port: port, told: make(map[*link.Conn]told)}
}

// conn returns the link to the target's agent.
func (a *agents) conn(ctx context.Context, t fleet.Target) (*link.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, agentDialWait)
	defer cancel()
	return a.pool.Get(ctx, agentAddress(t, a.port))
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
