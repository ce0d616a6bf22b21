package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/quota"
)

// reasonOverQuota is the reason that callers above their account's quota are told.
const reasonOverQuota = "over the quota of the account"

// pay pays the request's cost from its account's quota. If that is not possible, wait
// says when it may be.
func (x *exchange) pay() (o quotaOutcome, wait time.Duration) {
	if x.account == nil {
		return quotaPaid, 0
	}
	cost := quota.Cost(x.account, x.q.promptTokens, x.q.maxOutputTokens)
	x.charge, o, wait = x.g.quotas.take(x.ctx, x.account, x.configuration.Version, cost)
	return o, wait
}

// renewCharge pays again before a send if the charge has expired while the request waited.
func (x *exchange) renewCharge() (o quotaOutcome, wait time.Duration) {
	x.charge, o, wait = x.g.quotas.renew(x.ctx, x.charge)
	return o, wait
}

// settle puts the request's cost back if no target ran it.
func (x *exchange) settle() { x.g.quotas.settle(x.charge) }

// finishOverQuota ends a request that its account's quota has no room for.
func (x *exchange) finishOverQuota(o quotaOutcome, wait time.Duration) bool {
	if o == quotaAborted {
		return x.finishTimedOut(outcomeNotRun)
	}
	wait = x.g.addJitter(max(wait, minRetryAfter))
	x.g.quotas.logRefusal(x, o, wait)
	return x.c.writeError(fasthttp.StatusTooManyRequests, reasonOverQuota, wait) == nil
}

// logRefusal logs a refusal, unless one of the account was logged shortly before.
func (q *quotas) logRefusal(x *exchange, o quotaOutcome, wait time.Duration) {
	if x.account == nil {
		return // its route became public while it waited
	}
	q.mu.RLock()
	a := q.accounts[x.account.Name]
	q.mu.RUnlock()
	if a == nil {
		return
	}
	unlogged, log := a.rows.Take(q.now())
	if !log {
		return
	}
	cost := quota.Cost(x.account, x.q.promptTokens, x.q.maxOutputTokens)
	q.Info("msg", "over quota", "account", a.name, "request", x.q.attempt, "cost", cost, "reason", o, "retry-after", wait, "unlogged", unlogged, "holders", a.describeHolders(q.now()))
}
