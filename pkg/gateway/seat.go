package gateway

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/placement"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// seat finds a target that takes the request, or says why none does.
func (x *exchange) seat() (*seat, refusal) {
	targets := x.g.usable(x.service.Name, x.excluded)
	if len(targets) == 0 {
		return nil, refusal{reason: "no target", wait: noTargetWait}
	}
	if x.service.Engine == nil || x.q.weights.Model == "" {
		return x.g.plainSeat(targets, x.q.attempt), refusal{}
	}
	return x.grant(targets)
}

// noTargetWait is when a target may be back: some beats of the targets' list.
const noTargetWait = time.Second

// plainSeat takes the target with the fewest requests.
func (g *Gateway) plainSeat(targets []fleet.Target, attempt string) *seat {
	t := placement.Least(targets, g.loads.of, g.node.Domain, hash(attempt))[0]
	g.loads.begin(t.Instance)
	return &seat{target: t, instance: t.Instance, release: func() { g.loads.end(t.Instance) }, started: func(time.Duration) {}}
}

// maxAsked is the number of agents that are asked for one request: more would
// spread rare adapters over engines and cost a round trip each.
const maxAsked = 5

// grant asks the agents of the adapter's homes for a seat.
func (x *exchange) grant(targets []fleet.Target) (*seat, refusal) {
	weights := x.g.versions.Newest(x.q.weights)
	homes, candidate := x.homes(targets, weights)
	soonest, wait, why := -1, time.Duration(0), wire.ReasonNone
	asked, spare := min(maxAsked, len(homes)), false
	for i := 0; i < asked; i++ {
		s, reply := x.ask(homes[i], weights, asking{
			elsewhere: true, spare: spare, maySwitch: homes[i].Instance == candidate, replicated: i+1 < len(homes) && x.g.replicas.Holds(weights, homes[i+1].Address, time.Now()),
		})
		if s != nil {
			return s, refusal{}
		}
		if x.ctx.Err() != nil {
			return nil, refusal{reason: "timed out"}
		}
		switch {
		case reply.Code == wire.GrantBusy:
			spare = spare || reply.Reason == wire.ReasonReading || reply.Reason == wire.ReasonPlaces || reply.Reason == wire.ReasonLoading
			if w := time.Duration(reply.WaitMS) * time.Millisecond; soonest < 0 || w < wait {
				soonest, wait, why = i, w, reply.Reason
			}
		case asked < len(homes):
			asked++ // this one cannot be counted on
		}
	}
	if soonest < 0 {
		return nil, refusal{reason: "no engine can run it", wait: noTargetWait}
	}
	if wait >= x.patience() {
		return nil, refusal{reason: "engines busy", cause: why, wait: wait}
	}
	s, reply := x.ask(homes[soonest], weights, asking{})
	if s == nil {
		return nil, refusal{reason: "engines busy", cause: reply.Reason, wait: max(wait, time.Duration(reply.WaitMS)*time.Millisecond)}
	}
	return s, refusal{}
}

// homes returns the targets to ask, in order. Where a service has several base models
// those are the holders of the request's, and last the candidate that may change to it.
func (x *exchange) homes(targets []fleet.Target, w ident.Weights) (list []fleet.Target, candidate ident.Target) {
	list = x.g.replicas.First(w, x.g.homes(targets, w), time.Now())
	if len(x.service.Engine.Models) < 2 {
		return list, ""
	}
	list = placement.Holders(list, w.Model)
	list = list[:min(len(list), maxAsked-1)]
	if t, ok := placement.Candidate(targets, w.Model); ok {
		return append(list, t), t.Instance
	}
	return list, ""
}

const (
	// Callers leave a stream that shows no event within abandonObjectives latency
	// objectives, abandonPauses longest pauses or abandonTime, whichever is
	// longest, by the platform's protocol.
	abandonObjectives = 4
	abandonPauses     = 8
	abandonTime       = 2 * time.Second
	// firstEventTime is left for the engine to make the first event.
	firstEventTime = 250 * time.Millisecond
)

