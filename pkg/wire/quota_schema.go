package wire

import "github.com/hyssoproad/hyssoproad/pkg/ident"

//go:generate msgp -o quota_schema_gen.go -tests=false -io=false

//msgp:tuple QuotaLimits QuotaLimit QuotaShare QuotaRequest QuotaReply

// QuotaLimits tells an agent of which accounts it holds a share of the quota. A gateway
// sends it after a change of configuration, engines or link, before there are requests.
type QuotaLimits struct {
	Configuration uint64
	Limits        []QuotaLimit
}

// QuotaLimit is a share of an account's quota.
type QuotaLimit struct {
	Account ident.Account
	Share   QuotaShare
}

// QuotaShare is an agent's share of an account's quota.
type QuotaShare struct {
	// PerSecond, Burst and Sum are in the account's units: Sum is what may be granted in a
	// window.
	PerSecond, Burst, Sum float64
	WindowMS              int64
	// JoinDelayMS is set if the agent takes the place of another: for how long, in ms, that
	// one may still be asked.
	JoinDelayMS int64
}

// QuotaRequest asks an agent for an amount of an account's quota.
type QuotaRequest struct {
	Account       ident.Account
	Configuration uint64
	// Need is granted as a whole or not at all. Wish is an amount beyond it for the
	// requests to come.
	Need, Wish float64
	// Returned is an amount that was granted before, by any agent, and not used, and
	// ReturnedAgeMS for how long, in ms, a part of it has been granted at most.
	Returned      float64
	ReturnedAgeMS int64
	// Share is the agent's share, which it may not know.
	Share QuotaShare
	// Settled reports that the gateway has known the agent as a holder for longer than the
	// lists of two gateways differ.
	Settled bool
}

// QuotaReply answers a QuotaRequest.
type QuotaReply struct {
	// Granted is at least the needed amount, or 0.
	Granted float64
	WaitMS  int64 // until the needed amount may be had, in ms, if nothing was granted
}
