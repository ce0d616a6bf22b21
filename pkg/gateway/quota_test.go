package gateway

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/quota"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

var testQuotaRules = quota.Rules{Window: 8 * time.Second, Excess: 0.1}

// limitedAccount and freeAccount are the accounts of requests whose paths end with "lx"
// and "fx". Their names are their keys.
const (
	limitedAccount ident.Account = "limited"
	freeAccount    ident.Account = "free"
)

// quotaFleet is a fleet with accounts.
type quotaFleet struct {
	*fleetHarness
	accounts []platform.Account
	version  uint64
	asked    atomic.Int64 // messages to holders that want an answer
}

func testQuotaFleet(t *testing.T, size fleetSize, perSecond, burst float64, f func(t *testing.T, h *quotaFleet)) {
	t.Helper()
	testFleet(t, size, func(t *testing.T, plain *fleetHarness) {
		h := &quotaFleet{fleetHarness: plain, version: 2, accounts: []platform.Account{
			{Name: limitedAccount, Keys: []string{string(limitedAccount)}, PerSecond: perSecond, Burst: burst}, {Name: freeAccount, Keys: []string{string(freeAccount)}},
		}}
		for i := range h.gateways {
			h.configure(i)
		}
		f(t, h)
	})
}

// configure puts the accounts into force at a gateway.
func (h *quotaFleet) configure(i int) {
	g := h.gateways[i]
	g.quotas.mu.Lock()
	if g.quotas.rules != testQuotaRules { // once, before there are accounts
		g.quotas.rules = testQuotaRules
		g.quotas.call = func(ctx context.Context, t fleet.Target, r *wire.QuotaRequest) (wire.QuotaReply, error) {
			h.asked.Add(1)
			return g.askForQuota(ctx, t, r)
		}
	}
	g.quotas.mu.Unlock()
	c := *g.directory.Configuration()
	c.Version, c.Accounts = h.version, h.accounts
	g.directory.Update(&c)
}

// restart replaces a gateway by a new process.
func (h *quotaFleet) restart(i int) {
	h.startGateway(i)
	h.configure(i)
}

