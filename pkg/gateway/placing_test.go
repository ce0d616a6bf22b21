package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/affinity"
	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/placement"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	placedSlots    = 64
	placedKVTokens = 100_000
)

// placingGateway returns a gateway that places requests by cost on a number of engines,
// all of which hold the adapter a1.
func placingGateway(engines int) *Gateway {
	g := New(common.Discard(), platform.Node{VM: "vm-1", PeerPort: 7380, Bounds: platform.Bounds{RetryWindow: time.Second}})
	c := testConfiguration(1)
	s := c.Services[streamService]
	s.Engine = &platform.EngineSpec{Slots: placedSlots, KVTokens: placedKVTokens, AdapterSlots: 4, TokensPerEvent: 1, Models: []platform.ModelSpec{{Name: streamModel}}}
	c.Services[streamService] = s
	g.directory.Update(c)
	var list []fleet.Target
	for i := range engines {
		t := placedEngine(i)
		list = append(list, t)
		g.holdings.Observe(t.Address, []ident.Weights{placedWeights("a1")})
	}
	g.fleet.Replace(list, time.Now())
	g.entryCount.Record(30, time.Now())
	g.placing.mode = AffinityOn
	return g
}

func placedEngine(i int) fleet.Target {
	return fleet.Target{Instance: ident.Target(fmt.Sprint("e-", i)), Service: streamService, Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Slots: placedSlots, StartMS: 1, Models: fleet.ModelsOf([]ident.Model{streamModel})}
}

func placedWeights(a ident.Adapter) ident.Weights {
	return ident.Weights{Model: streamModel, AdapterVersion: ident.AdapterVersion{Adapter: a}}
}

// placedRequest returns a request for an adapter with a prompt in the form of its header.
func placedRequest(g *Gateway, attempt string, adapter ident.Adapter, prompt string) *exchange {
	q := &request{attempt: attempt, weights: placedWeights(adapter), prompt: platform.ParsePrompt([]byte(prompt)), parts: platform.ParsePromptParts([]byte(prompt))}
	route, c := g.directory.Find("host.example", "/stream/x")
	return &exchange{g: g, q: q, ctx: context.Background(), began: time.Now(), deadline: time.Now().Add(time.Minute), route: route, service: c.Services[streamService], configuration: c}
}

// order returns the names of the engines in the order in which the request asks them.
func (x *exchange) order() (names []ident.Target) {
	for _, t := range x.place(x.g.eligibleTargets(x.service.Name, x.excluded), x.weights()).homes {
		names = append(names, t.Instance)
	}
	return names
}

// read makes an engine one that has just read the request's prompt.
func (x *exchange) read(t fleet.Target) {
	p := affinity.NewPrompt(x.weights(), x.q.prompt)
	x.g.placing.known.Record(p, t, p.Tokens(), time.Now())
}

// sessionPrompt takes 200 ms to read, half of it shared with other sessions.
const sessionPrompt = "5c1e07a2:2000,e4402b7d:2000"

