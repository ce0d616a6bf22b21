package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/forward"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/notice"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// observeNotice records what a target says about itself in a response. If that is new,
// it tells the target's agent, or the one that apportions its rate limit.
func (x *exchange) observeNotice(a *assignment, res *forward.Response, sent time.Time) {
	if !x.speaksForTarget(res) {
		return
	}
	n := platform.ParseNotice(res.Header.All())
	if res.Status != fasthttp.StatusServiceUnavailable {
		n.RetryAfter = 0 // it is about the one request
	}
	if n.Limit == platform.LimitInvalid {
		x.g.Debug("msg", "invalid rate limit", "target", a.target.Instance, "request", x.q.attempt)
	}
	changes := x.g.notices.Observe(processOf(a.target), n, sent, time.Now())
	x.g.logNotice(a.target.Instance, changes, "request", x.q.attempt)
	if !changes.Any() {
		return
	}
	if a.agent != nil {
		x.g.sendNotice(a.agent, a.target.Instance)
		return
	}
	go x.g.tellPermitAgent(a.target)
}

// tellPermitAgent tells the agent that apportions a target's rate limit what the target
// says about itself.
func (g *Gateway) tellPermitAgent(t fleet.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), agentDialWait)
	defer cancel()
	conn, _, err := g.permitLink(ctx, t)
	if err != nil {
		g.Info("msg", "no agent to tell what a target says of itself", "target", t.Instance, "err", err)
		return
	}
	g.sendNotice(conn, t.Instance)
}

// tellKnown tells an engine's agent what the engine has said about itself, if anything.
func (g *Gateway) tellKnown(c *link.Conn, t fleet.Target) {
	if n := g.notices.Notice(t.Instance); n.Limited || n.Leaving {
		g.sendNotice(c, t.Instance)
	}
}

// processOf returns the process of a target that is listed.
func processOf(t fleet.Target) notice.Process {
	return notice.Process{Target: t.Instance, StartMS: t.StartMS}
}

// mayReceive reports whether a target may still receive requests, by the list of targets
// and by what it says about itself.
func (g *Gateway) mayReceive(t fleet.Target) bool {
	return g.fleet.Usable(t) && g.wantsRequests(t)
}

// paused reports whether a target's process wants no requests for now.
func (g *Gateway) paused(p notice.Process, now time.Time) bool {
	return g.notices.Pause(p, now) > 0
}

// wantsRequests reports whether a target says neither that it is leaving nor that it wants
// no requests from this gateway for now.
func (g *Gateway) wantsRequests(t fleet.Target) bool {
	p := processOf(t)
	return !g.notices.Leaving(p) && !g.paused(p, time.Now())
}

// pause returns how long all of the service's targets want no requests from this gateway,
// or 0 if one does or there are none.
func (g *Gateway) pause(s ident.Service) time.Duration {
	var least time.Duration
	for _, t := range g.fleet.Available(s) {
		p := processOf(t)
		if g.notices.Leaving(p) {
			continue
		}
		pause := g.notices.Pause(p, time.Now())
		if pause == 0 {
			return 0
		}
		if least == 0 || pause < least {
			least = pause
		}
	}
	return least
}

// logNotice logs changes of what is known of a target, and their source.
func (g *Gateway) logNotice(target ident.Target, changes notice.Changes, source ...any) {
	row := func(msg string, keyvals ...any) {
		g.Info(append(append([]any{"msg", msg, "target", target}, keyvals...), source...)...)
	}
	if changes.LimitSet {
		limit, _ := g.notices.Limit(target)
		row("target states a rate limit", "per-second", limit.PerSecond)
	}
	if changes.LimitEnded {
		row("target states no rate limit any more")
	}
	if changes.Pause > 0 {
		row("target wants no requests", "for", changes.Pause)
	}
	if changes.Leaves {
		row("target says that it is leaving")
	}
}

// handleTargetNotice records what a target has said about itself to another gateway.
func (g *Gateway) handleTargetNotice(_ context.Context, s *link.Stream, f link.Frame) error {
	var n wire.TargetNotice
	if _, err := n.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	g.logNotice(n.Target, g.notices.Adopt(n, time.Now()), "by", s.Conn().Peer.VM)
	return nil
}

// sendNotice tells an agent what a target has said about itself. A lost notice leaves the
// agent with what it hears from others, and from the engine itself.
func (g *Gateway) sendNotice(c *link.Conn, target ident.Target) {
	n := g.notices.Notice(target)
	if err := c.Notify(link.KindTargetNotice, &n); err != nil {
		g.Debug("msg", "failed to tell an agent what a target says of itself", "target", target, "agent", c.Peer.VM, "err", err)
	}
}
