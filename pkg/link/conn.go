package link

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	readBufferBytes   = 4 << 10
	writeBufferLimit  = 8 << 20
	streamBufferLimit = 8 << 20
	maxStreams        = 16 << 10
	writeTimeout      = 10 * time.Second
)

// Liveness configures how soon a link detects an unresponsive peer.
type Liveness struct {
	// Ping is the interval between pings. Silence is the time without any frame
	// after which the peer is considered dead or unreachable.
	Ping, Silence time.Duration
	// Idle replaces Ping while no stream is open, if it is longer: no request
	// then waits for the peer. An idle link fails after maxMissedIdlePings
	// intervals without a frame.
	Idle time.Duration
}

// notBusy is the value of busySince while no stream is open.
const notBusy = -1

// maxMissedIdlePings is the number of idle pings that may be missed.
const maxMissedIdlePings = 3

// GrantLiveness is for links on which requests wait for a grant. It detects an
// unresponsive peer within Silence plus one Ping while a request waits, since these
// requests have latency objectives of about a second. A ping is a frame of 9 bytes.
var GrantLiveness = Liveness{Ping: 700 * time.Millisecond, Silence: 2 * time.Second, Idle: 5 * time.Second}

// defaultLiveness pings rarely to keep the links of a large fleet cheap.
var defaultLiveness = Liveness{Ping: 5 * time.Second, Silence: 15 * time.Second}

// ErrClosed is returned by calls on a closed connection.
const ErrClosed = errors.ConstError("link closed")

// ErrPeer is the type of an error that the peer reported.
const ErrPeer = errors.ConstError("peer fault")

// Handler serves one stream that the peer opened. The stream ends when it
// returns; ctx ends when the peer cancels or the connection is lost.
type Handler func(ctx context.Context, s *Stream, f Frame) error

// Handlers maps the kind of a stream's first frame to its handler.
type Handlers map[Kind]Handler

// Conn is one multiplexed connection to a peer. Streams opened by the dialing
// side have odd numbers, the others even ones.
type Conn struct {
	Peer wire.Hello

	nc       net.Conn
	r        *bufio.Reader
	handlers Handlers
	ctx      context.Context
	cancel   context.CancelCauseFunc

	mu      sync.Mutex
	streams map[uint32]*Stream
	next    uint32
	parity  uint32 // parity of the stream numbers that this side opens

	liveness Liveness
	pinged   time.Time // time of the last ping; used by pingTimer only
	// pingTimer calls ping at regular times. It is stopped under mu.
	pingTimer *time.Timer
	// now reads the clock. Times are kept as durations since opened, which the
	// monotonic clock measures: the wall clock may jump.
	now    func() time.Time
	opened time.Time
	// busySince is when the link last went from no open stream to one, in ns since
	// opened; notBusy while no stream is open.
	busySince atomic.Int64

	lastReceived atomic.Int64 // when the last frame arrived, in ns since opened

	outMu   sync.Mutex
	pending []byte
	wake    chan struct{}
}

