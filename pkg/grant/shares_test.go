package grant

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// accountLoad is what one client account sends to an engine.
type accountLoad struct {
	account   ident.Account
	weight    float64
	perSecond float64
	rank      int
	prompt    int // tokens; 0 for a random number up to 400
}

// loadResult is how many requests of an account were sent and granted, and the tokens of
// those granted.
type loadResult struct{ asked, served, tokens int }

func (r loadResult) ratio() float64 { return float64(r.served) / float64(max(r.asked, 1)) }

// serveLoads sends the loads to an engine with 4 slots for a while. A run takes 400 ms, so
// that the engine serves 10 requests per second.
func serveLoads(seed uint64, duration time.Duration, loads []accountLoad) (byAccount map[ident.Account]loadResult, all loadResult) {
	const step, runTime = 10 * time.Millisecond, 400 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 1))
	sched := schedulerWith(4, 1)
	byAccount = make(map[ident.Account]loadResult)
	waiting := make(map[RequestID]*Request)
	ends := make(map[RequestID]time.Time)
	var next RequestID
	for at := time.Duration(0); at < duration; at += step {
		now := start.Add(at)
		for id, end := range ends {
			if !now.Before(end) {
				delete(ends, id)
				sched.Withdraw(id, now)
			}
		}
		sched.ObserveMemory(nil, true, now.Add(time.Millisecond), now)
		for _, d := range loads {
			if random.Float64() >= d.perSecond*step.Seconds() {
				continue
			}
			next++
			r := request(next, 1, now)
			r.Account, r.Weight, r.Rank, r.PromptTokens, r.MaxWaitMS = d.account, d.weight, d.rank, d.prompt, 2000
			if d.prompt == 0 {
				r.PromptTokens = 1 + random.IntN(400)
			}
			sched.Enqueue(r)
			waiting[next] = r
			v := byAccount[d.account]
			v.asked++
			byAccount[d.account] = v
			all.asked++
		}
		for _, reply := range sched.Decide(now) {
			r := waiting[reply.ID]
			delete(waiting, reply.ID)
			if reply.Code != wire.GrantIssued {
				continue
			}
			sched.Started(reply.ID, 20*time.Millisecond, now)
			ends[reply.ID] = now.Add(runTime)
			v := byAccount[r.Account]
			v.served, v.tokens = v.served+1, v.tokens+r.kvTokens()
			byAccount[r.Account] = v
			all.served++
		}
	}
	return byAccount, all
}

// usualLoads is the demand of 16 accounts, a few of them large, of 8 requests per second
// in all.
func usualLoads() []accountLoad {
	out := make([]accountLoad, 16)
	for i := range out {
		rate := 0.3
		if i < 4 {
			rate = 1.1
		}
		out[i] = accountLoad{account: ident.Account(fmt.Sprintf("c%d", i)), weight: rate * 1000, perSecond: rate}
	}
	return out
}

// An account sends 7.5 times its usual load: before accounts were known, it took the
// engine from the others in proportion. The others lose only the requests that wait too
// long in a burst: late requests come last.
func TestAccountThatSendsTooMuchTakesNoShareOfTheOthers(t *testing.T) {
	for _, test := range []struct {
		flood    int
		accounts bool
		min, max float64 // share of the others' requests that is served
	}{
		{0, true, 0.93, 1},
		{15, true, 0.93, 1},
		{0, false, 0, 0.8},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			loads := usualLoads()
			loads[test.flood].perSecond *= 7.5
			if !test.accounts {
				flood := loads[test.flood]
				loads = []accountLoad{{weight: 1, perSecond: 8 - flood.perSecond/7.5 + flood.perSecond}}
			}
			byAccount, all := serveLoads(1, 3*time.Minute, loads)
			var others loadResult
			for i, l := range loads {
				if i == test.flood && test.accounts {
					continue
				}
				v := byAccount[l.account]
				others.asked, others.served = others.asked+v.asked, others.served+v.served
				if test.accounts {
					require.Greater(t, v.ratio(), 0.8, "account %s; all %+v", l.account, all)
				}
			}
			require.GreaterOrEqual(t, others.ratio(), test.min)
			require.LessOrEqual(t, others.ratio(), test.max)
			require.Greater(t, all.served, 3*540, "the engine is kept busy")
		})
	}
}

// Accounts that ask for less than their shares leave the rest to one that asks for more.
func TestUnusedSharesAreLent(t *testing.T) {
	byAccount, all := serveLoads(1, time.Minute, []accountLoad{{account: "large", weight: 100_000, perSecond: 1}, {account: "small", weight: 1, perSecond: 30}})
	require.Greater(t, all.served, 560)
	require.Greater(t, byAccount["small"].served, 480)
	require.Greater(t, byAccount["large"].ratio(), 0.9)
}

// Accounts that all ask for more than their shares get tokens in proportion to their
// weights, whatever the size of their requests. The engine has 4 slots, so that other
// proportions than these are only approached.
func TestTokensAreSharedByWeight(t *testing.T) {
	for _, test := range []struct {
		name string
		a, b accountLoad
		want float64 // tokens of a for each one of b
	}{
		{"by weight", accountLoad{weight: 3, prompt: 200}, accountLoad{weight: 1, prompt: 200}, 3},
		{"by size", accountLoad{weight: 1, prompt: 100}, accountLoad{weight: 1, prompt: 500}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.a.account, test.b.account, test.a.perSecond, test.b.perSecond = "a", "b", 20, 20
			byAccount, _ := serveLoads(1, time.Minute, []accountLoad{test.a, test.b})
			require.InEpsilon(t, test.want, float64(byAccount["a"].tokens)/float64(byAccount["b"].tokens), 0.15)
		})
	}
}

