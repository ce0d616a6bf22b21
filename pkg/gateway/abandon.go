package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
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
		reply := x.queryRun(send)
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

// queryRun asks the agent beside a target whether the target runs the request, or the target
// itself if the agent's process is down. If neither answers, nothing is known.
func (x *exchange) queryRun(send *abandonedSend) wire.RunReply {
	a := send.assigned
	if a.agent == nil {
		return wire.RunReply{}
	}
	reply, err := x.queryAgent(a)
	if err == nil {
		return reply
	}
	x.g.Debug("msg", "failed to ask for a run", "request", x.q.attempt, "target", a.target.Instance, "err", err)
	if errors.Is(err, errors.Timeout) || x.ctx.Err() != nil {
		return wire.RunReply{} // the VM is silent
	}
	return x.queryTarget(send)
}

// queryAgent asks the agent beside a target whether the target runs the request.
func (x *exchange) queryAgent(a *assignment) (wire.RunReply, error) {
	conn := a.agent
	if isClosed(conn) {
		var err error
		if conn, err = x.g.agents.conn(x.ctx, a.target); err != nil {
			return wire.RunReply{}, errors.Trace(err)
		}
	}
	if !conn.Reads(link.KindRunQuery) {
		return wire.RunReply{}, nil
	}
	return receiveRun(x.ctx, conn, ident.Attempt(x.q.attempt))
}

// reportAge is how old the report is that a target gives another VM, at most: some hundred
// ms by the platform's protocol.
const reportAge = time.Second

// queryTarget looks for the request in a report of its target. The report is of some time
// ago, so that one that does not list the request shows the end of its run only if the
// request had begun by then.
func (x *exchange) queryTarget(send *abandonedSend) wire.RunReply {
	target := send.assigned.target
	runs, err := x.g.runningAt(target.Address)
	if err != nil {
		x.g.Debug("msg", "failed to read the runs of a target", "request", x.q.attempt, "target", target.Instance, "err", err)
		return wire.RunReply{}
	}
	begun := x.eventSeen || time.Since(send.at) > reportAge
	running := slices.Contains(runs, ident.Attempt(x.q.attempt)) || !begun
	x.g.Debug("msg", "request looked up at its target", "request", x.q.attempt, "target", target.Instance, "running", running, "runs", len(runs))
	return wire.RunReply{Known: true, Running: running}
}

// runningAt returns the requests that the engine at an address reports to run.
func runningAt(address string) ([]ident.Attempt, error) {
	report, err := platform.NewEngine(address).Report()
	if err != nil {
		return nil, errors.Trace(err)
	}
	runs, err := report.RunningAttempts()
	return runs, errors.Trace(err)
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
