package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReferencePageIsUpToDate(t *testing.T) {
	var want bytes.Buffer
	require.NoError(t, WriteReference(&want, "."))
	got, err := os.ReadFile("../../docs/settings.md")
	require.NoError(t, err)
	require.Equal(t, want.String(), string(got), "run make settings-reference")
}

func TestExamplesAreValid(t *testing.T) {
	for _, user := range []string{"bergstrom", "latones"} {
		dir := filepath.Join("../../examples", user)
		entry := DefaultEntry()
		require.NoError(t, Load(filepath.Join(dir, "entry.hujson"), &entry))
		for _, name := range []string{"agent-engine.hujson", "agent-service.hujson"} {
			agent := DefaultAgent()
			require.NoError(t, Load(filepath.Join(dir, name), &agent))
		}
	}
}
