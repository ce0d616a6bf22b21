package route

import (
	"slices"
	"sort"
	"time"
)

// Candidate is one target that was considered for a request.
type Candidate struct {
	Choice
	Chosen bool
	Holds  bool
	Usable bool
	// Active is false for a target that gets the request only if no active one can.
	Active bool
	// Cost is what decides between the homes of an adapter that no target holds.
	Cost Cost
}

// Candidates returns the targets of a request's pool in rendezvous order, and marks the
// chosen one, if any, with the reason. It changes nothing.
func (t *Table) Candidates(q Query, chosen Choice, now time.Time) []Candidate {
	hash := keyHash(q.Key)
	loaded, _ := t.locations.shard(hash).find(q.Key, now)
	all := t.pool(q.Pool)
	active := t.activeNodes(all, q.Balance).nodes
	var out []Candidate
	for _, n := range all.nodes {
		c := Candidate{Choice: Choice{Node: n}, Holds: contains(loaded, n), Usable: q.allows(n), Active: slices.Contains(active, n), Cost: cost(n)}
		if n == chosen.Node {
			c.Chosen, c.Reason = true, chosen.Reason
		}
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return score(hash, out[i].Node) > score(hash, out[j].Node) })
	return out
}
