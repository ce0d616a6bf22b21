package control

import (
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
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

// gatewayAddresses splits a list of addresses and adds the default port to those without.
func gatewayAddresses(list string) ([]string, error) {
	var out []string
	for _, a := range strings.Split(list, ",") {
		if a = strings.TrimSpace(a); a == "" {
			continue
		}
		a = withMetricsPort(a)
		if host, port, err := net.SplitHostPort(a); err != nil || host == "" || port == "" || strings.ContainsAny(a, "/ ") {
			return nil, errors.NotValidf("-gateway: address %q", a)
		}
		out = append(out, a)
	}
	if len(out) == 0 {
		return nil, errors.NotValidf("-gateway: no address")
	}
	return out, nil
}

// readGatewayPages reads a page of all gateways at once. Those that gave none have an error.
func readGatewayPages[T any](addresses []string, page string) ([]T, []error) {
	pages, errs := make([]T, len(addresses)), make([]error, len(addresses))
	var wait sync.WaitGroup
	for i, a := range addresses {
		wait.Go(func() { errs[i] = readGatewayPage(a, page, &pages[i]) })
	}
	wait.Wait()
	return pages, errs
}

// readGatewayPage decodes a page of a gateway's metrics listener.
func readGatewayPage(address, page string, into any) error {
	client := &fasthttp.Client{
		ConfigureClient:     httphead.Configure,
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
