package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Rank orders the entries for a key by rendezvous hashing. All processes that
// know the same entries compute the same order, and the loss of an entry moves
// only the keys that it came first for.
func Rank(key string, entries []wire.EntryInfo) []wire.EntryInfo {
	scores := make(map[ident.VM]uint64, len(entries))
	for _, e := range entries {
		scores[e.VM] = xxhash.Sum64String(key + "/" + string(e.VM))
	}
	out := append([]wire.EntryInfo(nil), entries...)
	sort.Slice(out, func(i, j int) bool {
		a, b := scores[out[i].VM], scores[out[j].VM]
		return a > b || a == b && out[i].VM < out[j].VM
	})
	return out
}

// Homes chooses the entries that a target reports to: up to near of its own
// failure domain and one outside it.
func Homes(t ident.Target, domain ident.Domain, entries []wire.EntryInfo, near int) []wire.EntryInfo {
	var inside, outside []wire.EntryInfo
	for _, e := range Rank(string(t), entries) {
		if e.Domain == domain {
			inside = append(inside, e)
		} else {
			outside = append(outside, e)
		}
	}
	out := inside[:min(near, len(inside))]
	spare := near + 1 - len(out)
	return append(out, outside[:min(spare, len(outside))]...)
}

// Relays chooses the entries that watch the object API: the first perDomain of
// each failure domain.
func Relays(entries []wire.EntryInfo, perDomain int) []wire.EntryInfo {
	taken := make(map[ident.Domain]int)
	var out []wire.EntryInfo
	for _, e := range Rank("config-relay", entries) {
		if taken[e.Domain] < perDomain {
			taken[e.Domain]++
			out = append(out, e)
		}
	}
	return out
}
