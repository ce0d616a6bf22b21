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

// add records the entry at the other end of a link. It returns the number of linked
// entries and whether the link is new.
func (e *entrySet) add(c *link.Conn) (n int, isNew bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byVM == nil {
		e.byVM = make(map[ident.VM]*link.Conn)
	}
	isNew = e.byVM[c.Peer.VM] != c
	e.byVM[c.Peer.VM] = c
	for vm, other := range e.byVM {
		select {
		case <-other.Done():
			delete(e.byVM, vm)
		default:
		}
	}
	return len(e.byVM), isNew
}

// all returns the links to the entries.
func (e *entrySet) all() []*link.Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*link.Conn, 0, len(e.byVM))
	for _, c := range e.byVM {
		out = append(out, c)
	}
	return out
}
