package orderer

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

func (l *listener) tell(t *testing.T, n wire.TargetNotice) {
	t.Helper()
	require.NoError(t, l.Notify(link.KindTargetNotice, &n))
}

func stated(perSecond float64) platform.TargetNotice {
	return platform.TargetNotice{Limit: platform.LimitStated, LimitPerSecond: perSecond}
}

// What the engine's reports state and what its other responses state each hold until they
// end, and the lower one counts.
func TestLowerOfTheStatedLimitsHolds(t *testing.T) {
	testOrdererWith(t, func(t *testing.T, o *Orderer, e *fakeEngine) {
		l := connect(t, o, "gateway-1")
		defer l.Close()
		report := func(n platform.TargetNotice) {
			e.mu.Lock()
			e.notice = n
			e.mu.Unlock()
		}
		for _, step := range []struct {
			name string
			take func()
			want float64 // 0 for no limit
		}{
			{"nothing is stated", func() {}, 0},
			{"a report", func() { report(stated(4)) }, 4},
			{"a response, lower", func() { l.tell(t, wire.TargetNotice{Target: "i-1", Limited: true, LimitPerSecond: 3}) }, 3},
			{"a response, higher", func() { l.tell(t, wire.TargetNotice{Target: "i-1", Limited: true, LimitPerSecond: 9}) }, 4},
			{"a response of another target", func() { l.tell(t, wire.TargetNotice{Target: "i-2", Limited: true, LimitPerSecond: 1}) }, 4},
			{"an invalid one in a report", func() { report(platform.TargetNotice{Limit: platform.LimitInvalid}) }, 4},
			{"none in reports", func() { report(platform.TargetNotice{}) }, 9},
			{"none in responses", func() { l.tell(t, wire.TargetNotice{Target: "i-1"}) }, 0},
		} {
			step.take()
			time.Sleep(2 * idlePoll)
			o.mu.Lock()
			limit, limited := o.scheduler.Limit()
			o.mu.Unlock()
			require.Equal(t, step.want > 0, limited, step.name)
			require.Equal(t, step.want, limit, step.name)
		}
	})
}

// A gateway tells the agent what a target states: the other gateways are told once, and
// those that come later when they come.
func TestTellsAllEntriesWhatATargetStates(t *testing.T) {
	testOrdererWith(t, func(t *testing.T, o *Orderer, _ *fakeEngine) {
		var mu sync.Mutex
		told := make(map[ident.VM][]wire.TargetNotice)
		entry := func(vm ident.VM) *listener {
			return connectWith(t, o, vm, link.Handlers{link.KindTargetNotice: func(_ context.Context, _ *link.Stream, f link.Frame) error {
				var n wire.TargetNotice
				_, err := n.UnmarshalMsg(f.Body)
				mu.Lock()
				defer mu.Unlock()
				told[vm] = append(told[vm], n)
				return err
			}})
		}
		first, second := entry("gateway-1"), entry("gateway-2")
		defer first.Close()
		defer second.Close()
		time.Sleep(time.Second)
		limit := wire.TargetNotice{Target: "p-1", Limited: true, LimitPerSecond: 5}
		first.tell(t, limit)
		time.Sleep(time.Second)
		second.tell(t, limit)
		time.Sleep(time.Second)
		late := entry("gateway-3")
		defer late.Close()
		time.Sleep(time.Second)
		first.tell(t, wire.TargetNotice{Target: "p-1"})
		time.Sleep(time.Second)
		ended := wire.TargetNotice{Target: "p-1"}
		mu.Lock()
		defer mu.Unlock()
		require.Equal(t, map[ident.VM][]wire.TargetNotice{"gateway-2": {limit, ended}, "gateway-3": {limit, ended}}, told)
	})
}

func (l *listener) permit(t *testing.T, r wire.PermitRequest) wire.PermitReply {
	t.Helper()
	var reply wire.PermitReply
	require.NoError(t, l.Call(t.Context(), link.KindPermitRequest, &r, link.KindPermitReply, &reply))
	return reply
}

// Permits for requests that need no grant: of the engine's own limit, which grants use as
// well, and of the limits of targets without an agent, in proportion to the entries that
// ask here.
func TestPermitsStayWithinTheLimit(t *testing.T) {
	testOrdererWith(t, func(t *testing.T, o *Orderer, _ *fakeEngine) {
		l := connect(t, o, "gateway-1")
		defer l.Close()
		time.Sleep(time.Millisecond) // the engine's name
		own := wire.PermitRequest{Target: "i-1", LimitPerSecond: 4, MaxWaitMS: 300}
		require.Equal(t, wire.PermitReply{Granted: true, LinkedEntries: 1}, l.permit(t, own), "no limit is stated")
		l.tell(t, wire.TargetNotice{Target: "i-1", Limited: true, LimitPerSecond: 4})
		time.Sleep(time.Millisecond)
		require.Equal(t, wire.PermitReply{Granted: true, WaitMS: 249, LinkedEntries: 1}, l.permit(t, own))
		require.Equal(t, wire.PermitReply{WaitMS: 499, LinkedEntries: 1}, l.permit(t, own))

		plain := wire.PermitRequest{Target: "p-1", LimitPerSecond: 4, MaxWaitMS: 300}
		require.Equal(t, wire.PermitReply{Granted: true, WaitMS: 250, LinkedEntries: 1}, l.permit(t, plain))
		silent := connect(t, o, "gateway-2")
		defer silent.Close()
		time.Sleep(4 * time.Second)
		granted := 0
		for range 100 {
			if l.permit(t, wire.PermitRequest{Target: "p-1", LimitPerSecond: 4}).Granted {
				granted++
			}
			time.Sleep(40 * time.Millisecond)
		}
		require.InDelta(t, 8, granted, 1, "in 4 s: half of the entries ask here")
	})
}
