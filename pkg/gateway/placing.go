package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/affinity"
	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/placement"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// PrefixAffinity says for which services requests are placed by their cost.
type PrefixAffinity string

// Values of PrefixAffinity.
const (
	AffinityAuto PrefixAffinity = "auto" // for services whose engines state a pace
	AffinityOn   PrefixAffinity = "on"   // for all services with engines
	AffinityOff  PrefixAffinity = "off"  // for none: engines are asked in the order of the adapter's homes
)

// parsePrefixAffinity returns a NotValid error for an unknown value.
func parsePrefixAffinity(s string) (PrefixAffinity, error) {
	switch a := PrefixAffinity(s); a {
	case AffinityAuto, AffinityOn, AffinityOff:
		return a, nil
	}
	return "", errors.NotValidf("prefix-affinity %q (known: auto, on, off)", s)
}

const (
	// engineLoadTTL is how long the reported requests of other gateways at an engine
	// count: a gateway hears from one engine every few seconds, and requests last as long.
	engineLoadTTL = 2 * time.Second
)

// placing is what requests for engines are weighed by.
type placing struct {
	mode  PrefixAffinity
	known *affinity.Table
	waits *placement.Waits

	mu     sync.Mutex
	speeds map[ident.Service]*placement.Speeds
}

func newPlacing() *placing {
	return &placing{mode: AffinityAuto, known: affinity.New(time.Now()), waits: placement.NewWaits(), speeds: make(map[ident.Service]*placement.Speeds)}
}

// learned returns what was learned of a service's engines, to add to it.
func (p *placing) learned(s ident.Service) *placement.Speeds {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.speeds[s]
	if out == nil {
		out = placement.NewSpeeds()
		p.speeds[s] = out
	}
	return out
}

// speed returns how fast a service's engines are, and the mean memory of a request.
func (p *placing) speed(s ident.Service) (placement.Speed, float64) {
	p.mu.Lock()
	out := p.speeds[s]
	p.mu.Unlock()
	if out == nil {
		out = placement.NewSpeeds()
	}
	return out.Speed(), out.RequestTokens()
}

// currentPace returns the pace of a target in percent, or 0 if it is unknown.
func (g *Gateway) currentPace(t ident.Target) float64 {
	percent, _, known := g.pace(t)
	if !known {
		return 0
	}
	return percent
}

// weighsCost reports whether requests are placed by their cost on the engines.
func (x *exchange) weighsCost(engines []fleet.Target) bool {
	switch x.g.placing.mode {
	case AffinityOn:
		return true
	case AffinityOff:
		return false
	}
	return slices.ContainsFunc(engines, func(t fleet.Target) bool { _, _, known := x.g.pace(t.Instance); return known })
}

// placed is where a request may go.
type placed struct {
	homes []fleet.Target // the targets to ask, in order
	// candidate may switch to the requested base model.
	candidate ident.Target
	// ranked are the candidates whose cost was weighed, nil if none was.
	ranked []placement.Ranked
}

// place returns where the request may go. For a service with several base models these
// are the holders of the requested model, followed by the candidate that may switch to it.
func (x *exchange) place(targets []fleet.Target, w ident.Weights) (p placed) {
	now := time.Now()
	list := x.g.spread.Rotate(w, x.g.replicas.PreferCopies(w, x.g.homes(targets, w), x.g.holdings.Holders(w), now), now, hash(x.q.attempt))
	if len(x.service.Engine.Models) < 2 {
		list, p.ranked = x.byCost(list, w)
		p.homes = x.limitedLast(list)
		return p
	}
	list, p.ranked = x.byCost(placement.Holders(list, w.Model), w)
	p.homes = list[:min(len(list), maxAgents-1)]
	if t, ok := placement.SwitchCandidate(targets, w.Model); ok {
		p.homes, p.candidate = append(p.homes, t), t.Instance
	}
	return p
}

// byCost returns the homes with the first ones, which are the candidates of a request, in
// ascending order of cost, and these costs.
func (x *exchange) byCost(homes []fleet.Target, w ident.Weights) ([]fleet.Target, []placement.Ranked) {
	ranked := x.rankByCost(homes, w, time.Now())
	if ranked == nil {
		return homes, nil
	}
	out := make([]fleet.Target, 0, len(homes))
	for _, r := range ranked {
		out = append(out, r.Target)
	}
	for _, t := range homes {
		if !slices.ContainsFunc(ranked, func(r placement.Ranked) bool { return r.Instance == t.Instance }) {
			out = append(out, t)
		}
	}
	return out, ranked
}

// rankByCost returns the candidates of a request in ascending order of cost, or nil if they are
// not weighed by cost. It changes nothing.
func (x *exchange) rankByCost(homes []fleet.Target, w ident.Weights, now time.Time) []placement.Ranked {
	if !x.weighsCost(homes[:min(placement.MaxCandidates, len(homes))]) {
		return nil
	}
	prompt := affinity.NewPrompt(w, x.q.prompt)
	if w.IsZero() && !prompt.IsZero() {
		// Without an adapter, engines that keep the prompt may be anywhere among the homes.
		homes = addressesFirst(homes, x.g.placing.known.Holders(prompt, now))
	}
	homes = homes[:min(placement.MaxCandidates, len(homes))]
	candidates := x.candidates(homes, w, prompt, now)
	speed, _ := x.g.placing.speed(x.service.Name)
	return placement.ByCost(candidates, placement.Demand{PromptTokens: x.promptTokens(prompt), Tie: hash(x.q.attempt)}, speed)
}

