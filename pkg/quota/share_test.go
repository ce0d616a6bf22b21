package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// fullShare is a share of 100 a second with a burst of 200 that is full at start.
func fullShare() *Share {
	return NewShare(1, ShareLimits{PerSecond: 100, Burst: 200}, at(-10*time.Second))
}

// windowShare is a share of 100 a second with a burst of 200, and at most 900 in 8 s. It has
// run for long.
func windowShare() *Share {
	return NewShare(1, ShareLimits{PerSecond: 100, Burst: 200, Sum: 900, Window: 8 * time.Second}, at(-time.Minute))
}

// A holder that starts again hands out no burst a second time.
func TestShareStartsEmpty(t *testing.T) {
	s := NewShare(1, ShareLimits{PerSecond: 100, Burst: 200}, start)
	granted, wait := s.Take(50, 0, start)
	require.Zero(t, granted)
	require.Equal(t, 500*time.Millisecond, wait)
	granted, _ = s.Take(50, 0, at(wait))
	require.Equal(t, 50.0, granted)
}

// A request that costs more than the burst is served, and paid for by those after it.
func TestRequestAboveTheBurstIsGrantedWhenTheBucketIsFull(t *testing.T) {
	s := fullShare()
	granted, _ := s.Take(500, 0, start)
	require.Equal(t, 500.0, granted)
	require.Equal(t, -300.0, s.Balance(start))
	_, wait := s.Take(500, 0, start)
	require.Equal(t, 5*time.Second, wait, "until the bucket is full again")
	_, wait = s.Take(10, 0, start)
	require.Equal(t, 3100*time.Millisecond, wait)
}

// A request that costs more than a whole window may use is not denied for good.
func TestRequestAboveTheSumIsGrantedWhenTheWindowIsEmpty(t *testing.T) {
	s := windowShare()
	s.Take(10, 0, start)
	granted, wait := s.Take(1000, 0, at(time.Second))
	require.Zero(t, granted)
	require.InDelta(t, 7.125, wait.Seconds(), 0.126)
	granted, _ = s.Take(1000, 0, at(time.Second+wait))
	require.Equal(t, 1000.0, granted)
}

// An account that keeps sending somewhat more than its rate is within the window rule, which
// counts the burst in every window: 900 in 8 s. A bucket of its rate refused a ninth of it
// for good (seen as 2% of all requests of a quiet day, all of one account).
func TestAccountThatUsesItsWindowsIsNotRefused(t *testing.T) {
	s := windowShare()
	for i := range 60 * 50 {
		granted, _ := s.Take(2.2, 0, at(time.Duration(i)*20*time.Millisecond)) // 110 a second
		require.Equal(t, 2.2, granted, "after %d", i)
	}
}

// An account that has used little may use more than its burst, but no more than the rest of
// the window: 200 at once, then 112.5 a second, 900 in all.
func TestWindowBoundsWhatABucketWouldGrant(t *testing.T) {
	s, used := windowShare(), 0.0
	for i := range 8 * 50 {
		granted, _ := s.Take(10, 0, at(time.Duration(i)*20*time.Millisecond))
		used += granted
	}
	require.InDelta(t, 900, used, 10)
	_, wait := s.Take(10, 0, at(8*time.Second))
	require.InDelta(t, 0.125, wait.Seconds(), 0.126, "what was granted first leaves the window")
}

// What gateways take in advance leaves half of the burst for requests at hand.
func TestExtraAmountIsTakenOnlyWhileMoreThanHalfFull(t *testing.T) {
	s := fullShare()
	granted, _ := s.Take(20, 1000, start)
	require.Equal(t, 100.0, granted)
	granted, _ = s.Take(20, 1000, start)
	require.Equal(t, 20.0, granted)
}

func TestLoweredLimitCapsTheBalance(t *testing.T) {
	s := fullShare()
	s.Update(2, ShareLimits{PerSecond: 10, Burst: 20}, start)
	require.Equal(t, 20.0, s.Balance(start))
	s.Update(1, ShareLimits{PerSecond: 1000, Burst: 2000}, start)
	require.Equal(t, ShareLimits{PerSecond: 10, Burst: 20}, s.Limits(), "an older version, which arrived late")
	s.Update(3, ShareLimits{PerSecond: 100, Burst: 200}, start)
	require.Equal(t, 20.0, s.Balance(start), "a raised limit adds nothing at once")
}

