package link

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Stream is one bidirectional exchange of messages on a connection.
type Stream struct {
	c      *Conn
	id     uint32
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	queue       []Frame
	queuedBytes int
	err         error
	ready       chan struct{}
}

// Conn returns the connection that carries the stream.
func (s *Stream) Conn() *Conn { return s.c }

// Send queues one message without waiting for the network. It returns a
// QuotaLimitExceeded error if too many bytes are unsent.
func (s *Stream) Send(kind Kind, m Message) error {
	return s.c.send(kind, s.id, m)
}

// Close tells the peer that this side no longer wants the stream. Closing a
// stream that has ended does nothing.
func (s *Stream) Close() {
	s.mu.Lock()
	ended := s.err != nil
	s.mu.Unlock()
	if !ended {
		_ = s.c.send(KindCancel, s.id, nil)
	}
	s.c.removeStream(s)
}

func (s *Stream) deliver(f Frame) {
	switch f.Kind {
	case KindCancel:
		s.cancel(context.Canceled)
		s.end(context.Canceled)
	case KindEnd:
		s.end(ErrClosed)
	case KindFault:
		s.end(peerFault(f.Body))
	default:
		s.push(f)
	}
}

func peerFault(body []byte) error {
	var fault wire.Fault
	if _, err := fault.UnmarshalMsg(body); err != nil {
		return errors.Trace(err)
	}
	return errors.WithType(errors.New(fault.Reason), ErrPeer)
}

func (s *Stream) push(f Frame) {
	s.mu.Lock()
	s.queuedBytes += len(f.Body)
	over := s.queuedBytes > streamBufferLimit
	if !over {
		s.queue = append(s.queue, f)
	}
	s.mu.Unlock()
	if over {
		_ = s.c.send(KindCancel, s.id, nil)
		s.end(errors.QuotaLimitExceededf("unread bytes of stream"))
	}
	s.signal()
}

func (s *Stream) end(err error) {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	s.mu.Unlock()
	s.signal()
}

func (s *Stream) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// Receive returns the next frame. Its error is ErrClosed if the stream or its
// connection ended, context.Canceled if the peer cancelled the stream, ErrPeer for a
// fault that the peer reported, or ctx's error.
func (s *Stream) Receive(ctx context.Context) (Frame, error) {
	for {
		if f, ok, err := s.pop(); ok || err != nil {
			return f, err
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			return Frame{}, errors.Trace(ctx.Err())
		}
	}
}

func (s *Stream) pop() (Frame, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) > 0 {
		f := s.queue[0]
		s.queue = s.queue[1:]
		s.queuedBytes -= len(f.Body)
		return f, true, nil
	}
	return Frame{}, false, s.err
}

// Notify sends a message that has no reply. A peer that does not read its kind is left
// out.
func (c *Conn) Notify(kind Kind, m Message) error {
	if !c.Reads(kind) {
		return nil
	}
	s, err := c.Open(kind, m)
	if err != nil {
		return errors.Trace(err)
	}
	s.Close()
	return nil
}
