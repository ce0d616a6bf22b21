package gateway

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// setupFleet counts the setups that reach each agent.
type setupFleet struct {
	began  time.Time
	silent func(engine int) bool

	mu     sync.Mutex
	first  map[int]time.Duration // of each engine's setups
	last   time.Duration
	setups int
	conns  []net.Conn
}

// dialEnd is when all dials have ended.
const dialEnd = time.Minute

// setupDialTime is the time of a connection to a VM in another failure domain.
const setupDialTime = 4 * time.Millisecond

func (f *setupFleet) dial(ctx context.Context, address string) (net.Conn, error) {
	var engine int
	if _, err := fmt.Sscanf(address, "10.0.%d.1:", &engine); err != nil {
		return nil, err
	}
	if f.silent(engine) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(setupDialTime)
	near, far := net.Pipe()
	f.mu.Lock()
	f.conns = append(f.conns, far)
	f.mu.Unlock()
	go func() {
		_, _ = link.Server(far, link.Identity{Role: wire.RoleAgent, VM: "agent", Liveness: link.GrantLiveness}, link.Handlers{
			link.KindEngineSetup: func(context.Context, *link.Stream, link.Frame) error { f.count(engine); return nil },
		})
	}()
	return near, nil
}

func (f *setupFleet) count(engine int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = time.Since(f.began)
	if _, known := f.first[engine]; !known {
		f.first[engine] = f.last
	}
	f.setups++
}

// end closes all links and returns what was counted.
func (f *setupFleet) end() (first map[int]time.Duration, last time.Duration, setups int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
	return f.first, f.last, f.setups
}

func (f *setupFleet) gateway(i, engines int) *Gateway {
	g := New(common.Discard(), platform.Node{VM: ident.VM(fmt.Sprint("gateway-", i)), PeerPort: fleetPeerPort})
	g.agents.pool.Dial = f.dial
	c := testConfiguration(1)
	s := c.Services[streamService]
	s.Engine = &platform.EngineSpec{Slots: 8, KVTokens: 1, MB: 1, AdapterSlots: 1, TokensPerEvent: 1}
	c.Services[streamService] = s
	g.directory.Update(c)
	for e := range engines {
		g.fleet.Put(fleet.Target{Instance: ident.Target(fmt.Sprint("e-", e)), Service: streamService, Address: fmt.Sprintf("10.0.%d.1:1", e)})
	}
	return g
}

// All gateways and agents start at the same moment: each engine is set up by one of the
// gateways soon, and every gateway has its links although VMs are silent.
func TestEnginesAreSetUpSoonAfterAllProcessesStart(t *testing.T) {
	const gateways, engines = 10, 225
	for _, test := range []struct {
		name        string
		silent      func(engine int) bool
		first, last time.Duration
	}{
		{"all agents answer", func(int) bool { return false }, 4 * setupDialTime, 100 * time.Millisecond},
		{"a third of the VMs is silent", func(e int) bool { return e%3 == 0 }, 4 * setupDialTime, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &setupFleet{silent: test.silent, first: make(map[int]time.Duration)}
				ctx, cancel := context.WithCancel(t.Context())
				for i := range gateways {
					go f.gateway(i, engines).maintain(ctx)
				}
				time.Sleep(maintenanceInterval)
				f.began = time.Now()
				time.Sleep(30*time.Second + maintenanceInterval/2)
				cancel()
				time.Sleep(dialEnd)
				first, last, setups := f.end()
				time.Sleep(2 * time.Minute)
				synctest.Wait()
				answering, latest := 0, time.Duration(0)
				for e := range engines {
					if !test.silent(e) {
						answering++
						latest = max(latest, first[e])
					}
				}
				t.Logf("%d of %d engines are set up, the last one after %s; %d setups, the last one after %s", len(first), answering, latest, setups, last)
				require.Len(t, first, answering)
				require.Equal(t, gateways*answering, setups)
				require.LessOrEqual(t, latest, test.first)
				require.LessOrEqual(t, last, test.last)
			})
		})
	}
}