// A limit that is lowered to a quarter doesn't shut out the account until all that it used
// before has left the window.
func TestLoweredLimitCountsEarlierUseInProportion(t *testing.T) {
	s := windowShare()
	for i := range 8 {
		s.Take(100, 0, at(time.Duration(i)*time.Second))
	}
	lower := ShareLimits{PerSecond: 25, Burst: 50, Sum: 225, Window: 8 * time.Second}
	s.Update(2, lower, at(7*time.Second))
	granted, _ := s.Take(20, 0, at(8*time.Second))
	require.Equal(t, 20.0, granted)
}

// A duplicate of a message that returns quota adds at most the burst.
func TestReturnedAmountsAreCappedByTheBurst(t *testing.T) {
	s := fullShare()
	s.Balance(start)
	now := at(time.Millisecond)
	s.Take(150, 0, now)
	s.Return(100, now, now)
	require.Equal(t, 150.0, s.Balance(now))
	s.Return(100, now, now)
	require.Equal(t, 200.0, s.Balance(now))
	s.Return(-100, now, now)
	require.Equal(t, 200.0, s.Balance(now))
}

// Requests that waited together and pay again return their old charges one after the other.
// Each charge counted as returned to a bucket that had filled again since, and all ran for
// the price of one.
func TestReturnOfAnOldChargeIsWorthNothingOnceTheBucketWasFull(t *testing.T) {
	s := fullShare()
	s.Balance(start)
	paid := at(time.Millisecond)
	for range 10 {
		granted, _ := s.Take(20, 0, paid)
		require.Equal(t, 20.0, granted)
	}
	later := at(3 * time.Second)
	require.Equal(t, 200.0, s.Balance(later))
	for range 10 {
		s.Return(20, paid, later)
		granted, _ := s.Take(20, 0, later)
		require.Equal(t, 20.0, granted)
	}
	require.Zero(t, s.Balance(later))
}

// A request that waits pays when it runs, and not twice: an account that uses its whole quota
// lost a part of it by each request that waited.
func TestRequestsThatWaitPayOnceInAll(t *testing.T) {
	s := windowShare()
	paid := at(time.Millisecond)
	for range 2 {
		granted, _ := s.Take(100, 0, paid)
		require.Equal(t, 100.0, granted)
	}
	later := at(500 * time.Millisecond)
	before := s.Balance(later)
	s.Return(100, paid, later)
	granted, _ := s.Take(100, 0, later)
	require.Equal(t, 100.0, granted)
	require.InDelta(t, before, s.Balance(later), 0.01)
	require.InDelta(t, 200, s.granted.sum(), 0.01, "each counts once")
}

// Gateways that learn late of a change tell a holder again that it joins; a gateway with an
// old list asks it all the time.
func TestHolderJoinsOnce(t *testing.T) {
	s := NewShare(1, ShareLimits{PerSecond: 100, Burst: 200}, start)
	s.Join(minJoinDelay, start)
	require.InDelta(t, -0.1, s.Balance(start), 1e-9)
	s.Join(listDelay, start)
	require.InDelta(t, -250, s.Balance(start), 1e-9, "a gateway knows that the former one answers")
	s.Join(listDelay, at(2*time.Second))
	require.InDelta(t, 0, s.Balance(at(listDelay)), 1e-9)
	s.Use(at(19900 * time.Millisecond))
	s.Join(listDelay, at(20*time.Second))
	require.Positive(t, s.Balance(at(20*time.Second)), "it is in use")
	s.Join(listDelay, at(30*time.Second))
	require.Negative(t, s.Balance(at(30*time.Second)), "it was none for a while")
}

func newTestAccount() *Account {
	a := NewAccount(Rules{Window: 8 * time.Second, Excess: 0.1}, Limits{300, 600})
	a.SetHolders([]string{"a", "b", "c"}, 1, func(string) bool { return false }, start)
	return a
}

