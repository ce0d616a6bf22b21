package gateway

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// limitWindow and limitGrace are the guarantee's window, and the time after the first
// statement of a limit from which on it holds.
const (
	limitWindow = 4 * time.Second
	limitGrace  = 3 * time.Second
)

// requireWithinLimit requires that the target gets no more requests than the guarantee
// for its limit allows, which is half as many again, and 5.
func requireWithinLimit(t *testing.T, target *fleetTarget, perSecond float64, from, to time.Time) {
	t.Helper()
	allowed := 1.5*perSecond*limitWindow.Seconds() + 5
	require.LessOrEqual(t, float64(target.mostArrivals(from, to, limitWindow)), allowed, "%s, %g a second", target.Instance, perSecond)
}

// requireUsed requires that the target gets most of the requests that it takes.
func requireUsed(t *testing.T, target *fleetTarget, perSecond float64, from, to time.Time) {
	t.Helper()
	require.GreaterOrEqual(t, float64(len(target.arrived(from, to))), 0.75*perSecond*to.Sub(from).Seconds(), "%s, %g a second", target.Instance, perSecond)
}

func statedLimit(perSecond float64) string { return fmt.Sprintf("Server-Limit: %g\r\n", perSecond) }

// Half of the engines state that they take a quarter of what they get (load pattern: demand
// above what some engines take, at uneven shares of several gateways).
func TestEnginesGetNoMoreThanTheLimitThatTheyState(t *testing.T) {
	const perSecond, limit = 40, 2.5
	respond := func(e *fleetTarget, limit float64) { e.state(statedLimit(limit)) }
	for _, test := range []struct {
		name  string
		limit float64
		state func(e *fleetTarget, limit float64)
		// happens is called at second i of the load under the limit.
		happens func(h *fleetHarness, i int)
	}{
		{"in responses", limit, respond, nil},
		{"in reports", limit, func(e *fleetTarget, limit float64) { e.report(statedLimit(limit)) }, nil},
		{"a low one", 0.5, respond, nil},
		{"none at all", 0, respond, nil},
		{"one in doubt between valid ones", limit, func(e *fleetTarget, limit float64) {
			e.state(statedLimit(limit) + "Server-Limit: much\r\nServer-Limit: 1000\r\n")
		}, nil},
		{"it varies", limit, respond, func(h *fleetHarness, i int) { h.engines[0].state(statedLimit(limit - float64(i%2)/2)) }},
		{"their agents restart", limit, respond, func(h *fleetHarness, i int) {
			if i%4 == 3 {
				h.restartAgent(h.engines[0])
			}
		}},
		{"gateways restart", limit, respond, func(h *fleetHarness, i int) {
			if i%4 == 3 {
				h.startGateway(i % 3)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			testFleet(t, fleetSize{4, 4, 0}, func(t *testing.T, h *fleetHarness) {
				limited := h.engines[:2]
				before := make(map[*fleetTarget]float64) // arrivals a second without a limit
				h.load("/stream/", perSecond, 30*time.Second)
				time.Sleep(6 * time.Second)
				for _, e := range limited {
					before[e] = float64(len(e.arrived(time.Now().Add(-5*time.Second), time.Now()))) / 5
					require.Greater(t, before[e], 2*test.limit)
					test.state(e, test.limit)
				}
				from := time.Now().Add(limitGrace)
				for i := range 15 {
					if test.happens != nil {
						test.happens(h, i)
					}
					time.Sleep(time.Second)
				}
				for _, e := range limited {
					requireWithinLimit(t, e, test.limit, from, time.Now())
					if test.limit > 0 {
						requireUsed(t, e, test.limit, from, time.Now())
					}
					e.state("")
					e.report("")
				}
				time.Sleep(7 * time.Second)
				for _, e := range limited {
					again := float64(len(e.arrived(time.Now().Add(-5*time.Second), time.Now()))) / 5
					require.Greater(t, again, before[e]/2, "%s, whose limit has ended", e.Instance)
				}
			})
		})
	}
}

// Half of the targets of a plain service, which have no agent, state that they take a
// quarter of what they get (load pattern: as above, and no process that all requests for
// a target pass).
func TestPlainTargetsGetNoMoreThanTheLimitThatTheyState(t *testing.T) {
	const perSecond, limit = 40, 2.5
	restart := func(h *fleetHarness, i int) {
		if i%4 == 3 {
			h.restartAgent(h.engines[i%len(h.engines)])
		}
	}
	for _, test := range []struct {
		name    string
		size    fleetSize
		limit   float64
		limited int // targets that state it
		// unused says that it is not used up, and unnoticed that its end is not noticed soon:
		// a gateway that does not know how many there are sends next to nothing.
		unused, unnoticed bool
		happens           func(h *fleetHarness, i int)
	}{
		{"some", fleetSize{4, 2, 4}, limit, 2, false, false, nil},
		{"many gateways", fleetSize{20, 2, 4}, limit, 2, false, false, nil},
		{"a low one", fleetSize{4, 2, 4}, 0.5, 2, false, false, nil},
		{"none at all", fleetSize{4, 2, 4}, 0, 2, true, false, nil},
		{"all", fleetSize{4, 2, 4}, limit, 4, false, false, nil},
		{"agents restart", fleetSize{4, 2, 4}, limit, 2, false, false, restart},
		{"one agent is lost", fleetSize{4, 2, 4}, limit, 2, false, false, func(h *fleetHarness, i int) {
			if i == 4 {
				h.stopAgent(h.engines[0])
			}
		}},
		{"all agents are lost", fleetSize{4, 2, 4}, limit, 2, true, false, func(h *fleetHarness, i int) {
			if i == 4 {
				h.stopAgent(h.engines[0])
				h.stopAgent(h.engines[1])
			}
		}},
		{"there are no agents", fleetSize{12, 0, 4}, limit, 2, true, true, nil},
		{"gateways restart", fleetSize{4, 2, 4}, limit, 2, false, false, func(h *fleetHarness, i int) {
			if i%4 == 3 {
				h.startGateway(i % 3)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			testFleet(t, test.size, func(t *testing.T, h *fleetHarness) {
				limited := h.plain[:test.limited]
				h.load("/safe/", perSecond, 35*time.Second)
				time.Sleep(3 * time.Second)
				for _, p := range limited {
					p.state(statedLimit(test.limit))
				}
				from := time.Now().Add(limitGrace)
				for i := range 15 {
					if test.happens != nil {
						test.happens(h, i)
					}
					time.Sleep(time.Second)
				}
				for _, p := range limited {
					requireWithinLimit(t, p, test.limit, from, time.Now())
					if !test.unused {
						requireUsed(t, p, test.limit, from, time.Now())
					}
					p.state("")
				}
				time.Sleep(15 * time.Second)
				for _, p := range limited {
					if test.unnoticed {
						continue
					}
					again := float64(len(p.arrived(time.Now().Add(-2*time.Second), time.Now()))) / 2
					require.Greater(t, again, 2*limit, "%s, whose limit has ended", p.Instance)
				}
			})
		})
	}
}

// All targets of a plain service take less than comes: what they take is served in time,
// and the rest is refused at once with a time at which it may come back.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	testFleet(t, fleetSize{4, 2, 2}, func(t *testing.T, h *fleetHarness) {
		for _, p := range h.plain {
			p.state(statedLimit(5))
		}
		h.load("/safe/", 40, 20*time.Second)
		time.Sleep(10 * time.Second)
		refused := 0
		for range 40 {
			began := time.Now()
			res := h.request(0, "/safe/", 0)
			require.Contains(t, []int{200, 503}, res.StatusCode)
			require.Less(t, time.Since(began), 100*time.Millisecond, "the route's objective")
			if res.StatusCode == 503 {
				refused++
				after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.InDelta(t, minRetryAfter.Seconds(), after, 0.3)
			}
			time.Sleep(50 * time.Millisecond)
		}
		require.Greater(t, refused, 20)
		time.Sleep(10 * time.Second)
		require.InDelta(t, 10*20, h.answers(200), 40, "answers to callers within the limits")
		require.Zero(t, h.answers(502))
	})
}

// The first home is used up to its limit. What it does not take goes to engines without
// a limit first (load pattern: most engines state limits, and few homes are asked).
func TestHomesWithALimitComeLast(t *testing.T) {
	for _, test := range []struct {
		limited string // instances, one letter each
		want    string
	}{
		{"", "abcd"}, {"a", "abcd"}, {"b", "acdb"}, {"ac", "abdc"}, {"abcd", "abcd"}, {"bcd", "abcd"},
	} {
		g := testGateway()
		for _, id := range test.limited {
			g.notices.Adopt(wire.TargetNotice{Target: ident.Target(id), Limited: true, LimitPerSecond: 1}, time.Now())
		}
		var homes []fleet.Target
		for _, id := range "abcd" {
			homes = append(homes, fleet.Target{Instance: ident.Target(id)})
		}
		got := ""
		for _, h := range (&exchange{g: g}).limitedLast(homes) {
			got += string(h.Instance)
		}
		require.Equal(t, test.want, got, "limited: %s", test.limited)
		require.Empty(t, (&exchange{g: g}).limitedLast(nil))
	}
}
