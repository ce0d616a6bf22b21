package grant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const otherModel ident.Model = "n"

// twoModels is an engine that holds one of two models and has room for one.
func twoModels(other float64) *Book {
	b := New()
	s := setup(4)
	s.Models = append(s.Models, wire.ModelSetup{Name: otherModel, MB: other, AdapterMB: 1, LoadMS: 1000})
	b.Setup(s)
	b.Observe(Report{Born: 1, Models: []ident.Model{model}, Held: []ident.Weights{weightsOf(1, 1)}}, start)
	return b
}

// demand asks for the other model, so many times over a second, and returns the end.
func demand(t *testing.T, b *Book, times int, from time.Time) time.Time {
	t.Helper()
	for i := range times {
		now := from.Add(time.Duration(i) * time.Second / time.Duration(times))
		w := want(WantID(1000+i), 1, now)
		w.Model, w.MaySwitch, w.MayGoElsewhere = otherModel, true, true
		b.Ask(w)
		replies := b.Answer(now)
		require.Len(t, replies, 1)
		require.Equal(t, wire.ReasonModelAbsent, replies[0].Reason)
	}
	return from.Add(time.Second)
}

// Demand moves to a model whose engines are all busy: an engine that serves little
// finishes what runs, and changes.
func TestEngineChangesToTheModelInDemand(t *testing.T) {
	b := twoModels(900)
	b.Ask(want(1, 1, start))
	require.Len(t, b.Answer(start), 1)
	now := demand(t, b, 12, start)
	_, ok := b.Order(now)
	require.False(t, ok, "a request runs")
	w := want(2, 1, now)
	w.MayGoElsewhere = true
	b.Ask(w)
	require.Equal(t, wire.ReasonModelAbsent, b.Answer(now)[0].Reason, "no new request of the model that leaves")

	b.Withdraw(1, now)
	o, ok := b.Order(now)
	require.True(t, ok)
	require.Equal(t, Order{Unload: true, Weights: ident.Weights{Model: model}, Instance: "i-1", Displaces: true}, o)
	b.Carried(o, now)
	b.Observe(Report{Born: 1, Sequence: 1}, now)
	o, ok = b.Order(now)
	require.True(t, ok)
	require.Equal(t, Order{Weights: ident.Weights{Model: otherModel}, Sequence: 1, Instance: "i-1"}, o)
	b.Carried(o, now)
	b.Observe(Report{Born: 1, Sequence: 2, Models: []ident.Model{otherModel}}, now)
	_, ok = b.Order(now)
	require.False(t, ok)

	back := want(3, 1, now)
	back.MaySwitch, back.MayGoElsewhere = true, true
	for i := range 20 {
		back := *back
		back.ID += WantID(i)
		b.Ask(&back)
		b.Answer(now)
	}
	_, ok = b.Order(now.Add(switchPause - time.Second))
	require.False(t, ok, "a change shows before the next")
}

// The operator removes the model while the engine changes to it.
func TestChangeToAModelThatIsGone(t *testing.T) {
	b := twoModels(900)
	now := demand(t, b, 12, start)
	o, ok := b.Order(now)
	require.True(t, ok && o.Unload)
	s := setup(4)
	s.Configuration = 2
	b.Setup(s)
	_, ok = b.Order(now)
	require.False(t, ok)
	b.Ask(want(1, 1, now))
	replies := b.Answer(now)
	require.Len(t, replies, 1)
	require.Equal(t, wire.GrantGiven, replies[0].Code)
}

func TestEngineKeepsItsModel(t *testing.T) {
	tests := []struct {
		name  string
		other float64 // MB
		own   int     // requests that it serves in the second
		times int     // wants for the other model
	}{
		{"little demand", 900, 0, 4},
		{"it serves as much itself", 900, 10, 12},
		{"there is room for both", 50, 0, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := twoModels(test.other)
			now := demand(t, b, test.times, start)
			for id := range WantID(test.own) {
				b.Ask(want(id+1, 1, now))
				b.Answer(now)
				b.Withdraw(id+1, now)
			}
			o, ok := b.Order(now)
			require.False(t, ok && o.Unload)
			require.Empty(t, b.to)
		})
	}
}