// promptTokens returns the length of the request's prompt.
func (x *exchange) promptTokens(p affinity.Prompt) int { return max(x.q.promptTokens, p.Tokens()) }

// candidates returns what is known of the homes of a request.
func (x *exchange) candidates(homes []fleet.Target, w ident.Weights, prompt affinity.Prompt, now time.Time) []placement.Candidate {
	kept, needed := x.kept(homes, prompt, now)
	width := max(x.g.spread.Width(w, now), needed)
	out := make([]placement.Candidate, len(homes))
	for i, t := range homes {
		requests, slots, _ := x.g.loads.engineLoad(t, now)
		wait := x.g.placing.waits.At(t.Address, now)
		out[i] = placement.Candidate{
			Target: t, Requests: requests, Slots: slots, Backlog: wait.Backlog, Busy: wait.Busy, Pace: x.g.currentPace(t.Instance),
			Holds: w.IsZero() || x.g.holdings.Holds(w, t.Address) || x.g.replicas.Holds(w, t.Address, now),
			Spare: !w.IsZero() && i >= width, Kept: kept[i].Tokens, Far: t.Domain != x.g.node.Domain,
		}
	}
	return out
}

// kept returns what the targets are likely to keep of a prompt, and over how many engines
// the requests with its shared beginning are spread.
func (x *exchange) kept(targets []fleet.Target, prompt affinity.Prompt, now time.Time) ([]affinity.Kept, int) {
	speed, requestTokens := x.g.placing.speed(x.service.Name)
	free := func(t fleet.Target) int {
		if x.service.Engine.KVTokens == 0 {
			return -1
		}
		requests, _, _ := x.g.loads.engineLoad(t, now)
		return max(x.service.Engine.KVTokens-int(float64(requests)*requestTokens), 0)
	}
	demand := affinity.Demand{
		Gateways: x.g.entryCount.Estimate(),
		Work:     max(speed.Prefill(x.promptTokens(prompt)), speed.Run/time.Duration(max(x.service.Engine.Slots, 1))),
	}
	return x.g.placing.known.Kept(prompt, targets, free, demand, now)
}

// addressesFirst returns the targets with those at the addresses first.
func addressesFirst(targets []fleet.Target, addresses []string) []fleet.Target {
	if len(addresses) == 0 {
		return targets
	}
	out := make([]fleet.Target, 0, len(targets))
	var rest []fleet.Target
	for _, t := range targets {
		if slices.Contains(addresses, t.Address) {
			out = append(out, t)
			continue
		}
		rest = append(rest, t)
	}
	return append(out, rest...)
}

// engineLoad returns the requests that run or wait at an engine, as far as is known, its
// slots, and the age of what it has reported.
func (l *loadTracker) engineLoad(t fleet.Target, now time.Time) (requests, slots int, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slots = t.Slots
	v := l.byTarget[t.Instance]
	if v == nil {
		return 0, slots, 0
	}
	requests = v.ownRequests
	if v.reportedAt.IsZero() {
		return requests, slots, 0
	}
	age = now.Sub(v.reportedAt)
	if age < engineLoadTTL {
		requests += v.otherRequests
	}
	return requests, max(v.slots, t.Slots), age
}

// recordRefusal records what the refusal of a busy agent says of its engine.
func (x *exchange) recordRefusal(t fleet.Target, w ident.Weights, reply wire.GrantReply) {
	now := time.Now()
	if isCrowded(reply) {
		x.g.spread.Widen(w, now)
	}
	x.g.placing.waits.Forecast(t.Address, time.Duration(reply.WaitMS)*time.Millisecond, now)
	if reply.Reason == wire.ReasonEngineFull {
		// The engine needs the memory of what it keeps for the requests that run.
		x.g.placing.known.Drop(t.Address)
	}
}

// observeRun records what a granted request shows of its engine: the prompt that it reads and
// then keeps, and how long that takes. requested is when the grant was requested.
func (x *exchange) observeRun(a *assignment, w ident.Weights, held bool, requested time.Time) {
	if x.g.placing.mode == AffinityOff {
		return
	}
	learned, t := x.g.placing.learned(x.service.Name), a.target
	if !held {
		learned.RecordLoad(time.Since(requested))
	}
	prompt := affinity.NewPrompt(w, x.q.prompt)
	list, _ := x.kept([]fleet.Target{t}, prompt, time.Now())
	kept, tokens := list[0].All, x.promptTokens(prompt)
	unread := max(tokens-kept, 0)
	read := x.g.placing.waits.Begin(t.Address, unread)
	started := false
	reportFirstEvent, release := a.reportFirstEvent, a.release
	a.reportFirstEvent = func(d time.Duration) {
		started = true
		read()
		learned.RecordPrefill(unread, x.g.currentPace(t.Instance), d)
		x.g.placing.known.Record(prompt, t, unread+x.q.maxOutputTokens, time.Now())
		x.g.metrics.promptTokens.Inc(int64(tokens))
		x.g.metrics.keptTokens.Inc(int64(kept))
		reportFirstEvent(d)
	}
	a.release = func() {
		read()
		if started {
			learned.RecordRun(time.Since(a.acquired), tokens+x.q.maxOutputTokens)
		}
		release()
	}
}
