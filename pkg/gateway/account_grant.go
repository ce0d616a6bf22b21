package gateway

import (
	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// defaultGrantWeight is the weight of an account without a rate.
	defaultGrantWeight = 1
	// tokensPerRequest converts the rate of an account that counts requests, so that it
	// compares with those that count tokens. It is the order of magnitude of a prompt.
	tokensPerRequest = 1000
)

// grantWeight returns what an account is entitled to at an engine, relative to other
// accounts.
func grantWeight(a *platform.Account) float64 {
	switch {
	case a.PerSecond <= 0:
		return defaultGrantWeight
	case a.Unit == platform.QuotaRequests:
		return a.PerSecond * tokensPerRequest
	}
	return a.PerSecond
}

// openGrant opens the stream of a grant request. An agent of an earlier release is not
// told the account.
func openGrant(conn *link.Conn, a *platform.Account, r wire.GrantRequest) (*link.Stream, error) {
	if a == nil || !conn.Reads(link.KindAccountGrantRequest) {
		s, err := conn.Open(link.KindGrantRequest, &r)
		return s, errors.Trace(err)
	}
	s, err := conn.Open(link.KindAccountGrantRequest, &wire.AccountGrantRequest{Request: r, Account: a.Name, Weight: grantWeight(a)})
	return s, errors.Trace(err)
}
