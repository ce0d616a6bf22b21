package system

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// steps repeats a pattern of steps with rising numbers.
func steps(n int, kinds ...opKind) []op {
	var out []op
	for i := range n {
		for j, kind := range kinds {
			out = append(out, op{kind: kind, a: i*7 + j, b: i*3 + j})
		}
	}
	return out
}

// pause waits for about n seconds.
func pause(n int) []op {
	out := make([]op, n)
	for i := range out {
		out[i] = op{kind: opWait, a: 999}
	}
	return out
}

func join(parts ...[]op) []op {
	var out []op
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

// TestOracleCatchesBrokenVariants proves that each check can fail.
func TestOracleCatchesBrokenVariants(t *testing.T) {
	risky := steps(12, opBooking, opDispatch, opWait, opRepeat, opRepeat, opWait)
	drafts := steps(30, opDraft, opDraft, opDraft, opWait)
	mute := []op{{kind: opFaultServiceMute, a: 0}, {kind: opFaultServiceMute, a: 1}}
	drained := join(drafts, pause(3), steps(1, opDrain), pause(10), drafts, pause(10), drafts)
	scenarios := []struct {
		variant broken
		ops     []op
		caught  string
	}{
		{claimsUnchecked, risky, "ran 2 times"},
		{unknownAsNotRun, join(mute, risky), "reported as not run"},
		{answersCrossed, drafts, "is wrong"},
		{versionsMixed, drafts, "is wrong"},
		{answersCutShort, drafts, "is wrong"},
		{pinsIgnored, drafts, "evicted an adapter in use"},
		{drainIgnored, drained, "after its drain"},
		{configReverts, steps(6, opCommand, opWait), "went back"},
		{appendsUndone, steps(6, opCommand, opWait), "accepted"},
	}
	for _, s := range scenarios {
		t.Run(string(s.variant), func(t *testing.T) {
			found := play(t, s.ops, s.variant, 1, newCoverage())
			caught := strings.Contains(strings.Join(found, "; "), s.caught)
			require.True(t, caught, "%q is not among %d violations", s.caught, len(found))
			require.Empty(t, play(t, s.ops, sound, 1, newCoverage()), "the sound system must pass the same steps")
		})
	}
}