// An account that sends too much costs no message per request: each holder is asked again
// when it said that it has quota, for a smaller amount somewhat sooner.
func TestDenialsAreRemembered(t *testing.T) {
	a := newTestAccount()
	for _, want := range []string{"b", "c", "a"} {
		h, ok := a.Next(100, nil, start)
		require.True(t, ok)
		require.Equal(t, want, h.Address)
		a.Answered(h.Address, a.Ask(100, start), 0, time.Second, start)
	}
	_, ok := a.Next(100, nil, at(999*time.Millisecond))
	require.False(t, ok)
	require.Equal(t, time.Second, a.Wait(100, start))
	require.Equal(t, 600*time.Millisecond, a.Wait(60, start))
	require.Equal(t, 1400*time.Millisecond, a.Wait(150, start))
	_, ok = a.Next(60, nil, at(600*time.Millisecond))
	require.True(t, ok)
	require.False(t, a.AllSilent(start))
}

// A holder that gives no answer delays no request for a second.
func TestSilentHoldersAreNotAsked(t *testing.T) {
	a := newTestAccount()
	a.Silent("b", start)
	h, _ := a.Next(1, nil, start)
	require.Equal(t, "c", h.Address)
	h, _ = a.Next(1, nil, at(holderBackoff))
	require.Equal(t, "b", h.Address)
	a.Silent("a", at(time.Millisecond))
	a.Silent("c", at(time.Millisecond))
	require.True(t, a.AllSilent(start))
	require.False(t, a.AllSilent(at(holderBackoff)))
	_, ok := a.Next(1, nil, at(probeInterval))
	require.False(t, ok)
	h, ok = a.Next(1, nil, at(probeInterval+time.Millisecond))
	require.True(t, ok, "one is asked all the same while none answers")
	require.Equal(t, "b", h.Address)
	_, ok = a.Next(1, nil, at(probeInterval+time.Millisecond))
	require.False(t, ok, "by one request at a time")
}

// What was granted in advance serves requests without a message, and not after a pause.
func TestExtraAmountServesLaterRequests(t *testing.T) {
	a := newTestAccount()
	ask := a.Ask(10, start)
	require.Zero(t, ask.Wish)
	c, ok := a.Answered("b", ask, 35, 0, start)
	require.True(t, ok)
	require.Equal(t, Charge{10, "b", start, at(200 * time.Millisecond)}, c)
	c, ok = a.Spend(10, at(50*time.Millisecond))
	require.True(t, ok)
	require.Equal(t, at(200*time.Millisecond), c.Expires, "the lifetime counts from the grant")
	a.Refund(c, at(60*time.Millisecond))
	require.Equal(t, 25.0, a.Leased(at(60*time.Millisecond)))
	_, ok = a.Spend(30, at(70*time.Millisecond))
	require.False(t, ok)
	_, ok = a.Spend(10, at(100*time.Millisecond))
	require.False(t, ok, "too old")
	ask = a.Ask(10, at(400*time.Millisecond))
	require.Equal(t, 25.0, ask.Returned)
	require.Equal(t, start, ask.ReturnedFrom)
	require.Zero(t, a.Ask(10, at(400*time.Millisecond)).Returned, "once")
}

// A gateway that takes most of an account's requests asks for what it used lately.
func TestWishFollowsTheUsage(t *testing.T) {
	a := newTestAccount()
	for i := range 20 {
		now := at(time.Duration(i) * 20 * time.Millisecond)
		a.Answered("b", a.Ask(5, now), 5, 0, now)
	}
	require.InDelta(t, 50, a.Ask(5, at(400*time.Millisecond)).Wish, 10)
	require.Zero(t, a.Ask(5, at(time.Second)).Wish)
}

