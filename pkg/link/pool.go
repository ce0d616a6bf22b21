package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"
)

const (
	dialTimeout       = 2 * time.Second
	firstRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff   = 2 * time.Second
)

// Pool keeps one connection to each peer address. It redials failed connections
// with jittered exponential backoff.
type Pool struct {
	Self     Identity
	Handlers Handlers
	// Dial opens the transport; tests replace it.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	mu      sync.Mutex
	conn    *Conn
	dialing chan struct{} // closed when the current dial ends; nil without one
	backoff *backoff.ExponentialBackOff
	retryAt time.Time
	lastErr error
}

// NewPool returns a pool that dials over TCP.
func NewPool(self Identity, handlers Handlers) *Pool {
	return &Pool{Self: self, Handlers: handlers, Dial: DialTCP, peers: make(map[string]*peer)}
}

// DialTCP opens a TCP connection.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Get returns the open connection to address, dialing if there is none. During
// the backoff after a failed dial it returns that dial's error at once.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	pr := p.peer(address)
	for {
		conn, wait, err := p.try(pr, address)
		if wait == nil {
			return conn, errors.Annotatef(err, "link to %s", address)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, errors.Annotatef(ctx.Err(), "link to %s", address)
		}
	}
}

// try returns a connection, an error, or a channel that is closed when the
// current dial ends.
func (p *Pool) try(pr *peer, address string) (*Conn, <-chan struct{}, error) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn != nil && pr.conn.ctx.Err() == nil {
		return pr.conn, nil, nil
	}
	if pr.dialing != nil {
		return nil, pr.dialing, nil
	}
	if time.Now().Before(pr.retryAt) {
		return nil, nil, errors.Annotate(pr.lastErr, "backing off")
	}
	pr.dialing = make(chan struct{})
	go p.dial(pr, address)
	return nil, pr.dialing, nil
}

func (p *Pool) dial(pr *peer, address string) {
	conn, err := p.connect(address)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	close(pr.dialing)
	pr.dialing = nil
	pr.conn = conn
	if err != nil {
		pr.lastErr = err
		pr.retryAt = time.Now().Add(pr.backoff.NextBackOff())
		return
	}
	pr.backoff.Reset()
}

func (p *Pool) peer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr, ok := p.peers[address]
	if !ok {
		b := backoff.NewExponentialBackOff()
		b.InitialInterval = firstRetryBackoff
		b.MaxInterval = maxRetryBackoff
		pr = &peer{backoff: b}
		p.peers[address] = pr
	}
	return pr
}

func (p *Pool) connect(address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	nc, err := p.Dial(ctx, address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return Client(nc, p.Self, p.Handlers)
}

// Drop closes the connection to address, which ends calls that wait for an
// unresponsive peer.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	pr := p.peers[address]
	p.mu.Unlock()
	if pr != nil {
		pr.close()
	}
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pr := range p.peers {
		pr.close()
		delete(p.peers, address)
	}
}

func (pr *peer) close() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn != nil {
		pr.conn.Close()
	}
}

// Serve accepts connections until the listener is closed.
func Serve(l net.Listener, self Identity, handlers Handlers, logger log.Logger) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		go func() {
			if _, err := Server(nc, self, handlers); err != nil {
				_ = level.Warn(logger).Log("msg", "link handshake failed", "remote", nc.RemoteAddr(), "err", err)
			}
		}()
	}
}
