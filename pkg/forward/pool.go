// Package forward sends requests to targets over kept connections and reads
// their answers. It decides nothing: what a failure means, and whether to send
// again, is its caller's matter.
package forward

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a new connection: links take a few ms, and the queue
	// of a crowded target drops the opening packet for a second.
	dialTimeout = 400 * time.Millisecond
	// MaxUnused is how long an unused connection is kept, below what targets
	// announce or keep without a word.
	MaxUnused = 4 * time.Second
	// maxKept is the number of unused connections kept to one target.
	maxKept         = 64
	readBufferBytes = 4 << 10
	// unackedTimeout is how long sent bytes may stay without an answer of the
	// peer's TCP before the connection counts as silent.
	unackedTimeout = 2500 * time.Millisecond
)

// Conn is one connection to a target. It carries one request at a time.
type Conn struct {
	nc      net.Conn
	r       *bufio.Reader
	address string
	idle    time.Time // when it was last put back
	limit   time.Duration
}

// Close drops the connection. The target stops work on the request it carries.
func (c *Conn) Close() { _ = c.nc.Close() }

// Pool keeps unused connections by address.
type Pool struct {
	// Dial opens a connection; tests replace it.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	kept map[string][]*Conn
}

// NewPool returns an empty pool that dials over TCP.
func NewPool() *Pool {
	return &Pool{Dial: dial, kept: make(map[string][]*Conn)}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: limitSilence}
	return dialer.DialContext(ctx, "tcp4", address)
}

// limitSilence sets how long the peer may leave sent bytes unacknowledged.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// Get returns a connection to address, a kept one that was unused for at most
// maxUnused, or a new one.
func (p *Pool) Get(ctx context.Context, address string, maxUnused time.Duration) (*Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Since(c.idle) <= min(c.limit, maxUnused) && c.alive() {
			return c, nil
		}
		c.Close()
	}
	nc, err := p.Dial(ctx, address)
	if err != nil {
		return nil, errors.Annotatef(err, "dialing %s", address)
	}
	return &Conn{nc: nc, r: bufio.NewReaderSize(nc, readBufferBytes), address: address, limit: MaxUnused}, nil
}

func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.kept[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.kept[address] = list[:len(list)-1]
	return c
}

// alive reports whether the target has neither closed the connection nor sent
// bytes that belong to no request.
func (c *Conn) alive() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	tcp, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = recvErr == unix.EAGAIN
	})
	return err == nil && quiet
}

// Put keeps a connection whose answer was read whole.
func (p *Pool) Put(c *Conn) {
	c.idle = time.Now()
	if err := c.nc.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	full := len(p.kept[c.address]) >= maxKept
	if !full {
		p.kept[c.address] = append(p.kept[c.address], c)
	}
	p.mu.Unlock()
	if full {
		c.Close()
	}
}

// Sweep closes the connections that were unused too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.kept {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idle) > c.limit {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.kept, address)
			continue
		}
		p.kept[address] = kept
	}
}

// Close closes the kept connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.kept {
		for _, c := range list {
			c.Close()
		}
		delete(p.kept, address)
	}
}