// TestPromptsGoToTheEngineThatKeepsThemWhileItHasRoom guards against prompts that are read
// again while the engine that keeps them is idle, and against requests that wait for it
// longer than another engine takes to read them (load pattern: sessions, and an engine that
// is idle, has a queue, is full, slow, leaves or has lost what it kept).
func TestPromptsGoToTheEngineThatKeepsThemWhileItHasRoom(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name    string
		happens func(g *Gateway, warm fleet.Target)
		goes    bool // to the engine that keeps the prompt
	}{
		{"idle", func(*Gateway, fleet.Target) {}, true},
		{"with a queue, below the break-even", func(g *Gateway, warm fleet.Target) { g.placing.waits.Begin(warm.Address, 2300) }, true},
		{"with a queue, above it", func(g *Gateway, warm fleet.Target) { g.placing.waits.Begin(warm.Address, 2800) }, false},
		{"its agent has forecast a short wait", func(g *Gateway, warm fleet.Target) {
			g.placing.waits.Forecast(warm.Address, 110*time.Millisecond, time.Now())
		}, true},
		{"its agent has forecast a long one", func(g *Gateway, warm fleet.Target) {
			g.placing.waits.Forecast(warm.Address, 150*time.Millisecond, time.Now())
		}, false},
		{"full", func(g *Gateway, warm fleet.Target) {
			g.loads.record(warm.Instance, platform.TargetLoad{Running: placedSlots, Waiting: 20, Slots: placedSlots, Known: loadCounts}, time.Now())
		}, false},
		{"was full some time ago", func(g *Gateway, warm fleet.Target) {
			g.loads.record(warm.Instance, platform.TargetLoad{Running: placedSlots, Waiting: 20, Slots: placedSlots, Known: loadCounts}, time.Now().Add(-engineLoadTTL))
		}, true},
		{"draining", func(g *Gateway, warm fleet.Target) {
			warm.Draining = true
			g.fleet.Put(warm)
		}, false},
		{"says that it is leaving", func(g *Gateway, warm fleet.Target) {
			g.notices.Observe(processOf(warm), platform.TargetNotice{Leaving: true}, now, now)
		}, false},
		{"wants no requests for now", func(g *Gateway, warm fleet.Target) {
			g.notices.Observe(processOf(warm), platform.TargetNotice{RetryAfter: time.Minute}, now, now)
		}, false},
		{"has started again", func(g *Gateway, warm fleet.Target) {
			warm.StartMS++
			g.fleet.Put(warm)
		}, false},
		{"has just failed", func(g *Gateway, warm fleet.Target) {
			x := placedRequest(g, "failed", "a1", sessionPrompt)
			x.fail(&assignment{target: warm}, stepAnswer, io.ErrUnexpectedEOF)
		}, false},
		{"was short of memory", func(g *Gateway, warm fleet.Target) {
			x := placedRequest(g, "refused", "a1", sessionPrompt)
			x.recordRefusal(warm, x.weights(), wire.GrantReply{Code: wire.GrantBusy, Reason: wire.ReasonEngineFull})
		}, false},
		{"has read much since", func(g *Gateway, warm fleet.Target) {
			x := placedRequest(g, "other", "a2", "other:1,own:4000")
			x.read(warm) // as 30 gateways do
		}, false},
		{"its requests need its memory", func(g *Gateway, warm fleet.Target) {
			g.placing.learned(streamService).RecordRun(time.Second, 3000)
			g.loads.record(warm.Instance, platform.TargetLoad{Running: 34, Slots: placedSlots, Known: loadCounts}, time.Now())
			placedRequest(g, "other", "a2", "own:10").read(warm)
		}, false},
		{"slow", func(g *Gateway, warm fleet.Target) { g.pace = paceOf(warm, 400) }, true},
		{"slow with a queue that is short elsewhere", func(g *Gateway, warm fleet.Target) {
			g.pace = paceOf(warm, 400)
			g.placing.waits.Begin(warm.Address, 1500)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := placingGateway(6)
			// The last of the homes keeps the prompt: that saves 200 ms, less the share of a
			// load of 72 ms for an engine that the adapter's demand does not need.
			x := placedRequest(g, "attempt", "a1", sessionPrompt)
			homes := x.order()
			warm, known := g.fleet.Find(homes[5])
			require.True(t, known)
			x.read(warm)
			test.happens(g, warm)
			require.Equal(t, test.goes, x.order()[0] == warm.Instance)
		})
	}
}

// paceOf returns the pace of one slow target.
func paceOf(slow fleet.Target, percent float64) func(ident.Target) (float64, time.Duration, bool) {
	return func(t ident.Target) (float64, time.Duration, bool) {
		if t == slow.Instance {
			return percent, 0, true
		}
		return 100, 0, true
	}
}

// TestOrderOfHomesStaysWithoutAPace guards against a change for deployments whose engines
// state no pace.
func TestOrderOfHomesStaysWithoutAPace(t *testing.T) {
	known := func(percent float64, age time.Duration) func(ident.Target) (float64, time.Duration, bool) {
		return func(ident.Target) (float64, time.Duration, bool) { return percent, age, true }
	}
	for _, test := range []struct {
		name    string
		mode    PrefixAffinity
		pace    func(ident.Target) (float64, time.Duration, bool)
		weighed bool
	}{
		{"auto without a pace", AffinityAuto, unknownPace, false},
		{"auto with a pace", AffinityAuto, known(100, 0), true},
		{"auto with an old pace", AffinityAuto, known(100, time.Minute), true},
		{"off with a pace", AffinityOff, known(100, 0), false},
		{"on without a pace", AffinityOn, unknownPace, true},
	} {
		g := placingGateway(20)
		g.placing.mode, g.pace = test.mode, test.pace
		x := placedRequest(g, "attempt", "a1", sessionPrompt)
		w := x.weights()
		var before []ident.Target
		for _, t := range placement.Homes(g.fleet.Available(streamService), w) {
			before = append(before, t.Instance)
		}
		// The eighth home keeps the prompt.
		warm, _ := g.fleet.Find(before[7])
		x.read(warm)
		after := x.order()
		require.ElementsMatch(t, before, after, test.name)
		require.Equal(t, test.weighed, after[0] == warm.Instance, test.name)
		if !test.weighed {
			require.Equal(t, before, after, test.name)
		}
	}
}

