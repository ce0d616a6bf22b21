package orderer

import (
	"sync"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
)

// entries counts the entries that have a link to this process. Entries learn
// from it how many they are, without a call to anybody.
type entries struct {
	mu   sync.Mutex
	byVM map[ident.VM]*link.Conn
}

// seen notes the entry at the other end of a link and returns the number of
// entries that are linked.
func (e *entries) seen(c *link.Conn) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byVM == nil {
		e.byVM = make(map[ident.VM]*link.Conn)
	}
	e.byVM[c.Peer.VM] = c
	for vm, other := range e.byVM {
		select {
		case <-other.Done():
			delete(e.byVM, vm)
		default:
		}
	}
	return len(e.byVM)
}