func TestCostOfARequest(t *testing.T) {
	for _, test := range []struct {
		account        platform.Account
		prompt, output int
		want           float64
	}{
		{platform.Account{}, 100, 50, 1},
		{platform.Account{Unit: platform.QuotaTokens}, 100, 50, 150},
		{platform.Account{Unit: platform.QuotaTokens, PlainTokens: 70}, 100, 50, 150},
		{platform.Account{Unit: platform.QuotaTokens, PlainTokens: 70}, 0, 0, 70},
		{platform.Account{Unit: platform.QuotaTokens}, 0, 0, 0},
	} {
		require.Equal(t, test.want, Cost(&test.account, test.prompt, test.output))
	}
}

func TestLimitsOfAccounts(t *testing.T) {
	_, limited := LimitsOf(nil)
	require.False(t, limited)
	_, limited = LimitsOf(&platform.Account{Burst: 10})
	require.False(t, limited, "no rate")
	l, _ := LimitsOf(&platform.Account{PerSecond: 50})
	require.Equal(t, Limits{50, 5}, l, "a rate without a burst is usable")
}

// The loss of a failure domain costs one share, and that of an engine moves only its own.
func TestHoldersAreInDifferentDomainsAndStay(t *testing.T) {
	var engines []Engine
	for i := range 40 {
		engines = append(engines, Engine{fmt.Sprintf("10.0.0.%d:80", i), ident.Domain(fmt.Sprint(i % 4))})
	}
	all, uses := NewRing(engines), map[string]int{}
	for i := range 500 {
		account := ident.Account(fmt.Sprintf("account-%d", i))
		holders, domains := all.Holders(account), map[ident.Domain]bool{}
		require.Len(t, holders, 3)
		for _, h := range holders {
			uses[h.Address]++
			domains[h.Domain] = true
		}
		require.Len(t, domains, 3)
		without := NewRing(engines[1:]).Holders(account)
		moved := 0
		for _, h := range without {
			if h != holders[0] && h != holders[1] && h != holders[2] {
				moved++
			}
		}
		require.LessOrEqual(t, moved, 1)
	}
	for address, n := range uses {
		require.InDelta(t, 1500/40, n, 25, address)
	}
	require.Len(t, NewRing(engines[:2]).Holders("a"), 2)
	require.Empty(t, NewRing(nil).Holders("a"))
	oneDomain := NewRing([]Engine{{"a", ""}, {"b", ""}, {"c", ""}, {"d", ""}})
	require.Len(t, oneDomain.Holders("x"), 3)
}

// A deployment that tolerates no excess still lets requests wait for a moment.
func TestLifetimeOfAGrant(t *testing.T) {
	require.Equal(t, 300*time.Millisecond, Rules{Window: 12 * time.Second, Excess: 0.1}.Lifetime())
	require.Equal(t, minLifetime, Rules{Window: 8 * time.Second}.Lifetime())
	require.Equal(t, maxLifetime, Rules{Window: 60 * time.Second, Excess: 0.1}.Lifetime())
}

// BenchmarkSpend measures a request that is paid from the lease, without a message.
func BenchmarkSpend(b *testing.B) {
	a := newTestAccount()
	a.Answered("b", a.Ask(1, start), 1e12, 0, start)
	b.ReportAllocs()
	for b.Loop() {
		a.Spend(1, start)
	}
}

// BenchmarkHolders measures the choice of an account's holders among 1,000 engines.
func BenchmarkHolders(b *testing.B) {
	var engines []Engine
	for i := range 1000 {
		engines = append(engines, Engine{fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), ident.Domain(fmt.Sprint(i % 4))})
	}
	r := NewRing(engines)
	b.ReportAllocs()
	for b.Loop() {
		r.Holders("account")
	}
}

// Charges may be returned late, and from before the holder's first window.
func TestReturnsOfAnyAgeAreCounted(t *testing.T) {
	for _, age := range []time.Duration{-time.Second, 0, time.Second, 9 * time.Second, time.Hour} {
		s := NewShare(1, windowShare().Limits(), start)
		s.Take(50, 0, at(2*time.Second))
		s.Return(20, at(2*time.Second-age), at(2*time.Second))
		require.GreaterOrEqual(t, s.granted.sum(), 30.0, age)
		require.LessOrEqual(t, s.granted.sum(), 50.0, age)
	}
}
