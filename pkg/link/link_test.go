package link

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/clocktest"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

func identity(secret string) Identity {
	return Identity{Role: wire.RoleEntry, VM: "vm", Secret: []byte(secret)}
}

// queryHandlers answers attempt queries with the length of the attempt's
// identifier as the status, and fails the query of the attempt "fail".
var queryHandlers = Handlers{
	KindAttemptQuery: func(_ context.Context, s *Stream, f Frame) error {
		var q wire.AttemptQuery
		if _, err := q.UnmarshalMsg(f.Body); err != nil {
			return err
		}
		if q.Attempt == "fail" {
			return errors.New("requested failure")
		}
		return s.Send(KindAttemptReply, &wire.AttemptReply{Answer: wire.StoredAnswer{Status: len(q.Attempt)}})
	},
}

func listen(t *testing.T, secret string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = Serve(l, identity(secret), queryHandlers, log.NewNopLogger()) }()
	return l.Addr().String()
}

func queryAttempt(c *Conn, attempt ident.Attempt) (wire.AttemptReply, error) {
	var reply wire.AttemptReply
	err := c.Call(context.Background(), KindAttemptQuery, &wire.AttemptQuery{Attempt: attempt}, KindAttemptReply, &reply)
	return reply, err
}

func TestRefusesPeerWithWrongSecret(t *testing.T) {
	scenarios := []struct {
		name, secret string
		refused      bool
	}{
		{"same secret", "right", false},
		{"other secret", "wrong", true},
		{"no secret", "", true},
	}
	address := listen(t, "right")
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			pool := NewPool(identity(s.secret), nil)
			defer pool.Close()
			_, err := pool.Get(context.Background(), address)
			require.Equal(t, s.refused, err != nil)
		})
	}
}

func TestMalformedFrameClosesOnlyItsConnection(t *testing.T) {
	address := listen(t, "right")
	pool := NewPool(identity("right"), nil)
	defer pool.Close()
	good, err := pool.Get(context.Background(), address)
	require.NoError(t, err)
	for _, garbage := range []string{"\xff\xff\xff\xff\x06\x00\x00\x00\x01", "\x00\x00\x00\x02\xee\x00\x00\x00\x01ab", "\x00\x00"} {
		nc, err := net.Dial("tcp", address)
		require.NoError(t, err)
		bad, err := Client(nc, identity("right"), nil)
		require.NoError(t, err)
		_, err = nc.Write([]byte(garbage))
		require.NoError(t, err)
		if garbage == "\x00\x00" {
			require.NoError(t, nc.Close())
		}
		<-bad.Done()
	}
	reply, err := queryAttempt(good, "a")
	require.NoError(t, err)
	require.Equal(t, 1, reply.Answer.Status)
}

func TestCallReturnsPeerFault(t *testing.T) {
	pool := NewPool(identity("right"), nil)
	defer pool.Close()
	c, err := pool.Get(context.Background(), listen(t, "right"))
	require.NoError(t, err)
	var reply wire.AttemptReply
	err = c.Call(context.Background(), KindAttemptQuery, &wire.AttemptQuery{Attempt: "fail"}, KindAttemptReply, &reply)
	require.ErrorIs(t, err, ErrPeer)
	err = c.Call(context.Background(), KindClaim, &wire.Claim{}, KindClaimReply, &wire.ClaimReply{})
	require.ErrorIs(t, err, ErrPeer)
}

func TestPoolBacksOffAfterFailedDial(t *testing.T) {
	pool := NewPool(identity("right"), nil)
	dials := 0
	pool.Dial = func(context.Context, string) (net.Conn, error) {
		dials++
		return nil, errors.New("refused")
	}
	for range 5 {
		_, err := pool.Get(context.Background(), "peer")
		require.Error(t, err)
	}
	require.Equal(t, 1, dials)
}

func TestOversizedMessageIsRejectedBeforeSending(t *testing.T) {
	pool := NewPool(identity("right"), nil)
	defer pool.Close()
	c, err := pool.Get(context.Background(), listen(t, "right"))
	require.NoError(t, err)
	_, err = c.Open(KindSubmit, &wire.Submit{Prompt: strings.Repeat("x", MaxFrameBytes+1)})
	require.ErrorIs(t, err, errors.NotValid)
	_, err = queryAttempt(c, "a")
	require.NoError(t, err)
}