// TestGatewaysThatKnowTheSameDoNotHerd guards against 30 gateways that all send their next
// request to the same engine (load pattern: equal knowledge, such as after one report).
func TestGatewaysThatKnowTheSameDoNotHerd(t *testing.T) {
	const gateways, engines = 30, 12
	for _, test := range []struct {
		name    string
		keepers int // engines that keep the shared part
		reads   int // of it, just before, at each gateway
		spread  int // engines that get the requests
		most    int // requests at one engine
	}{
		{"nothing is kept", 0, 0, engines, 8},
		{"as many keep the shared part as its rate needs", 4, 8, 4, 14},
		{"one keeps what its rate needs many for", 1, 40, engines, 8},
	} {
		firsts := make(map[ident.Target]int)
		for i := range gateways {
			g := placingGateway(engines)
			for j := range test.reads {
				placedRequest(g, "", "", fmt.Sprintf("part:400,s%d:100", j)).read(placedEngine(j % test.keepers))
			}
			x := placedRequest(g, fmt.Sprint("attempt-", i), "", fmt.Sprintf("part:400,new-%d:100", i))
			firsts[x.order()[0]]++
		}
		require.Len(t, firsts, test.spread, test.name)
		for name, n := range firsts {
			require.LessOrEqual(t, n, test.most, "%s: %s of %v", test.name, name, firsts)
		}
	}
}