// arrivals returns the requests that the plain targets got, in order.
func (h *quotaFleet) arrivals(suffix string) []time.Time {
	var out []time.Time
	for _, t := range slices.Concat(h.plain, h.engines) {
		for _, a := range t.arrived(time.Time{}, time.Now()) {
			if strings.HasSuffix(a.path, suffix) {
				out = append(out, a.at)
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

func (h *quotaFleet) requireWithinQuota(t *testing.T) {
	t.Helper()
	a := h.accounts[0]
	allowed := (a.PerSecond*testQuotaRules.Window.Seconds() + a.Burst) * (1 + testQuotaRules.Excess)
	all, first := h.arrivals("lx"), 0
	for i, at := range all {
		for at.Sub(all[first]) >= testQuotaRules.Window {
			first++
		}
		require.LessOrEqual(t, float64(i-first+1), allowed)
	}
}

// One account sends 5 times its quota at all gateways: it gets its quota and no more, the
// rest is refused at once, and another account is not affected.
func TestAccountAboveItsQuotaIsRefusedAtOnce(t *testing.T) {
	for _, test := range []struct {
		name    string
		happens func(h *quotaFleet, second int)
	}{
		{"as usual", nil},
		{"gateways start again", func(h *quotaFleet, i int) {
			if i%3 == 1 {
				h.restart(i % 4)
			}
		}},
		{"agents start again", func(h *quotaFleet, i int) {
			if i%5 == 2 {
				h.restartAgent(h.engines[i%4])
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			testQuotaFleet(t, fleetSize{4, 4, 2}, 20, 20, func(t *testing.T, h *quotaFleet) {
				time.Sleep(2 * time.Second) // buckets fill from the announcements on
				h.load("/safe/l", 100, 20*time.Second)
				h.load("/safe/f", 20, 20*time.Second)
				for i := range 18 {
					time.Sleep(time.Second)
					if test.happens != nil {
						test.happens(h, i)
					}
				}
				began := time.Now()
				res := h.request(0, "/safe/l", 0)
				require.Equal(t, 429, res.StatusCode)
				require.Less(t, time.Since(began), 20*time.Millisecond)
				after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.InDelta(t, minRetryAfter.Seconds(), after, 0.3)
				time.Sleep(5 * time.Second)
				h.requireWithinQuota(t)
				require.Greater(t, len(h.arrivals("lx")), 16*20, "the quota is used")
				require.Less(t, h.asked.Load(), int64(100*20), "an account far above its quota costs less than a message a request")
				require.InDelta(t, 20*20, len(h.arrivals("fx")), 60)
			})
		})
	}
}

// An account sends half of its quota (load pattern: all at one gateway after the other):
// nothing is refused, while gateways and agents start again.
func TestAccountWithinItsQuotaIsNotRefused(t *testing.T) {
	testQuotaFleet(t, fleetSize{4, 5, 2}, 40, 40, func(t *testing.T, h *quotaFleet) {
		time.Sleep(2 * time.Second)
		for i := range 400 {
			if i%40 == 20 {
				h.restart(i / 100)
			}
			if i%100 == 70 {
				h.restartAgent(h.engines[i/100])
			}
			go h.call(i/100, "/safe/l", 0)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		require.Equal(t, 400, h.answers(200))
	})
}

// Requests of an account without a limit, without a key, or on a public route cost no
// message.
func TestRequestsWithoutAQuotaCostNoMessage(t *testing.T) {
	testQuotaFleet(t, fleetSize{1, 3, 1}, 40, 40, func(t *testing.T, h *quotaFleet) {
		for range 50 {
			require.Equal(t, 200, h.request(0, "/safe/f", 0).StatusCode)
			require.Equal(t, 401, h.request(0, "/safe/", 0).StatusCode)
		}
		c := *h.gateways[0].directory.Configuration()
		c.Version, c.Routes = c.Version+1, slices.Clone(c.Routes)
		for i := range c.Routes {
			c.Routes[i].Public = true
		}
		h.gateways[0].directory.Update(&c)
		for range 50 {
			require.Equal(t, 200, h.request(0, "/safe/", 0).StatusCode)
		}
		require.Zero(t, h.asked.Load())
	})
}

// No target runs what is sent (load pattern: all targets turn requests away): the quota is
// not used up by it.
func TestRequestsThatNoTargetRanAreNotCharged(t *testing.T) {
	testQuotaFleet(t, fleetSize{2, 3, 1}, 1, 20, func(t *testing.T, h *quotaFleet) {
		time.Sleep(25 * time.Second)
		h.plain[0].turnAway("")
		for i := range 60 {
			require.Equal(t, 503, h.request(i%2, "/safe/l", 0).StatusCode)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// All agents are down: a gateway uses its own part of the quota. Once they are back, the
// account has all of it.
func TestGatewayWithoutHoldersUsesItsOwnPart(t *testing.T) {
	testQuotaFleet(t, fleetSize{2, 3, 1}, 100, 100, func(t *testing.T, h *quotaFleet) {
		time.Sleep(2 * time.Second)
		for _, g := range h.gateways {
			g.entryCount.Record(2, time.Now().Add(-time.Minute))
			g.quotas.gateways = func() int { return 2 }
		}
		for _, e := range h.engines {
			h.stopAgent(e)
		}
		h.load("/safe/l", 60, 20*time.Second)
		time.Sleep(20 * time.Second)
		require.InDelta(t, 0.05*100*20, len(h.arrivals("lx")), 30)
		for _, e := range h.engines {
			h.startAgent(e)
		}
		time.Sleep(4 * time.Second)
		before := h.answers(200)
		h.load("/safe/l", 60, 10*time.Second)
		time.Sleep(11 * time.Second)
		require.InDelta(t, 60*10, h.answers(200)-before, 80)
	})
}

// A request waited for an engine for longer than its charge lasts, and meanwhile the quota
// was lowered to almost nothing: it is not sent.
func TestRequestThatWaitedLongPaysAgain(t *testing.T) {
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		h.grant = func(string, wire.GrantRequest) wire.GrantReply {
			time.Sleep(1500 * time.Millisecond)
			return wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
		}
		h.quotas.rules = testQuotaRules
		answers := []wire.QuotaReply{{Granted: 1}, {WaitMS: 3000}}
		var asked []wire.QuotaRequest
		h.quotas.call = func(_ context.Context, _ fleet.Target, r *wire.QuotaRequest) (wire.QuotaReply, error) {
			asked = append(asked, *r)
			next := answers[0]
			answers = answers[min(1, len(answers)-1):]
			return next, nil
		}
		c := *h.directory.Configuration()
		c.Version, c.Accounts = 9, []platform.Account{{Name: limitedAccount, Keys: []string{"key"}, PerSecond: 1, Burst: 1}}
		for i := range c.Routes {
			c.Routes[i].Objective = time.Second
		}
		h.directory.Update(&c)
		res := h.send(strings.Replace(streamRequest("/stream/x"), "X-Deadline-Ms: 1000", "X-Deadline-Ms: 9000\r\nApi-Key: key", 1))
		require.Equal(t, 429, res.StatusCode)
		after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, after, 3.0)
		require.Empty(t, h.receivedRequests())
		require.GreaterOrEqual(t, len(asked), 2)
		require.Equal(t, 1.0, asked[1].Returned, "the old charge is returned, so that it pays once in all")
		require.InDelta(t, 1500, asked[1].ReturnedAgeMS, 20)
	})
}

// countingLog counts rows that contain a text.
type countingLog struct {
	text  []byte
	count atomic.Int64
}

// Write counts a row.
func (l *countingLog) Write(b []byte) (int, error) {
	if bytes.Contains(b, l.text) {
		l.count.Add(1)
	}
	return len(b), nil
}

// Holders are told their shares after a change of the configuration, the engines or a
// link, and not otherwise: messages are billed.
func TestHoldersAreToldOnlyWhatChanged(t *testing.T) {
	testQuotaFleet(t, fleetSize{1, 6, 1}, 40, 40, func(t *testing.T, h *quotaFleet) {
		told := &countingLog{text: []byte("announced shares")}
		g := h.gateways[0]
		g.quotas.mu.Lock()
		g.quotas.Common = common.Common{Log: common.NewLog(told, "debug"), Metrics: g.Metrics}
		g.quotas.mu.Unlock()
		expect := func(least, most int, what string) {
			t.Helper()
			time.Sleep(3 * time.Second)
			n := int(told.count.Swap(0))
			require.GreaterOrEqual(t, n, least, what)
			require.LessOrEqual(t, n, most, what)
		}
		expect(3, 3, "start")
		expect(0, 0, "nothing")
		h.version++
		h.accounts = append([]platform.Account{}, h.accounts...)
		h.accounts[0].PerSecond = 50
		h.configure(0)
		expect(3, 3, "a limit changes")
		for i := range 300 {
			h.accounts = append(h.accounts, platform.Account{Name: ident.Account(fmt.Sprint(i)), PerSecond: 1, Burst: 1})
		}
		h.version++
		h.configure(0)
		expect(6, 6, "many accounts, each holder once")
		g.fleet.Put(h.engines[0].Target)
		expect(0, 0, "a heartbeat")
		h.restartAgent(h.engines[0])
		expect(1, 1, "a link")
		g.fleet.Remove(h.engines[5].Instance, time.Now())
		expect(1, 5, "an engine leaves")
	})
}

// A holder that takes the place of another is told so, and for how long that one may still
// hand out its share: until all gateways know the new one, if it answers.
func TestHoldersAreToldThatTheyJoin(t *testing.T) {
	for _, test := range []struct {
		answers bool
		delayMS int64
	}{{true, 2500}, {false, 1}} {
		a := &accountQuota{quota: quota.NewAccount(testQuotaRules, quota.Limits{PerSecond: 1, Burst: 1})}
		answers, now := func(string) bool { return test.answers }, time.Now()
		list := func(addresses ...string) map[string]int64 {
			var engines []quota.Engine
			for _, address := range addresses {
				engines = append(engines, quota.Engine{Address: address})
			}
			out := make(map[string]int64)
			for _, told := range a.setHolders(engines, 0, answers, now) {
				out[told.address] = told.limit.Share.JoinDelayMS
			}
			return out
		}
		require.Equal(t, map[string]int64{"a": 0, "b": 0, "c": 0}, list("a", "b", "c"), "the first list")
		require.Equal(t, map[string]int64{"a": 0, "d": test.delayMS, "c": 0}, list("a", "d", "c"))
		now = now.Add(3 * time.Second)
		require.Equal(t, map[string]int64{"a": 0, "d": 0, "c": 0}, list("a", "d", "c"), "all know it")
	}
}

// Names in metrics are bounded, however many accounts a configuration has.
func TestAccountsWithMetricsAreBounded(t *testing.T) {
	table := newAccountMetricsTable(common.Discard().Metrics)
	for i := range 1000 {
		table.get(ident.Account(fmt.Sprint(i)))
	}
	require.Len(t, table.byName, maxNamedAccounts+1)
	require.Same(t, table.get("900"), table.get("901"))
	require.NotSame(t, table.get("1"), table.get("2"))
}

// testQuotas returns quotas of one account whose only holder answers as call does.
func testQuotas(call func(*wire.QuotaRequest) (wire.QuotaReply, error)) (*quotas, *platform.Account) {
	a := &platform.Account{Name: limitedAccount, PerSecond: 1000, Burst: 1000}
	c := &platform.Configuration{Version: 1, Accounts: []platform.Account{*a}}
	g := testGateway()
	q := g.quotas
	q.rules, q.now = testQuotaRules, time.Now
	q.current = func() (*platform.Configuration, []fleet.Target) { return c, []fleet.Target{{Address: "a:1"}} }
	q.call = func(_ context.Context, _ fleet.Target, r *wire.QuotaRequest) (wire.QuotaReply, error) { return call(r) }
	return q, a
}

// The caller disconnects, or its time ends, while a holder is asked: that says nothing of
// the holder, which is asked again at once.
func TestEndOfARequestDoesNotSilenceTheHolder(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	q, a := testQuotas(func(*wire.QuotaRequest) (wire.QuotaReply, error) {
		cancel()
		return wire.QuotaReply{}, errors.New("ended")
	})
	_, o, _ := q.take(ctx, a, 1, 1)
	require.Equal(t, quotaAborted, o)
	q.call = func(context.Context, fleet.Target, *wire.QuotaRequest) (wire.QuotaReply, error) {
		return wire.QuotaReply{Granted: 1}, nil
	}
	_, o, _ = q.take(t.Context(), a, 1, 1)
	require.Equal(t, quotaPaid, o)
}