func TestCallEndsWithContext(t *testing.T) {
	near, far := net.Pipe()
	go func() {
		_, _ = Server(far, identity("right"), Handlers{KindHeartbeat: func(ctx context.Context, _ *Stream, _ Frame) error {
			<-ctx.Done()
			return nil
		}})
	}()
	c, err := Client(near, identity("right"), nil)
	require.NoError(t, err)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	err = c.Call(ctx, KindHeartbeat, &wire.Heartbeat{}, KindHeartbeatAck, &wire.HeartbeatAck{})
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

func FuzzReadFrame(f *testing.F) {
	valid, err := AppendFrame(nil, KindClaim, 7, &wire.Claim{Key: "k"})
	require.NoError(f, err)
	f.Add(valid)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrame(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(frame.Body), len(data))
		for _, m := range []Decodable{&wire.Submit{}, &wire.Event{}, &wire.Heartbeat{}, &wire.ConfigDelta{}, &wire.Claim{}} {
			_, _ = m.UnmarshalMsg(frame.Body)
		}
	})
}

// Guards against a link that pings often while idle, or that detects an
// unresponsive peer too late while a stream waits.
func TestDetectsSilentPeerWhileStreamIsOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		live := Liveness{Ping: 700 * time.Millisecond, Silence: 2 * time.Second, Idle: 5 * time.Second}
		frozen := make(chan struct{})
		peer := make(chan *Conn, 1)
		go func() {
			c, err := Server(far, Identity{Role: wire.RoleAgent, VM: "b", Liveness: live}, Handlers{
				KindGrantRequest: func(context.Context, *Stream, Frame) error { <-frozen; return nil },
			})
			require.NoError(t, err)
			peer <- c
		}()
		c, err := Client(&droppingConn{Conn: near}, Identity{Role: wire.RoleEntry, VM: "a", Liveness: live}, nil)
		require.NoError(t, err)
		before := CountTraffic().FramesOut
		time.Sleep(30 * time.Second)
		require.NoError(t, c.ctx.Err(), "an idle link stays open")
		require.Less(t, CountTraffic().FramesOut-before, int64(16), "both sides ping every 5 s")
		c.nc.(*droppingConn).dropping.Store(true)
		_, err = c.Open(KindGrantRequest, &wire.GrantRequest{})
		require.NoError(t, err)
		time.Sleep(3500 * time.Millisecond)
		require.Error(t, c.ctx.Err(), "silent for more than 2 s")
		close(frozen)
		(<-peer).Close()
		time.Sleep(time.Minute)
	})
}

// droppingConn is a connection that can drop everything it receives.
type droppingConn struct {
	net.Conn
	dropping atomic.Bool
}

// Read discards the data that it reads while dropping is set.
func (c *droppingConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.dropping.Load() {
			return n, err
		}
	}
}

// jumpingClock is a clock whose wall clock jumps at will. Times read in a synctest
// bubble have no monotonic reading, so it adds the bubble's time to that of a time
// read outside.
type jumpingClock struct {
	outside time.Time
	started time.Time
	offset  atomic.Int64
}

func (j *jumpingClock) now() time.Time {
	return clocktest.Jump(j.outside.Add(time.Since(j.started)), time.Duration(j.offset.Load()))
}

// The wall clocks of two processes jump against each other, forward and back, while
// the link is idle and while a stream is open. The link stays up, and it still detects
// a silent peer in time.
func TestWallClockJumpsDoNotAffectLiveness(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour} {
		outside := time.Now()
		synctest.Test(t, func(t *testing.T) {
			client := &jumpingClock{outside: outside, started: time.Now()}
			server := &jumpingClock{outside: outside, started: time.Now()}
			near, far := net.Pipe()
			var accepted *Conn
			done := make(chan struct{})
			go func() {
				defer close(done)
				accepted, _ = Server(far, Identity{Liveness: GrantLiveness, now: server.now}, Handlers{
					KindAttemptQuery: func(ctx context.Context, _ *Stream, _ Frame) error { <-ctx.Done(); return nil },
				})
			}()
			c, err := Client(near, Identity{Liveness: GrantLiveness, now: client.now}, nil)
			require.NoError(t, err)
			<-done
			for _, open := range []bool{false, true} {
				if open {
					_, err := c.Open(KindAttemptQuery, &wire.AttemptQuery{Attempt: "a"})
					require.NoError(t, err)
				}
				for _, offset := range []time.Duration{by, 0} {
					client.offset.Store(int64(offset))
					server.offset.Store(int64(-offset))
					before := client.now()
					time.Sleep(20 * time.Second)
					require.NoError(t, c.ctx.Err())
					require.NoError(t, accepted.ctx.Err())
					require.True(t, c.LastReceived().After(before), "pings arrive")
				}
			}
			client.offset.Store(int64(by))
			accepted.cancel(ErrClosed) // the peer falls silent without closing the transport
			time.Sleep(GrantLiveness.Silence + 2*GrantLiveness.Ping)
			require.Error(t, c.ctx.Err())
			_ = far.Close()
		})
	}
}
