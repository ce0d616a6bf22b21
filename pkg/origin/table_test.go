package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/origin"
)

func stream(n int) origin.Stream { return origin.Stream{Attempt: ident.Attempt(fmt.Sprint(n))} }

func TestStreamKeepsItsOriginUntilItsCallerNoLongerComesBack(t *testing.T) {
	table, now := origin.NewTable(), time.Now()
	table.Record(stream(1), "v1", 10*time.Second, now)
	table.Record(stream(1), "v2", 15*time.Second, now.Add(time.Second))
	software, known := table.Find(stream(1), now.Add(15*time.Second))
	require.True(t, known, "the second record lasts longer")
	require.Equal(t, ident.Software("v1"), software)
	_, known = table.Find(stream(1), now.Add(16*time.Second))
	require.False(t, known)
	table.Record(stream(1), "v2", time.Hour, now.Add(20*time.Second))
	software, _ = table.Find(stream(1), now.Add(21*time.Second))
	require.Equal(t, ident.Software("v2"), software)
	_, known = table.Find(stream(1), now.Add(20*time.Second+origin.MaxTTL))
	require.False(t, known)
	_, known = table.Find(origin.Stream{Account: "a", Attempt: "1"}, now.Add(21*time.Second))
	require.False(t, known)
}

// A full table drops the stream that was recorded first, and no other.
func TestTableIsBounded(t *testing.T) {
	table, now := origin.NewTable(), time.Now()
	for n := range origin.MaxStreams + 1 {
		table.Record(stream(n), "v1", time.Minute, now)
	}
	streams, dropped := table.Size()
	require.Equal(t, origin.MaxStreams, streams)
	require.Equal(t, 1, dropped)
	_, known := table.Find(stream(0), now)
	require.False(t, known)
	_, known = table.Find(stream(1), now)
	require.True(t, known)
	table.Record(stream(-1), "v1", time.Minute, now.Add(time.Hour))
	streams, _ = table.Size()
	require.Equal(t, 1, streams, "expired streams take no room")
}

func BenchmarkRecord(b *testing.B) {
	table, now := origin.NewTable(), time.Now()
	for n := 0; b.Loop(); n++ {
		table.Record(stream(n), "v1", 15*time.Second, now.Add(time.Duration(n)*time.Millisecond))
	}
}

func TestVersionIsTheOnlyOneOnceNoOtherWasStatedForAWhile(t *testing.T) {
	const within = 15 * time.Second
	versions, now := origin.NewVersions(), time.Now()
	_, sole := versions.Sole("s", within, now)
	require.False(t, sole, "none is known")
	versions.Observe("s", "v1", now)
	versions.Observe("other", "v9", now)
	software, sole := versions.Sole("s", within, now)
	require.True(t, sole)
	require.Equal(t, ident.Software("v1"), software)
	versions.Observe("s", "v2", now.Add(time.Second))
	_, sole = versions.Sole("s", within, now.Add(time.Second))
	require.False(t, sole)
	require.True(t, versions.Several("s", within, now.Add(time.Second)))
	require.False(t, versions.Several("other", within, now.Add(time.Second)))
	versions.Observe("s", "v2", now.Add(within+time.Second))
	software, sole = versions.Sole("s", within, now.Add(within+time.Second))
	require.True(t, sole, "the other one was stated for the last time before")
	require.Equal(t, ident.Software("v2"), software)
}

// A version that came and went in a gap is not known, until what was stated then is.
func TestNoVersionIsTheOnlyOneAfterAGap(t *testing.T) {
	const within = 15 * time.Second
	versions, now := origin.NewVersions(), time.Now()
	sole := func(at time.Time) bool {
		versions.Observe("s", "v1", at)
		_, sole := versions.Sole("s", within, at)
		return sole
	}
	require.True(t, sole(now))
	first, second := now, now.Add(5*time.Second)
	versions.RecordGap(first)
	versions.RecordGap(second)
	require.False(t, sole(second))
	versions.CloseGap(second)
	require.False(t, sole(second), "the first one is still open")
	versions.CloseGap(first)
	require.True(t, sole(second))
	versions.RecordGap(second)
	require.False(t, sole(second.Add(within)))
	require.True(t, sole(second.Add(within+time.Second)))
}
