// Package quota keeps the requests of each client account within its quota over all
// gateways. It does no I/O, and callers pass in the current time.
//
// An account's limit is split into shares, each kept by one holder: a process that
// several gateways ask. Holders need no agreement, since none hands out the share of
// another. It handles one account that sends far more than its quota, traffic that jumps
// between gateways, and gateways and holders that are paused, cut off or start again.
package quota

import (
	"math"
	"time"

	"github.com/hyssoproad/hyssoproad/platform"
)

// Limits are a rate in units per second, and the units that may be used at once.
type Limits struct{ PerSecond, Burst float64 }

// Rules are the deployment's parameters of the window rule.
type Rules struct {
	// Window is the time over which quotas are judged, and Excess and Slack are by how
	// much they may be exceeded in it: a share of them, and units.
	Window        time.Duration
	Excess, Slack float64
}

const (
	// maxLifetime bounds the time from a grant to the run that it pays for.
	maxLifetime = time.Second
	// lifetimeShare is the share of the excess that grants before a window may use in it.
	lifetimeShare = 0.25
	// minLifetime allows for a few round trips in a deployment that tolerates no excess.
	minLifetime = 200 * time.Millisecond
	// burstSlackShare is the share of the slack that is added to the limits. An account
	// that has quota left in total has little left in each share, and the burst of a small
	// account split over three holders is less than one large request.
	burstSlackShare = 0.5
	// maxBurstIncrease bounds that addition, as a share of the burst: the slack may be
	// far above the quota of an account that counts requests.
	maxBurstIncrease = 0.5
	// minAloneShare and maxAloneShare bound the share of an account's rate that gateways
	// use in all while they reach no holder.
	minAloneShare, maxAloneShare = 0.05, 0.5
	// aloneExcessShare is the share of the excess that they use in all.
	aloneExcessShare = 0.5
)

// Lifetime returns the time from a grant to the last moment at which the request that it
// pays for may run. What was granted before a window runs in it, beside the whole limit of
// the window, so that this must stay within the excess.
func (r Rules) Lifetime() time.Duration {
	return min(max(time.Duration(lifetimeShare*r.Excess*float64(r.Window)), minLifetime), maxLifetime)
}

// AloneShare returns the share of an account's rate that is used by gateways which reach
// no holder. The holders may hand out the whole limit to others meanwhile.
func (r Rules) AloneShare() float64 {
	return min(max(aloneExcessShare*r.Excess, minAloneShare), maxAloneShare)
}

// ShareOf returns the limits of each of n shares of an account's limits.
func (r Rules) ShareOf(l Limits, n int) ShareLimits {
	slack := min(burstSlackShare*r.Slack, maxBurstIncrease*l.Burst)
	each := 1 / float64(max(n, 1))
	return ShareLimits{
		PerSecond: l.PerSecond * each,
		Burst:     (l.Burst + slack) * each,
		Sum:       (l.PerSecond*r.Window.Seconds() + l.Burst + slack) * each,
		Window:    r.Window,
	}
}

// LimitsOf returns the limits of an account, and whether it has any.
func LimitsOf(a *platform.Account) (l Limits, limited bool) {
	if a == nil || a.PerSecond <= 0 {
		return Limits{}, false
	}
	// Without a burst nothing could ever be used.
	return Limits{a.PerSecond, max(a.Burst, a.PerSecond*minBurstTime.Seconds(), 1)}, true
}

// minBurstTime is the time whose quota may be used at once at least, if the account
// states a smaller burst or none.
const minBurstTime = 100 * time.Millisecond

// Cost returns what a request of the account costs, given the prompt tokens and the limit
// of output tokens that it states, both 0 if it states none.
func Cost(a *platform.Account, promptTokens, outputTokens int) float64 {
	if a.Unit != platform.QuotaTokens {
		return 1
	}
	if promptTokens == 0 && outputTokens == 0 {
		return a.PlainTokens
	}
	return float64(promptTokens) + float64(outputTokens)
}

// timeFor returns how long it takes to gain an amount at a rate.
func timeFor(amount, perSecond float64) time.Duration {
	if amount <= 0 {
		return 0
	}
	seconds := amount / perSecond
	if !(seconds < maxWait.Seconds()) {
		return maxWait
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// maxWait bounds the waits that are told to callers.
const maxWait = time.Minute
