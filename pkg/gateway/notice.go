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
	if !res.Named() || res.Status == fasthttp.StatusMisdirectedRequest {
		return // it may be of another request, or another target has this address
	}
	n := platform.ParseNotice(res.Header.All())
	if n.Limit == platform.LimitInvalid {
		x.g.Debug("msg", "invalid rate limit", "target", a.target.Instance, "request", x.q.attempt)
	}
	change := x.g.notices.Observe(a.target.Instance, n, sent, time.Now())
	if change == notice.Unchanged {
		return
	}
	x.g.logNotice(a.target.Instance, change, "request", x.q.attempt)
	if a.agent != nil {
		x.g.agents.sendNotice(a.agent, a.target.Instance)
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
	g.agents.sendNotice(conn, t.Instance)
}

// logNotice logs a change of what is known of a target, and its source.
func (g *Gateway) logNotice(target ident.Target, change notice.Change, source ...any) {
	switch change {
	case notice.LimitSet:
		limit, _ := g.notices.Limit(target)
		g.Info(append([]any{"msg", "target states a rate limit", "target", target, "per-second", limit.PerSecond}, source...)...)
	case notice.LimitEnded:
		g.Info(append([]any{"msg", "target states no rate limit any more", "target", target}, source...)...)
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
func (a *agentLinks) sendNotice(c *link.Conn, target ident.Target) {
	n := a.notices.Notice(target)
	_ = c.Notify(link.KindTargetNotice, &n)
}