func newConn(nc net.Conn, self Identity, handlers Handlers, dialer bool) (*Conn, error) {
	r := bufio.NewReaderSize(nc, readBufferBytes)
	peer, err := handshake(nc, r, self, dialer)
	if err != nil {
		_ = nc.Close()
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &Conn{
		Peer: peer, nc: nc, r: r, handlers: handlers,
		ctx: ctx, cancel: cancel,
		streams:  make(map[uint32]*Stream),
		next:     2,
		wake:     make(chan struct{}, 1),
		liveness: self.Liveness,
		now:      self.now,
	}
	if c.now == nil {
		c.now = time.Now
	}
	c.opened = c.now()
	c.busySince.Store(notBusy)
	if c.liveness == (Liveness{}) {
		c.liveness = defaultLiveness
	}
	if dialer {
		c.next = 1
	}
	c.parity = c.next % 2
	c.startPings()
	go c.readLoop()
	go c.writeLoop()
	return c, nil
}

// Client performs the dialing side's handshake on nc. It closes nc on error.
func Client(nc net.Conn, self Identity, handlers Handlers) (*Conn, error) {
	return newConn(nc, self, handlers, true)
}

// Server performs the accepting side's handshake on nc. It closes nc on error.
func Server(nc net.Conn, self Identity, handlers Handlers) (*Conn, error) {
	return newConn(nc, self, handlers, false)
}

// Reads reports whether the peer reads frames of the kind. A peer of an earlier
// release closes the connection when it receives one that it does not know.
func (c *Conn) Reads(k Kind) bool { return uint8(k) <= c.Peer.NewestKind }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// Close ends the connection and all its streams.
func (c *Conn) Close() { c.fail(ErrClosed) }

func (c *Conn) fail(err error) {
	c.cancel(err)
	_ = c.nc.Close()
	c.mu.Lock()
	c.pingTimer.Stop()
	streams := c.streams
	c.streams = nil
	c.mu.Unlock()
	for _, s := range streams {
		s.end(err)
	}
}

// Traffic counts the bytes and frames carried by the links of this process.
type Traffic struct {
	BytesIn, BytesOut, FramesIn, FramesOut int64
}

var traffic struct {
	bytesIn, bytesOut, framesIn, framesOut atomic.Int64
}

// CountTraffic returns the totals over all links since the process started.
func CountTraffic() Traffic {
	return Traffic{
		BytesIn: traffic.bytesIn.Load(), BytesOut: traffic.bytesOut.Load(),
		FramesIn: traffic.framesIn.Load(), FramesOut: traffic.framesOut.Load(),
	}
}

func (c *Conn) readLoop() {
	for {
		f, err := ReadFrame(c.r)
		if err != nil {
			c.fail(errors.Wrap(err, ErrClosed))
			return
		}
		c.lastReceived.Store(c.age())
		traffic.framesIn.Add(1)
		traffic.bytesIn.Add(int64(headerBytes + len(f.Body)))
		if err := c.dispatch(f); err != nil {
			c.fail(err)
			return
		}
	}
}

func (c *Conn) dispatch(f Frame) error {
	c.mu.Lock()
	s, known := c.streams[f.Stream]
	c.mu.Unlock()
	switch {
	case known:
		s.deliver(f)
		return nil
	case f.Kind == KindPing, f.Kind == KindCancel, f.Kind == KindEnd, f.Kind == KindFault, f.Stream%2 == c.parity:
		return nil // a ping, or a late frame of a stream that has ended
	}
	handler, ok := c.handlers[f.Kind]
	if !ok {
		// A late frame of a stream that has ended looks like a request of a kind
		// without a handler, so both are answered with a fault.
		return c.send(KindFault, f.Stream, &wire.Fault{Reason: "unserved frame kind"})
	}
	return c.serve(handler, f)
}

func (c *Conn) serve(handler Handler, f Frame) error {
	s := c.newStream(f.Stream)
	c.mu.Lock()
	full := len(c.streams) >= maxStreams
	if !full && c.streams != nil {
		c.streams[f.Stream] = s
		c.updateBusySince()
	}
	c.mu.Unlock()
	if full {
		return c.send(KindFault, f.Stream, &wire.Fault{Reason: "too many streams"})
	}
	go func() {
		err := handler(s.ctx, s, f)
		if err != nil {
			_ = c.send(KindFault, f.Stream, &wire.Fault{Reason: err.Error()})
		} else {
			_ = c.send(KindEnd, f.Stream, nil)
		}
		c.removeStream(s)
	}()
	return nil
}

func (c *Conn) newStream(id uint32) *Stream {
	s := &Stream{c: c, id: id, ready: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancelCause(c.ctx)
	return s
}

func (c *Conn) removeStream(s *Stream) {
	c.mu.Lock()
	delete(c.streams, s.id)
	c.updateBusySince()
	c.mu.Unlock()
	s.cancel(context.Canceled)
}

// Open opens a stream by sending its first message.
func (c *Conn) Open(kind Kind, m Message) (*Stream, error) {
	c.mu.Lock()
	if c.streams == nil {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	if len(c.streams) >= maxStreams {
		c.mu.Unlock()
		return nil, errors.QuotaLimitExceededf("open streams on link")
	}
	s := c.newStream(c.next)
	c.next += 2
	c.streams[s.id] = s
	c.updateBusySince()
	c.mu.Unlock()
	if err := c.send(kind, s.id, m); err != nil {
		c.removeStream(s)
		return nil, errors.Trace(err)
	}
	return s, nil
}

// Call opens a stream, waits for its single reply and decodes it into reply.
func (c *Conn) Call(ctx context.Context, kind Kind, m Message, want Kind, reply Decodable) error {
	s, err := c.Open(kind, m)
	if err != nil {
		return errors.Trace(err)
	}
	defer s.Close()
	f, err := s.Receive(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if f.Kind != want {
		return errors.NotValidf("reply kind %d", f.Kind)
	}
	_, err = reply.UnmarshalMsg(f.Body)
	return errors.Trace(err)
}

func (c *Conn) send(kind Kind, stream uint32, m Message) error {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	if c.ctx.Err() != nil {
		return ErrClosed
	}
	if len(c.pending) > writeBufferLimit {
		return errors.QuotaLimitExceededf("unsent bytes on link to %q", c.Peer.VM)
	}
	before := len(c.pending)
	b, err := AppendFrame(c.pending, kind, stream, m)
	c.pending = b
	traffic.framesOut.Add(1)
	traffic.bytesOut.Add(int64(len(b) - before))
	if err != nil {
		return errors.Trace(err)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

func (c *Conn) writeLoop() {
	var spare []byte
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.wake:
		}
		c.outMu.Lock()
		batch := c.pending
		c.pending = spare[:0]
		c.outMu.Unlock()
		if err := c.write(batch); err != nil {
			c.fail(errors.Wrap(err, ErrClosed))
			return
		}
		spare = batch
		if cap(spare) > 1<<20 {
			spare = nil
		}
	}
}

// Ping sends a ping at once.
func (c *Conn) Ping() error { return c.send(KindPing, 0, nil) }

// LastReceived returns when the last frame arrived.
func (c *Conn) LastReceived() time.Time {
	return c.opened.Add(time.Duration(c.lastReceived.Load()))
}

// age returns the time since the connection was opened, in ns.
func (c *Conn) age() int64 { return int64(c.now().Sub(c.opened)) }

// updateBusySince records whether streams are open. The caller holds mu.
func (c *Conn) updateBusySince() {
	switch {
	case len(c.streams) == 0:
		c.busySince.Store(notBusy)
	case c.busySince.Load() == notBusy:
		c.busySince.Store(c.age())
	}
}

func (c *Conn) write(b []byte) error {
	if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.nc.Write(b)
	return err
}
