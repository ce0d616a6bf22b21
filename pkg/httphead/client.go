package httphead

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Configure is a ConfigureClient function of a fasthttp.Client. It makes the client's calls
// fail with ErrMalformed if the head of the response is malformed.
func Configure(hc *fasthttp.HostClient) error {
	dial := dialFunc(hc)
	hc.DialTimeout = func(address string, timeout time.Duration) (net.Conn, error) {
		nc, err := dial(address, timeout)
		if err != nil {
			return nil, err
		}
		if !hc.IsTLS {
			return NewConn(nc), nil
		}
		return newSecureConn(nc, address, hc.TLSConfig)
	}
	return nil
}

// dialFunc returns the function with which the client would dial.
func dialFunc(hc *fasthttp.HostClient) fasthttp.DialFuncWithTimeout {
	dial := hc.Dial
	switch {
	case hc.DialTimeout != nil:
		return hc.DialTimeout
	case dial != nil:
		return func(address string, _ time.Duration) (net.Conn, error) { return dial(address) }
	}
	return func(address string, timeout time.Duration) (net.Conn, error) {
		if timeout > 0 {
			return fasthttp.DialTimeout(address, timeout)
		}
		return fasthttp.Dial(address)
	}
}

// secureConn is a Conn over TLS. Its Handshake method tells fasthttp to add no TLS of its own.
type secureConn struct {
	*Conn
	tls *tls.Conn
}

func newSecureConn(nc net.Conn, address string, config *tls.Config) (net.Conn, error) {
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			_ = nc.Close()
			return nil, errors.Annotate(err, "name of the TLS server")
		}
		config = config.Clone()
		config.ServerName = host
	}
	secure := tls.Client(nc, config)
	return &secureConn{Conn: NewConn(secure), tls: secure}, nil
}

// Handshake runs the TLS handshake, which otherwise runs with the first write.
func (c *secureConn) Handshake() error { return c.tls.Handshake() }
