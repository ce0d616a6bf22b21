package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Rank orders entries for a key by rendezvous hashing. Processes that know the
// same entries compute the same order. If an entry is lost, only the keys for
// which it ranked first move to another entry.
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

// Homes returns the entries that a target reports to: up to inDomain entries of
// its own failure domain, and others of other domains until there are inDomain+1.
func Homes(t ident.Target, domain ident.Domain, entries []wire.EntryInfo, inDomain int) []wire.EntryInfo {
	var inside, outside []wire.EntryInfo
	for _, e := range Rank(string(t), entries) {
		if e.Domain == domain {
			inside = append(inside, e)
		} else {
			outside = append(outside, e)
		}
	}
	out := inside[:min(inDomain, len(inside))]
	remaining := inDomain + 1 - len(out)
	return append(out, outside[:min(remaining, len(outside))]...)
}

// Relays returns the entries that watch the object API for configuration changes:
// the perDomain highest-ranked entries of each failure domain.
func Relays(entries []wire.EntryInfo, perDomain int) []wire.EntryInfo {
	chosen := make(map[ident.Domain]int)
	var out []wire.EntryInfo
	for _, e := range Rank("config-relay", entries) {
		if chosen[e.Domain] < perDomain {
			chosen[e.Domain]++
			out = append(out, e)
		}
	}
	return out
}
