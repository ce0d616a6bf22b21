package gateway

import (
	"math"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// acquireAssignment returns the target to send the request to, or the reason why there
// is none.
func (x *exchange) acquireAssignment() (*assignment, refusal) {
	return x.acquire(x.acquireGrant, x.maxPermitWait())
}

// acquireImmediately is like acquireAssignment, but does not wait for a busy engine.
func (x *exchange) acquireImmediately() (*assignment, refusal) {
	return x.acquire(func(targets []fleet.Target) (*assignment, refusal) {
		a, why, _ := x.askHomes(targets)
		return a, why
	}, 0)
}

// acquire returns an assignment to one of the service's eligible targets. It calls
// grant for a target that needs one, and waits up to maxWait for a permit.
func (x *exchange) acquire(grant func([]fleet.Target) (*assignment, refusal), maxWait time.Duration) (*assignment, refusal) {
	x.tryBanned()
	if why, banned := x.banned(); banned {
		return nil, why
	}
	if x.service.Engine != nil && exceeds(x.q, x.service.Engine.KVTokens) {
		return nil, x.tooLarge()
	}
	targets := x.awaitTargets()
	switch {
	case len(targets) > 0:
	case x.originGone():
		return nil, x.goneRefusal()
	default:
		return nil, x.noTarget()
	}
	if !x.needsGrant() {
		return x.leastLoaded(targets, maxWait)
	}
	return grant(targets)
}

const (
	// targetPollInterval is how often a request that has no target looks for one.
	targetPollInterval = 50 * time.Millisecond
	// targetWaitShare is the share of the remaining time that a request waits for a
	// target to be listed. The rest has to suffice to serve it.
	targetWaitShare = 0.4
)

// awaitTargets returns the service's eligible targets. If there are none while live
// targets may be missing from the list (load pattern: all processes start right after
// an outage of the store, and callers have used up their retries), it waits for one.
func (x *exchange) awaitTargets() []fleet.Target {
	until := time.Now().Add(min(x.maxGrantWait(), time.Duration(targetWaitShare*float64(x.remaining()))))
	for {
		targets := x.g.eligibleOf(x.matching(x.g.fleet.Available(x.service.Name)), x.service.Name, x.excluded)
		now := time.Now()
		if len(targets) > 0 || len(x.excluded) > 0 || !x.g.fleet.Settling(now) || !now.Before(until) {
			return targets
		}
		select {
		case <-x.ctx.Done():
			return nil
		case <-time.After(targetPollInterval):
		}
	}
}

// noTargetRetryAfter is the Retry-After time when no target is available: about one
// update interval of the target list.
const noTargetRetryAfter = time.Second

// assign returns an assignment to a target without a grant.
func (g *Gateway) assign(t fleet.Target) *assignment {
	_, limited := g.notices.Limit(t.Instance)
	g.loads.begin(t.Instance)
	return &assignment{target: t, instance: t.Instance, permitted: limited, release: sync.OnceFunc(func() { g.loads.end(t.Instance) }), reportFirstEvent: func(time.Duration) {}, reportPace: func(*wire.PaceReport) {}}
}

const (
	// maxAgents bounds the number of agents that are asked for one request, not
	// counting those that give no usable answer. More would spread rarely used
	// adapters over many engines and cost a round trip each.
	maxAgents = 5
	// maxCrowdedAgents replaces maxAgents while the agents asked are crowded or at their
	// rate limits: the adapter is in more demand than they can serve.
	maxCrowdedAgents = 12
)

// acquireGrant requests a grant from the agents of the adapter's homes. If all are
// busy, it waits for the one with the shortest forecast wait.
func (x *exchange) acquireGrant(targets []fleet.Target) (*assignment, refusal) {
	a, why, soonest := x.askHomes(targets)
	// A prompt that is too long for the engines' pace runs as the last resort, so that its
	// forecast wait is no reason for a refusal.
	if a != nil || soonest == nil || why.wait >= x.maxGrantWait() && why.cause != wire.ReasonLongPrompt {
		return a, why
	}
	a, reply := x.requestGrant(*soonest, x.weights(), grantOptions{})
	if a == nil {
		return nil, refusal{reason: "engines busy", cause: reply.Reason, wait: max(why.wait, time.Duration(reply.WaitMS)*time.Millisecond)}
	}
	return a, refusal{}
}

// weights returns the newest known version of the requested weights.
func (x *exchange) weights() ident.Weights { return x.g.versions.Newest(x.q.weights) }

// askHomes asks the adapter's homes one after the other for a grant that does not have
// to wait long. If there is none, it returns the home with the shortest forecast
// wait, or nil if no home gave one.
func (x *exchange) askHomes(targets []fleet.Target) (granted *assignment, why refusal, soonest *fleet.Target) {
	weights := x.weights()
	why, soonest = x.askInOrder(x.place(targets, weights), weights, func(t fleet.Target, opts grantOptions) wire.GrantReply {
		a, reply := x.requestGrant(t, weights, opts)
		granted = a
		if reply.Code == wire.GrantBusy {
			x.recordRefusal(t, weights, reply)
		}
		return reply
	})
	return granted, why, soonest
}

// askInOrder asks the homes one after the other until one grants the request. If none does,
// it returns the reason and the home with the shortest forecast wait, if any.
func (x *exchange) askInOrder(p placed, weights ident.Weights, ask func(fleet.Target, grantOptions) wire.GrantReply) (why refusal, soonest *fleet.Target) {
	homes := p.homes
	limit, heldElsewhere := min(maxAgents, len(homes)), false
	if x.origin.begun {
		limit = min(maxCrowdedAgents, len(homes))
	}
	why = refusal{reason: "no engine can run it", wait: noTargetRetryAfter}
	for i := 0; i < limit; i++ {
		reply := ask(homes[i], grantOptions{
			hasAlternative: true, heldElsewhere: heldElsewhere, maySwitchModel: homes[i].Instance == p.candidate, alternativeHolds: i+1 < len(homes) && x.g.holds(weights, homes[i+1].Address),
		})
		if reply.Code == wire.GrantIssued {
			return refusal{}, nil
		}
		if x.ctx.Err() != nil {
			return refusal{reason: "timed out"}, nil
		}
		switch {
		case reply.Reason == wire.ReasonTooLarge:
			return x.tooLarge(), nil
		case reply.Code == wire.GrantBusy:
			crowded := isCrowded(reply)
			if crowded || reply.Reason == wire.ReasonRateLimited {
				limit = max(limit, min(limit+1, maxCrowdedAgents, len(homes)))
			}
			// A prompt that is too long for the engine's pace says nothing of the demand for
			// its adapter, so it does not spread the adapter over more homes.
			heldElsewhere = heldElsewhere || crowded || reply.Reason == wire.ReasonLoading || reply.Reason == wire.ReasonLongPrompt
			if w := time.Duration(reply.WaitMS) * time.Millisecond; soonest == nil || w < why.wait {
				soonest, why = &homes[i], refusal{reason: "engines busy", cause: reply.Reason, wait: w}
			}
		case limit < len(homes):
			limit++ // no usable answer: ask one more
		}
	}
	return why, soonest
}

// isCrowded reports whether an agent refused a request because of the others at its engine.
func isCrowded(reply wire.GrantReply) bool {
	return reply.Reason == wire.ReasonPrefill || reply.Reason == wire.ReasonEngineFull
}

// holds reports whether the engine at the address is likely to hold the weights.
func (g *Gateway) holds(w ident.Weights, address string) bool {
	return g.replicas.Holds(w, address, time.Now()) || slices.Contains(g.holdings.Holders(w), address)
}

// limitedLast moves homes that state a rate limit behind the others, all but the first
// one: what that one does not take is better sent to engines that take more.
func (x *exchange) limitedLast(homes []fleet.Target) []fleet.Target {
	if len(homes) == 0 {
		return homes
	}
	out := make([]fleet.Target, 1, len(homes))
	out[0] = homes[0]
	var limited []fleet.Target
	for _, t := range homes[1:] {
		if _, ok := x.g.notices.Limit(t.Instance); ok {
			limited = append(limited, t)
			continue
		}
		out = append(out, t)
	}
	return append(out, limited...)
}

const (
	// By the platform's protocol, callers abandon a stream without an event after
	// the longest of abandonObjectives latency objectives, abandonGaps gap
	// objectives and abandonTime.
	abandonObjectives = 4
	abandonGaps       = 8
	abandonTime       = 2 * time.Second
	// firstEventReserve is reserved for the engine to produce the first event.
	firstEventReserve = 250 * time.Millisecond
)

// maxGrantWait returns how long the request may still wait for a target.
func (x *exchange) maxGrantWait() time.Duration {
	return max(min(x.patience()-firstEventReserve, x.untilStop()), 0)
}

// patience returns how long the caller still waits for the next event, or for the
// response.
func (x *exchange) patience() time.Duration {
	left := x.remaining()
	if x.route.RetryPolicy == platform.RunStream {
		abandoned := max(abandonObjectives*x.route.Objective, abandonGaps*x.route.GapObjective, abandonTime)
		left = min(left, time.Until(x.lastSign().Add(abandoned)))
	}
	return left
}

// lastSign returns when the caller last had an event, or when its request arrived.
func (x *exchange) lastSign() time.Time {
	if x.lastEventAt.IsZero() {
		return x.began
	}
	return x.lastEventAt
}

// grantOptions holds the options of one grant request.
type grantOptions struct {
	hasAlternative   bool // another agent can be asked if this one grants nothing
	heldElsewhere    bool // another engine holds the adapter or will load it
	alternativeHolds bool // the next engine already holds the adapter
	maySwitchModel   bool // the engine may switch to the requested base model
}

// grantRequest returns what an agent is asked.
func (x *exchange) grantRequest(w ident.Weights, opts grantOptions) wire.GrantRequest {
	objective := time.Until(x.began.Add(x.route.Objective))
	return wire.GrantRequest{
		Attempt: ident.Attempt(x.q.attempt), Model: w.Model, Adapter: w.AdapterVersion,
		PromptTokens: x.q.promptTokens, OutputTokens: x.q.maxOutputTokens, Rank: x.rank(),
		MaxWaitMS: x.maxGrantWait().Milliseconds(), ObjectiveMS: max(objective, 0).Milliseconds(), HasAlternative: opts.hasAlternative, HeldElsewhere: opts.heldElsewhere, AlternativeHolds: opts.alternativeHolds, MaySwitchModel: opts.maySwitchModel,
	}
}

// requestGrant requests a grant from one target's agent.
func (x *exchange) requestGrant(t fleet.Target, w ident.Weights, opts grantOptions) (*assignment, wire.GrantReply) {
	unable := wire.GrantReply{Code: wire.GrantUnable}
	conn, err := x.g.agents.connWithSetup(x.ctx, t, x.configuration, x.service)
	if err != nil {
		x.g.Debug("msg", "failed to reach the agent", "target", t.Instance, "err", err)
		return nil, unable
	}
	requested := time.Now()
	stream, err := openGrant(conn, x.account, x.grantRequest(w, opts))
	if err != nil {
		return nil, unable
	}
	granted, err := receiveGrant(x.ctx, stream)
	if err != nil {
		stream.Close()
		if errors.Is(err, errors.Timeout) {
			x.g.agents.backOff(t)
		}
		x.g.Debug("msg", "failed to receive a grant", "target", t.Instance, "err", err)
		return nil, unable
	}
	reply := granted.Reply
	x.g.entryCount.Record(reply.LinkedEntries, time.Now())
	if reply.Code != wire.GrantIssued {
		stream.Close()
		return nil, reply
	}
	held := x.g.holds(w, t.Address)
	x.g.replicas.Record(w, t.Address, time.Now())
	if !x.g.mayReceive(t) {
		// The target started to drain while the request waited for its grant.
		stream.Close()
		return nil, unable
	}
	if w.Version > 0 && reply.Version > w.Version {
		// The agent knows a newer version than this process.
		w.Version = reply.Version
		x.g.versions.Update(w)
	}
	a := &assignment{
		target: t, agent: conn, instance: reply.Instance, startMS: granted.StartMS, version: reply.Version, release: sync.OnceFunc(stream.Close), acquired: time.Now(), suspended: x.g.suspended(),
		reportFirstEvent: func(d time.Duration) {
			// A lost report only makes the agent's forecast less accurate.
			_ = stream.Send(link.KindGrantFirstEvent, &wire.GrantFirstEvent{FirstEventMS: d.Milliseconds()})
		},
		reportPace: func(r *wire.PaceReport) {
			if r != nil && conn.Reads(link.KindPaceReport) {
				_ = stream.Send(link.KindPaceReport, r) // the next response tells it again
			}
		},
	}
	if !x.goesOnAt(a) {
		x.g.Info("msg", "engine does not run the software that began the stream", "request", x.q.attempt, "target", t.Instance, "listed-start", t.StartMS, "instance", a.instance, "start", a.startMS, "begun-by", x.origin.software)
		a.release()
		return nil, unable
	}
	x.observeRun(a, w, held, requested)
	return a, reply
}

// paceReport returns what the target's agent is told of a response, or nil if it states
// no pace.
func (x *exchange) paceReport() *wire.PaceReport {
	if !x.load.Known.Has(platform.LoadPace) {
		return nil
	}
	running := -1
	if x.load.Known.Has(platform.LoadRunning) {
		running = x.load.Running
	}
	return &wire.PaceReport{
		Pace: max(int(math.Round(x.load.Pace)), 1), Running: running, GapObjectiveMS: x.route.GapObjective.Milliseconds(),
		EventUS: time.Duration(x.g.stepTime.average.Load()).Microseconds(),
	}
}

// reportPause tells the target's agent, if it has one, the longest pause of a stream
// that its engine served.
func (x *exchange) reportPause(a *assignment, pause time.Duration) {
	objective := x.route.GapObjective
	if a.agent == nil || objective <= 0 {
		return
	}
	err := a.agent.Notify(link.KindPauseReport, &wire.PauseReport{PauseMS: pause.Milliseconds(), ObjectiveMS: objective.Milliseconds()})
	if err != nil {
		x.g.Debug("msg", "failed to report a pause", "agent", a.agent.Peer.VM, "err", err)
	}
}

// agentAddress returns the address of the agent beside a target.
func agentAddress(t fleet.Target, port int) string {
	host, _, err := net.SplitHostPort(t.Address)
	if err != nil {
		return t.Address
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}
