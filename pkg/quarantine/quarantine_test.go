package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var start = time.Unix(1_000_000, 0)

func crash(i int) Crash { return Crash{VM: ident.VM(fmt.Sprintf("vm-%d", i)), StartMS: int64(i)} }

func parts(names ...ident.PromptPart) []ident.PromptPart { return names }

func TestBansThePartUnderWhichEnginesEnd(t *testing.T) {
	table := New()
	table.Clear(parts("caller", "topic"))
	now := start
	for i := range banAfter {
		_, banned := table.Banned(parts("caller", "bad"), now)
		require.False(t, banned)
		bans := table.Record(crash(i), parts("caller", "bad"), now)
		require.Len(t, bans, i/(banAfter-1))
		require.Empty(t, table.Record(crash(i), parts("caller", "bad"), now), "reported twice")
		require.True(t, table.Suspected(parts("bad")))
		now = now.Add(time.Second)
	}
	ban, banned := table.Banned(parts("caller", "bad"), now)
	require.True(t, banned)
	require.Equal(t, ident.PromptPart("bad"), ban.Part)
	require.Len(t, ban.Crashes, banAfter)
	_, banned = table.Banned(parts("caller", "topic"), now)
	require.False(t, banned, "sound requests share the caller")
}

func TestBansNothingOnOtherGrounds(t *testing.T) {
	for _, test := range []struct {
		name    string
		cleared func(crash int) bool // the part has an event before the crash
		apart   time.Duration
		banned  bool
	}{
		{"the part had an event before", func(i int) bool { return i == 0 }, time.Second, false},
		{"the part has an event between two crashes", func(i int) bool { return i == 2 }, time.Second, false},
		{"a failure domain at one moment", func(int) bool { return false }, time.Millisecond, false},
		{"crashes long apart", func(int) bool { return false }, evidenceTTL + time.Second, false},
		{"none of these", func(int) bool { return false }, time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			table, now := New(), start
			for i := range 10 {
				if test.cleared(i) {
					table.Clear(parts("p"))
				}
				table.Record(crash(i), parts("p"), now)
				now = now.Add(test.apart)
			}
			_, banned := table.Banned(parts("p"), now)
			require.Equal(t, test.banned, banned)
		})
	}
}

// On a large fleet such requests come so often that engines end every few ms.
func TestBansAPartUnderWhichEnginesEndOneRightAfterTheOther(t *testing.T) {
	table, now := New(), start
	for i := range 20 {
		table.Record(crash(i), parts("bad"), now)
		now = now.Add(10 * time.Millisecond)
	}
	_, banned := table.Banned(parts("bad"), now)
	require.True(t, banned)
}

func TestBanEndsWithOneTrial(t *testing.T) {
	table, now := New(), start
	for i := range banAfter {
		now = now.Add(time.Second)
		table.Record(crash(i), parts("p"), now)
	}
	now = now.Add(BanTime)
	_, banned := table.Banned(parts("p"), now)
	require.False(t, banned, "the ban has ended")
	require.True(t, table.Suspected(parts("p")))
	require.Len(t, table.Record(crash(9), parts("p"), now.Add(time.Second)), 1, "one crash renews it")
	require.Equal(t, parts("p"), table.Clear(parts("p")), "an event shows that the ban was wrong")
	_, banned = table.Banned(parts("p"), now.Add(time.Second))
	require.False(t, banned)
}

func TestAdoptsAndLiftsBans(t *testing.T) {
	table := New()
	ban := Ban{Part: "p", Until: start.Add(time.Minute)}
	require.True(t, table.Adopt(ban, start))
	require.False(t, table.Adopt(ban, start), "known")
	require.True(t, table.Lift("p"))
	require.False(t, table.Lift("p"))
	require.False(t, table.Adopt(ban, ban.Until), "over")
	table.Clear(parts("p"))
	require.False(t, table.Adopt(ban, start), "the part is sound")
}

// For an hour engines of a large fleet crash at random, alone or a failure domain at a
// time, under requests for popular and rare parts.
func TestRandomCrashesBanNothing(t *testing.T) {
	const engines, domain, popular = 1000, 100, 200
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		shareOfDomains := rapid.Float64Range(0, 0.3).Draw(t, "share of failure domains")
		table, now, id := New(), start, 0
		for now.Before(start.Add(time.Hour)) {
			now = now.Add(time.Duration(100+random.IntN(120_000)) * time.Millisecond)
			for i := range popular {
				table.Clear(parts(ident.PromptPart(fmt.Sprintf("popular-%d", i))))
			}
			count := 1
			if random.Float64() < shareOfDomains {
				count = domain
			}
			for range count {
				id++
				waiting := parts(ident.PromptPart(fmt.Sprintf("popular-%d", random.IntN(popular))), ident.PromptPart(fmt.Sprintf("rare-%d-%d", id%engines, id)))
				require.Empty(t, table.Record(crash(id), waiting, now))
			}
		}
	})
}

// However many parts there are, the table stays small.
func TestTableIsBounded(t *testing.T) {
	table := New()
	for i := range 4 * maxCleared {
		table.Clear(parts(ident.PromptPart(fmt.Sprintf("c-%d", i))))
	}
	for i := range 2 * maxSuspects {
		table.Record(crash(i), parts(ident.PromptPart(fmt.Sprintf("s-%d", i))), start.Add(time.Duration(i)*time.Second))
	}
	require.LessOrEqual(t, len(table.cleared), maxCleared)
	require.LessOrEqual(t, len(table.clearedBefore), maxCleared)
	require.LessOrEqual(t, len(table.suspects), maxSuspects)
	require.True(t, table.Suspected(parts(ident.PromptPart(fmt.Sprintf("s-%d", 2*maxSuspects-1)))), "the newest are kept")
}
