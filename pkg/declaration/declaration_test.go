package declaration

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const declared = `{
  // one service
  "models": [{"name": "m"}],
  "services": [{"name": "s", "kind": "engine", "model": "m", "role": "r"}],
  "adapters": [{"name": "a", "service": "s", "versions": [{"number": 2, "weights": "w2"}, {"number": 1, "weights": "w1"}]}],
}`

func write(t *testing.T, dir, name, text string) {
	require.NoError(t, os.MkdirAll(dir, 0o755))
	require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
}

func force(c *catalog.Catalog, steps []Step) {
	r := wire.Record{Revision: c.Revision() + 1}
	for _, s := range steps {
		r.Changes = append(r.Changes, s.Change)
	}
	c.Apply(r)
}

func TestPlanAfterApplyIsEmpty(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, "a.hujson", declared)
	want, err := Read(dir)
	require.NoError(t, err)
	c := catalog.New()
	steps := Plan(want, nil, true)
	require.Len(t, steps, 3)
	force(c, steps)
	_, inForce := c.Export()
	require.Empty(t, Plan(want, inForce, true))
	// What is exported declares the same.
	out := t.TempDir()
	require.NoError(t, Write(out, inForce))
	again, err := Read(out)
	require.NoError(t, err)
	require.Empty(t, Plan(again, inForce, true))
}

func TestUndeclaredVersionsAreRetiredNotDropped(t *testing.T) {
	old := wire.Change{Adapter: &wire.Adapter{Name: "a", Service: "s", Versions: []wire.AdapterVersion{{Number: 1, Weights: "w1"}}}}
	now := wire.Change{Adapter: &wire.Adapter{Name: "a", Service: "s", Versions: []wire.AdapterVersion{{Number: 2, Weights: "w2"}}}}
	steps := Plan([]wire.Change{now}, []wire.Change{old}, false)
	require.Len(t, steps, 1)
	v, ok := catalog.FindVersion(*steps[0].Change.Adapter, 1)
	require.True(t, ok)
	require.True(t, v.Retired)
}

func TestPruneDeletesWhatIsNotDeclared(t *testing.T) {
	inForce := []wire.Change{{Model: &wire.Model{Name: "m"}}, {Model: &wire.Model{Name: "old"}}}
	want := []wire.Change{{Model: &wire.Model{Name: "m"}}}
	require.Empty(t, Plan(want, inForce, false))
	steps := Plan(want, inForce, true)
	require.Len(t, steps, 1)
	require.Equal(t, "- model old", steps[0].Text)
}

func TestFaultsOfDirectories(t *testing.T) {
	scenarios := []struct{ name, text, fault string }{
		{"unknown key", `{"modles": []}`, "unknown key"},
		{"undeclared model", `{"services": [{"name": "s", "kind": "engine", "model": "x", "role": "r"}]}`, `undeclared model "x"`},
		{"declared twice", `{"models": [{"name": "m"}, {"name": "m"}]}`, "is declared in"},
		{"include of nothing", `{"include": ["nowhere"]}`, "no such file"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			dir := t.TempDir()
			write(t, dir, "a.hujson", s.text)
			_, err := Read(dir)
			require.ErrorContains(t, err, s.fault)
		})
	}
}

func TestIncludesAreRead(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, "a.hujson", `{"include": ["more"]}`)
	write(t, filepath.Join(dir, "more"), "b.hujson", declared)
	changes, err := Read(dir)
	require.NoError(t, err)
	require.Len(t, changes, 3)
}

func TestExamplesAreValid(t *testing.T) {
	for _, user := range []string{"bergstrom", "latones"} {
		changes, err := Read(filepath.Join("../../examples", user, "declarations"))
		require.NoError(t, err)
		require.NotEmpty(t, changes)
	}
}
