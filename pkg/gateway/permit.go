package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/placement"
	"github.com/hyssoproad/hyssoproad/pkg/ratelimit"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	// maxPermitAgents is the number of agents that are tried for one permit.
	maxPermitAgents = 2
	// permitBackoff is how long an agent that gave no answer is not asked for permits.
	// It is long, since a gateway that changes often counts at two agents.
	permitBackoff = 5 * time.Second
	// permitRenewal is how often a gateway tells an agent that it asks there for permits.
	permitRenewal = time.Second
	// permitObjectiveShare is the share of the latency objective within which a request
	// may wait for a permit. The rest has to suffice to serve it.
	permitObjectiveShare = 0.5
)

// permits holds what a gateway knows of permits to send requests to targets that state
// a rate limit and need no grant.
type permits struct {
	mu sync.Mutex
	// deniedUntil is when the next permit may be had, by target.
	deniedUntil map[ident.Target]time.Time
	// backoffUntil is when an agent is asked again, by address.
	backoffUntil map[string]time.Time
	// alone limits the requests to targets while no agent answers.
	alone map[ident.Target]*ratelimit.Limiter
	// renewed is when the agents were last told.
	renewed time.Time
}

func newPermits() *permits {
	return &permits{deniedUntil: make(map[ident.Target]time.Time), backoffUntil: make(map[string]time.Time), alone: make(map[ident.Target]*ratelimit.Limiter)}
}

// denied returns how long no permit for the target is to be had.
func (p *permits) denied(t ident.Target, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.deniedUntil[t].Sub(now), 0)
}

// answered records an agent's answer.
func (p *permits) answered(t ident.Target, wait time.Duration, granted bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.alone, t)
	if granted {
		delete(p.deniedUntil, t)
		return
	}
	p.deniedUntil[t] = now.Add(wait)
}

func (p *permits) backOff(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoffUntil[address] = now.Add(permitBackoff)
}

func (p *permits) backingOff(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.backoffUntil[address])
}

// takeAlone takes a request from the gateway's own part of the target's limit.
func (p *permits) takeAlone(t ident.Target, perSecond float64, gateways int, maxWait time.Duration, now time.Time) (wait time.Duration, taken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.alone[t]
	if l == nil {
		l = &ratelimit.Limiter{}
		p.alone[t] = l
	}
	l.SetAlone(perSecond, gateways, rand.Float64(), now)
	return l.TakeWithin(maxWait, now)
}

// forget drops what is known of targets without a limit and of agents that may be asked
// again. It reports whether the agents are to be told again which limits this gateway
// asks for.
func (p *permits) forget(limited func(ident.Target) bool, now time.Time) (renew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t := range p.deniedUntil {
		if !limited(t) {
			delete(p.deniedUntil, t)
		}
	}
	for t := range p.alone {
		if !limited(t) {
			delete(p.alone, t)
		}
	}
	for address, until := range p.backoffUntil {
		if !now.Before(until) {
			delete(p.backoffUntil, address)
		}
	}
	if now.Sub(p.renewed) < permitRenewal {
		return false
	}
	p.renewed = now
	return true
}

// permitAgents returns the targets whose agents apportion the limit of a target, in
// order: its own one if it is an engine, or else any, the same at all gateways.
func (g *Gateway) permitAgents(t fleet.Target) []fleet.Target {
	c := g.directory.Configuration()
	if c == nil {
		return nil
	}
	if g.hasAgent(t) {
		return []fleet.Target{t}
	}
	var engines []fleet.Target
	for _, s := range c.Services {
		if s.Engine != nil {
			engines = append(engines, g.fleet.Available(s.Name)...)
		}
	}
	return placement.Rank(engines, string(t.Instance))
}

// permitLink returns the link to the agent that apportions the limit of a target, or a
// NotFound error if none is reached.
func (g *Gateway) permitLink(ctx context.Context, t fleet.Target) (*link.Conn, fleet.Target, error) {
	now, tried := time.Now(), 0
	for _, agent := range g.permitAgents(t) {
		if g.permits.backingOff(agent.Address, now) {
			continue
		}
		if tried++; tried > maxPermitAgents {
			break
		}
		conn, err := g.agents.conn(ctx, agent)
		if err == nil && conn.Reads(link.KindPermitRequest) {
			return conn, agent, nil
		}
		if ctx.Err() == nil {
			g.permits.backOff(agent.Address, now)
		}
	}
	return nil, fleet.Target{}, errors.NotFoundf("agent for the rate limit of %s", t.Instance)
}

