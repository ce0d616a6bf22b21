package gateway

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/placement"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	loadCounts = platform.LoadRunning | platform.LoadWaiting | platform.LoadSlots
	pacedLoad  = loadCounts | platform.LoadPace
)

var loadStart = time.Unix(1_000_000, 0)

// plainTargets returns targets of one service, each in a failure domain of its own.
func plainTargets(n int) []fleet.Target {
	var out []fleet.Target
	for i := range n {
		out = append(out, fleet.Target{Instance: ident.Target(fmt.Sprintf("p-%d", i)), Service: plainService, Address: fmt.Sprintf("10.0.2.%d:1", i+1), Slots: 6, Domain: ident.Domain(fmt.Sprintf("d-%d", i))})
	}
	return out
}

// Services whose targets state no pace are served as before paces were known.
func TestWithoutPacesTheOrderIsByLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, targets := newLoadTracker(), plainTargets(rapid.IntRange(1, 6).Draw(t, "targets"))
		for _, target := range targets {
			for range rapid.IntRange(0, 3).Draw(t, "own") {
				l.begin(target.Instance)
			}
			if rapid.Bool().Draw(t, "reported") {
				l.record(target.Instance, platform.TargetLoad{Running: rapid.IntRange(0, 9).Draw(t, "running"), Slots: 6, Known: loadCounts}, time.Now())
			}
		}
		own, tie := ident.Domain(rapid.SampledFrom([]string{"", "d-0", "d-2"}).Draw(t, "domain")), rapid.Uint64().Draw(t, "tie")
		require.Equal(t, placement.ByLoad(targets, l.perSlot, own, tie), l.byCost(targets, own, tie, time.Now()))
	})
}

// A request goes where it takes the least time, which is not where the fewest run.
func TestPlainRequestsGoWhereTheyTakeTheLeastTime(t *testing.T) {
	for _, test := range []struct {
		name    string
		paces   [2]float64
		running [2]int
		slots   [2]int
		first   ident.Target
	}{
		{"slow target without requests", [2]float64{100, 900}, [2]int{2, 0}, [2]int{6, 6}, "p-0"},
		{"fast target with many requests", [2]float64{60, 100}, [2]int{9, 1}, [2]int{6, 6}, "p-1"},
		{"large slow target", [2]float64{100, 160}, [2]int{8, 8}, [2]int{6, 60}, "p-1"},
	} {
		l, targets := newLoadTracker(), plainTargets(2)
		for i, target := range targets {
			l.record(target.Instance, platform.TargetLoad{Running: test.running[i], Slots: test.slots[i], Pace: test.paces[i], Known: pacedLoad}, loadStart)
		}
		first := 0
		for tie := range uint64(1000) {
			if l.byCost(targets, "", tie, loadStart)[0].Instance == test.first {
				first++
			}
		}
		require.Greater(t, first, 900, test.name)
	}
}

// All gateways have seen the same report of an idle fast target (load pattern: many
// gateways, each with few requests). Their next requests, which come before the next
// report, must not all go there.
func TestGatewaysWithOneReportDoNotHerd(t *testing.T) {
	const gateways = 30
	targets, sent := plainTargets(4), make(map[ident.Target]int)
	for i := range gateways {
		l := newLoadTracker()
		for j, pace := range []float64{60, 100, 100, 160} {
			l.record(targets[j].Instance, platform.TargetLoad{Slots: 6, Pace: pace, Known: pacedLoad}, loadStart)
		}
		for request := range 20 {
			sent[l.byCost(targets, "", hash(fmt.Sprintf("%d-%d", i, request)), loadStart)[0].Instance]++
		}
	}
	require.Less(t, sent["p-0"], gateways*20*7/10)
	require.Greater(t, sent["p-0"], sent["p-1"], "the fast one gets the most")
	require.Greater(t, sent["p-1"], gateways*20/8)
	require.Greater(t, sent["p-3"], 0)
	require.Less(t, sent["p-3"], gateways*20/8)
}

// A VM is slow for short intervals, shorter than the time between two reports that a
// gateway gets: one report changes the average little, and one that is old does not count.
func TestPaceIsSmoothedAndAges(t *testing.T) {
	var p smoothedPace
	require.Equal(t, placement.UsualPace, p.at(loadStart))
	now := loadStart
	for range 20 {
		now = now.Add(time.Second)
		p.record(160, now)
	}
	require.Equal(t, 160.0, p.at(now))
	now = now.Add(time.Second)
	p.record(400, now)
	require.InDelta(t, 183, p.at(now), 5)
	for range 50 { // one response shows no more than the one just before
		now = now.Add(time.Millisecond)
		p.record(400, now)
	}
	require.Less(t, p.at(now), 190.0)
	require.Equal(t, placement.UsualPace, p.at(now.Add(paceTTL)))
	p.record(60, now.Add(paceTTL))
	require.Equal(t, 60.0, p.at(now.Add(paceTTL)))
}

// plainModel is a plain service in virtual time: each target runs as many requests as it
// has slots, the others wait. It changes pace as the VMs of the users' platform do.
type plainModel struct {
	base, pace []float64
	free       [][]time.Time // when each slot is free
}

const plainModelWork = 40 * time.Millisecond // at the usual pace

