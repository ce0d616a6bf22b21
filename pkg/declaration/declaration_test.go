package declaration

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const declaredConfig = `{
  // one service
  "models": [{"name": "m"}],
  "services": [{"name": "s", "kind": "engine", "model": "m", "role": "r"}],
  "adapters": [{"name": "a", "service": "s", "versions": [{"number": 2, "weights": "w2"}, {"number": 1, "weights": "w1"}]}],
}`

func writeTestFile(t *testing.T, dir, name, text string) {
	require.NoError(t, os.MkdirAll(dir, 0o755))
	require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
}

func applySteps(c *catalog.Catalog, steps []Step) {
	r := wire.Record{Revision: c.Revision() + 1}
	for _, s := range steps {
		r.Changes = append(r.Changes, s.Change)
	}
	c.Apply(r)
}

func TestPlanAfterApplyIsEmpty(t *testing.T) {
	dir := t.TempDir()
	writeTestFile(t, dir, "a.hujson", declaredConfig)
	want, err := Read(dir)
	require.NoError(t, err)
	c := catalog.New()
	steps := Plan(want, nil, true)
	require.Len(t, steps, 3)
	applySteps(c, steps)
	_, current := c.Export()
	require.Empty(t, Plan(want, current, true))
	// The exported files declare the same objects.
	out := t.TempDir()
	require.NoError(t, Write(out, current))
	exported, err := Read(out)
	require.NoError(t, err)
	require.Empty(t, Plan(exported, current, true))
}

func TestUndeclaredVersionsAreRetired(t *testing.T) {
	old := wire.Change{Adapter: &wire.Adapter{Name: "a", Service: "s", Versions: []wire.AdapterVersion{{Number: 1, Weights: "w1"}}}}
	now := wire.Change{Adapter: &wire.Adapter{Name: "a", Service: "s", Versions: []wire.AdapterVersion{{Number: 2, Weights: "w2"}}}}
	steps := Plan([]wire.Change{now}, []wire.Change{old}, false)
	require.Len(t, steps, 1)
	v, ok := catalog.FindVersion(*steps[0].Change.Adapter, 1)
	require.True(t, ok)
	require.True(t, v.Retired)
}

func TestPruneDeletesUndeclaredObjects(t *testing.T) {
	current := []wire.Change{{Model: &wire.Model{Name: "m"}}, {Model: &wire.Model{Name: "old"}}}
	want := []wire.Change{{Model: &wire.Model{Name: "m"}}}
	require.Empty(t, Plan(want, current, false))
	steps := Plan(want, current, true)
	require.Len(t, steps, 1)
	require.Equal(t, "- model old", steps[0].Text)
}

func TestReadRejectsInvalidDirectories(t *testing.T) {
	scenarios := []struct{ name, text, wantErr string }{
		{"unknown key", `{"modles": []}`, "unknown key"},
		{"undeclared model", `{"services": [{"name": "s", "kind": "engine", "model": "x", "role": "r"}]}`, `undeclared model "x"`},
		{"declared twice", `{"models": [{"name": "m"}, {"name": "m"}]}`, "is already declared in"},
		{"included directory does not exist", `{"include": ["nowhere"]}`, "no such file"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			dir := t.TempDir()
			writeTestFile(t, dir, "a.hujson", s.text)
			_, err := Read(dir)
			require.ErrorContains(t, err, s.wantErr)
		})
	}
}

func TestReadFollowsIncludes(t *testing.T) {
	dir := t.TempDir()
	writeTestFile(t, dir, "a.hujson", `{"include": ["more"]}`)
	writeTestFile(t, filepath.Join(dir, "more"), "b.hujson", declaredConfig)
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
