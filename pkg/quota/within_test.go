package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requireWithin requires that runs stay within a part of the excess, so that the causes of
// excess may add up.
func (f *simFleet) requireWithin(t *testing.T, part float64) {
	t.Helper()
	whole := f.limits.PerSecond*f.rules.Window.Seconds() + f.limits.Burst
	sum, at := f.worst(0)
	require.LessOrEqual(t, sum, whole*(1+part*f.rules.Excess)+f.rules.Slack, "%.3f of the limit in the window until %s", sum/whole, at)
}

var simRates = []float64{11_000, 60_000, 308_607}

// eachRate runs a test with accounts of each size.
func eachRate(t *testing.T, gateways, engines int, test func(t *testing.T, f *simFleet)) {
	for i, perSecond := range simRates {
		t.Run(fmt.Sprintf("%g a second", perSecond), func(t *testing.T) {
			test(t, newSimFleet(gateways, engines, Limits{perSecond, perSecond}, uint64(i)))
		})
	}
}

// Buckets are full when an account begins to send 8 times its quota.
func TestLoadFarAboveTheQuotaIsCutToIt(t *testing.T) {
	eachRate(t, 30, 9, func(t *testing.T, f *simFleet) {
		f.run(4 * time.Second)
		f.load(8, 12*time.Second, f.any)
		f.run(14 * time.Second)
		f.requireWithin(t, 0.1)
		used := 0.0
		for _, r := range f.runs {
			used += r.cost
		}
		require.Greater(t, used, 0.95*f.limits.PerSecond*12, "the quota is used up")
	})
}

// The holders change twice in a window while the account sends 4 times its quota: gateways
// whose lists are older still ask the engine that was a holder before, which answers.
func TestHoldersOfOlderListsAddNoShare(t *testing.T) {
	eachRate(t, 12, 3, func(t *testing.T, f *simFleet) {
		f.run(5 * time.Second)
		f.load(0.55, 4*time.Second, f.any)
		f.run(4 * time.Second)
		f.load(4, 14*time.Second, f.any)
		first := f.engines
		f.holders["10.0.9.9:1"] = &simHolder{}
		f.list(append([]Engine{{Address: "10.0.9.9:1"}}, first[:2]...))
		f.run(4 * time.Second)
		f.list(first)
		f.run(12 * time.Second)
		f.requireWithin(t, 0.5)
	})
}

// Requests that were paid wait at gateways, which are all paused: when they wake up, what
// was paid long ago is no longer good for a run, beside the full buckets.
func TestWokenGatewaysPayAgainForRequestsThatWaited(t *testing.T) {
	eachRate(t, 8, 5, func(t *testing.T, f *simFleet) {
		f.run(4 * time.Second)
		f.load(1, 3*time.Second, f.any)
		f.hold = 1500 * time.Millisecond
		f.run(3 * time.Second)
		for _, g := range f.gateways {
			g.paused = f.now + 6*time.Second
		}
		f.load(4, 10*time.Second, f.any)
		f.run(14 * time.Second)
		f.requireWithin(t, 0.5)
	})
}

// Requests wait for their engines for up to 3 s, and then none does (load pattern: engines
// become free at once): what was paid before the window doesn't run in it.
func TestRequestsThatWaitedLongDoNotRunAtOnce(t *testing.T) {
	eachRate(t, 8, 5, func(t *testing.T, f *simFleet) {
		f.load(2, 12*time.Second, f.any)
		free := f.now + 6*time.Second
		f.heldUntil = func() time.Duration { return max(min(free-f.now, 3*time.Second), 0) }
		f.run(16 * time.Second)
		f.requireWithin(t, 0.9)
	})
}

// A third of the gateways reach no holder, and the others use the whole quota.
func TestGatewaysThatReachNoHolderStayWithinTheExcess(t *testing.T) {
	eachRate(t, 30, 5, func(t *testing.T, f *simFleet) {
		f.run(4 * time.Second)
		for i := range 10 {
			f.gateways[i].cut = true
		}
		f.load(6, 15*time.Second, f.any)
		f.run(16 * time.Second)
		f.requireWithin(t, 0.6)
	})
}

