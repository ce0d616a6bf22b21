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

func TestReassemblerOrdersChunks(t *testing.T) {
	scenarios := []struct {
		name       string
		chunks     []target.CompletionChunk
		text       string
		complete   bool
		wrongModel bool
	}{
		{"in order", []target.CompletionChunk{chunk("m", 0, 0), chunk("m", 1, 0), chunk("m", 2, 3)}, "abc", true, false},
		{"out of order", []target.CompletionChunk{chunk("m", 2, 3), chunk("m", 0, 0), chunk("m", 1, 0)}, "abc", true, false},
		{"duplicate chunk", []target.CompletionChunk{chunk("m", 0, 0), chunk("m", 0, 0), chunk("m", 1, 2)}, "ab", true, false},
		{"missing chunk", []target.CompletionChunk{chunk("m", 0, 0), chunk("m", 2, 3)}, "a", false, false},
		{"no final chunk", []target.CompletionChunk{chunk("m", 0, 0), chunk("m", 1, 0)}, "ab", false, false},
		{"chunk of another adapter version", []target.CompletionChunk{chunk("m", 0, 0), chunk("n", 1, 2)}, "a", false, true},
		{"chunk after the end", []target.CompletionChunk{chunk("m", 0, 1), chunk("m", 1, 0)}, "a", true, false},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			text := ""
			r := newReassembler("m", 0, func(offset int, parts []string) {
				require.Equal(t, len(text), offset)
				for _, p := range parts {
					text += p
				}
			})
			for _, c := range sc.chunks {
				r.add(c)
			}
			p := r.progress()
			require.Equal(t, sc.text, text)
			require.Equal(t, sc.complete, p.complete)
			require.Equal(t, sc.wrongModel, p.wrongModel)
		})
	}
}

func TestNonIdempotentIsNotResumedFromFirstToken(t *testing.T) {
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

func TestUntrackedPinsEndWithNewerReport(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key := ident.AdapterVersion{Adapter: "a", Version: 1}
	s := queue.New(queue.Settings{Slots: 1, MaxRunning: 1}, now)
	s.Adopt(now, key)
	pins := make(untrackedPins)
	pins.add(s, key, now)
	pins.add(s, key, now)
	require.Equal(t, 1, s.Pins(key))
	pins.release(s, nil, now.Add(target.ReportLag))
	require.Equal(t, 1, s.Pins(key), "the report may be older than the pin")
	pins.release(s, []string{"a@1"}, now.Add(time.Minute))
	require.Equal(t, 1, s.Pins(key), "the engine still uses it")
	pins.release(s, nil, now.Add(time.Minute))
	require.Zero(t, s.Pins(key))
}

func TestAdapterBeingUnloadedIsNotAdopted(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	old, next := ident.AdapterVersion{Adapter: "old", Version: 1}, ident.AdapterVersion{Adapter: "next", Version: 1}
	s := queue.New(queue.Settings{Slots: 1, MaxRunning: 1}, now)
	s.Adopt(now, old)
	evicted, ok := s.BeginLoad(now, next)
	require.True(t, ok)
	require.Equal(t, old, evicted)
	s.EndLoad(now, next, time.Second, true)
	require.True(t, s.AdoptIfRoom(now, old), "the scheduler accounts for it")
	require.Empty(t, s.LoadedAdapters(), "but does not use it")
	s.EndEvict(old)
	require.True(t, s.AdoptIfRoom(now, old))
	require.Equal(t, []ident.AdapterVersion{old}, s.LoadedAdapters())
}
