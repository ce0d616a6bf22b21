package gateway

import "github.com/hyssoproad/hyssoproad/pkg/quarantine"

// content returns what identifies the request if it comes again. The caller is the client
// account or, if it needs no key, who it says it is to the target. Addresses are no callers:
// one caller has several, and targets don't see them.
func (x *exchange) content() quarantine.RequestContent {
	caller := "credentials:" + x.q.authorization
	if x.account != nil {
		caller = "account:" + string(x.account.Name)
	}
	return quarantine.RequestContent{Caller: caller, Method: x.q.method, Host: string(x.q.head.Host()), URI: x.q.uri, Body: x.q.body}
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
