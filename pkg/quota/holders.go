package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/route"
)

// HolderCount is the number of shares of an account's limit. The loss of one holder
// leaves two thirds, which is more than the usual load of 0.55.
const HolderCount = 3

// Engine is an engine whose agent may hold shares.
type Engine struct {
	Address string
	Domain  ident.Domain
}

// Ring chooses the holders of accounts among engines.
type Ring struct {
	engines []Engine
	hashes  []uint64
	// domains are the indexes of the engines' failure domains, of so many.
	domains     []int
	domainCount int
}

// NewRing returns a ring of the engines, which it keeps.
func NewRing(engines []Engine) *Ring {
	r := &Ring{engines: engines, hashes: make([]uint64, len(engines)), domains: make([]int, len(engines))}
	index := make(map[ident.Domain]int)
	for i, e := range engines {
		r.hashes[i] = xxhash.Sum64String(e.Address)
		at, known := index[e.Domain]
		if !known {
			at = len(index)
			index[e.Domain] = at
		}
		r.domains[i] = at
	}
	r.domainCount = len(index)
	return r
}

// candidate is an engine with its rank for one account.
type candidate struct {
	engine int
	rank   uint64
}

func (r *Ring) better(a, b candidate) int {
	if a.rank != b.rank {
		return cmp.Compare(b.rank, a.rank)
	}
	return cmp.Compare(r.engines[a.engine].Address, r.engines[b.engine].Address)
}

// Holders returns the engines whose agents hold the account's shares, by rendezvous
// hashing of their addresses. They are in different failure domains if there are enough,
// so that the loss of a domain costs one share.
func (r *Ring) Holders(a ident.Account) []Engine {
	key := xxhash.Sum64String(string(a))
	first := make([]candidate, r.domainCount) // the best of each domain
	for i := range first {
		first[i].engine = -1
	}
	for i, hash := range r.hashes {
		c := candidate{i, route.RendezvousHash(key, hash)}
		if best := &first[r.domains[i]]; best.engine < 0 || r.better(c, *best) < 0 {
			*best = c
		}
	}
	slices.SortFunc(first, r.better)
	first = first[:min(len(first), HolderCount)]
	for len(first) < min(HolderCount, len(r.engines)) {
		first = append(first, r.next(key, first))
	}
	out := make([]Engine, len(first))
	for i, c := range first {
		out[i] = r.engines[c.engine]
	}
	return out
}

// next returns the best engine that is not among those taken.
func (r *Ring) next(key uint64, taken []candidate) candidate {
	best := candidate{engine: -1}
	for i := range r.engines {
		c := candidate{i, route.RendezvousHash(key, r.hashes[i])}
		if slices.Contains(taken, c) {
			continue
		}
		if best.engine < 0 || r.better(c, best) < 0 {
			best = c
		}
	}
	return best
}