func (m *plainModel) run(target int, at time.Time) time.Time {
	slot := 0
	for i, free := range m.free[target] {
		if free.Before(m.free[target][slot]) {
			slot = i
		}
	}
	begin := at
	if m.free[target][slot].After(begin) {
		begin = m.free[target][slot]
	}
	end := begin.Add(time.Duration(m.pace[target] / placement.UsualPace * float64(plainModelWork)))
	m.free[target][slot] = end
	return end
}

func (m *plainModel) running(target int, at time.Time) int {
	n := 0
	for _, free := range m.free[target] {
		if free.After(at) {
			n++
		}
	}
	return n
}

// simulatePlain returns the mean time of requests from 30 gateways, and the largest share
// that one target had of the requests of any second.
func simulatePlain(paced bool) (mean time.Duration, largest float64) {
	type response struct {
		gateway, target int
		load            platform.TargetLoad
		at              time.Time
	}
	const gateways, perSecond, seconds = 30, 137, 120
	random := rand.New(rand.NewPCG(1, 2))
	m := plainModel{base: []float64{60, 100, 100, 160}, pace: make([]float64, 4), free: make([][]time.Time, 4)}
	for i := range m.free {
		m.free[i] = make([]time.Time, 6)
	}
	var trackers []*loadTracker
	for range gateways {
		trackers = append(trackers, newLoadTracker())
	}
	targets, index := plainTargets(4), map[ident.Target]int{"p-0": 0, "p-1": 1, "p-2": 2, "p-3": 3}
	var under []response
	var total time.Duration
	inWindow, count := make([]int, 4), 0
	window, change, now := loadStart, loadStart, loadStart
	for now.Before(loadStart.Add(seconds * time.Second)) {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond))
		for ; !change.After(now); change = change.Add(600 * time.Millisecond) {
			for i, base := range m.base {
				m.pace[i] = base
				if random.Float64() < 0.15 {
					m.pace[i] = 2.5 * base
				}
			}
		}
		var left []response
		for _, r := range under {
			if r.at.After(now) {
				left = append(left, r)
				continue
			}
			trackers[r.gateway].end(targets[r.target].Instance)
			trackers[r.gateway].record(targets[r.target].Instance, r.load, r.at)
		}
		under = left
		gateway := random.IntN(gateways)
		target := index[trackers[gateway].byCost(targets, targets[gateway%4].Domain, random.Uint64(), now)[0].Instance]
		trackers[gateway].begin(targets[target].Instance)
		end := m.run(target, now)
		load := platform.TargetLoad{Running: m.running(target, now), Slots: 6, Known: loadCounts}
		if paced {
			load.Pace, load.Known = m.pace[target], pacedLoad
		}
		under = append(under, response{gateway, target, load, end})
		total, count = total+end.Sub(now), count+1
		if now.Sub(window) >= time.Second {
			sum := inWindow[0] + inWindow[1] + inWindow[2] + inWindow[3]
			for i := range inWindow {
				if sum >= 50 {
					largest = max(largest, float64(inWindow[i])/float64(sum))
				}
				inWindow[i] = 0
			}
			window = now
		}
		inWindow[target]++
	}
	return total / time.Duration(count), largest
}

// VMs of different speeds that are slow now and then (load pattern of a service with four
// targets and 30 gateways): requests take less time than without paces, and at no moment
// do most of them go to one target.
func TestPlacingByPaceNeitherChasesItNorHerds(t *testing.T) {
	before, _ := simulatePlain(false)
	after, largest := simulatePlain(true)
	t.Logf("mean time without paces %s, with them %s; largest share of a target within a second %.2f", before, after, largest)
	require.Less(t, after, before*9/10)
	require.Less(t, largest, 0.75)
}

// A field that cannot be read is counted each time and logged once per target, and what can
// be read of the others counts.
func TestUnreadableLoadsAreCountedAndLoggedOnce(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		var rows bytes.Buffer
		h.Log = common.NewLog(&rows, "info")
		scope := tally.NewTestScope("", nil)
		h.metrics = newMetrics(scope)
		h.fleet.Replace([]fleet.Target{{Instance: "p-1", Service: plainService, Address: "10.0.0.1:1"}}, time.Now())
		for range 3 {
			h.script(respond(200, "ok", "X-Instance-Load: 2,0,8,fast\r\n"))
			require.Equal(t, 200, h.send(rawRequest("GET", "/safe/")).StatusCode)
		}
		h.script(respond(200, "ok", "X-Instance-Load: 7\r\n"))
		require.Equal(t, 200, h.send(rawRequest("GET", "/safe/")).StatusCode)
		require.Equal(t, int64(4), scope.Snapshot().Counters()["unreadable_loads+"].Value())
		require.Equal(t, 1, strings.Count(rows.String(), "fields=pace"), rows.String())
		require.Equal(t, 1, strings.Count(rows.String(), "fields=running,waiting"), rows.String())
		require.Equal(t, 8, h.loads.byTarget["p-1"].slots)
	})
}

// Another target has the address, and says so with its load: that is not the load of the one
// that was asked for.
func TestLoadOfAnotherTargetAtTheAddressIsNotRecorded(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.fleet.Remove("p-2", time.Now())
		h.script(respond(421, "", "X-Instance-Load: 9,9,6\r\n"))
		h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n"))
		h.loads.mu.Lock()
		defer h.loads.mu.Unlock()
		require.Zero(t, h.loads.byTarget["p-1"].otherRequests)
	})
}
