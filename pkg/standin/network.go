package standin

import (
	"context"
	"net"
	"sync"

	"github.com/juju/errors"
)

// Network is an in-memory network between processes. Tests can cut links and
// kill or pause processes.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     map[*memoryConn]bool
	cut       map[link]bool
	gates     map[string]*gate
}

// link is a pair of processes in sorted order, the same for both directions.
type link struct{ a, b string }

func linkBetween(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*memoryListener), conns: make(map[*memoryConn]bool),
		cut: make(map[link]bool), gates: make(map[string]*gate),
	}
}

// gate blocks the reads, writes and dials of a paused process.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed unless the process is paused
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

func (n *Network) gate(process string) *gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := n.gates[process]
	if g == nil {
		g = &gate{open: make(chan struct{})}
		close(g.open)
		n.gates[process] = g
	}
	return g
}

// Wait blocks while the process is paused.
func (n *Network) Wait(process string) { n.gate(process).wait() }

// Pause blocks all sends and receives of the process.
func (n *Network) Pause(process string) {
	g := n.gate(process)
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		g.open = make(chan struct{})
	default:
	}
}

// Resume ends a pause of the process.
func (n *Network) Resume(process string) {
	g := n.gate(process)
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

// Listen opens a process's listener. Its address is the name of the process.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.AlreadyExistsf("listener at %s", address)
	}
	l := &memoryListener{network: n, address: address, queue: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial opens a connection from one process to the listener of another.
func (n *Network) Dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.Wait(from)
	n.mu.Lock()
	l := n.listeners[to]
	refused := l == nil || n.cut[linkBetween(from, to)]
	n.mu.Unlock()
	if refused {
		return nil, errors.Errorf("connection to %s refused", to)
	}
	local, remote := net.Pipe()
	a := n.add(local, from, to)
	b := n.add(remote, to, from)
	select {
	case l.queue <- b:
		return a, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = a.Close()
	_ = b.Close()
	return nil, errors.Errorf("connection to %s refused", to)
}

func (n *Network) add(c net.Conn, owner, peer string) *memoryConn {
	m := &memoryConn{Conn: c, network: n, owner: owner, link: linkBetween(owner, peer), gate: n.gate(owner)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[m] = true
	return m
}

// Cut closes the connections between two processes and refuses new ones.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	n.cut[linkBetween(a, b)] = true
	n.mu.Unlock()
	n.closeConns(func(c *memoryConn) bool { return c.link == linkBetween(a, b) })
}

// Heal undoes Cut.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, linkBetween(a, b))
}

// Kill closes a process's listener and connections.
func (n *Network) Kill(process string) {
	n.Resume(process)
	n.mu.Lock()
	l := n.listeners[process]
	n.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	n.closeConns(func(c *memoryConn) bool { return c.link.a == process || c.link.b == process })
}

func (n *Network) closeConns(match func(*memoryConn) bool) {
	n.mu.Lock()
	var matching []*memoryConn
	for c := range n.conns {
		if match(c) {
			matching = append(matching, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matching {
		_ = c.Close()
	}
}

type memoryConn struct {
	net.Conn
	network *Network
	owner   string
	link    link
	gate    *gate
}

func (c *memoryConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.gate.wait()
	return n, err
}

func (c *memoryConn) Write(b []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(b)
}

func (c *memoryConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

type memoryListener struct {
	network *Network
	address string
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
	})
	return nil
}

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }
