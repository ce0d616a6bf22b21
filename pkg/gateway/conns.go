package gateway

import (
	"sync"
	"time"
)

// connTable holds the callers' connections and the requests that they carry.
type connTable struct {
	mu    sync.Mutex
	conns map[*callerConn]connState
}

// connPhase is what a connection is at.
type connPhase uint8

const (
	connIdle        connPhase = iota // it waits for a request
	connReading                      // the first byte of a request has arrived
	connReadingBody                  // its head has
	connServing                      // the whole request has
)

type connState struct {
	phase    connPhase
	exchange *exchange // set once the request has a route
	unread   *request  // set while its complete response is held for the caller
}

func newConnTable() *connTable { return &connTable{conns: make(map[*callerConn]connState)} }

// set records what a connection is at.
func (t *connTable) set(c *callerConn, p connPhase) { t.setState(c, connState{phase: p}) }

// setExchange records the exchange that a connection serves.
func (t *connTable) setExchange(c *callerConn, x *exchange) {
	t.setState(c, connState{phase: connServing, exchange: x})
}

// setUnread records that the complete response to a request is held for the caller.
func (t *connTable) setUnread(c *callerConn, q *request) {
	t.setState(c, connState{phase: connServing, unread: q})
}

// unread returns the requests whose complete responses are held for their callers.
func (t *connTable) unread() (out []*request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.conns {
		if s.unread != nil {
			out = append(out, s.unread)
		}
	}
	return out
}

func (t *connTable) setState(c *callerConn, s connState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = s
}

func (t *connTable) remove(c *callerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// exchanges returns the exchanges in progress.
func (t *connTable) exchanges() []*exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*exchange
	for _, s := range t.conns {
		if s.exchange != nil {
			out = append(out, s.exchange)
		}
	}
	return out
}

// unserved returns the number of idle connections that have carried no request yet.
func (t *connTable) unserved() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for c, s := range t.conns {
		if s.phase == connIdle && !c.served {
			n++
		}
	}
	return n
}

// closeIdle closes served connections that wait for another request. One whose next
// request has arrived meanwhile still serves it.
func (t *connTable) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, s := range t.conns {
		if s.phase == connIdle && c.served {
			_ = c.nc.SetReadDeadline(time.Now())
		}
	}
}

// endReads ends the reads of requests that are in a phase.
func (t *connTable) endReads(p connPhase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, s := range t.conns {
		if s.phase == p {
			_ = c.nc.SetReadDeadline(time.Now())
		}
	}
}
