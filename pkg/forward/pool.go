// Package forward sends requests to targets over pooled connections and reads their
// responses. It makes no decisions: the caller judges what a failure means and
// whether to retry.
package forward

import (
	"bufio"
	"context"
	"hash/maphash"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/socket"
)

const (
	// dialTimeout bounds the setup of a connection. It takes a few ms, but a target
	// with a full accept queue drops the SYN packet, which is sent again after a
	// second.
	dialTimeout = 400 * time.Millisecond
	// MaxIdle bounds how long a connection stays idle in the pool. It is below
	// the timeouts that targets announce or apply without announcing them.
	MaxIdle = 4 * time.Second
	// maxIdlePerTarget is the number of idle connections kept per target.
	maxIdlePerTarget = 64
	// readBufferBytes is also the largest head of a response.
	readBufferBytes = 4 << 10
	// maxUnserved is the number of attempts without success that a connection carries.
	maxUnserved = 64
	// unackedTimeout is how long sent bytes may stay unacknowledged before TCP
	// closes the connection.
	unackedTimeout = 2500 * time.Millisecond
)

// Conn is a connection to a target. It carries one request at a time.
type Conn struct {
	nc        net.Conn
	r         *bufio.Reader
	address   string
	idleSince time.Time     // when it was last returned to the pool
	idle      time.Duration // for how long, before its present request
	reused    bool          // it has carried another request
	maxIdle   time.Duration
	attempt   string // of the request in progress
	// unserved holds the hashes of the attempts that were answered without success. A
	// second copy of such a response names its attempt.
	unserved []uint64
	// peerClosed says that the target has closed the connection. A reset or a time-out may
	// be of this side alone.
	peerClosed atomic.Bool
	// ended says that a read or write failed because the connection was closed or reset.
	ended     atomic.Bool
	mu        sync.Mutex  // guards the read deadline from the abandonment on
	abandoned atomic.Bool // the request in progress was abandoned
	// unbind ends the binding to the request in progress.
	unbind func() bool
	// onStall is called when a read's deadline has passed.
	onStall func() (next time.Time, wait bool)
	// onStray is called for each response to another request.
	onStray func(status int, attempt string)
}

// Reused returns how long the connection was idle before its request, if it has carried
// another one.
func (c *Conn) Reused() (idle time.Duration, ok bool) { return c.idle, c.reused }

// OnStall sets the function that decides what happens when the deadline of a read
// has passed: it returns the next deadline, or false to let the read fail. Without
// one the read fails.
func (c *Conn) OnStall(f func() (next time.Time, wait bool)) { c.onStall = f }

// OnStray sets the function that is called for each response to another request that
// precedes the one that Receive returns. The attempt ID is empty if it names none.
func (c *Conn) OnStray(f func(status int, attempt string)) { c.onStray = f }

// stallReader reads from a Conn's connection, and lets onStall extend the deadline. It
// lies below the readers of a body, which cannot be used after an error.
type stallReader struct{ c *Conn }

// Read reads from the connection.
func (s stallReader) Read(b []byte) (int, error) {
	for {
		n, err := s.c.nc.Read(b)
		if s.c.abandoned.Load() {
			// The target may have ended a response because of the abandonment.
			return 0, os.ErrDeadlineExceeded
		}
		if err == io.EOF {
			s.c.peerClosed.Store(true)
		}
		s.c.observeEnd(err)
		if n > 0 || s.c.onStall == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		next, wait := s.c.onStall()
		if !wait {
			return n, err
		}
		if err := s.c.setReadDeadline(next); err != nil {
			return 0, err
		}
	}
}

// observeEnd records whether an error says that the connection has ended.
func (c *Conn) observeEnd(err error) {
	if err == io.EOF || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.ended.Store(true)
	}
}

// Ended reports whether the connection was closed or reset while the request was in progress,
// as it is when the target's process ends.
func (c *Conn) Ended() bool { return c.ended.Load() }

// Bind abandons the request in progress when ctx ends, until the connection is returned to
// the pool.
func (c *Conn) Bind(ctx context.Context) { c.unbind = context.AfterFunc(ctx, c.Abandon) }

// Close closes the connection, which makes the target stop its work on the request
// in progress.
func (c *Conn) Close() { _ = c.nc.Close() }

