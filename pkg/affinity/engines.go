package affinity

import (
	"sync"
	"sync/atomic"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
)

// engineSet numbers the engine processes. What is known of an engine under an earlier number
// counts as nothing.
type engineSet struct {
	mu        sync.RWMutex
	byAddress map[string]*engine
	addresses map[uint32]string // by number
	last      uint32
}

// engine is one process of an engine, since its memory was last short.
type engine struct {
	number  uint32 // 0 is none
	startMS int64
	// read is the number of tokens that this process has sent it that took new memory.
	// It may wrap around.
	read atomic.Uint32
}

func newEngineSet() engineSet {
	return engineSet{byAddress: make(map[string]*engine), addresses: make(map[uint32]string)}
}

// find returns what is known of a target's process, or nil if nothing is.
func (s *engineSet) find(t fleet.Target) *engine {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if e := s.byAddress[t.Address]; e != nil && e.startMS == t.StartMS {
		return e
	}
	return nil
}

// get returns the target's process, and adds it if nothing is known of it.
func (s *engineSet) get(t fleet.Target) *engine {
	if e := s.find(t); e != nil {
		return e
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.byAddress[t.Address]; e != nil && e.startMS == t.StartMS {
		return e
	}
	s.removeLocked(t.Address) // an earlier process
	s.last++
	e := &engine{number: s.last, startMS: t.StartMS}
	s.byAddress[t.Address], s.addresses[e.number] = e, t.Address
	return e
}

// address returns the address of the engine with a number.
func (s *engineSet) address(number uint32) (string, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	a, known := s.addresses[number]
	return a, known
}

func (s *engineSet) drop(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(address)
}

// removeLocked forgets the engine at an address, if one is known. The caller holds mu.
func (s *engineSet) removeLocked(address string) {
	if e := s.byAddress[address]; e != nil {
		delete(s.addresses, e.number)
		delete(s.byAddress, address)
	}
}

// retain drops all engines but those at the given addresses.
func (s *engineSet) retain(addresses map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.byAddress {
		if !addresses[a] {
			s.removeLocked(a)
		}
	}
}
