package affinity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

var start = time.Unix(1_000_000, 0)

var weights = ident.Weights{Model: "m", AdapterVersion: ident.AdapterVersion{Adapter: "a", Version: 1}}

// one is the demand on a single gateway for requests that take little time.
var one = Demand{Gateways: 1, Work: 10 * time.Millisecond}

func engineAt(i int) fleet.Target {
	return fleet.Target{Instance: ident.Target(fmt.Sprint("e-", i)), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), StartMS: 1}
}

// prompt returns a prompt of shared parts with 100 tokens each and an own part with 50.
func prompt(own string, shared ...string) Prompt {
	var p platform.Prompt
	for _, s := range shared {
		p.Segments = append(p.Segments, platform.PromptSegment{Part: ident.PromptPart(s), Tokens: 100})
	}
	p.Segments = append(p.Segments, platform.PromptSegment{Part: ident.PromptPart(own), Tokens: 50})
	p.HasOwn = true
	return NewPrompt(weights, p)
}

func unknownMemory(fleet.Target) int { return -1 }

func keptTokens(t *Table, p Prompt, e fleet.Target, now time.Time) int {
	kept, _ := t.Kept(p, []fleet.Target{e}, unknownMemory, one, now)
	return kept[0].Tokens
}

// TestPartsCountOnlyAfterAllBeforeThem guards against a saving that the engine does not
// have: it uses a part only after the same parts, for the same adapter and version.
func TestPartsCountOnlyAfterAllBeforeThem(t *testing.T) {
	known := New(start)
	e := engineAt(1)
	known.Record(prompt("session-1", "a", "b"), e, 250, start)
	other := weights
	other.Version = 2
	for _, test := range []struct {
		name   string
		prompt Prompt
		want   int
	}{
		{"the same session", prompt("session-1", "a", "b"), 250},
		{"another session", prompt("session-2", "a", "b"), 200},
		{"the first part", prompt("session-2", "a", "c"), 100},
		{"another first part", prompt("session-1", "c", "b"), 0},
		{"another order", prompt("session-1", "b", "a"), 0},
		{"without the first", prompt("session-1", "b"), 0},
		{"another version", NewPrompt(other, platform.Prompt{Segments: []platform.PromptSegment{{Part: "a", Tokens: 100}}}), 0},
		{"another length", NewPrompt(weights, platform.Prompt{Segments: []platform.PromptSegment{{Part: "a", Tokens: 99}}}), 0},
		{"no parts", Prompt{}, 0},
	} {
		require.Equal(t, test.want, keptTokens(known, test.prompt, e, start), test.name)
	}
	require.Zero(t, keptTokens(known, prompt("session-1", "a", "b"), engineAt(2), start), "another engine")
}

// TestStaleKnowledgeCountsAsNothing guards against requests that are drawn to an engine
// which has lost what it kept.
func TestStaleKnowledgeCountsAsNothing(t *testing.T) {
	p, e := prompt("session", "a"), engineAt(1)
	for _, test := range []struct {
		name    string
		happens func(*Table)
		at      time.Duration
		target  fleet.Target
		free    int
		want    int
	}{
		{"known", func(*Table) {}, 0, e, -1, 150},
		{"nearly 30 s old", func(*Table) {}, TTL - tick, e, -1, 150},
		{"30 s old", func(*Table) {}, TTL, e, -1, 0},
		{"used again", func(k *Table) { k.Record(p, e, 0, start.Add(20*time.Second)) }, TTL, e, -1, 150},
		{"the engine has started again", func(*Table) {}, 0, fleet.Target{Address: e.Address, StartMS: 2}, -1, 0},
		{"and is used again", func(k *Table) {
			k.Record(prompt("other"), fleet.Target{Address: e.Address, StartMS: 2}, 10, start)
		}, 0, e, -1, 0},
		{"the engine has failed or was short of memory", func(k *Table) { k.Drop(e.Address) }, 0, e, -1, 0},
		{"the engine has left", func(k *Table) { k.Retain(map[string]bool{engineAt(2).Address: true}) }, 0, e, -1, 0},
		{"others have filled its memory", func(k *Table) { k.Record(prompt("other"), e, 1000, start) }, 0, e, 999, 0},
		{"its memory has room", func(k *Table) { k.Record(prompt("other"), e, 1000, start) }, 0, e, 1000, 150},
	} {
		known := New(start)
		known.Record(p, e, 150, start)
		test.happens(known)
		got, _ := known.Kept(p, []fleet.Target{test.target}, func(fleet.Target) int { return test.free }, one, start.Add(test.at))
		require.Equal(t, test.want, got[0].Tokens, test.name)
	}
}

