package gateway

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// BenchmarkIdleMaintenance measures one round of setups while nothing has changed, at the
// number of engines designed for.
func BenchmarkIdleMaintenance(b *testing.B) {
	for _, engines := range []int{12, 120, 660} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			g := New(common.Discard(), platform.Node{VM: "vm-1", PeerPort: 7380})
			g.agents.pool.Dial = func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					_, _ = link.Server(far, link.Identity{Role: wire.RoleAgent, VM: "vm-2", Liveness: link.GrantLiveness}, link.Handlers{
						link.KindEngineSetup: func(context.Context, *link.Stream, link.Frame) error { return nil },
					})
				}()
				return near, nil
			}
			c := testConfiguration(1)
			s := c.Services[streamService]
			s.Engine = &platform.EngineSpec{Slots: 8, KVTokens: 1, MB: 1, AdapterSlots: 1, TokensPerEvent: 1}
			c.Services[streamService] = s
			g.directory.Update(c)
			var targets []fleet.Target
			for i := range engines {
				targets = append(targets, fleet.Target{Instance: ident.Target(fmt.Sprint("e-", i)), Service: streamService, Address: fmt.Sprintf("10.%d.%d.1:1", i/250, i%250)})
			}
			for _, t := range targets {
				g.fleet.Put(t)
			}
			g.sendEngineSetups(b.Context())
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				g.sendEngineSetups(b.Context())
			}
		})
	}
}
