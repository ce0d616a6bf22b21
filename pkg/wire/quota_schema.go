package wire

import "github.com/hyssoproad/hyssoproad/pkg/ident"

//go:generate msgp -o quota_schema_gen.go -tests=false -io=false

//msgp:tuple QuotaLimits QuotaLimit QuotaRequest QuotaReply

// QuotaLimits tells an agent of which accounts it holds a share of the quota. A gateway
// sends it after a change of configuration, engines or link, before there are requests.
type QuotaLimits struct {
	Configuration uint64
	Limits        []QuotaLimit
}

// QuotaLimit is a share of an account's quota.
type QuotaLimit struct {
	Account ident.Account
	// PerSecond and Burst are those of the share, in the account's units.
	PerSecond, Burst float64
	// Joins reports that the agent takes the place of another that still answers.
	Joins bool
}

// QuotaRequest asks an agent for an amount of an account's quota.
type QuotaRequest struct {
	Account       ident.Account
	Configuration uint64
	// Need is granted as a whole or not at all. Wish is an amount beyond it for the
	// requests to come.
	Need, Wish float64
	// Returned is an amount that was granted before, by any agent, and not used.
	Returned float64
	// PerSecond and Burst are those of the agent's share, for one that does not know them.
	PerSecond, Burst float64
}

// QuotaReply answers a QuotaRequest.
type QuotaReply struct {
	// Granted is at least the needed amount, or 0.
	Granted float64
	WaitMS  int64 // until the needed amount may be had, in ms, if nothing was granted
}
