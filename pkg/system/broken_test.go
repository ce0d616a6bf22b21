package system

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// repeatSteps repeats a sequence of steps n times, each with other parameters.
func repeatSteps(n int, kinds ...opKind) []op {
	var out []op
	for i := range n {
		for j, kind := range kinds {
			out = append(out, op{kind: kind, a: i*7 + j, b: i*3 + j})
		}
	}
	return out
}

// waitSteps returns steps that wait for n seconds altogether.
func waitSteps(n int) []op {
	out := make([]op, n)
	for i := range out {
		out[i] = op{kind: opWait, a: 999}
	}
	return out
}

func concat(parts ...[]op) []op {
	var out []op
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

// TestOracleCatchesBrokenVariants checks that the oracle detects each deliberately
// broken variant, so that no check passes whatever the system does.
func TestOracleCatchesBrokenVariants(t *testing.T) {
	nonIdempotent := repeatSteps(12, opBooking, opDispatch, opWait, opRepeat, opRepeat, opWait)
	drafts := repeatSteps(30, opDraft, opDraft, opDraft, opWait)
	unresponsive := []op{{kind: opFaultServiceUnresponsive, a: 0}, {kind: opFaultServiceUnresponsive, a: 1}}
	drainThenDrafts := concat(drafts, waitSteps(3), repeatSteps(1, opDrain), waitSteps(10), drafts, waitSteps(10), drafts)
	scenarios := []struct {
		variant brokenVariant
		ops     []op
		want    string
	}{
		{claimsUnchecked, nonIdempotent, "ran 2 times"},
		{unknownAsNotRun, concat(unresponsive, nonIdempotent), "reported as not run"},
		{answersCrossed, drafts, "is wrong"},
		{versionsMixed, drafts, "is wrong"},
		{answersCutShort, drafts, "is wrong"},
		{pinsIgnored, drafts, "evicted an adapter in use"},
		{drainIgnored, drainThenDrafts, "after its drain"},
		{configReverts, repeatSteps(6, opCommand, opWait), "went back"},
		{appendsUndone, repeatSteps(6, opCommand, opWait), "accepted"},
	}
	for _, s := range scenarios {
		t.Run(string(s.variant), func(t *testing.T) {
			violations := runSteps(t, s.ops, s.variant, 1, newCoverage())
			caught := strings.Contains(strings.Join(violations, "; "), s.want)
			require.True(t, caught, "%q is not among %d violations", s.want, len(violations))
			require.Empty(t, runSteps(t, s.ops, correctVariant, 1, newCoverage()), "the system without the defect must pass the same steps")
		})
	}
}
