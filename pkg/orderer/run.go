package orderer

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// handleRunQuery answers an entry that asks whether the engine still runs a request.
func (o *Orderer) handleRunQuery(_ context.Context, s *link.Stream, f link.Frame) error {
	var q wire.RunQuery
	if _, err := q.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	// The ping shows the entry that only the engine is slow to answer.
	if err := s.Conn().Ping(); err != nil {
		return errors.Trace(err)
	}
	reply := o.findRun(q.Attempt)
	return errors.Trace(s.Send(link.KindRunReply, &reply))
}

// findRun looks a request up in a new report of the engine.
func (o *Orderer) findRun(attempt ident.Attempt) wire.RunReply {
	report, err := o.Engine.Report()
	if err != nil {
		o.Debug("msg", "no report to look a request up in", "request", attempt, "err", err)
		return wire.RunReply{}
	}
	runs, err := report.RunningAttempts()
	if err != nil {
		o.Warn("msg", "failed to decode the running requests in the engine report", "err", err)
		return wire.RunReply{}
	}
	running := slices.Contains(runs, attempt)
	o.Debug("msg", "request looked up", "request", attempt, "running", running, "runs", len(runs))
	return wire.RunReply{Known: true, Running: running}
}
