package gateway

import (
	"context"
	"net"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/explain"
	"github.com/hyssoproad/hyssoproad/pkg/exposition"
	"github.com/hyssoproad/hyssoproad/pkg/follow"
	"github.com/hyssoproad/hyssoproad/pkg/kernel"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
	"github.com/hyssoproad/hyssoproad/pkg/quota"
	"github.com/hyssoproad/hyssoproad/platform"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "gateway",
		Provide: []any{newWithOptions},
		Start: func(g *Gateway, store *platform.Store, metrics exposition.Metrics, life *kernel.Lifecycle) {
			metrics.AddPage(explain.Path, g.explainPage)
			metrics.AddPage(quota.ReportPath, g.quotas.accountsPage)
			metrics.AddPage(quarantine.BansPath, g.bansPage)
			ctx, cancel := context.WithCancel(context.Background())
			life.Append(kernel.Hook{
				Name: "followers",
				Start: func(context.Context) error {
					g.bans.use(store)
					g.evidence.use(store)
					for _, f := range g.followers(follow.StoreSource(store)) {
						go f.Run(ctx)
					}
					go g.maintain(ctx)
					return nil
				},
				Stop: func(context.Context) error { cancel(); return nil },
			})
			life.Append(kernel.Hook{Name: "readiness", Start: g.startReadiness})
			life.Append(kernel.Hook{Name: "callers", Start: g.Start, Stop: g.Stop, Faces: true})
		},
	})
}

// parameters are what the container builds a gateway from.
type parameters struct {
	dig.In
	Common  common.Common
	Node    platform.Node
	Options *Options `optional:"true"`
	// Settings are read again at a stop.
	Settings platform.Settings `optional:"true"`
}

func newWithOptions(p parameters) *Gateway {
	g := New(p.Common, p.Node)
	if p.Settings.Path != "" {
		g.settings = p.Settings.Load
	}
	if p.Options != nil {
		g.placing.mode = p.Options.PrefixAffinity
	}
	return g
}

// startReadiness serves the balancer's health checks until the process ends.
func (g *Gateway) startReadiness(context.Context) error {
	r := router.New()
	r.GET(platform.ReadinessPath, func(ctx *fasthttp.RequestCtx) {
		if err := g.Ready(); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.SetBodyString("ready\n")
	})
	listener, err := net.Listen("tcp4", g.node.ReadinessAddress)
	if err != nil {
		return errors.Trace(err)
	}
	server := &fasthttp.Server{Handler: r.Handler, Name: "hyssoproad"}
	go func() {
		if err := server.Serve(listener); err != nil {
			g.Warn("msg", "readiness listener failed", "err", err)
		}
	}()
	return nil
}

// Check returns a NotValid error if the settings do not allow the process to serve
// callers.
func Check(n platform.Node) error {
	switch {
	case n.CallerAddress == "":
		return errors.NotValidf("listen.front: empty address")
	case n.ReadinessAddress == "":
		return errors.NotValidf("listen.ready: empty address")
	case n.StoreAddress == "":
		return errors.NotValidf("platform.address: empty address")
	}
	return nil
}