// An account that is less urgent, has no rate, or sends the longest prompts is still served
// a quarter as often as all at an engine that is asked for three times what it can serve.
func TestNoAccountStarves(t *testing.T) {
	for _, test := range []struct {
		name string
		odd  accountLoad
	}{
		{"less urgent", accountLoad{weight: 1000, rank: 3}},
		{"without a rate", accountLoad{weight: 0}},
		{"the longest prompts", accountLoad{weight: 1000, prompt: 15_000}},
		{"all of it", accountLoad{weight: 0, rank: 3, prompt: 15_000}},
	} {
		for _, perSecond := range []float64{0.5, 15} {
			t.Run(fmt.Sprintf("%s at %g per second", test.name, perSecond), func(t *testing.T) {
				odd := test.odd
				odd.account, odd.perSecond = "odd", perSecond
				byAccount, all := serveLoads(1, 30*time.Second, []accountLoad{{account: "a", weight: 10_000, perSecond: 15}, {account: "b", weight: 20_000, perSecond: 15}, odd})
				for name, v := range byAccount {
					require.GreaterOrEqual(t, v.ratio(), all.ratio()/4, "account %s: %+v of %+v", name, byAccount, all)
				}
			})
		}
	}
}

// Without accounts, or with a single one, the order of the queue is that of releases
// without accounts.
func TestOrderWithoutAccountsIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sched := schedulerWith(4, 1)
		account := rapid.SampledFrom([]ident.Account{"", "a"}).Draw(t, "account")
		for i := range rapid.IntRange(0, 20).Draw(t, "requests") {
			r := request(RequestID(i), rapid.IntRange(1, 3).Draw(t, "adapter"), start.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms"))*time.Millisecond))
			r.Rank, r.PromptTokens, r.Account = rapid.IntRange(0, 2).Draw(t, "rank"), rapid.IntRange(0, 8000).Draw(t, "prompt"), account
			sched.Enqueue(r)
		}
		now := start.Add(time.Second)
		want := earlierOrder(sched, now)
		sched.sort(now)
		require.Equal(t, want, sched.waiting)
	})
}

// earlierOrder is the order of the waiting requests as releases without accounts had it.
func earlierOrder(s *Scheduler, now time.Time) []*Request {
	late := make(map[RequestID]bool)
	waiters := make(map[ident.Weights]int)
	for _, r := range s.waiting {
		needs := s.prefillTime(r.PromptTokens)
		if _, ready := s.ready(r, now); !ready {
			needs += s.loadWait(r.weights(), 0, now)
		}
		if late[r.ID] = r.objectiveLeft(now) < needs; !late[r.ID] {
			waiters[r.weights()]++
		}
	}
	out := append([]*Request(nil), s.waiting...)
	sort.SliceStable(out, func(i, j int) bool {
		x, y := out[i], out[j]
		switch {
		case late[x.ID] != late[y.ID]:
			return late[y.ID]
		case x.Rank != y.Rank:
			return x.Rank < y.Rank
		case waiters[x.weights()] != waiters[y.weights()]:
			return waiters[x.weights()] > waiters[y.weights()]
		}
		return x.Enqueued.Before(y.Enqueued)
	})
	return out
}

// Under any sequence of requests, grants and ends, an account's use is that of its running
// and waiting requests, and ordering loses no request.
func TestSharesCountWhatRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sched := schedulerWith(4, 1)
		now := start
		var next RequestID
		running := make(map[RequestID]*Request)
		waiting := make(map[RequestID]*Request)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				next++
				r := request(next, 1, now)
				r.Account = ident.Account(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account"))
				r.Weight = rapid.SampledFrom([]float64{0, 1, -1, 1e300}).Draw(t, "weight")
				r.HasAlternative, r.Rank = rapid.Bool().Draw(t, "alternative"), rapid.IntRange(0, 1).Draw(t, "rank")
				waiting[next] = r
				sched.Enqueue(r)
			},
			"decide": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				for _, reply := range sched.Decide(now) {
					if reply.Code == wire.GrantIssued {
						running[reply.ID] = waiting[reply.ID]
					}
					delete(waiting, reply.ID)
				}
			},
			"end": func(*rapid.T) {
				for _, requests := range []map[RequestID]*Request{running, waiting} {
					for id := range requests {
						delete(requests, id)
						sched.Withdraw(id, now)
						break
					}
				}
			},
			"": func(t *rapid.T) {
				require.Len(t, sched.waiting, len(waiting))
				for name, a := range sched.shares.accounts {
					var want accountShare
					for _, r := range running {
						if r.Account == name {
							want.running, want.tokens = want.running+1, want.tokens+r.kvTokens()
						}
					}
					for _, r := range waiting {
						if r.Account == name {
							want.waiting++
						}
					}
					require.Equal(t, want, accountShare{running: a.running, tokens: a.tokens, waiting: a.waiting}, "account %q", name)
				}
			},
		})
	})
}
