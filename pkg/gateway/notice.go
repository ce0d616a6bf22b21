package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
	"github.com/hyssoproad/hyssoproad/pkg/notice"
	"github.com/hyssoproad/hyssoproad/platform"
)

// observeNotice records what a target says about itself in a response.
func (x *exchange) observeNotice(a *assignment, res *forward.Response, sent time.Time) {
	if res.Status == fasthttp.StatusMisdirectedRequest {
		return // another target has this address
	}
	n := platform.ParseNotice(res.Header.All())
	if n.Limit == platform.LimitInvalid {
		x.g.Debug("msg", "invalid rate limit", "target", a.target.Instance, "request", x.q.attempt)
	}
	switch x.g.notices.Observe(a.target.Instance, n, sent, time.Now()) {
	case notice.LimitSet:
		x.g.Info("msg", "target states a rate limit", "target", a.target.Instance, "service", a.target.Service, "per-second", n.LimitPerSecond, "request", x.q.attempt)
	case notice.LimitEnded:
		x.g.Info("msg", "target states no rate limit any more", "target", a.target.Instance, "service", a.target.Service, "request", x.q.attempt)
	}
}
