package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	// slowEventBytes is the length of an event that a slow caller asks for. A stream of
	// them exceeds what the kernel holds for a connection.
	slowEventBytes = 100 << 10
	// slowBytesPerSecond is how fast slow callers read: a stream takes them 4 s.
	slowBytesPerSecond = 500 << 10
	slowReadBytes      = 16 << 10
	// stuckShare is the share of the streams of slow callers that stay unread for
	// stuckTime in their middle. Their engine and gateway may give them up.
	stuckShare = 0.1
	stuckTime  = 7 * time.Second
	// unreadTime is how long an engine lets a response stay unread.
	unreadTime = 3 * time.Second
)

// shrinkReceiveBuffer makes the kernel hold little of what a slow caller has not read.
func shrinkReceiveBuffer(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(2 * slowReadBytes) // without it the caller only seems faster
	}
}

// slowReader reads slowly, and not at all for a while once it has read stuckAt bytes.
type slowReader struct {
	io.Reader
	stuckAt int // 0 for never
	read    int
}

// newSlowReader returns a reader of a stream that is stuck with the probability of
// stuckShare, and whether it is.
func newSlowReader(r io.Reader, random *rand.Rand) (_ io.Reader, stuck bool) {
	s := &slowReader{Reader: r}
	if random.Float64() < stuckShare {
		s.stuckAt = 1 + random.IntN(streamLength*slowEventBytes/2)
	}
	return s, s.stuckAt > 0
}

// Read reads a few bytes and waits.
func (s *slowReader) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b[:min(len(b), slowReadBytes)])
	time.Sleep(time.Duration(n) * time.Second / slowBytesPerSecond)
	if s.stuckAt > 0 && s.read < s.stuckAt && s.read+n >= s.stuckAt {
		time.Sleep(stuckTime)
	}
	s.read += n
	return n, err
}

const (
	// lateBodyShare is the share of the bodies whose second half comes up to maxBodyDelay
	// after the first, in chunks.
	lateBodyShare = 0.2
	maxBodyDelay  = 900 * time.Millisecond
)

// newLateBody returns a body that is read with a delay in its middle.
func newLateBody(text string, random *rand.Rand) io.Reader {
	half, delay := len(text)/2, time.Duration(random.Int64N(int64(maxBodyDelay)))
	return io.MultiReader(strings.NewReader(text[:half]), delayedReader(delay), strings.NewReader(text[half:]))
}

// delayedReader ends after a time.
type delayedReader time.Duration

// Read waits and returns io.EOF.
func (d delayedReader) Read([]byte) (int, error) {
	time.Sleep(time.Duration(d))
	return 0, io.EOF
}
