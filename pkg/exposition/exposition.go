// Package exposition serves a process's metrics in the Prometheus text format.
package exposition

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/hyssoproad/hyssoproad/pkg/kernel"
)

const reportInterval = time.Second

// Metrics is the process's root metrics scope and its Prometheus reporter.
type Metrics struct {
	Scope    tally.Scope
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
	return Metrics{Scope: scope, reporter: reporter}
}

// Handler returns the HTTP handler that serves the metrics.
func (m Metrics) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(m.reporter.HTTPHandler())
}
