package orderer

import (
	"sync"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
)

// entrySet holds the entries that have a link to this process. Grant replies carry
// its size, which tells entries how many of them there are without a further call.
type entrySet struct {
	mu   sync.Mutex
	byVM map[ident.VM]*link.Conn
}

// add records the entry at the other end of a link and returns the number of
// linked entries.
func (e *entrySet) add(c *link.Conn) int {
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
