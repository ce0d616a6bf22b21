package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// agentReplyTimeout is how long an agent may take to reply or, if the request has to
// wait, to send a ping. A round trip and its work take a few ms, even on a slow VM.
const agentReplyTimeout = 250 * time.Millisecond

// receiveGrant waits for the agent's answer for as long as the link shows that the
// agent is alive.
func receiveGrant(ctx context.Context, s *link.Stream) (wire.ProcessGrant, error) {
	f, err := receiveWhileAlive(ctx, s, 0)
	var granted wire.ProcessGrant
	if err != nil {
		if errors.Is(err, errors.Timeout) {
			s.Conn().Close()
		}
		return granted, errors.Trace(err)
	}
	switch f.Kind {
	case link.KindProcessGrant:
		_, err = granted.UnmarshalMsg(f.Body)
	case link.KindGrantReply:
		_, err = granted.Reply.UnmarshalMsg(f.Body)
	default:
		err = errors.NotValidf("grant reply: frame kind %d", f.Kind)
	}
	return granted, errors.Trace(err)
}

// receiveWhileAlive receives an agent's reply. It returns a Timeout error if the agent has
// sent nothing within agentReplyTimeout. Otherwise it waits up to limit for the reply, or
// for as long as the link shows that the agent is alive if that is 0.
func receiveWhileAlive(ctx context.Context, s *link.Stream, limit time.Duration) (link.Frame, error) {
	start := time.Now()
	replyCtx, cancel := context.WithTimeout(ctx, agentReplyTimeout)
	f, err := s.Receive(replyCtx)
	cancel()
	if err == nil || replyCtx.Err() == nil || ctx.Err() != nil {
		return f, errors.Trace(err)
	}
	if s.Conn().LastReceived().Before(start) {
		return link.Frame{}, errors.Timeoutf("no reply from the agent within %s:", agentReplyTimeout)
	}
	if limit > 0 {
		ctx, cancel = context.WithDeadline(ctx, start.Add(limit))
		defer cancel()
	}
	f, err = s.Receive(ctx)
	return f, errors.Trace(err)
}
