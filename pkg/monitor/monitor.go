// Package monitor serves a process's health checks, version, metrics, traffic
// counters and profiles.
package monitor

import (
	"encoding/json"
	"net"
	"net/http"
	_ "net/http/pprof" // profiles on the status listener
	"runtime/debug"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/exposition"
	"github.com/hyssoproad/hyssoproad/pkg/kernel"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "monitor",
		Provide: []any{exposition.New, New},
		Start:   func(*Monitor) {},
	})
}

// Monitor is the status server of a process.
type Monitor struct {
	common.Common
	server *fasthttp.Server
}

// New returns a monitor. It listens on the status address once lifecycle
// starts it.
func New(c common.Common, p settings.Process, m exposition.Metrics, lifecycle *kernel.Lifecycle) *Monitor {
	r := router.New()
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", func(ctx *fasthttp.RequestCtx) {
		if err := lifecycle.Ready(); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.SetBodyString("ready\n")
	})
	r.GET("/version", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(Version() + "\n") })
	r.GET("/metrics", m.Handler())
	r.GET("/traffic", func(ctx *fasthttp.RequestCtx) { writeTraffic(ctx) })
	r.GET("/debug/pprof/{profile:*}", fasthttpadaptor.NewFastHTTPHandler(http.DefaultServeMux))
	mon := &Monitor{Common: c.With("monitor"), server: &fasthttp.Server{Handler: r.Handler, Name: "hyssoproad"}}
	lifecycle.Append(exposition.Observer("monitor", func() error { return mon.start(p.Status) }, mon.server))
	return mon
}

// writeTraffic responds with the traffic counters of the process's links.
func writeTraffic(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(link.CountTraffic()); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

func (m *Monitor) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	go func() {
		if err := m.server.Serve(listener); err != nil {
			m.Warn("msg", "status listener failed", "err", err)
		}
	}()
	return nil
}

// Version returns the program's version from its build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version + " " + s.Value
		}
	}
	return info.Main.Version
}
