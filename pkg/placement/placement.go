// Package placement chooses the target of each request. It does no I/O.
//
// It answers a skewed demand for many adapters with few places on each engine:
// rendezvous hashing sends an adapter version's requests to the same few engines
// from every entry, so that each load serves as many requests as possible, and a
// new version has homes of its own, where it is brought while the old one still
// runs. Requests of plain services go where the fewest run.
package placement

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/route"
)

// Homes returns the targets in the order in which they are asked to run a
// request on the weights. Targets are told apart by address, so that an engine
// that restarts finds its adapters on its own disk.
func Homes(targets []fleet.Target, w ident.Weights) []fleet.Target {
	key := xxhash.Sum64String(w.String())
	type ranked struct {
		fleet.Target
		draw uint64
	}
	list := make([]ranked, len(targets))
	for i, t := range targets {
		list[i] = ranked{t, route.Draw(key, xxhash.Sum64String(t.Address))}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].draw > list[j].draw })
	out := make([]fleet.Target, len(list))
	for i, r := range list {
		out[i] = r.Target
	}
	return out
}

// HoldersFirst returns the homes with those first that hold the base model, each group
// in its order: where a service has several models, an engine seldom has room for
// another, and loading one takes seconds.
func HoldersFirst(homes []fleet.Target, m ident.Model) []fleet.Target {
	out := append([]fleet.Target(nil), homes...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].Models.Has(m) && !out[j].Models.Has(m) })
	return out
}

// Least returns the targets by what runs on them, least first. Among equal ones those
// of the entry's own failure domain come first, since bytes between domains take
// longer and are paid for; the rest goes in an order that differs between entries
// and requests.
func Least(targets []fleet.Target, load func(fleet.Target) float64, own ident.Domain, tie uint64) []fleet.Target {
	out := append([]fleet.Target(nil), targets...)
	loads := make(map[ident.Target]float64, len(out))
	for _, t := range out {
		loads[t.Instance] = load(t)
	}
	rank := func(t fleet.Target) uint64 { return route.Draw(tie, xxhash.Sum64String(t.Address)) }
	sort.Slice(out, func(i, j int) bool {
		x, y := out[i], out[j]
		if a, b := loads[x.Instance], loads[y.Instance]; a != b {
			return a < b
		}
		if near, far := x.Domain == own, y.Domain == own; near != far {
			return near
		}
		return rank(x) > rank(y)
	})
	return out
}