// permit asks for a permit to send a request to a target that states a rate limit. It
// returns how long to wait: until the request may be sent, if there is a permit within
// maxWait, or else until there may be one.
func (g *Gateway) permit(ctx context.Context, t fleet.Target, maxWait time.Duration) (wait time.Duration, granted bool) {
	limit, limited := g.notices.Limit(t.Instance)
	if !limited {
		return 0, true
	}
	if wait := g.permits.denied(t.Instance, time.Now()); wait > maxWait {
		return wait, false
	}
	conn, agent, err := g.permitLink(ctx, t)
	var reply wire.PermitReply
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, agentReplyTimeout)
		defer cancel()
		request := wire.PermitRequest{Target: t.Instance, LimitPerSecond: limit.PerSecond, MaxWaitMS: maxWait.Milliseconds()}
		if err = conn.Call(callCtx, link.KindPermitRequest, &request, link.KindPermitReply, &reply); err != nil && ctx.Err() == nil {
			g.permits.backOff(agent.Address, time.Now())
		}
	}
	now := time.Now()
	if err != nil {
		g.Debug("msg", "no agent apportions the rate limit", "target", t.Instance, "err", err)
		return g.permits.takeAlone(t.Instance, limit.PerSecond, g.entryCount.Estimate(), maxWait, now)
	}
	g.entryCount.Record(reply.LinkedEntries, now)
	wait = time.Duration(reply.WaitMS) * time.Millisecond
	g.permits.answered(t.Instance, wait, reply.Granted, now)
	return wait, reply.Granted
}

// byLoad returns the targets of a plain request in the order in which they are tried.
func (x *exchange) byLoad(targets []fleet.Target) []fleet.Target {
	return x.g.loads.byCost(targets, x.g.node.Domain, hash(x.q.attempt), time.Now())
}

// leastLoaded returns an assignment to the least loaded of the targets that take another
// request: at once, or else, if all have used up their rate limits, within maxWait.
func (x *exchange) leastLoaded(targets []fleet.Target, maxWait time.Duration) (*assignment, refusal) {
	var soonest fleet.Target
	why := refusal{reason: "targets at their rate limits"}
	for i, t := range x.byLoad(targets) {
		wait, granted := x.g.permit(x.ctx, t, 0)
		if granted {
			return x.g.assign(t), refusal{}
		}
		if i == 0 || wait < why.wait {
			soonest, why.wait = t, wait
		}
	}
	if why.wait > maxWait {
		return nil, why
	}
	wait, granted := x.g.permit(x.ctx, soonest, maxWait)
	if !granted {
		why.wait = wait
		return nil, why
	}
	if wait <= 0 {
		return x.g.assign(soonest), refusal{}
	}
	select {
	case <-x.ctx.Done():
		return nil, refusal{reason: "timed out"}
	case <-time.After(wait):
		return x.g.assign(soonest), refusal{}
	}
}

// maxPermitWait returns how long the request may wait for a permit.
func (x *exchange) maxPermitWait() time.Duration {
	share := time.Duration(permitObjectiveShare * float64(x.route.Objective))
	return max(min(time.Until(x.began.Add(share)), x.remaining()-minRemaining, x.untilStop()), 0)
}

// renewPermits tells agents regularly for which targets this gateway asks them for
// permits, and what the targets state, so that an agent that has just started knows it.
func (g *Gateway) renewPermits() {
	limited := func(t ident.Target) bool { _, ok := g.notices.Limit(t); return ok }
	if !g.permits.forget(limited, time.Now()) {
		return
	}
	for _, n := range g.notices.All() {
		t, known := g.fleet.Find(n.Target)
		if !n.Limited || !known || g.hasAgent(t) {
			continue
		}
		go g.tellPermitAgent(t)
	}
}

// hasAgent reports whether a target is an engine, which has an agent of its own.
func (g *Gateway) hasAgent(t fleet.Target) bool {
	c := g.directory.Configuration()
	return c != nil && c.Services[t.Service].Engine != nil
}
