package gateway

import (
	"context"
	"net/url"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/affinity"
	"github.com/hyssoproad/hyssoproad/pkg/explain"
	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/placement"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
	"github.com/hyssoproad/hyssoproad/pkg/quota"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// explainPage answers where a request would go.
func (g *Gateway) explainPage(ctx context.Context, v url.Values) (any, error) {
	q, err := explain.ParseQuery(v)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return g.Explain(ctx, q)
}

// Explain returns where a request would go now, and why. It asks the functions that place
// requests, and sends nothing but questions to agents. It returns a NotValid error for an
// account that the configuration does not have.
func (g *Gateway) Explain(ctx context.Context, q explain.Query) (*explain.Answer, error) {
	if q.Attempt == "" {
		q.Attempt = uuid.NewString()
	}
	out := &explain.Answer{Gateway: g.node.VM, Domain: g.node.Domain, Attempt: q.Attempt, Targets: []explain.Target{}, RuledOut: []explain.Target{}}
	out.Knowledge = explain.Knowledge{TargetList: millis(g.targetList.Age(time.Now())), Gateways: g.entryCount.Estimate(), Parts: g.placing.known.Size()}
	if !g.synced.complete() {
		out.Outcome = refused(fasthttp.StatusServiceUnavailable, "no configuration yet", syncRetryAfter)
		return out, nil
	}
	route, c := g.directory.Find(q.Host, q.Path)
	out.Knowledge.Configuration = c.Version
	if route == nil {
		out.Outcome = refused(fasthttp.StatusNotFound, "no route", 0)
		return out, nil
	}
	out.Route = route.Name
	x, cancel := g.explained(ctx, q, route, c)
	defer cancel(nil)
	account, why, err := x.explainAccount(q, c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	out.Account = account
	out.Service = string(x.service.Name)
	if why != "" {
		out.Outcome = refused(fasthttp.StatusUnauthorized, why, 0)
		return out, nil
	}
	if bans := len(g.requests.Bans(g.node.VM, time.Now()).Requests); bans > 0 && !q.HasFingerprint() {
		out.Bans = &explain.Bans{Requests: bans}
	}
	x.explain(out)
	return out, nil
}

// explained returns an exchange for a request that is not served.
func (g *Gateway) explained(ctx context.Context, q explain.Query, route *platform.Route, c *platform.Configuration) (*exchange, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	parts := []byte(q.Parts)
	now := time.Now()
	var identity *quarantine.Fingerprint
	if q.HasFingerprint() {
		identity = &q.Fingerprint
	}
	return &exchange{
		identity: identity,
		g:        g, ctx: ctx, cancel: cancel, began: now, deadline: now.Add(route.Timeout), route: route, configuration: c,
		service: c.Services[pickService(route, q.Attempt)], suspendedBefore: g.suspended(),
		q: &request{
			path: q.Path, attempt: q.Attempt, weights: ident.Weights{Model: q.Model, AdapterVersion: ident.AdapterVersion{Adapter: q.Adapter}},
			parts: platform.ParsePromptParts(parts), prompt: platform.ParsePrompt(parts), promptTokens: q.PromptTokens, maxOutputTokens: q.OutputTokens,
		},
	}, cancel
}

// explainAccount returns the request's account, and why the request is refused for lack of
// one.
func (x *exchange) explainAccount(q explain.Query, c *platform.Configuration) (a *explain.Account, why string, err error) {
	if q.Account == "" {
		if len(c.Accounts) > 0 && !x.route.Public {
			return nil, "the route needs the key of an account, and no account is given", nil
		}
		return nil, "", nil
	}
	i := slices.IndexFunc(c.Accounts, func(a platform.Account) bool { return a.Name == q.Account })
	if i < 0 {
		return nil, "", errors.NotValidf("account %q, which configuration %d does not have,", q.Account, c.Version)
	}
	account := c.Accounts[i]
	out := &explain.Account{
		Name: account.Name, Unit: quotaUnits[account.Unit], PerSecond: account.PerSecond, Burst: account.Burst,
		Cost: quota.Cost(&account, q.PromptTokens, q.OutputTokens), Quota: "no limit",
	}
	if account.PerSecond > 0 {
		var wait time.Duration
		out.Quota, wait = x.g.quotaLeft(account, out.Cost)
		out.Wait = millis(wait)
	}
	return out, "", nil
}

// explain fills in what would happen to the request.
func (x *exchange) explain(out *explain.Answer) {
	now := time.Now()
	listed := x.g.fleet.Available(x.service.Name)
	targets := x.g.eligibleTargets(x.service.Name, x.excluded)
	for _, t := range x.g.fleet.Known(x.service.Name) {
		if slices.ContainsFunc(targets, func(o fleet.Target) bool { return o.Instance == t.Instance }) {
			continue
		}
		out.RuledOut = append(out.RuledOut, x.explainRuledOut(t, listed, now))
	}
	if x.needsGrant() {
		out.Weights = x.weights().String()
		x.explainEngines(out, targets, now)
	} else {
		x.explainPlain(out, targets, now)
	}
	if x.overdue() {
		out.Outcome = refusedFor(x.stopRefusal())
	} else if why, banned := x.banned(); banned {
		out.Outcome = refusedFor(why)
		out.Outcome.Reason += ": " + why.detail
	} else if len(targets) == 0 {
		why := x.noTarget()
		if out.Outcome = refusedFor(why); x.g.fleet.Settling(now) {
			out.Outcome = explain.Outcome{Action: explain.ActionWait, Reason: why.reason + ", but live ones may not be listed yet", Wait: millis(x.maxGrantWait())}
		}
	}
}

func (x *exchange) explainRuledOut(t fleet.Target, listed []fleet.Target, now time.Time) explain.Target {
	out := x.explainTarget(t, now)
	if !slices.ContainsFunc(listed, func(o fleet.Target) bool { return o.Instance == t.Instance }) {
		out.RuledOut = explain.Draining
		return out
	}
	out.RuledOut = x.g.exclusion(t, x.excluded, now)
	out.RuledOutFor = millis(x.g.notices.Pause(processOf(t), now))
	return out
}

// explainPlain explains a request that needs no grant.
func (x *exchange) explainPlain(out *explain.Answer, targets []fleet.Target, now time.Time) {
	out.Order = explain.OrderLoad
	why := refusal{reason: "targets at their rate limits"}
	for i, t := range x.byLoad(targets) {
		target := x.explainTarget(t, now)
		load := x.g.loads.perSlot(t)
		target.LoadPerSlot = &load
		out.Targets = append(out.Targets, target)
		wait := x.g.permits.denied(t.Instance, now)
		switch {
		case out.Outcome.Action != "":
		case target.Limit == nil:
			out.Outcome = explain.Outcome{Action: explain.ActionSend, Target: t.Instance}
		case wait == 0:
			out.Outcome = explain.Outcome{Action: explain.ActionAsk, Target: t.Instance, Reason: "it states a rate limit, which an agent apportions"}
		case i == 0 || wait < why.wait:
			why.wait = wait
		}
	}
	if out.Outcome.Action != "" {
		return
	}
	if out.Outcome = refusedFor(why); why.wait <= x.maxPermitWait() {
		out.Outcome = explain.Outcome{Action: explain.ActionWait, Reason: why.reason, Wait: millis(why.wait)}
	}
}

// explainEngines explains a request that needs a grant.
func (x *exchange) explainEngines(out *explain.Answer, targets []fleet.Target, now time.Time) {
	speed, _ := x.g.placing.speed(x.service.Name)
	out.Knowledge.AdapterLoad, out.Knowledge.TokensPerMS = millis(speed.Load), speed.TokensPerMS
	w := x.weights()
	p := x.place(targets, w)
	out.Order = explain.OrderHomes
	if p.ranked != nil {
		out.Order = explain.OrderCost
	}
	for _, t := range p.homes {
		target := x.explainTarget(t, now)
		target.HoldsAdapter = w.IsZero() || x.g.holds(w, t.Address)
		for _, r := range p.ranked {
			if r.Instance == t.Instance {
				target.Cost = explainCost(r.Cost)
			}
		}
		out.Targets = append(out.Targets, target)
	}
	asked, unknown := ident.Target(""), false
	why, soonest := x.askInOrder(p, w, func(t fleet.Target, opts grantOptions) wire.GrantReply {
		reply, agent := x.preview(t, w, opts)
		i := slices.IndexFunc(out.Targets, func(o explain.Target) bool { return o.Target == t.Instance })
		out.Targets[i].Agent = agent
		if asked == "" && (agent.Answer == answerUnknown || reply.Code == wire.GrantIssued) {
			asked, unknown = t.Instance, agent.Answer == answerUnknown
		}
		return reply
	})
	switch {
	case unknown:
		out.Outcome = explain.Outcome{Action: explain.ActionAsk, Target: asked, Reason: "its agent's answer is not known"}
	case asked != "":
		out.Outcome = explain.Outcome{Action: explain.ActionSend, Target: asked}
	case soonest == nil || why.wait >= x.maxGrantWait():
		out.Outcome = refusedFor(why)
	default:
		out.Outcome = explain.Outcome{Action: explain.ActionWait, Target: soonest.Instance, Reason: why.reason + ": " + why.cause.String(), Wait: millis(why.wait)}
	}
}

// The answers of an agent.
const answerUnknown = "unknown"

var answerNames = map[wire.GrantCode]string{0: "waits", wire.GrantIssued: "granted", wire.GrantBusy: "busy", wire.GrantUnable: "unable"}

// preview asks a target's agent what it would answer now, over the link that requests use. A
// request that would wait at the agent counts as granted, since the gateway waits too.
func (x *exchange) preview(t fleet.Target, w ident.Weights, opts grantOptions) (wire.GrantReply, *explain.Agent) {
	unable := wire.GrantReply{Code: wire.GrantUnable}
	conn := x.g.agents.establishedTo(t, setupID{configuration: x.configuration.Version, instance: t.Instance})
	if conn == nil || !conn.Reads(link.KindGrantPreview) {
		return unable, &explain.Agent{Answer: answerUnknown, Reason: "no link to it, or it does not read the question"}
	}
	ctx, cancel := context.WithTimeout(x.ctx, agentReplyTimeout)
	defer cancel()
	var reply wire.GrantPreviewReply
	if err := conn.Call(ctx, link.KindGrantPreview, &wire.GrantPreview{Request: x.grantRequest(w, opts)}, link.KindGrantPreviewReply, &reply); err != nil {
		x.g.Debug("msg", "no answer to a preview", "target", t.Instance, "err", err)
		return unable, &explain.Agent{Answer: answerUnknown, Reason: "no answer"}
	}
	out := &explain.Agent{Answer: answerNames[reply.Reply.Code], Wait: explain.Milliseconds(reply.Reply.WaitMS), Waiting: reply.Waiting, Running: reply.Running}
	if reply.Reply.Reason != wire.ReasonNone {
		out.Reason = reply.Reply.Reason.String()
	}
	if reply.Reply.Code == 0 {
		reply.Reply.Code = wire.GrantIssued
	}
	return reply.Reply, out
}

func millis(d time.Duration) explain.Milliseconds {
	return explain.Milliseconds(d) / explain.Milliseconds(time.Millisecond)
}

// ageOf returns an age, or -1 if nothing is known.
func ageOf(age time.Duration, known bool) explain.Milliseconds {
	if !known {
		return -1
	}
	return millis(age)
}

func refused(status int, reason string, retryAfter time.Duration) explain.Outcome {
	return explain.Outcome{Action: explain.ActionRefuse, Status: status, Reason: reason, RetryAfter: millis(retryAfter)}
}

// refusedFor returns the answer to a request that no target takes.
func refusedFor(why refusal) explain.Outcome {
	reason := why.reason
	if why.cause != wire.ReasonNone {
		reason += ": " + why.cause.String()
	}
	return refused(fasthttp.StatusServiceUnavailable, reason, why.retryAfter())
}

func explainCost(c placement.Cost) *explain.Cost {
	return &explain.Cost{
		Wait: millis(c.Wait), Load: millis(c.Load), Prefill: millis(c.Prefill), Way: millis(c.Way), Copy: millis(c.Copy), Total: millis(c.Total()),
	}
}

// explainTarget returns what is known of a target.
func (x *exchange) explainTarget(t fleet.Target, now time.Time) explain.Target {
	requests, slots, loadAge := x.g.loads.engineLoad(t, now)
	wait := x.g.placing.waits.At(t.Address, now)
	pace, paceAge, paceKnown := x.g.pace(t.Instance)
	out := explain.Target{
		Target: t.Instance, Address: t.Address, Domain: t.Domain, Requests: requests, Slots: slots, LoadAge: ageOf(loadAge, loadAge > 0),
		Backlog: wait.Backlog, Forecast: millis(wait.Busy), ForecastAge: ageOf(wait.Age, wait.Age > 0),
		Pace: pace, PaceAge: ageOf(paceAge, paceKnown), KeptAge: -1,
	}
	if x.needsGrant() {
		kept, _ := x.kept([]fleet.Target{t}, affinity.NewPrompt(x.weights(), x.q.prompt), now)
		out.Kept = kept[0].All
		if out.Kept > 0 {
			out.KeptAge = millis(kept[0].Age)
		}
	}
	if limit, limited := x.g.notices.Limit(t.Instance); limited {
		out.Limit = &explain.Limit{PerSecond: limit.PerSecond, Age: millis(limit.Age(now)), Denied: millis(x.g.permits.denied(t.Instance, now))}
	}
	return out
}
