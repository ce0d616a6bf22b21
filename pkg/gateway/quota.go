package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/quota"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// quotas keeps the requests of client accounts within their quotas over all gateways. It
// asks the agents that hold the shares of a quota, and pays requests from what they grant.
type quotas struct {
	common.Common
	rules   quota.Rules
	vm      ident.VM
	metrics *accountMetricsTable
	// now reads the clock, with the time for which the VM was suspended added.
	now func() time.Time
	// call asks the agent beside an engine.
	call func(ctx context.Context, holder fleet.Target, r *wire.QuotaRequest) (wire.QuotaReply, error)
	// current returns the configuration in force and the engines of all services.
	current func() (*platform.Configuration, []fleet.Target)
	// linked reports whether the agent beside the engine at an address answers.
	linked func(address string) bool
	// gateways estimates the number of gateways.
	gateways func() int
	// knownGateways returns the number that agents have told, or 0 before the first.
	knownGateways func() int

	mu       sync.RWMutex
	accounts map[ident.Account]*accountQuota
	ring     *quota.Ring
	// engines are the engines by address, and configuration the version that the holders
	// were chosen by.
	engines       map[string]fleet.Target
	configuration uint64
	// announcements are what the holders are told, by address.
	announcements map[string]*announcement
}

// accountQuota is the quota of one account at this gateway.
type accountQuota struct {
	name ident.Account

	mu      sync.Mutex
	quota   *quota.Account
	version uint64 // of the configuration that set the limits
	counts  accountCounts
	metrics *accountMetrics
	rows    *common.RowLimit // about refusals
}

// quotaCharge is what a request has paid. The zero value is that of a request without a
// limited account.
type quotaCharge struct {
	quota.Charge
	account *accountQuota
	// spent says that a target may have run the request.
	spent bool
}

// quotaOutcome is the result of asking for a request's cost.
type quotaOutcome uint8

const (
	quotaPaid quotaOutcome = iota
	// quotaOver: all holders that answer deny it.
	quotaOver
	// quotaAlone: no holder answers, and the gateway's own part is used up.
	quotaAlone
	// quotaAborted: the request ended meanwhile.
	quotaAborted
)

var quotaOutcomeNames = [...]string{"paid", "over", "alone", "aborted"}

// String returns the outcome's name.
func (o quotaOutcome) String() string { return quotaOutcomeNames[o] }

// take pays a request of an account. If it is refused, wait says when there will be room.
// A request without an account, or of one without a limit, pays nothing.
func (q *quotas) take(ctx context.Context, a *platform.Account, version uint64, cost float64) (c quotaCharge, o quotaOutcome, wait time.Duration) {
	limits, limited := quota.LimitsOf(a)
	if !limited {
		return quotaCharge{}, quotaPaid, 0
	}
	account := q.account(a.Name, limits, version)
	account.asked()
	paid, o, wait := q.pay(ctx, account, cost)
	if o != quotaPaid {
		account.refused(o)
		return quotaCharge{}, o, wait
	}
	return quotaCharge{Charge: paid, account: account}, quotaPaid, 0
}

// renew pays a request anew whose charge has expired before it ran, and returns the old
// charge to its holder.
func (q *quotas) renew(ctx context.Context, c quotaCharge) (quotaCharge, quotaOutcome, time.Duration) {
	if c.account == nil || c.spent || !c.Expired(q.now()) {
		return c, quotaPaid, 0
	}
	paid, o, wait := q.ask(ctx, c.account, c.Amount, &c.Charge)
	if o != quotaPaid {
		c.account.refused(o)
		return quotaCharge{}, o, wait
	}
	c.Charge = paid
	return c, quotaPaid, 0
}

