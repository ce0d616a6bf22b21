package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

var now = time.Unix(1_000_000, 0)

func target(id, address string) Target {
	return Target{Instance: ident.Target(id), Service: "s", Address: address}
}

func names(v *View) []string {
	var out []string
	for _, t := range v.Available("s") {
		out = append(out, string(t.Instance))
	}
	return out
}

func TestDrainingAndRemovedTargetsGetNoRequests(t *testing.T) {
	v := New()
	v.Replace([]Target{target("a", "1:1"), target("b", "2:1"), target("c", "3:1")}, now)
	draining := target("a", "1:1")
	draining.Draining = true
	v.Put(draining)
	v.Remove("b", now)
	require.Equal(t, []string{"c"}, names(v))
	require.False(t, v.Usable(target("a", "1:1")))
	require.False(t, v.Usable(target("b", "2:1")))
	require.True(t, v.Usable(target("c", "3:1")))
}

// Around an outage of the store live targets disappear from its list. Those that
// are still missing about two seconds later are removed.
func TestKeepsMissingTargetsAfterStoreOutage(t *testing.T) {
	v := New()
	list := []Target{target("a", "1:1"), target("b", "2:1")}
	v.Replace(list, now)
	v.RecordOutage(now)
	v.Replace(nil, now.Add(time.Second))
	require.Equal(t, []string{"a", "b"}, names(v))
	v.Put(list[0])
	require.False(t, v.Expire(now.Add(2*time.Second)))
	require.True(t, v.Expire(now.Add(relistGrace)))
	require.Equal(t, []string{"a"}, names(v))
}

func TestRemovesTargetAtOnceLongAfterOutage(t *testing.T) {
	v := New()
	v.Replace([]Target{target("a", "1:1")}, now)
	v.RecordOutage(now)
	v.Remove("a", now.Add(relistGrace+time.Second))
	require.Empty(t, names(v))
}

// The address of a stopped target may be used again by the same service or another
// one.
func TestNewerTargetReplacesOlderAtSameAddress(t *testing.T) {
	v := New()
	old, newer := target("a", "1:1"), target("b", "1:1")
	old.StartMS, newer.StartMS = 1, 2
	v.Replace([]Target{old, newer}, now)
	require.Equal(t, []string{"b"}, names(v))
	other := target("c", "1:1")
	other.StartMS, other.Service = 3, "other"
	v.Put(other)
	require.Empty(t, names(v))
	require.Len(t, v.Available("other"), 1)
}

// The clocks of two VMs differ, so that a new target appears to be older than the one
// that had its address before. It is used once the address has answered that it is not
// the old one.
func TestAddressAnswerOverridesStartTimes(t *testing.T) {
	v := New()
	old, current := target("old", "1:1"), target("new", "1:1")
	old.StartMS, current.StartMS = 9000, 5000
	v.Replace([]Target{old, current}, now)
	require.Equal(t, []string{"old"}, names(v))
	require.True(t, v.Contradict(old))
	require.Equal(t, []string{"new"}, names(v))
	require.False(t, v.Contradict(current), "no other target is left at the address")
	old.StartMS = 10_000
	v.Put(old)
	require.Equal(t, []string{"old"}, names(v), "it has started again")
}
