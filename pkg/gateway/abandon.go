package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	// closeWait is how long a target may take to close the connection of an abandoned
	// request. It takes a round trip, unless its process is busy.
	closeWait = 50 * time.Millisecond
	// runPollInterval is how often an agent is asked whether its engine still runs a
	// request.
	runPollInterval = 50 * time.Millisecond
	// runReplyTimeout is how long an agent that is alive may take to ask its engine.
	runReplyTimeout = 600 * time.Millisecond
)

// abandonedSend is a send that was abandoned. Its target may still work on the request.
type abandonedSend struct {
	conn     *forward.Conn
	assigned *assignment
	at       time.Time
}

// runEnd is what shows that a target has ended an abandoned request.
type runEnd uint8

const (
	// runEndUnknown: nobody can tell, since the target and its agent are silent.
	runEndUnknown runEnd = iota
	// runEndClosed: the target has closed the connection.
	runEndClosed
	// runEndReported: the target no longer lists the request.
	runEndReported
	// runEndUnawaited: the request itself ended first.
	runEndUnawaited
)

var runEndNames = [...]string{"unknown", "closed", "reported", "unawaited"}

// String returns the name of the evidence.
func (e runEnd) String() string { return runEndNames[e] }

// abandon abandons the send on a connection. The target is told at once. Its grant lasts
// until it has ended its run.
func (x *exchange) abandon(a *assignment, conn *forward.Conn) {
	conn.Abandon()
	x.g.metrics.countConn(forward.ConnAbandoned)
	x.abandoned = &abandonedSend{conn: conn, assigned: a, at: time.Now()}
}

// endAbandoned ends the send that was abandoned last, once its target has closed the
// connection or closeWait is over.
func (x *exchange) endAbandoned() {
	send := x.abandoned
	if send == nil {
		return
	}
	go func() {
		send.conn.AwaitClose(send.at.Add(closeWait))
		send.assigned.release()
	}()
}

// awaitAbandoned waits until the target of the abandoned send, if any, has ended its run, or
// nobody can tell, so that a request does not run at two engines at once. It reports whether
// there was such a send.
func (x *exchange) awaitAbandoned() bool {
	send := x.abandoned
	if send == nil {
		return false
	}
	x.abandoned = nil
	end := x.awaitRunEnd(send)
	send.assigned.release()
	x.g.metrics.abandonedRuns[end].Inc(1)
	x.g.metrics.abandonedWait.RecordDuration(time.Since(send.at))
	x.g.Debug("msg", "abandoned run ended", "request", x.q.attempt, "target", send.assigned.target.Instance, "end", end, "after", time.Since(send.at))
	return true
}

// awaitRunEnd waits for the end of an abandoned run.
func (x *exchange) awaitRunEnd(send *abandonedSend) runEnd {
	byTarget := send.conn.PeerClosed()
	closed := send.conn.AwaitClose(send.at.Add(closeWait))
	if byTarget {
		return runEndClosed
	}
	for polls := 0; ; polls++ {
		reply := x.queryRun(send.assigned)
		switch {
		case x.ctx.Err() != nil:
			return runEndUnawaited
		case !reply.Known && closed:
			return runEndClosed
		case !reply.Known:
			return runEndUnknown
		case !reply.Running:
			return runEndReported
		}
		if polls == 0 {
			x.g.Info("msg", "target still runs an abandoned request", "request", x.q.attempt, "target", send.assigned.target.Instance, "closed", closed)
		}
		select {
		case <-x.ctx.Done():
			return runEndUnawaited
		case <-time.After(runPollInterval):
		}
	}
}

// queryRun asks the agent beside a target whether the target runs the request. Without an
// agent that answers, nothing is known.
func (x *exchange) queryRun(a *assignment) wire.RunReply {
	if a.agent == nil {
		return wire.RunReply{}
	}
	conn := a.agent
	if isClosed(conn) {
		var err error
		if conn, err = x.g.agents.conn(x.ctx, a.target); err != nil {
			return wire.RunReply{}
		}
	}
	if !conn.Reads(link.KindRunQuery) {
		return wire.RunReply{}
	}
	reply, err := receiveRun(x.ctx, conn, ident.Attempt(x.q.attempt))
	if err != nil {
		x.g.Debug("msg", "failed to ask for a run", "request", x.q.attempt, "target", a.target.Instance, "err", err)
	}
	return reply
}

// receiveRun asks an agent for a run. An agent that shows no sign of life within
// agentReplyTimeout is not waited for.
func receiveRun(ctx context.Context, conn *link.Conn, attempt ident.Attempt) (wire.RunReply, error) {
	s, err := conn.Open(link.KindRunQuery, &wire.RunQuery{Attempt: attempt})
	if err != nil {
		return wire.RunReply{}, errors.Trace(err)
	}
	defer s.Close()
	f, err := receiveWhileAlive(ctx, s, runReplyTimeout)
	if err != nil {
		return wire.RunReply{}, errors.Trace(err)
	}
	if f.Kind != link.KindRunReply {
		return wire.RunReply{}, errors.NotValidf("reply on a run: frame kind %d", f.Kind)
	}
	var reply wire.RunReply
	_, err = reply.UnmarshalMsg(f.Body)
	return reply, errors.Trace(err)
}