// patience is how long the request may still wait for a seat.
func (x *exchange) patience() time.Duration {
	left := x.left()
	if x.route.Repeat == platform.RunAsStream {
		abandoned := max(abandonObjectives*x.route.Objective, abandonPauses*x.route.GapObjective, abandonTime)
		left = min(left, time.Until(x.began.Add(abandoned)))
	}
	return max(left-firstEventTime, 0)
}

// asking says how an agent is asked.
type asking struct {
	elsewhere  bool // another agent can be asked
	spare      bool // another engine holds the adapter or is to hold it
	replicated bool // the next engine holds it already
	maySwitch  bool // the engine may change to the model
}

// ask asks one target's agent.
func (x *exchange) ask(t fleet.Target, w ident.Weights, how asking) (*seat, wire.GrantReply) {
	unable := wire.GrantReply{Code: wire.GrantUnable}
	conn, err := x.g.agents.tell(x.ctx, t, x.configuration, x.service)
	if err != nil {
		x.g.Debug("msg", "agent not reached", "target", t.Instance, "err", err)
		return nil, unable
	}
	objective := time.Until(x.began.Add(x.route.Objective))
	stream, err := conn.Open(link.KindGrantWant, &wire.GrantWant{
		Attempt: ident.Attempt(x.q.attempt), Model: w.Model, Adapter: w.AdapterVersion,
		PromptTokens: x.q.prompt, OutputTokens: x.q.output, Rank: x.route.Rank,
		WaitMS: x.patience().Milliseconds(), ObjectiveMS: max(objective, 0).Milliseconds(), MayGoElsewhere: how.elsewhere, Spare: how.spare, Replicated: how.replicated, MaySwitch: how.maySwitch,
	})
	if err != nil {
		return nil, unable
	}
	reply, err := receiveGrant(x.ctx, stream)
	if err != nil {
		stream.Close()
		if errors.Is(err, errors.Timeout) {
			x.g.agents.silent(t)
		}
		x.g.Debug("msg", "no grant", "target", t.Instance, "err", err)
		return nil, unable
	}
	x.g.sharers.Saw(reply.Entries, time.Now())
	if reply.Code != wire.GrantGiven {
		stream.Close()
		return nil, reply
	}
	x.g.replicas.Saw(w, t.Address, time.Now())
	if !x.g.fleet.Usable(t) {
		// It began to leave while the request waited for its grant.
		stream.Close()
		return nil, unable
	}
	if w.Version > 0 && reply.Version > w.Version {
		// The agent heard of a version that this process has not.
		w.Version = reply.Version
		x.g.versions.Learn(w)
	}
	return &seat{
		target: t, instance: reply.Instance, version: reply.Version, release: stream.Close,
		started: func(d time.Duration) {
			// A lost report only blurs the agent's forecast.
			_ = stream.Send(link.KindGrantUse, &wire.GrantUse{FirstEventMS: d.Milliseconds()})
		},
	}, reply
}

// agentSilence is how long an agent may take to say anything about a request: a
// round trip and its work take a few ms, also on a slow VM.
const agentSilence = 250 * time.Millisecond

// receiveGrant waits for the agent's answer, as long as the agent shows that it
// lives.
func receiveGrant(ctx context.Context, s *link.Stream) (wire.GrantReply, error) {
	asked := time.Now()
	first, cancel := context.WithTimeout(ctx, agentSilence)
	f, err := s.Receive(first)
	cancel()
	if err != nil && first.Err() != nil && ctx.Err() == nil {
		if s.Conn().Heard().Before(asked) {
			s.Conn().Close()
			return wire.GrantReply{}, errors.Timeoutf("agent silent for %s", agentSilence)
		}
		f, err = s.Receive(ctx)
	}
	var reply wire.GrantReply
	if err != nil {
		return reply, errors.Trace(err)
	}
	if f.Kind != link.KindGrantReply {
		return reply, errors.NotValidf("reply kind %d", f.Kind)
	}
	_, err = reply.UnmarshalMsg(f.Body)
	return reply, errors.Trace(err)
}

// agentAddress returns where the agent beside a target listens.
func agentAddress(t fleet.Target, port int) string {
	host, _, err := net.SplitHostPort(t.Address)
	if err != nil {
		return t.Address
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}
