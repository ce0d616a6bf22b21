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

// tell sends the agent its engine's setup, unless it has it.
func (a *agents) tell(ctx context.Context, t fleet.Target, c *platform.Configuration, s platform.Service) error {
	conn, err := a.conn(ctx, t)
	if err != nil {
		return errors.Trace(err)
	}
	now := told{configuration: c.Version, instance: t.Instance}
	a.mu.Lock()
	known := a.told[conn] == now
	a.told[conn] = now
	for other := range a.told {
		select {
		case <-other.Done():
			delete(a.told, other)
		default:
		}
	}
	a.mu.Unlock()
	if known {
		return nil
	}
	setup := setupOf(t, c, s)
	stream, err := conn.Open(link.KindEngineSetup, &setup)
	if err != nil {
		return errors.Trace(err)
	}
	defer stream.Close()
	return nil
}

func setupOf(t fleet.Target, c *platform.Configuration, s platform.Service) wire.EngineSetup {
	out := wire.EngineSetup{
		Configuration: c.Version, Instance: t.Instance, Service: s.Name,
		Slots: s.Engine.Slots, KVTokens: s.Engine.KVTokens, MB: s.Engine.MB, AdapterSlots: s.Engine.AdapterSlots,
	}
	for _, m := range s.Engine.Models {
		out.Models = append(out.Models, wire.ModelSetup{Name: m.Name, MB: m.MB, AdapterMB: m.AdapterMB})
	}
	return out
}
