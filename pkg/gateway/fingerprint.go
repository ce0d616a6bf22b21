package gateway

import (
	"net"

	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
)

// content returns what identifies the request if it comes again. The caller is the client
// account, or the address that the request comes from if it needs no key.
func (x *exchange) content() quarantine.RequestContent {
	caller := "address:" + x.c.remoteHost()
	if x.account != nil {
		caller = "account:" + string(x.account.Name)
	}
	return quarantine.RequestContent{Caller: caller, Method: x.q.method, Host: string(x.q.head.Host()), URI: x.q.uri, Body: x.q.body}
}

// remoteHost returns the address that the connection comes from, without the port.
func (c *callerConn) remoteHost() string {
	address := c.nc.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// fingerprint returns the request's fingerprint. It is computed at the first call.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.identity == nil {
		f := x.content().Fingerprint()
		x.identity = &f
	}
	return *x.identity
}

// connectionEnded reports whether the send that was abandoned last lost its connection: it
// was closed or reset, as it is when the target's process ends.
func (x *exchange) connectionEnded() bool {
	return x.abandoned != nil && x.abandoned.conn.Ended()
}
