package explain

import (
	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Milliseconds is a time in ms.
type Milliseconds float64

// Answer is where one gateway would send a request now, and why.
type Answer struct {
	Gateway ident.VM     `json:"gateway"`
	Domain  ident.Domain `json:"domain"`
	Attempt string       `json:"attempt"`
	Route   string       `json:"route,omitempty"`
	Service string       `json:"service,omitempty"`
	Weights string       `json:"weights,omitempty"`
	// Order says what orders the targets.
	Order   Order    `json:"order,omitempty"`
	Outcome Outcome  `json:"outcome"`
	Account *Account `json:"account,omitempty"`
	// Targets are those that are weighed, in the order in which they are asked.
	Targets []Target `json:"targets"`
	// RuledOut are the service's other targets.
	RuledOut []Target `json:"ruled-out"`
	// Bans is set if requests are banned and the query does not tell whether its is.
	Bans *Bans `json:"bans,omitempty"`
	// Knowledge is the age of what the gateway knows beside its targets.
	Knowledge Knowledge `json:"knowledge"`
}

// Order is what orders the targets of a request.
type Order string

// Values of Order.
const (
	OrderCost  Order = "cost"  // the expected time to the first event
	OrderHomes Order = "homes" // engines that hold the adapter, then its homes by hash
	OrderLoad  Order = "load"  // requests per slot
)

// Action is what happens to a request.
type Action string

// Values of Action.
const (
	ActionSend   Action = "send"   // sent to a target at once
	ActionAsk    Action = "ask"    // asked for a grant, whose answer is not known
	ActionWait   Action = "wait"   // waits for a target
	ActionRefuse Action = "refuse" // answered by the gateway
)

// Outcome is what would happen to the request.
type Outcome struct {
	Action Action       `json:"action"`
	Target ident.Target `json:"target,omitempty"`
	Reason string       `json:"reason,omitempty"`
	// Wait is the expected wait, with ActionWait, or with ActionSend that at the target.
	Wait Milliseconds `json:"wait-ms,omitempty"`
	// Status and RetryAfter are those of the answer, with ActionRefuse. A random part of
	// up to half of RetryAfter is added to it, unless ExactRetry is set.
	Status     int          `json:"status,omitempty"`
	RetryAfter Milliseconds `json:"retry-after-ms,omitempty"`
	// ExactRetry says that nothing is added to RetryAfter.
	ExactRetry bool `json:"exact-retry-after,omitempty"`
}

// Cost is the cost of a target by term, in ms.
type Cost struct {
	Wait Milliseconds `json:"wait-ms"`
	Load Milliseconds `json:"adapter-load-ms"`
	// Evict is the cost of loading again what the load evicts.
	Evict   Milliseconds `json:"eviction-ms,omitempty"`
	Prefill Milliseconds `json:"prefill-ms"`
	Way     Milliseconds `json:"way-ms"`
	Copy    Milliseconds `json:"adapter-copy-ms"`
	Total   Milliseconds `json:"total-ms"`
}

// Target is what a gateway knows of a target. An age of -1 means that nothing is known.
type Target struct {
	Target  ident.Target `json:"target"`
	Address string       `json:"address"`
	Domain  ident.Domain `json:"domain"`
	// RuledOut is why the target gets no request, empty if it may.
	RuledOut Exclusion `json:"ruled-out,omitempty"`
	// RuledOutFor is for how long, 0 if that is not known.
	RuledOutFor Milliseconds `json:"ruled-out-for-ms,omitempty"`
	// Cost is set if targets are ordered by it.
	Cost *Cost `json:"cost,omitempty"`
	// LoadPerSlot is set if targets are ordered by it.
	LoadPerSlot  *float64     `json:"load-per-slot,omitempty"`
	Requests     int          `json:"requests"`
	Slots        int          `json:"slots"`
	LoadAge      Milliseconds `json:"load-age-ms"`
	Backlog      int          `json:"unread-prompt-tokens"`
	Forecast     Milliseconds `json:"forecast-wait-ms"`
	ForecastAge  Milliseconds `json:"forecast-age-ms"`
	Pace         float64      `json:"pace-percent,omitempty"`
	PaceAge      Milliseconds `json:"pace-age-ms"`
	HoldsAdapter bool         `json:"holds-adapter"`
	Kept         int          `json:"kept-prompt-tokens"`
	KeptAge      Milliseconds `json:"kept-age-ms"`
	Limit        *Limit       `json:"rate-limit,omitempty"`
	Agent        *Agent       `json:"agent,omitempty"`
}

// Exclusion is why a target gets no request.
type Exclusion string

// Values of Exclusion.
const (
	NotExcluded Exclusion = ""
	Excluded    Exclusion = "tried"   // the request was already sent to it
	Draining    Exclusion = "leaving" // its record says that it drains, or another target has its address
	Leaving     Exclusion = "says that it is leaving"
	Paused      Exclusion = "wants no requests for now" // by Retry-After
	Ejected     Exclusion = "ejected"                   // it fails more often than others
	BreakerOpen Exclusion = "its circuit breaker is open"
	Spare       Exclusion = "spare: requests are packed on fewer targets"
	Unusable    Exclusion = "not usable"
)

// Limit is the rate limit that a target states.
type Limit struct {
	PerSecond float64      `json:"per-second"`
	Age       Milliseconds `json:"age-ms"`
	// Denied is how long no request may be sent to it, as far as is known.
	Denied Milliseconds `json:"denied-for-ms"`
}

// Agent is what an engine's agent answers now.
type Agent struct {
	// Answer is granted, busy, unable, waits, or unknown if the agent was not asked or
	// did not answer.
	Answer  string       `json:"answer"`
	Reason  string       `json:"reason,omitempty"`
	Wait    Milliseconds `json:"wait-ms,omitempty"`
	Waiting int          `json:"waiting"`
	Running int          `json:"running"`
}

// Bans is what is known of the whole requests that are refused because they crash targets.
// They are told by caller, method, host, path and body, which a query without a fingerprint
// does not state.
type Bans struct {
	Requests int `json:"requests"`
}

// Account is the client account of the request.
type Account struct {
	Name ident.Account `json:"name"`
	Unit string        `json:"unit"`
	// PerSecond and Burst are the quota, 0 without one, and Cost is what the request
	// takes of it.
	PerSecond float64 `json:"rate-per-s"`
	Burst     float64 `json:"burst"`
	Cost      float64 `json:"cost"`
	// Quota is what is known of the quota left.
	Quota string       `json:"quota"`
	Wait  Milliseconds `json:"wait-ms,omitempty"`
}

// Knowledge is the age of what a gateway knows.
type Knowledge struct {
	Configuration uint64 `json:"configuration-version"`
	// ConfigurationAge is the time since the version was last confirmed to be the latest, -1
	// if it never was, and 0 if that is not known.
	ConfigurationAge Milliseconds `json:"configuration-age-ms,omitempty"`
	TargetList       Milliseconds `json:"target-list-age-ms"`
	Gateways         int          `json:"gateways"`
	// Learned is what the gateway has learned of the service's engines.
	AdapterLoad Milliseconds `json:"adapter-load-ms,omitempty"`
	TokensPerMS float64      `json:"prefill-tokens-per-ms,omitempty"`
	Parts       int          `json:"known-prompt-beginnings"`
}