// All gateways reach no holder: what they run is a small part, and not nothing.
func TestGatewaysAloneUseASmallPart(t *testing.T) {
	eachRate(t, 30, 5, func(t *testing.T, f *simFleet) {
		for _, g := range f.gateways {
			g.cut = true
		}
		f.load(4, 60*time.Second, f.any)
		f.run(62 * time.Second)
		used := 0.0
		for _, r := range f.runs {
			used += r.cost
		}
		part := f.rules.AloneShare() * f.limits.PerSecond * 60
		require.Less(t, used, 1.1*part)
		require.Greater(t, used, 0.3*part, "a bucket holds no more than the request at hand or a second's part")
	})
}

// A lowered limit binds one window after it is in force at all gateways.
func TestLoweredLimitBindsAfterOneWindow(t *testing.T) {
	eachRate(t, 12, 5, func(t *testing.T, f *simFleet) {
		f.load(3, 20*time.Second, f.any)
		f.run(6 * time.Second)
		f.setLimits(Limits{f.limits.PerSecond / 4, f.limits.Burst / 4}, 2*time.Second)
		f.run(16 * time.Second)
		sum, at := f.worst(8 * time.Second)
		require.LessOrEqual(t, sum, f.allowed(f.limits), "window until %s", at)
	})
}

// An account sends its usual 0.55 of the quota. Nothing is refused, whatever happens to
// gateways, holders and lists.
func TestUsualLoadIsNotRefused(t *testing.T) {
	for _, test := range []struct {
		name    string
		happens func(f *simFleet, second int)
		pick    func(f *simFleet) *simGateway
	}{
		{name: "spread over all gateways"},
		{name: "jumps from gateway to gateway", pick: func(f *simFleet) *simGateway {
			return f.gateways[int(f.now/(700*time.Millisecond))%len(f.gateways)]
		}},
		{name: "all at a gateway that has just started", happens: func(f *simFleet, i int) { f.startGateway(0) }, pick: func(f *simFleet) *simGateway { return f.gateways[0] }},
		{name: "one of the holders dies", happens: func(f *simFleet, i int) {
			h := f.holders[NewRing(f.engines).Holders("account")[0].Address]
			if i%10 == 2 {
				h.dead = true
			}
			if i%10 == 6 {
				*h = simHolder{}
			}
		}},
		{name: "one of the holders starts again", happens: func(f *simFleet, i int) {
			if i%5 == 2 {
				*f.holders[NewRing(f.engines).Holders("account")[i%3].Address] = simHolder{}
			}
		}},
		{name: "an engine is listed that becomes a holder", happens: func(f *simFleet, i int) {
			if i%10 == 2 {
				address := fmt.Sprintf("10.0.7.%d:1", i)
				f.holders[address] = &simHolder{}
				f.list(append(f.engines[1:len(f.engines):len(f.engines)], Engine{Address: address}))
			}
		}},
		{name: "a third is not served and a tenth of the gateways paused", happens: func(f *simFleet, i int) {
			f.unserved = 0.3
			f.gateways[i%len(f.gateways)].paused = f.now + time.Second
		}},
		{name: "the configuration changes", happens: func(f *simFleet, i int) { f.setLimits(f.limits, time.Second) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			eachRate(t, 10, 3, func(t *testing.T, f *simFleet) {
				f.run(2 * time.Second) // buckets fill from the announcements on
				pick := f.any
				if test.pick != nil {
					pick = func() *simGateway { return test.pick(f) }
				}
				f.load(0.55, 20*time.Second, pick)
				for i := range 21 {
					if test.happens != nil {
						test.happens(f, i)
					}
					f.run(time.Second)
				}
				require.Empty(t, f.refused, "of %d", len(f.runs)+len(f.refused))
				t.Logf("%d requests, %.2f messages for each", len(f.runs), float64(f.messages)/float64(max(len(f.runs), 1)))
			})
		})
	}
}
