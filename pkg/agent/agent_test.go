package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/queue"
	"github.com/hyssoproad/hyssoproad/pkg/target"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

func chunk(model string, offset int, total int) target.CompletionChunk {
	c := target.CompletionChunk{Model: model, Choices: []target.Choice{{Text: string(rune('a' + offset)), TokenOffset: offset}}}
	if total > 0 {
		c.Usage = &target.Usage{CompletionTokens: total}
	}
	return c
}

func TestSinkPutsAnswersTogether(t *testing.T) {
	scenarios := []struct {
		name   string
		chunks []target.CompletionChunk
		text   string
		whole  bool
		wrong  bool
	}{
		{"in order", []target.CompletionChunk{chunk("m", 0, 0), chunk("m", 1, 0), chunk("m", 2, 3)}, "abc", true, false},
		{"crossed", []target.CompletionChunk{chunk("m", 2, 3), chunk("m", 0, 0), chunk("m", 1, 0)}, "abc", true, false},
		{"twice", []target.CompletionChunk{chunk("m", 0, 0), chunk("m", 0, 0), chunk("m", 1, 2)}, "ab", true, false},
		{"a gap", []target.CompletionChunk{chunk("m", 0, 0), chunk("m", 2, 3)}, "a", false, false},
		{"no end", []target.CompletionChunk{chunk("m", 0, 0), chunk("m", 1, 0)}, "ab", false, false},
		{"another version", []target.CompletionChunk{chunk("m", 0, 0), chunk("n", 1, 2)}, "a", false, true},
		{"late after the end", []target.CompletionChunk{chunk("m", 0, 1), chunk("m", 1, 0)}, "a", true, false},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			text := ""
			s := newSink("m", 0, func(offset int, parts []string) {
				require.Equal(t, len(text), offset)
				for _, p := range parts {
					text += p
				}
			})
			for _, c := range sc.chunks {
				s.add(c)
			}
			p := s.progress()
			require.Equal(t, sc.text, text)
			require.Equal(t, sc.whole, p.whole)
			require.Equal(t, sc.wrong, p.wrong)
		})
	}
}

func TestOnlyWhatCannotRunTwiceIsResumed(t *testing.T) {
	scenarios := []struct {
		nonIdempotent bool
		next          int
		want          bool
	}{{false, 0, true}, {false, 3, true}, {true, 3, true}, {true, 0, false}}
	for _, s := range scenarios {
		j := &job{submit: wire.Submit{NonIdempotent: s.nonIdempotent}}
		require.Equal(t, s.want, resumable(j, progress{next: s.next}))
	}
}

func TestHoldsEndWithANewerReport(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key := ident.AdapterVersion{Adapter: "a", Version: 1}
	s := queue.New(queue.Settings{Slots: 1, Seats: 1}, now)
	s.Adopt(now, key)
	h := make(holds)
	h.add(s, key, now)
	h.add(s, key, now)
	require.Equal(t, 1, s.Pins(key))
	h.release(s, nil, now.Add(target.ReportLag))
	require.Equal(t, 1, s.Pins(key), "the report may be older than the hold")
	h.release(s, []string{"a@1"}, now.Add(time.Minute))
	require.Equal(t, 1, s.Pins(key), "the engine still uses it")
	h.release(s, nil, now.Add(time.Minute))
	require.Zero(t, s.Pins(key))
}

func TestAdapterUnderUnloadIsNotAdopted(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	old, next := ident.AdapterVersion{Adapter: "old", Version: 1}, ident.AdapterVersion{Adapter: "next", Version: 1}
	s := queue.New(queue.Settings{Slots: 1, Seats: 1}, now)
	s.Adopt(now, old)
	evicted, ok := s.Load(now, next)
	require.True(t, ok)
	require.Equal(t, old, evicted)
	s.Loaded(now, next, time.Second, true)
	require.True(t, s.AdoptIfRoom(now, old), "accounted for")
	require.Empty(t, s.Resident(), "and not used")
	s.Evicted(old)
	require.True(t, s.AdoptIfRoom(now, old))
	require.Equal(t, []ident.AdapterVersion{old}, s.Resident())
}
