package standin

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// LinkMode is the fault that a proxy injects into its connections.
type LinkMode string

// The modes of a link.
const (
	LinkOpen   LinkMode = "open"
	LinkCut    LinkMode = "cut"     // connections are closed and refused
	LinkStall  LinkMode = "stall"   // connections stay open but carry no data
	LinkDelay  LinkMode = "delay"   // data is delayed by linkDelay
	LinkOneWay LinkMode = "one-way" // no data reaches the client
)

// linkDelay is far above a round trip and below the timeouts of most calls.
const linkDelay = 150 * time.Millisecond

// Proxy forwards TCP connections to one process and injects network faults.
type Proxy struct {
	listen, to string

	mu          sync.Mutex
	listener    net.Listener
	mode        LinkMode
	modeChanged chan struct{} // closed and replaced when the mode changes
	conns       map[net.Conn]bool
}

// NewProxy starts a proxy from a listen address to another address.
func NewProxy(listen, to string) (*Proxy, error) {
	p := &Proxy{listen: listen, to: to, mode: LinkOpen, modeChanged: make(chan struct{}), conns: make(map[net.Conn]bool)}
	return p, p.Listen()
}

// Listen accepts connections, also again after Refuse.
func (p *Proxy) Listen() error {
	listener, err := net.Listen("tcp", p.listen)
	if err != nil {
		return errors.Trace(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = listener
	go p.accept(listener)
	return nil
}

// Refuse closes the current connections and the listener, as the end of a process does.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	p.closeAll()
}

// SetMode sets the fault that the proxy injects.
func (p *Proxy) SetMode(m LinkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if m == LinkCut {
		p.closeAll()
	}
}

// Reset closes the current connections. New connections are accepted.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

func (p *Proxy) closeAll() {
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) state() (LinkMode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.modeChanged
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		if mode, _ := p.state(); mode == LinkCut {
			_ = client.Close()
			continue
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	upstream, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = client.Close()
		return
	}
	limitBuffers(client)
	limitBuffers(upstream)
	p.track(client, true)
	p.track(upstream, true)
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{client, upstream}, {upstream, client}} {
		go func() {
			if p.copy(pair[0], pair[1], pair[0] == upstream) != io.EOF || closeWrite(pair[1]) != nil {
				_ = client.Close()
				_ = upstream.Close()
			}
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	_ = client.Close()
	_ = upstream.Close()
	p.track(client, false)
	p.track(upstream, false)
}

func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// proxySocketBytes is what the kernel holds for each direction of a proxy's connections. A
// network holds little; by default it is several MB, which hides a peer that does not read.
const proxySocketBytes = 64 << 10

func limitBuffers(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(proxySocketBytes) // without it the proxy only holds more
		_ = tcp.SetWriteBuffer(proxySocketBytes)
	}
}

// closeWrite ends one direction of a connection.
func closeWrite(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return errors.NotSupportedf("end of one direction of a %T", c)
	}
	return errors.Trace(tcp.CloseWrite())
}

const proxyBufferBytes = 16 << 10

// copy copies data until from ends, and returns io.EOF then, or until another error.
func (p *Proxy) copy(from, to net.Conn, toClient bool) error {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		mode, modeChanged := p.state()
		for ; mode == LinkStall || mode == LinkOneWay && toClient; mode, modeChanged = p.state() {
			<-modeChanged
		}
		if mode == LinkDelay {
			time.Sleep(linkDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return errors.Trace(err)
			}
		}
		if err != nil {
			return err
		}
	}
}

// Proxies are the proxies of a deployment, keyed by the name of the process that
// they forward to.
type Proxies map[string]*Proxy

// Register adds the HTTP route for link faults to the router.
func (p Proxies) Register(r *router.Router) {
	r.POST("/faults/link", func(ctx *fasthttp.RequestCtx) {
		var f struct {
			Name string   `json:"name"`
			Mode LinkMode `json:"mode"`
		}
		if !readJSON(ctx, &f) {
			return
		}
		proxy, ok := p[f.Name]
		if !ok {
			ctx.Error("unknown proxy", fasthttp.StatusNotFound)
			return
		}
		proxy.SetMode(f.Mode)
	})
}
