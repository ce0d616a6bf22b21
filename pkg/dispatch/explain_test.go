package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/route"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
	"github.com/hyssoproad/hyssoproad/pkg/teststate"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Guards against explanations that are computed apart from the placement of requests, or that
// change where later requests go: targets are loaded at random, and some fail until their
// circuit breakers open.
func TestExplanationEqualsWhereTheJobGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, random := route.New(), rand.New(rand.NewPCG(1, 2))
		sequence := uint64(0)
		update := func(i int, usable bool) {
			sequence++
			r := wire.Report{
				Target: ident.Target(fmt.Sprint("t-", i)), Address: fmt.Sprint("a-", i), Incarnation: 1, Sequence: sequence, Kind: wire.KindEngine, Slots: 4, MaxRunning: 8, Ready: true,
				Running: random.IntN(12), LoadWaitMS: int64(random.IntN(3000)), EvictCost: 3 * random.Float64(),
			}
			for a := range 20 {
				if random.IntN(10) == 0 {
					r.Loaded = append(r.Loaded, ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprint("a", a)), Version: 1})
				}
			}
			table.Update(r, usable, time.Now())
		}
		for i := range 10 {
			update(i, true)
		}
		d := dispatch.New(common.Discard(), table, settings.DefaultEntry().Retry)
		var dialed []string
		d.Connect = func(_ context.Context, address string) (*link.Conn, error) {
			dialed = append(dialed, address)
			return nil, errors.New("refused")
		}
		newJob := func(n int) *dispatch.Job {
			return &dispatch.Job{
				Request: ident.Request(fmt.Sprint(n)), Adapter: ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprint("a", n%20)), Version: 1},
				Service: wire.Service{Name: "s", Kind: wire.KindEngine, Balance: 1}, Arrival: time.Now(), Deadline: time.Now().Add(time.Minute),
			}
		}
		explain := func(n int) dispatch.Placement {
			before := teststate.Of(d)
			p := d.Explain(newJob(n))
			require.True(t, before == teststate.Of(d), "the state has changed")
			return p
		}
		open := 0
		for n := range 200 {
			p := explain(n)
			open += len(p.Open)
			chosen := ""
			for _, c := range p.Candidates {
				if c.Chosen {
					chosen = c.Node.Report().Address
				}
			}
			dialed = nil
			d.Run(t.Context(), newJob(n), dispatch.Output{})
			require.Equal(t, chosen, append(dialed, "")[0], "job %d", n)
			update(random.IntN(10), true)
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		}
		require.Positive(t, open, "circuit breakers open")
		for i := range 10 {
			update(i, false)
		}
		for _, stop := range []bool{false, true} {
			if stop {
				d.CancelAll()
			}
			require.Equal(t, d.Run(t.Context(), newJob(1), dispatch.Output{}).Refusal, explain(1).Refusal)
		}
	})
}
