// Package exposition serves a process's metrics in the Prometheus text format.
package exposition

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/hyssoproad/hyssoproad/pkg/kernel"
)

const reportInterval = time.Second

// Metrics is the process's root metrics scope and its Prometheus reporter.
type Metrics struct {
	Scope tally.Scope
	// Pages are the further pages of the listener that serves the metrics.
	Pages    *Pages
	reporter prometheus.Reporter
}

// New returns the process's metrics; they are closed when the process stops.
func New(life *kernel.Lifecycle) Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hyssoproad", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	life.Append(kernel.Hook{Name: "metrics", Stop: func(context.Context) error { return closer.Close() }})
	return Metrics{Scope: scope, Pages: NewPages(), reporter: reporter}
}

// StopGrace is how long a reader of metrics or checks may take when the process stops.
const StopGrace = 100 * time.Millisecond

// Observer returns the hook of a server that shows how the process is doing. Its stop
// waits for readers for at most StopGrace.
func Observer(name string, start func() error, server *fasthttp.Server) kernel.Hook {
	return kernel.Hook{
		Name: name, Observes: true,
		Start: func(context.Context) error { return start() },
		Stop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, StopGrace)
			defer cancel()
			if err := server.ShutdownWithContext(ctx); err != nil && ctx.Err() == nil {
				return errors.Trace(err)
			}
			return nil
		},
	}
}

// Handler returns the HTTP handler that serves the metrics.
func (m Metrics) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(m.reporter.HTTPHandler())
}
