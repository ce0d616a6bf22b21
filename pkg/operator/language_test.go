package operator

import (
	"fmt"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

func TestParsesStatements(t *testing.T) {
	scenarios := []struct {
		text    string
		wantErr string // part of the error; empty for a valid statement
	}{
		{"show targets", ""},
		{"show loaded where service = drafting and adapter = guide* by target limit 3", ""},
		{"show loaded on t-1", "column 13"},
		{"show loaded where x on t-1", ""},
		{"explain route guide@2", ""},
		{"add service drafting, kind engine, model base-7b, balance 0.8", ""},
		{"set weight-store, loads-per-second 4", ""},
		{"add version guide@3 weights guide/3", ""},
		{"retire version guide@1", ""},
		{"drain target t-3", ""},
		{"cancel request 5034b7e2-1523-4495-8730-1601791f541c", ""},
		{"cancel request c034b7e2-1523-4495-8730-1601791f541c", ""},
		{"shwo targets", "did you mean show?"},
		{"retire vershun guide@1", "did you mean version?"},
		{"drain target", "column 13"},
		{"", "column 1"},
	}
	for _, s := range scenarios {
		t.Run(s.text, func(t *testing.T) {
			_, err := Parse(s.text)
			if s.wantErr == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, errors.NotValid)
			require.Contains(t, err.Error(), s.wantErr)
		})
	}
}

func testCatalog() *catalog.Catalog {
	c := catalog.New()
	c.Apply(wire.Record{Revision: 1, Changes: []wire.Change{
		{Model: &wire.Model{Name: "m"}},
		{Service: &wire.Service{Name: "s", Kind: wire.KindEngine, Model: "m", Role: "r"}},
		{Adapter: &wire.Adapter{Name: "a", Service: "s", Default: 1, Versions: []wire.AdapterVersion{{Number: 1, Weights: "w"}}}},
	}})
	return c
}

func TestCompilesCommands(t *testing.T) {
	scenarios := []struct {
		text    string
		check   func(*require.Assertions, wire.Change)
		wantErr string
	}{
		{"drain target t", func(r *require.Assertions, x wire.Change) { r.True(x.Target.Draining) }, ""},
		{"undrain target t", func(r *require.Assertions, x wire.Change) { r.False(x.Target.Draining) }, ""},
		{"set service s, balance 0.3", func(r *require.Assertions, x wire.Change) {
			r.InDelta(0.3, x.Service.Balance, 1e-9)
			r.Equal("r", x.Service.Role)
		}, ""},
		{"retire version a@1", func(r *require.Assertions, x wire.Change) {
			r.True(x.Adapter.Versions[0].Retired)
			r.Zero(x.Adapter.Default)
		}, ""},
		{"add version a@2 weights w2", func(r *require.Assertions, x wire.Change) { r.Len(x.Adapter.Versions, 2) }, ""},
		{"add caller c, rule s:4:a, in-flight 9", func(r *require.Assertions, x wire.Change) {
			r.Equal("a", x.Caller.Rules[0].Adapters)
			r.Equal(9, x.Caller.InFlight)
		}, ""},
		{"add service s, kind engine", nil, "already exists"},
		{"set service none, kind engine", nil, "not found"},
		{"set service s, balanse 0.3", nil, "did you mean balance?"},
		{"set service s, balance much", nil, `value "much"`},
		{"retire version a@9", nil, "not found"},
		{"retire version a", nil, "no version"},
		{"add version a@1 weights w", nil, "already exists"},
		{"show targets", nil, "not a command"},
	}
	for _, s := range scenarios {
		t.Run(s.text, func(t *testing.T) {
			statement, err := Parse(s.text)
			require.NoError(t, err)
			changes, err := compile(statement, testCatalog())
			if s.wantErr != "" {
				require.ErrorContains(t, err, s.wantErr)
				return
			}
			require.NoError(t, err)
			s.check(require.New(t), changes[0])
		})
	}
}

func ExampleTable() {
	t := Table{Columns: []string{"target", "waiting"}}
	t.add("t-1", "9")
	t.add("t-2", "10")
	t.add("t-3", "2")
	s, err := Parse("show waiting where waiting > 2 limit 5")
	if err != nil {
		fmt.Println(err)
	}
	if err := t.refine(s.Show); err != nil {
		fmt.Println(err)
	}
	fmt.Println(t.Rows)
	// Output: [[t-1 9] [t-2 10]]
}