// Pool keeps idle connections by target address.
type Pool struct {
	// Dial opens a connection. Tests replace it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds the setup of a connection over TCP.
	DialTimeout time.Duration
	// Observe is called for each event of a connection, also while the pool is locked.
	Observe func(ConnEvent)

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool that dials over TCP.
func NewPool() *Pool {
	p := &Pool{DialTimeout: dialTimeout, Observe: func(ConnEvent) {}, idle: make(map[string][]*Conn)}
	p.Dial = p.dial
	return p
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: p.DialTimeout, KeepAlive: -1, Control: socket.UserTimeout(unackedTimeout)}
	return dialer.DialContext(ctx, "tcp4", address)
}

// Get returns a connection to address for an attempt: a pooled one that was idle for at
// most idleLimit and has not carried the attempt without success before, or else a new one.
// With a limit of 0 the connection is always new.
func (p *Pool) Get(ctx context.Context, address, attempt string, idleLimit time.Duration) (*Conn, error) {
	c, why := p.takeIdle(address, attempt, idleLimit)
	for ; c != nil; c, why = p.takeIdle(address, attempt, idleLimit) {
		if c.alive() {
			p.Observe(ConnReused)
			c.attempt = attempt
			return c, nil
		}
		p.Observe(ConnClosedByTarget)
		c.Close()
	}
	nc, err := p.Dial(ctx, address)
	if err != nil {
		p.Observe(ConnFailed)
		return nil, errors.Annotatef(err, "dialing %s", address)
	}
	p.Observe(why)
	c = &Conn{nc: nc, address: address, attempt: attempt, maxIdle: MaxIdle}
	c.r = bufio.NewReaderSize(stallReader{c}, readBufferBytes)
	return c, nil
}

// takeIdle takes the connection that was used last out of the pool, or returns why a new one
// is needed. One that was idle for too long only for this request stays for others, and one
// that has left the attempt unserved is closed.
func (p *Pool) takeIdle(address, attempt string, idleLimit time.Duration) (*Conn, ConnEvent) {
	if idleLimit <= 0 {
		return nil, ConnNewRequired
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for why := ConnNew; ; {
		list := p.idle[address]
		if len(list) == 0 {
			return nil, why
		}
		c := list[len(list)-1]
		idle := time.Since(c.idleSince)
		if idle <= c.maxIdle && idle > idleLimit {
			return nil, ConnNewForOld
		}
		p.idle[address] = list[:len(list)-1]
		switch {
		case idle > c.maxIdle:
			p.Observe(ConnExpired)
		case c.leftUnserved(attempt):
			why = ConnNewForRepeat
		default:
			c.idle = idle
			return c, ConnReused
		}
		c.Close()
	}
}

// attemptSeed is the seed of the hashes of attempts.
var attemptSeed = maphash.MakeSeed()

// recordUnserved records that the attempt in progress was answered without success. It
// reports whether the connection can carry another one.
func (c *Conn) recordUnserved() bool {
	c.unserved = append(c.unserved, maphash.String(attemptSeed, c.attempt))
	return len(c.unserved) < maxUnserved
}

// leftUnserved reports whether the attempt was answered without success on this connection.
// Then a response that names it may be a second copy of that answer.
func (c *Conn) leftUnserved(attempt string) bool {
	return len(c.unserved) > 0 && slices.Contains(c.unserved, maphash.String(attemptSeed, attempt))
}

// alive reports whether the target has neither closed the connection nor sent bytes
// that belong to no request.
func (c *Conn) alive() bool { return c.r.Buffered() == 0 && socket.Quiet(c.nc) }

// Put returns a connection to the pool, after the whole response was read. The request no
// longer closes it.
func (p *Pool) Put(c *Conn) {
	if c.unbind != nil && !c.unbind() {
		p.Observe(ConnAbandoned)
		c.Close()
		return
	}
	c.unbind = nil
	c.idleSince, c.reused, c.onStall, c.onStray = time.Now(), true, nil, nil
	if err := c.nc.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	full := len(p.idle[c.address]) >= maxIdlePerTarget
	if !full {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if full {
		p.Observe(ConnSurplus)
		c.Close()
	}
}

// Sweep closes the connections that were idle for too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) > c.maxIdle {
				p.Observe(ConnExpired)
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, address)
	}
}
