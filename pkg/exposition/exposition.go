// Package exposition shows a process's metrics as text.
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

// Metrics is the process's root scope and its exposition.
type Metrics struct {
	Scope    tally.Scope
	reporter prometheus.Reporter
}

// New returns the root scope.
func New(life *kernel.Lifecycle) Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hyssoproad", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	life.Append(kernel.Hook{Name: "metrics", Stop: func(context.Context) error { return closer.Close() }})
	return Metrics{Scope: scope, reporter: reporter}
}

// Handler answers with the metrics as text.
func (m Metrics) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(m.reporter.HTTPHandler())
}