// left returns what is known of the quota that an account has left for a request, and how
// long it will be denied.
func (q *quotas) left(a platform.Account, cost float64) (state string, wait time.Duration) {
	q.mu.RLock()
	known := q.accounts[a.Name]
	q.mu.RUnlock()
	if known == nil {
		return "unknown", 0
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	now := q.now()
	switch wait, denied := known.quota.Denied(cost, now); {
	case known.quota.AllSilent(now):
		return "no holder answers", wait
	case denied:
		return "used up", wait
	}
	return "some", 0
}

// settle ends a request that has paid. Its cost is put back if no target ran it.
func (q *quotas) settle(c quotaCharge) {
	if c.account == nil {
		return
	}
	c.account.settle(c, q.now())
}

func (q *quotas) pay(ctx context.Context, a *accountQuota, cost float64) (quota.Charge, quotaOutcome, time.Duration) {
	if c, ok := a.spend(cost, q.now()); ok {
		return c, quotaPaid, 0
	}
	return q.ask(ctx, a, cost, nil)
}

// ask asks the holders for a cost. A charge that has expired is returned to them.
func (q *quotas) ask(ctx context.Context, a *accountQuota, cost float64, expired *quota.Charge) (quota.Charge, quotaOutcome, time.Duration) {
	var room [quota.HolderCount]string
	tried := room[:0]
	for ; ; expired = nil {
		holder, ask, request, ok := a.next(cost, tried, expired, q.now())
		if !ok {
			return q.payAlone(a, cost)
		}
		tried = append(tried, holder)
		callCtx, cancel := context.WithTimeout(ctx, quota.HolderTimeout)
		reply, err := q.call(callCtx, q.engine(holder), &request)
		cancel()
		if ctx.Err() != nil {
			return quota.Charge{}, quotaAborted, 0
		}
		if err != nil {
			q.Info("msg", "holder of a quota gives no answer", "account", a.name, "engine", holder, "err", err)
			a.silent(holder, q.now())
			continue
		}
		if c, ok := a.answered(holder, ask, reply, q.now()); ok {
			return c, quotaPaid, 0
		}
	}
}

// payAlone pays a request that no holder grants: from the gateway's own part if none
// answers.
func (q *quotas) payAlone(a *accountQuota, cost float64) (quota.Charge, quotaOutcome, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := q.now()
	if !a.quota.AllSilent(now) {
		return quota.Charge{}, quotaOver, a.quota.Wait(cost, now)
	}
	c, wait, ok := a.quota.TakeAlone(cost, q.gateways(), rand.Float64(), now)
	if !ok {
		return quota.Charge{}, quotaAlone, wait
	}
	a.counts.alone += cost
	a.metrics.alone.Inc(int64(cost))
	return c, quotaPaid, 0
}

// account returns an account's quota, with the limits of a version unless a newer one is
// known.
func (q *quotas) account(name ident.Account, l quota.Limits, version uint64) *accountQuota {
	q.mu.RLock()
	a := q.accounts[name]
	q.mu.RUnlock()
	if a == nil {
		// The configuration is newer than the last round of maintenance.
		q.refresh()
		q.mu.Lock()
		defer q.mu.Unlock()
		if a = q.accounts[name]; a == nil {
			a = q.add(name) // it was removed since the request arrived
		}
	}
	a.setLimits(l, version)
	return a
}

// engine returns the engine beside the holder at an address.
func (q *quotas) engine(address string) fleet.Target {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if t, listed := q.engines[address]; listed {
		return t
	}
	return fleet.Target{Address: address}
}

func (a *accountQuota) setLimits(l quota.Limits, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version > a.version {
		a.version = version
		a.quota.SetLimits(l)
	}
}

func (a *accountQuota) spend(cost float64, now time.Time) (quota.Charge, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quota.Spend(cost, now)
}

// next returns the holder to ask, and what for. A charge that has expired is returned to it.
func (a *accountQuota) next(cost float64, tried []string, expired *quota.Charge, now time.Time) (string, quota.Ask, wire.QuotaRequest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if expired != nil {
		a.quota.Renew(*expired, now)
	}
	h, ok := a.quota.Next(cost, tried, now)
	if !ok {
		return "", quota.Ask{}, wire.QuotaRequest{}, false
	}
	ask := a.quota.Ask(cost, now)
	r := wire.QuotaRequest{
		Account: a.name, Configuration: a.version, Need: ask.Need, Wish: ask.Wish, Returned: ask.Returned,
		Share: a.shareOf(h, now), Settled: h.Settled(now),
	}
	if ask.Returned > 0 {
		r.ReturnedAgeMS = now.Sub(ask.ReturnedFrom).Milliseconds() + 1
	}
	return h.Address, ask, r, true
}

func (a *accountQuota) answered(holder string, ask quota.Ask, r wire.QuotaReply, now time.Time) (quota.Charge, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c, ok := a.quota.Answered(holder, ask, r.Granted, time.Duration(r.WaitMS)*time.Millisecond, now)
	if ok {
		a.counts.granted += r.Granted
		a.metrics.granted.Inc(int64(r.Granted))
	}
	return c, ok
}

func (a *accountQuota) silent(holder string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quota.Silent(holder, now)
}

func (a *accountQuota) settle(c quotaCharge, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.spent {
		a.counts.served++
		a.metrics.served.Inc(1)
		return
	}
	a.quota.Refund(c.Charge, now)
}
