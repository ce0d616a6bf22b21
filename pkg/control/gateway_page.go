package control

import (
	"encoding/json"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

const (
	// gatewayTimeout bounds the wait for the answer of one gateway, which may ask agents.
	gatewayTimeout = 4 * time.Second
	// metricsPort is the port of a gateway's metrics listener.
	metricsPort = "9464"
)

// withMetricsPort adds the port of the metrics listener to an address without one.
func withMetricsPort(address string) string {
	if _, _, err := net.SplitHostPort(address); err == nil {
		return address
	}
	return net.JoinHostPort(address, metricsPort)
}

// readGatewayPage decodes a page of a gateway's metrics listener.
func readGatewayPage(address, page string, into any) error {
	client := &fasthttp.Client{
		MaxResponseBodySize: maxReplyBytes,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	status, body, err := client.GetTimeout(nil, "http://"+address+page, gatewayTimeout)
	if err != nil {
		return errors.Annotate(err, "not reached")
	}
	if status != fasthttp.StatusOK {
		var refused struct {
			Error string `json:"error"`
		}
		if err := json.Unmarshal(body, &refused); err != nil || refused.Error == "" {
			return errors.Errorf("status %d: the program is no gateway, or one of an earlier release", status)
		}
		return errors.New(refused.Error)
	}
	return errors.Annotate(json.Unmarshal(body, into), "answer")
}
