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

// Holders returns the homes that hold the base model.
func Holders(homes []fleet.Target, m ident.Model) []fleet.Target {
	var out []fleet.Target
	for _, t := range homes {
		if t.Models.Has(m) {
			out = append(out, t)
		}
	}
	return out
}

// leastHolders is the number of engines that must hold a model for one of them to
// change to another: one remains if the other fails meanwhile.
const leastHolders = 3

// Candidate returns the engine that should change to the base model once all that
// hold it are busy: the same from every entry, and none of the last that hold another
// model.
func Candidate(targets []fleet.Target, m ident.Model) (fleet.Target, bool) {
	for _, t := range Homes(targets, ident.Weights{Model: m}) {
		if !t.Models.Has(m) && spare(targets, t) {
			return t, true
		}
	}
	return fleet.Target{}, false
}

func spare(targets []fleet.Target, t fleet.Target) bool {
	for _, m := range t.Models.Names() {
		if len(Holders(targets, m)) < leastHolders {
			return false
		}
	}
	return true
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