// TestHotBeginningIsSpread guards against one beginning that all of a sudden comes at ten
// times its usual rate and fills the engine that keeps it. Engines read one prompt after
// the other, and an agent turns requests away that would wait for long.
func TestHotBeginningIsSpread(t *testing.T) {
	const (
		gateways, engines = 10, 12
		usual, hot        = 6, 60 // requests per second of all gateways
	)
	for _, adapter := range []ident.Adapter{"", "a1"} {
		t.Run("adapter "+string(adapter), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var all []*Gateway
				for range gateways {
					g := placingGateway(engines)
					g.entryCount.Record(gateways, time.Now())
					all = append(all, g)
				}
				busyUntil := make(map[ident.Target]time.Time)
				spent := make(map[ident.Target]time.Duration)
				keeps := make(map[ident.Target]bool)
				n := 0
				run := func(perSecond int, d time.Duration) {
					clear(spent)
					for range int(d.Seconds()) * perSecond {
						time.Sleep(time.Second / time.Duration(perSecond))
						n++
						g := all[n%gateways]
						x := placedRequest(g, fmt.Sprint("attempt-", n), adapter, fmt.Sprintf("hot:350,own-%d:250", n))
						for _, name := range x.order() {
							target, _ := g.fleet.Find(name)
							wait := time.Until(busyUntil[name])
							if wait > 100*time.Millisecond {
								x.recordRefusal(target, x.weights(), wire.GrantReply{Code: wire.GrantBusy, Reason: wire.ReasonPrefill, WaitMS: wait.Milliseconds()})
								continue
							}
							tokens := 600
							if keeps[name] {
								tokens = 250
							}
							work := placement.Speed{TokensPerMS: 20}.Prefill(tokens)
							keeps[name] = true
							busyUntil[name] = time.Now().Add(max(wait, 0) + work)
							spent[name] += work
							read := g.placing.waits.Begin(target.Address, tokens)
							time.AfterFunc(time.Until(busyUntil[name]), func() { read(); x.read(target) })
							break
						}
					}
				}
				run(usual, 60*time.Second)
				run(hot, 5*time.Second) // the first seconds show the new rate
				run(hot, 30*time.Second)
				for name, d := range spent {
					require.Less(t, d, 30*time.Second*4/10, "%s: %v", name, spent)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestSessionsThatReturnAfterMinutesFollowTheAdapter guards against sessions that are drawn
// for good to the engine that served them first.
func TestSessionsThatReturnAfterMinutesFollowTheAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := placingGateway(6)
		x := placedRequest(g, "attempt", "a1", sessionPrompt)
		usual := x.order()
		warm, _ := g.fleet.Find(usual[4])
		x.read(warm)
		time.Sleep(20 * time.Second)
		require.Equal(t, warm.Instance, x.order()[0])
		time.Sleep(2 * time.Minute)
		require.Equal(t, usual, x.order())
		home, _ := g.fleet.Find(usual[0])
		x.read(home)
		require.Equal(t, usual[0], x.order()[0])
	})
}

// TestBannedPartStaysBannedWhereItIsKept guards against a part of prompts that crashes
// engines and is sent to one because it keeps it.
func TestBannedPartStaysBannedWhereItIsKept(t *testing.T) {
	g := placingGateway(4)
	x := placedRequest(g, "attempt", "a1", sessionPrompt)
	x.read(placedEngine(1))
	now := time.Now()
	require.True(t, g.quarantine.Adopt(quarantine.Ban{Part: "5c1e07a2", Until: now.Add(time.Hour)}, now))
	a, why := x.acquireAssignment()
	require.Nil(t, a)
	require.Equal(t, "part of the prompt crashes engines", why.reason)
	_, banned := g.quarantine.Banned(x.q.parts, now)
	require.True(t, banned)
}

// TestKeptPromptsAreLearnedFromAnswers guards against knowledge of prompts that no engine has
// read: one counts from the first event of its answer on.
func TestKeptPromptsAreLearnedFromAnswers(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.placing.mode = AffinityOn
		raw := rawRequest("POST", "/stream/x", "Content-Length: 0\r\n", "X-Model: m/a1\r\n", "X-Token-Count: 300,10\r\n", "X-Prompt-Prefix: shared:200,own:100\r\n")
		h.script(respond(503, "", "X-Not-Executed: 1\r\n"), respondRaw(streamHead+chunk(events(1, 2))+"0\r\n\r\n"))
		res := h.send(raw)
		require.Equal(t, 200, res.StatusCode)
		require.NoError(t, res.Body.Close())
		synctest.Wait()
		received := h.receivedRequests()
		require.Len(t, received, 2)
		x := placedRequest(h.Gateway, "next", "a1", "shared:200,own:100")
		kept, _ := x.kept(h.fleet.Available(streamService), affinity.NewPrompt(x.weights(), x.q.prompt), time.Now())
		for i, target := range h.fleet.Available(streamService) {
			want := 0
			if target.Address == received[1].Address {
				want = 300
			}
			require.Equal(t, want, kept[i].Tokens, target.Instance)
			require.Zero(t, h.placing.waits.At(target.Address, time.Now()).Backlog)
		}
	})
}

// BenchmarkCost measures the decision on the candidates of a request in a fleet of 1,000
// engines with 100,000 known parts.
func BenchmarkCost(b *testing.B) {
	g := placingGateway(1000)
	for i := range 50_000 {
		placedRequest(g, "", "a1", fmt.Sprintf("part-%d:100,own-%d:200", i, i)).read(placedEngine(i % 1000))
	}
	prompt := "hot-1:100,hot-2:100,hot-3:100,own:200"
	x := placedRequest(g, "attempt", "a1", prompt)
	w := x.weights()
	homes := placement.Homes(g.fleet.Available(streamService), w)
	for _, t := range homes[:placement.MaxCandidates] {
		x.read(t)
	}
	b.ReportAllocs()
	for b.Loop() {
		if x.rankByCost(homes, w, time.Now()) == nil {
			b.Fatal("not weighed")
		}
	}
	require.Greater(b, g.placing.known.Size(), 100_000)
}

// TestPrefixAffinityIsChecked guards against a mistyped flag that is ignored.
func TestPrefixAffinityIsChecked(t *testing.T) {
	for value, valid := range map[string]bool{"auto": true, "on": true, "off": true, "": false, "On": false, "never": false} {
		a, err := parsePrefixAffinity(value)
		require.Equal(t, valid, err == nil, value)
		require.Equal(t, valid, strings.EqualFold(string(a), value) && a != "", value)
	}
}

// unknownPace is the pace of targets of which no pace is known.
func unknownPace(ident.Target) (percent float64, age time.Duration, known bool) { return 0, 0, false }
