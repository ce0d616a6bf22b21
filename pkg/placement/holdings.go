package placement

import (
	"slices"
	"sync"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Holdings is the directory of the engines that hold each adapter, as the engines list
// them in their own records. It handles many entries that each see few requests for an
// adapter: they learn what the others had loaded without a message between them. An
// entry may be seconds old.
type Holdings struct {
	mu        sync.RWMutex
	byAddress map[string][]ident.Weights
	byWeights map[ident.Weights][]holding // keyed by unversioned weights
}

// holding is a version of an adapter at an engine.
type holding struct {
	address string
	version ident.Version
}

// NewHoldings returns an empty directory.
func NewHoldings() *Holdings {
	return &Holdings{byAddress: make(map[string][]ident.Weights), byWeights: make(map[ident.Weights][]holding)}
}

// Observe replaces what the engine at the address holds.
func (h *Holdings) Observe(address string, held []ident.Weights) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.byAddress[address]
	if slices.Equal(old, held) {
		return
	}
	for _, w := range old {
		h.remove(w.Unversioned(), address)
	}
	for _, w := range held {
		key := w.Unversioned()
		h.byWeights[key] = append(h.byWeights[key], holding{address, w.Version})
	}
	if len(held) == 0 {
		delete(h.byAddress, address)
		return
	}
	h.byAddress[address] = held
}

// Retain drops all engines but those at the given addresses.
func (h *Holdings) Retain(addresses map[string]bool) {
	h.mu.RLock()
	var gone []string
	for a := range h.byAddress {
		if !addresses[a] {
			gone = append(gone, a)
		}
	}
	h.mu.RUnlock()
	for _, a := range gone {
		h.Observe(a, nil)
	}
}

func (h *Holdings) remove(key ident.Weights, address string) {
	list := slices.DeleteFunc(h.byWeights[key], func(x holding) bool { return x.address == address })
	if len(list) == 0 {
		delete(h.byWeights, key)
		return
	}
	h.byWeights[key] = list
}

// Holds reports whether the engine at the address holds the weights, or a newer version of
// the adapter.
func (h *Holdings) Holds(w ident.Weights, address string) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, held := range h.byAddress[address] {
		if held.Unversioned() == w.Unversioned() && held.Version >= w.Version {
			return true
		}
	}
	return false
}

// Holders returns the addresses of the engines that hold the weights, or a newer version
// of the adapter.
func (h *Holdings) Holders(w ident.Weights) []string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var out []string
	for _, x := range h.byWeights[w.Unversioned()] {
		if x.version >= w.Version {
			out = append(out, x.address)
		}
	}
	return out
}