// TestSharedPartsAreKeptWhereTheirRateNeedsThem guards against one hot beginning that fills
// one engine, and against a rare one that is read by many.
func TestSharedPartsAreKeptWhereTheirRateNeedsThem(t *testing.T) {
	work := Demand{Gateways: 30, Work: 30 * time.Millisecond}
	targets := []fleet.Target{engineAt(1), engineAt(2), engineAt(3)}
	kept := func(known *Table, own string, now time.Time) (tokens []int) {
		list, _ := known.Kept(prompt(own, "a"), targets, unknownMemory, work, now)
		for _, k := range list {
			tokens = append(tokens, k.Tokens)
		}
		return tokens
	}
	needed := func(known *Table, now time.Time) int {
		_, n := known.Kept(prompt("new", "a"), targets, unknownMemory, work, now)
		return n
	}
	rare, hot, spread := New(start), New(start), New(start)
	for i := range 100 {
		// 0.1 and 1 requests per second at each of 30 gateways: they need 1 and 4 engines.
		if i%10 == 0 {
			rare.Record(prompt(fmt.Sprint(i), "a"), targets[0], 150, start.Add(time.Duration(i)*time.Second))
		}
		hot.Record(prompt(fmt.Sprint(i), "a"), targets[0], 150, start.Add(time.Duration(i)*time.Second))
		spread.Record(prompt(fmt.Sprint(i), "a"), engineAt(1+i%4), 150, start.Add(time.Duration(i)*time.Second))
	}
	now := start.Add(99 * time.Second)
	require.Equal(t, []int{100, 0, 0}, kept(rare, "new", now))
	require.Equal(t, []int{1, 4}, []int{needed(rare, now), needed(hot, now)})
	require.Equal(t, []int{0, 0, 0}, kept(hot, "new", now), "three more engines are needed")
	require.Equal(t, []int{150, 0, 0}, kept(hot, "99", now), "the session has one home")
	require.Equal(t, []int{100, 100, 100}, kept(spread, "new", now))
}

// TestAllEnginesOfOneMomentAreRemembered guards against engines that replace each other in a
// record that has room for them, such as right after the start.
func TestAllEnginesOfOneMomentAreRemembered(t *testing.T) {
	known := New(start)
	for i := range maxHolders {
		known.Record(prompt("session", "a"), engineAt(i), 150, start)
	}
	require.Len(t, known.Holders(prompt("session", "a"), start), maxHolders)
	require.Len(t, known.Holders(prompt("other", "a"), start), maxHolders)
	require.Empty(t, known.Holders(prompt("session", "b"), start))
}

// TestSessionsAreKnownBesideAHotBeginning guards against sessions that are not drawn home
// because more engines keep their shared beginning than are remembered for it.
func TestSessionsAreKnownBesideAHotBeginning(t *testing.T) {
	known := New(start)
	known.Record(prompt("session", "hot"), engineAt(1), 150, start)
	for i := range 2 * maxHolders {
		known.Record(prompt(fmt.Sprint(i), "hot"), engineAt(2+i), 150, start.Add(time.Second+time.Duration(i)*tick))
	}
	require.Equal(t, 150, keptTokens(known, prompt("session", "hot"), engineAt(1), start.Add(2*time.Second)))
	require.Zero(t, keptTokens(known, prompt("session", "hot"), engineAt(2), start.Add(2*time.Second)))
}

// TestKnowledgeIsBounded guards against memory that grows with the number of parts.
func TestKnowledgeIsBounded(t *testing.T) {
	before := heapBytes()
	known := New(start)
	for i := range 100_000 {
		known.Record(prompt(fmt.Sprint("session-", i)), engineAt(i%1000), 50, start)
	}
	filled := heapBytes()
	require.Equal(t, 100_000, known.Size())
	require.Less(t, filled-before, 16<<20, "bytes for 1,000 engines and 100,000 parts")
	t.Logf("%d bytes for 100,000 parts", filled-before)
	now := start.Add(time.Second)
	for i := range 250_000 {
		known.Record(prompt(fmt.Sprint("later-", i)), engineAt(i%1000), 50, now)
	}
	require.LessOrEqual(t, known.Size(), shardCount*maxRecords)
	require.Less(t, heapBytes()-before, 16<<20)
	require.Equal(t, 50, keptTokens(known, prompt("later-249999"), engineAt(249_999%1000), now), "the newest are known")
	runtime.KeepAlive(known)
}

func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
