// Package placement chooses the target of each request. It does no I/O.
//
// It handles skewed demand for many adapters on engines with few adapter slots:
// rendezvous hashing sends the requests for an adapter version to the same few
// engines from every entry, so that each load serves as many requests as possible.
// A new version has homes of its own, where it loads while the old version still
// runs. Requests to services without adapters go to the least loaded targets.
package placement

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/route"
)

// Homes returns the targets in the order of preference for requests on the weights,
// by rendezvous hashing. It hashes addresses rather than instance names, so that an
// engine that restarts stays the home of the adapters on its own disk.
func Homes(targets []fleet.Target, w ident.Weights) []fleet.Target { return Rank(targets, w.String()) }

// Rank returns the targets in an order that depends on the key alone, by rendezvous
// hashing of their addresses.
func Rank(targets []fleet.Target, of string) []fleet.Target {
	key := xxhash.Sum64String(of)
	type ranked struct {
		fleet.Target
		hash uint64
	}
	list := make([]ranked, len(targets))
	for i, t := range targets {
		list[i] = ranked{t, route.RendezvousHash(key, xxhash.Sum64String(t.Address))}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].hash > list[j].hash })
	out := make([]fleet.Target, len(list))
	for i, r := range list {
		out[i] = r.Target
	}
	return out
}

// Holders returns those of the homes that hold the base model.
func Holders(homes []fleet.Target, m ident.Model) []fleet.Target {
	var out []fleet.Target
	for _, t := range homes {
		if t.Models.Has(m) {
			out = append(out, t)
		}
	}
	return out
}

// minHolders is the number of engines that must hold a model before one of them may
// switch to another model. Two remain, and one is left if the other fails meanwhile.
const minHolders = 3

// SwitchCandidate returns the engine that should switch to the base model once all engines
// that hold it are busy. All entries choose the same engine, and never one of the
// last holders of another model.
func SwitchCandidate(targets []fleet.Target, m ident.Model) (fleet.Target, bool) {
	for _, t := range Homes(targets, ident.Weights{Model: m}) {
		if !t.Models.Has(m) && canSwitch(targets, t) {
			return t, true
		}
	}
	return fleet.Target{}, false
}

func canSwitch(targets []fleet.Target, t fleet.Target) bool {
	for _, m := range t.Models.Names() {
		if len(Holders(targets, m)) < minHolders {
			return false
		}
	}
	return true
}

// ByLoad returns the targets in ascending order of load. Among equally loaded targets,
// those in the entry's own failure domain come first, since traffic between domains
// is slower and billed. Remaining ties are ordered by the hash of tie and address, so
// that the order differs between entries and requests.
func ByLoad(targets []fleet.Target, load func(fleet.Target) float64, own ident.Domain, tie uint64) []fleet.Target {
	out := append([]fleet.Target(nil), targets...)
	loads := make(map[ident.Target]float64, len(out))
	for _, t := range out {
		loads[t.Instance] = load(t)
	}
	hash := func(t fleet.Target) uint64 { return route.RendezvousHash(tie, xxhash.Sum64String(t.Address)) }
	sort.Slice(out, func(i, j int) bool {
		x, y := out[i], out[j]
		if a, b := loads[x.Instance], loads[y.Instance]; a != b {
			return a < b
		}
		if xOwn, yOwn := x.Domain == own, y.Domain == own; xOwn != yOwn {
			return xOwn
		}
		return hash(x) > hash(y)
	})
	return out
}
