package node

import (
	"net"
	"strconv"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/exposition"
	"github.com/hyssoproad/hyssoproad/pkg/kernel"
	"github.com/hyssoproad/hyssoproad/platform"
)

// metricsPort and metricsPath match the metrics address in the deploy file.
const (
	metricsPort = 9464
	metricsPath = "/metrics"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "metrics", Start: serveMetrics})
}

// serveMetrics adds a listener that serves the process's metrics.
func serveMetrics(n platform.Node, c common.Common, m exposition.Metrics, life *kernel.Lifecycle) {
	r := router.New()
	r.GET(metricsPath, m.Handler())
	r.NotFound = m.Pages.Serve
	server := &fasthttp.Server{Handler: r.Handler, Name: "hyssoproad"}
	life.Append(exposition.Observer("metrics listener", func() error {
		listener, err := net.Listen("tcp4", net.JoinHostPort(n.IP, strconv.Itoa(metricsPort)))
		if err != nil {
			return errors.Trace(err)
		}
		go func() {
			if err := server.Serve(listener); err != nil {
				c.Warn("msg", "metrics listener failed", "err", err)
			}
		}()
		return nil
	}, server))
}
