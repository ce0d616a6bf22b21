package gateway

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// docs/settings.md tells the limits of targets' responses.
func TestSettingsPageTellsResponseLimits(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	require.NoError(t, err)
	require.InDelta(t, 1.0/8, bodyMemoryShare, 0)
	for _, row := range []string{
		fmt.Sprintf("if another target may take the request, %d latency objectives, at least %d ms", firstByteObjectives, minFirstByteWait.Milliseconds()),
		fmt.Sprintf("| body that is not a stream | %d; beyond %d all such bodies share an eighth", maxResponseBytes, freeBodyBytes),
		fmt.Sprintf("beyond %d bytes they\nshare the same eighth, and a request", freeBodyBytes),
		fmt.Sprintf("| event of a stream | %d; beyond %d it shares the same eighth |", maxEventBytes, freeBodyBytes),
		fmt.Sprintf("%d pause objectives without a whole event, at least %d ms", gapFactor, minGapWait.Milliseconds()),
	} {
		require.Contains(t, string(page), row)
	}
}
