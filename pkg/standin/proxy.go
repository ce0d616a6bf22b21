package standin

import (
	"net"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// LinkMode is what a proxy does with its connections.
type LinkMode string

// The modes.
const (
	LinkOpen   LinkMode = "open"
	LinkCut    LinkMode = "cut"     // connections are closed and refused
	LinkStall  LinkMode = "stall"   // connections stay open and carry nothing
	LinkDelay  LinkMode = "delay"   // what is carried comes late
	LinkOneWay LinkMode = "one-way" // nothing is carried back to who connected
)

// linkDelay is far above a round trip and below the time-outs of most calls.
const linkDelay = 150 * time.Millisecond

// Proxy forwards TCP connections to one process, as a network that can fail.
type Proxy struct {
	to       string
	listener net.Listener

	mu    sync.Mutex
	mode  LinkMode
	moved chan struct{} // closed at each change of mode
	conns map[net.Conn]bool
}

// NewProxy forwards connections from a listen address to another address.
func NewProxy(listen, to string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Proxy{to: to, listener: listener, mode: LinkOpen, moved: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// SetMode switches the proxy's fault.
func (p *Proxy) SetMode(m LinkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.moved)
	p.moved = make(chan struct{})
	if m == LinkCut {
		p.closeAll()
	}
}

// Reset closes the connections; new ones work.
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
	return p.mode, p.moved
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode, _ := p.state(); mode == LinkCut {
			_ = near.Close()
			continue
		}
		go p.join(near)
	}
}

func (p *Proxy) join(near net.Conn) {
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = near.Close()
		return
	}
	p.track(near, true)
	p.track(far, true)
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			p.copy(pair[0], pair[1], pair[0] == far)
			done <- struct{}{}
		}()
	}
	<-done
	_ = near.Close()
	_ = far.Close()
	p.track(near, false)
	p.track(far, false)
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

const proxyBufferBytes = 16 << 10

func (p *Proxy) copy(from, to net.Conn, back bool) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		mode, moved := p.state()
		for ; mode == LinkStall || mode == LinkOneWay && back; mode, moved = p.state() {
			<-moved
		}
		if mode == LinkDelay {
			time.Sleep(linkDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Proxies are the proxies of a deployment by the name of what they lead to.
type Proxies map[string]*Proxy

// Register serves the proxies' faults.
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
			ctx.Error("no proxy of that name", fasthttp.StatusNotFound)
			return
		}
		proxy.SetMode(f.Mode)
	})
}
