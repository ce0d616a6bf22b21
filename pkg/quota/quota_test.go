package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// An account sends far more than its quota at all gateways (load pattern: 7.5 times its
// usual load, after usual load and pauses) while gateways start again, are paused, wake
// up with old leases or are cut off, holders die, are paused or start again, lists of
// engines differ and messages are lost, duplicated and reordered. In each window what
// runs stays within the rule.
func TestFarTooMuchLoadStaysWithinTheQuotaThroughFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{11_000, 60_000, 308_607}).Draw(t, "rate")
		f := newSimFleet(rapid.IntRange(2, 12).Draw(t, "gateways"), rapid.IntRange(3, 9).Draw(t, "engines"), Limits{perSecond, perSecond}, rapid.Uint64().Draw(t, "seed"))
		f.loss = rapid.SampledFrom([]float64{0, 0, 0.05}).Draw(t, "loss")
		f.duplicates = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicates")
		f.maxDelay = time.Duration(rapid.SampledFrom([]int{3, 60}).Draw(t, "delay")) * time.Millisecond
		f.hold = time.Duration(rapid.SampledFrom([]int{0, 50, 700, 3000}).Draw(t, "hold")) * time.Millisecond
		f.unserved = rapid.SampledFrom([]float64{0, 0, 0.3}).Draw(t, "unserved")
		var lastList time.Duration
		for range rapid.IntRange(2, 6).Draw(t, "phases") {
			share := rapid.SampledFrom([]float64{0.01, 0.55, 1, 4}).Draw(t, "load")
			f.load(share, 4*time.Second, f.any)
			for range 4 {
				f.fail(rapid.SampledFrom([]string{"nothing", "gateway starts", "gateway paused", "gateway cut", "holder dies", "holder paused", "holder starts", "list"}).Draw(t, "event"), &lastList)
				f.run(time.Second)
			}
		}
		f.run(10 * time.Second)
		sum, at := f.worst(0)
		require.LessOrEqual(t, sum, f.allowed(f.limits), "window until %s", at)
	})
}

// fail makes a failure happen.
func (f *simFleet) fail(what string, lastList *time.Duration) {
	g, e := f.any(), f.holders[f.engines[f.random.IntN(len(f.engines))].Address]
	d := time.Duration(f.random.Int64N(int64(5 * time.Second)))
	switch what {
	case "gateway starts":
		f.startGateway(f.random.IntN(len(f.gateways)))
	case "gateway paused":
		g.paused = f.now + d
	case "gateway cut":
		g.cut = true
		f.after(d, func() { g.cut = false })
	case "holder dies":
		e.dead = true
		f.after(d, func() { *e = simHolder{} })
	case "holder paused":
		e.paused = f.now + d
	case "holder starts":
		*e = simHolder{}
	case "list":
		// The lists of all gateways agree within listDelay of the last change.
		if f.now-*lastList < 8*time.Second {
			return
		}
		*lastList = f.now
		if engines := f.engines; len(engines) > 3 && f.random.IntN(2) == 0 {
			at := f.random.IntN(len(engines))
			f.list(append(append([]Engine(nil), engines[:at]...), engines[at+1:]...))
			return
		}
		address := "10.0.1." + string(rune('0'+len(f.holders)%10)) + ":1"
		if f.holders[address] == nil {
			f.holders[address] = &simHolder{}
			f.list(append(append([]Engine(nil), f.engines...), Engine{Address: address}))
		}
	}
}
