package operator

import (
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
	"github.com/hyssoproad/hyssoproad/pkg/explain"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/member"
	"github.com/hyssoproad/hyssoproad/pkg/route"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// explainRoute returns where this entry would send a request for an adapter now, and why.
func (srv *Server) explainRoute(name string) (Reply, error) {
	named, err := ident.ParseAdapterVersion(name)
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	if _, ok := srv.peer.Config.Catalog().Adapter(named.Adapter); !ok {
		return Reply{}, errors.NotFoundf("adapter %q", named.Adapter)
	}
	now := time.Now()
	job, placement := srv.explainJob(named)
	e := routeExplanation{entry: srv.peer.Info(), entries: len(srv.peer.Entries()), job: job, placement: placement, now: now, members: make(map[ident.Target]member.Member), state: srv.targetState}
	for _, m := range srv.peer.Registry.Members(now) {
		e.members[m.Report.Target] = m
	}
	return Reply{Revision: e.entry.Revision, Table: candidateTable(placement.Candidates), Explanation: e.answer()}, nil
}

// candidateTable is the answer for tools of earlier releases.
func candidateTable(candidates []route.Candidate) *Table {
	t := &Table{Columns: []string{"target", "rank", "chosen", "reason", "holds", "load", "load-wait-ms", "evict-cost", "usable"}}
	for i, c := range candidates {
		r := c.Node.Report()
		t.add(string(c.Node.Target), formatInt(i+1), strconv.FormatBool(c.Chosen), c.Reason.String(), strconv.FormatBool(c.Holds),
			strconv.FormatFloat(c.Node.Load(), 'f', 2, 64), formatInt(r.LoadWaitMS), strconv.FormatFloat(r.EvictCost, 'f', 2, 64), strconv.FormatBool(c.Usable))
	}
	return t
}

// routeExplanation is what an explanation is made of.
type routeExplanation struct {
	entry     wire.EntryInfo
	entries   int
	job       *dispatch.Job
	placement dispatch.Placement
	members   map[ident.Target]member.Member
	state     func(r wire.Report, liveness string) string
	now       time.Time
}

func (e *routeExplanation) answer() *explain.Answer {
	out := &explain.Answer{
		Gateway: e.entry.VM, Domain: e.entry.Domain, Service: string(e.job.Service.Name), Weights: e.job.Adapter.String(), Order: explain.OrderHomes,
		Targets: []explain.Target{}, RuledOut: []explain.Target{},
		Knowledge: explain.Knowledge{Configuration: uint64(e.entry.Revision), ConfigurationAge: explain.Milliseconds(e.entry.ConfirmedAgeMS), Gateways: e.entries},
	}
	for _, c := range e.placement.Candidates {
		t := e.target(c)
		out.Knowledge.TargetList = max(out.Knowledge.TargetList, t.LoadAge)
		switch {
		case t.RuledOut != explain.NotExcluded:
			out.RuledOut = append(out.RuledOut, t)
		case c.Chosen:
			out.Targets = slices.Insert(out.Targets, 0, t)
			out.Outcome = e.send(c)
		default:
			out.Targets = append(out.Targets, t)
		}
	}
	if r := e.placement.Refusal; r != nil {
		out.Outcome = explain.Outcome{Action: explain.ActionRefuse, Status: r.Status, Reason: r.Reason, RetryAfter: milliseconds(r.RetryAfter), ExactRetry: true}
		if r.Detail != "" {
			out.Outcome.Reason += ": " + r.Detail
		}
	}
	return out
}

// send returns that a request is sent to its target, with the wait that the target's agent
// expects for it.
func (e *routeExplanation) send(c route.Candidate) explain.Outcome {
	r := c.Node.Report()
	wait := r.WaitMS
	if !c.Holds {
		wait += r.LoadWaitMS
	}
	return explain.Outcome{Action: explain.ActionSend, Target: c.Node.Target, Reason: c.Reason.String(), Wait: explain.Milliseconds(wait)}
}

func (e *routeExplanation) target(c route.Candidate) explain.Target {
	r := c.Node.Report()
	load := c.Node.Load()
	out := explain.Target{
		Target: c.Node.Target, Address: r.Address, Domain: r.Domain, LoadPerSlot: &load, Requests: r.Running + r.Waiting, Slots: r.MaxRunning,
		Forecast: explain.Milliseconds(r.WaitMS), HoldsAdapter: c.Holds, LoadAge: -1, ForecastAge: -1, PaceAge: -1, KeptAge: -1,
	}
	m, known := e.members[c.Node.Target]
	if known {
		out.LoadAge = milliseconds(e.now.Sub(m.LastHeard))
		out.ForecastAge = out.LoadAge
	}
	if !c.Holds {
		out.Cost = &explain.Cost{Wait: fromSeconds(c.Cost.Queue), Load: fromSeconds(c.Cost.Load), Evict: fromSeconds(c.Cost.Eviction), Total: fromSeconds(c.Cost.Total())}
	}
	switch {
	case slices.Contains(e.placement.Open, c.Node.Target):
		out.RuledOut = explain.BreakerOpen
	case !c.Usable:
		out.RuledOut = explain.Unusable
		if known {
			out.RuledOut = explain.Exclusion(e.state(*r, m.StateAt(e.now).String()))
		}
		if out.RuledOut == "live" {
			out.RuledOut = explain.Unusable
		}
	case !c.Active && !c.Chosen:
		out.RuledOut = explain.Spare
	}
	return out
}

func milliseconds(d time.Duration) explain.Milliseconds {
	return explain.Milliseconds(d) / explain.Milliseconds(time.Millisecond)
}

func fromSeconds(s float64) explain.Milliseconds { return explain.Milliseconds(1000 * s) }
