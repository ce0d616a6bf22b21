package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// testSpeed reads 20 tokens per ms.
var testSpeed = Speed{Load: 288 * time.Millisecond, Run: 2 * time.Second, TokensPerMS: 20}

// engineNamed returns an idle engine that holds the adapter.
func engineNamed(name string) Candidate {
	return Candidate{Target: fleet.Target{Instance: ident.Target(name), Address: name}, Slots: 64, Holds: true}
}

func first(candidates ...Candidate) ident.Target {
	return ByCost(candidates, Demand{PromptTokens: 4000, Tie: 1}, testSpeed)[0].Instance
}

// TestRequestsGoWhereTheSumIsLeast guards against requests that wait at the engine which
// keeps their prompts for longer than another one takes to read them, and the reverse. The
// prompt takes 200 ms to read.
func TestRequestsGoWhereTheSumIsLeast(t *testing.T) {
	cold := engineNamed("cold")
	warm := func(change func(*Candidate)) Candidate {
		c := engineNamed("warm")
		c.Kept = 4000
		change(&c)
		return c
	}
	for _, test := range []struct {
		name   string
		change func(*Candidate)
		want   ident.Target
	}{
		{"idle", func(*Candidate) {}, "warm"},
		{"with prompts to read, below the break-even", func(c *Candidate) { c.Backlog = 3700 }, "warm"},
		{"with prompts to read, above it", func(c *Candidate) { c.Backlog = 4300 }, "cold"},
		{"with a forecast wait below the break-even", func(c *Candidate) { c.Busy = 185 * time.Millisecond }, "warm"},
		{"with a forecast wait above it", func(c *Candidate) { c.Busy = 215 * time.Millisecond }, "cold"},
		{"with half its slots in use", func(c *Candidate) { c.Requests = 32 }, "warm"},
		{"full, with few requests that wait", func(c *Candidate) { c.Requests = 66 }, "warm"},
		{"full, with many", func(c *Candidate) { c.Requests = 80 }, "cold"},
		{"without the adapter", func(c *Candidate) { c.Holds = false }, "cold"},
		{"in another domain", func(c *Candidate) { c.Far = true }, "warm"},
		{"slow", func(c *Candidate) { c.Pace, c.Backlog = 250, 1000 }, "warm"},
		{"slow with prompts to read", func(c *Candidate) { c.Pace, c.Backlog = 250, 2000 }, "cold"},
	} {
		require.Equal(t, test.want, first(cold, warm(test.change)), test.name)
		require.Equal(t, test.want, first(warm(test.change), cold), test.name)
	}
}

// TestCopiesAreMadeOnlyForMuch guards against adapters that take slots at more engines than
// their demand needs.
func TestCopiesAreMadeOnlyForMuch(t *testing.T) {
	home, spare := engineNamed("home"), engineNamed("spare")
	spare.Spare = true
	require.EqualValues(t, "home", first(home, spare))
	home.Backlog = 1000
	require.EqualValues(t, "home", first(home, spare), "50 ms")
	home.Backlog = 2000
	require.EqualValues(t, "spare", first(home, spare), "100 ms")
	spare.Holds = false
	require.EqualValues(t, "home", first(home, spare))
	home.Backlog = 8000
	require.EqualValues(t, "spare", first(home, spare), "400 ms")
}

// TestTermsOfACost guards against terms that do not add up to what was weighed.
func TestTermsOfACost(t *testing.T) {
	c := engineNamed("e")
	c.Backlog, c.Kept, c.Pace, c.Requests, c.Holds, c.Spare, c.Far = 2000, 1000, 200, 32, false, true, true
	cost := CostOf(&c, Demand{PromptTokens: 4000}, testSpeed)
	require.Equal(t, Cost{
		Wait: 200*time.Millisecond + 60*time.Millisecond, Load: 288 * time.Millisecond,
		Prefill: 300 * time.Millisecond, Way: 3 * time.Millisecond, Copy: 72 * time.Millisecond,
	}, cost)
	require.Equal(t, 923*time.Millisecond, cost.Total())
}

// TestEqualCostsAreSpreadByTheRequest guards against entries that know the same and all
// choose the same engine.
func TestEqualCostsAreSpreadByTheRequest(t *testing.T) {
	var candidates []Candidate
	for i := range 10 {
		c := engineNamed(fmt.Sprint("e-", i))
		c.Backlog = 20 * i // 0 to 9 ms
		candidates = append(candidates, c)
	}
	slow := engineNamed("slow")
	slow.Backlog = 300
	candidates = append(candidates, slow)
	firsts := make(map[ident.Target]int)
	for i := range 1000 {
		ranked := ByCost(candidates, Demand{Tie: uint64(i) * 0x9E3779B97F4A7C15}, testSpeed)
		firsts[ranked[0].Instance]++
		require.EqualValues(t, "slow", ranked[10].Instance)
	}
	require.Len(t, firsts, 10)
	for name, n := range firsts {
		require.Less(t, n, 200, name)
	}
}

// TestSpeedsAreLearned guards against costs that do not fit the deployment, and against
// waits that are taken for slow reading.
func TestSpeedsAreLearned(t *testing.T) {
	s := NewSpeeds()
	require.Equal(t, Speed{Load: initialLoad, Run: initialRun, TokensPerMS: initialPrefill}, s.Speed())
	for i := range 200 {
		tokens, wait := 100+(i*37)%1000, time.Duration((i*53)%40)*time.Millisecond
		s.RecordPrefill(tokens, 200, wait+time.Duration(tokens)*2*time.Millisecond/40)
		s.RecordLoad(100 * time.Millisecond)
		s.RecordLoad(time.Millisecond)
		s.RecordRun(time.Second, 500)
	}
	got := s.Speed()
	require.InDelta(t, 40, got.TokensPerMS, 8)
	require.InDelta(t, 100, got.Load.Milliseconds(), 5)
	require.InDelta(t, 1000, got.Run.Milliseconds(), 5)
	require.InDelta(t, 500, s.RequestTokens(), 1)
}

// TestWaitsFollowSendsAndForecasts guards against waits that are remembered for good.
func TestWaitsFollowSendsAndForecasts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := NewWaits()
	read := w.Begin("e", 500)
	w.Begin("e", 300)
	require.Equal(t, Wait{Backlog: 800}, w.At("e", now))
	read()
	read()
	require.Equal(t, Wait{Backlog: 300}, w.At("e", now))
	w.Forecast("e", 100*time.Millisecond, now)
	require.Equal(t, Wait{Backlog: 300, Busy: 70 * time.Millisecond, Age: 30 * time.Millisecond}, w.At("e", now.Add(30*time.Millisecond)))
	require.Zero(t, w.At("e", now.Add(time.Second)).Busy)
	for i := range 2 * maxWaits {
		w.Forecast(fmt.Sprint(i), time.Second, now)
	}
	require.LessOrEqual(t, len(w.byAddress), maxWaits+1)
	require.Equal(t, 300, w.At("e", now).Backlog)
}
