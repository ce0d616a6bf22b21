package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/account"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// denial is why a request may not be served for its key.
type denial uint8

const (
	denialNone denial = iota
	denialMissing
	denialUnknown
	// denialSeveral: the caller sent two keys.
	denialSeveral
	// denialUnconfirmed: the configuration may be out of date, and so may lack or still
	// hold the key.
	denialUnconfirmed
)

var denialNames = [...]string{"none", "no key", "unknown key", "several keys", "configuration not confirmed"}

// String returns the reason that the caller is told.
func (d denial) String() string { return denialNames[d] }

// status returns the status of the response.
func (d denial) status() int {
	switch d {
	case denialSeveral:
		return fasthttp.StatusBadRequest
	case denialUnconfirmed:
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusUnauthorized
}

// refusal returns the refusal of a request that waited or was sent before.
func (d denial) refusal() refusal {
	return refusal{reason: d.String(), denied: d, wait: trustRetryAfter}
}

// authenticate finds the client account of the request in the current configuration. It
// is called when the request has arrived and again before each send, since a key may be
// removed while its request waits.
func (x *exchange) authenticate() denial {
	if x.g.directory.Accounts().Empty() {
		return denialNone
	}
	// The state of the copy is read before the copy: a confirmation that comes in between
	// may be of a newer configuration.
	trusted, mayLackKeys := x.g.trusted(), x.g.mayLackKeys()
	rules := x.g.directory.Rules(string(x.q.head.Host()), x.q.path)
	if rules.Accounts.Empty() {
		return denialNone
	}
	x.q.dropAccountHeaders()
	route := rules.Route
	if route == nil {
		route = x.route // a newer configuration lacks it
	}
	if route.Public {
		x.account = nil
		return denialNone
	}
	switch {
	case x.q.severalKeys:
		return denialSeveral
	case !trusted:
		return denialUnconfirmed
	case x.q.key == "":
		return denialMissing
	}
	found := rules.Accounts.Find(x.q.key)
	switch {
	case found != nil:
		x.account = found
		return denialNone
	case mayLackKeys:
		return denialUnconfirmed
	}
	return denialUnknown
}

// routeRanks is the number of ranks of routes within one rank of accounts.
const routeRanks = 1 << 10

// maxAccountRank bounds the rank of an account, so that ranks can be combined.
const maxAccountRank = 1 << 20

// begunRank is the rank of the rest of a stream: fewer engines can serve it than a new one,
// and what its caller already has is worth nothing without it.
const begunRank = -1

// rank returns the request's urgency, the lowest being the most urgent. The account's rank
// takes precedence over that of the route, which stands in for the rank of requests without
// one.
func (x *exchange) rank() int {
	if x.origin.begun {
		return begunRank
	}
	if !x.g.directory.Accounts().Ranked() {
		return x.route.Rank
	}
	first := x.route.Rank
	if x.account != nil && x.account.HasRank {
		first = x.account.Rank
	}
	return min(max(first, 0), maxAccountRank)*routeRanks + min(max(x.route.Rank, 0), routeRanks-1)
}

// accountName returns the name that a target is told.
func (x *exchange) accountName() ident.Account {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// answerDenial answers a request that no target has run and that may not be served for its
// key. It reports whether the connection can be used further.
func (x *exchange) answerDenial(d denial) bool {
	wait := time.Duration(0)
	if d == denialUnconfirmed {
		wait = x.g.addJitter(trustRetryAfter)
	}
	return x.c.writeError(d.status(), d.String(), wait) == nil
}

// denialLogInterval is the least time between two rows about requests refused for their
// keys. Callers send any number of them.
const denialLogInterval = time.Second

// logDenial counts and logs that the request may not be served for its key.
func (x *exchange) logDenial(d denial) {
	x.g.metrics.denials[d].Inc(1)
	skipped, due := x.g.denialRows.Take(time.Now())
	if !due {
		return
	}
	key := ""
	if x.q.key != "" {
		key = account.Fingerprint(x.q.key)
	}
	age, _ := x.g.configurationCopy.Unconfirmed()
	x.g.Info("msg", "refused for its key", "request", x.q.attempt, "route", x.route.Name, "reason", d, "key", key, "held-by", x.accountName(), "remote", x.c.nc.RemoteAddr(),
		"sends", x.sends, "version", x.configuration.Version, "unconfirmed", age, "rows-left-out", skipped, "after", time.Since(x.began))
}
