package operator

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
	"github.com/hyssoproad/hyssoproad/pkg/explain"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/member"
	"github.com/hyssoproad/hyssoproad/pkg/route"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

var guide = ident.AdapterVersion{Adapter: "guide", Version: 2}

// explainedRoute returns the explanation of a request for an adapter that no target holds.
func explainedRoute() routeExplanation {
	now := time.Unix(1_000_000, 0)
	table := route.New()
	e := routeExplanation{
		entry: wire.EntryInfo{VM: "entry-01", Domain: "z1", Revision: 12, ConfirmedAgeMS: 80}, entries: 2, now: now,
		job:     &dispatch.Job{Adapter: guide, Service: wire.Service{Name: "drafting", Kind: wire.KindEngine, Balance: 1}},
		members: make(map[ident.Target]member.Member), state: func(wire.Report, string) string { return "draining" },
	}
	for i, r := range []wire.Report{
		{Target: "t-1", Domain: "z1", Running: 6, WaitMS: 0, LoadWaitMS: 900, EvictCost: 4},
		{Target: "t-2", Domain: "z2", Running: 8, Waiting: 2, WaitMS: 300, LoadWaitMS: 400},
		{Target: "t-3", Domain: "z1"},
		{Target: "t-4", Domain: "z2"},
	} {
		r.Kind, r.Incarnation, r.Sequence, r.Slots, r.MaxRunning = wire.KindEngine, 1, 1, 4, 8
		table.Update(r, r.Target != "t-3", now)
		e.members[r.Target] = member.Member{Report: r, LastHeard: now.Add(-time.Duration(100*(i+1)) * time.Millisecond)}
	}
	query := route.Query{Pool: route.Pool{Kind: wire.KindEngine}, Key: guide, Balance: 1, Exclude: []ident.Target{"t-4"}}
	choice, _ := table.Choose(query, now)
	e.placement = dispatch.Placement{Candidates: table.Candidates(query, choice, now), Open: []ident.Target{"t-4"}}
	return e
}

// An operator reads why the adapter is loaded at t-2, although its queue is longer.
func Example_explainRoute() {
	e := explainedRoute()
	if err := e.answer().WriteText(os.Stdout); err != nil {
		panic(err)
	}
	// Output:
	// gateway entry-01 in z1: sends it to t-2, where it is expected to wait for 700 ms (home)
	// request -, route -, service drafting, weights guide@2, order by homes
	// known: configuration 12 (confirmed 80 ms ago), targets 400 ms old, 2 gateways, 0 prompt beginnings
	// TARGET     DOMAIN  COST     WAIT     LOAD                     PREFILL  WAY   COPY  REQUESTS              UNREAD  FORECAST             PACE  ADAPTER  KEPT  LIMIT  AGENT
	// t-2        z2      1650 ms  1250 ms  400 ms                   0 ms     0 ms  0 ms  10 of 8 (200 ms old)  0       300 ms (200 ms old)  -     -        -     -      -
	// t-1        z1      1850 ms  750 ms   900 ms + 200 ms evicted  0 ms     0 ms  0 ms  6 of 8 (100 ms old)   0       0 ms (100 ms old)    -     -        -     -      -
	// RULED OUT  DOMAIN  REASON
	// t-4        z2      its circuit breaker is open
	// t-3        z1      draining
}

// A refusal is shown as callers get it.
func TestRouteExplanationShowsRefusals(t *testing.T) {
	e := explainedRoute()
	e.placement = dispatch.Placement{Refusal: &dispatch.Refusal{Status: 503, Reason: dispatch.ReasonNoTarget, RetryAfter: time.Second}}
	a := e.answer()
	require.Equal(t, explain.Outcome{Action: explain.ActionRefuse, Status: 503, Reason: "no-target", RetryAfter: 1000, ExactRetry: true}, a.Outcome)
	require.Equal(t, "refuses it with status 503, Retry-After 1000 ms (no-target)", a.Outcome.String())
}
