package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

// quotaAccounts are the client accounts that have a quota, each with clients of its own.
var quotaAccounts = []quotaAccount{
	// usual stays far below its quota.
	{QuotaAccount: standin.QuotaAccount{Name: "usual", Key: "quota-key-1", Tokens: true, PlainTokens: 50, PerSecond: 30_000, Burst: 30_000}, clients: 3, pause: thinkTime},
	// flood sends several times its quota, without waiting after refusals.
	{QuotaAccount: standin.QuotaAccount{Name: "flood", Key: "quota-key-2", PerSecond: 12, Burst: 12}, clients: 3, pause: 50 * time.Millisecond, floods: true},
}

// quotaAccount is an account with a quota, and the load that it sends.
type quotaAccount struct {
	standin.QuotaAccount
	clients int
	pause   time.Duration // mean pause of a client between two requests
	floods  bool
}

const (
	// GuaranteeQuota: no account runs more than its quota, over all gateways.
	GuaranteeQuota Guarantee = "quota"
	// GuaranteeWithinQuota: no account is refused within its quota.
	GuaranteeWithinQuota Guarantee = "within-quota"
)

// usualShare is the share of its quota up to which an account may not be refused while
// there are no faults.
const usualShare = 0.55

func quotaAccountList() []standin.QuotaAccount {
	var out []standin.QuotaAccount
	for _, a := range quotaAccounts {
		out = append(out, a.QuotaAccount)
	}
	return out
}

// startQuotaLoad starts the clients of the accounts with a quota.
func (d *deployment) startQuotaLoad(ctx context.Context, group *sync.WaitGroup) {
	number := d.Clients + d.SlowClients
	for i := range quotaAccounts {
		for range quotaAccounts[i].clients {
			c := newClient(d, number, false)
			c.quota = &quotaAccounts[i]
			number++
			group.Go(func() { c.runQuota(ctx) })
		}
	}
}

// runQuota sends plain requests and streams that run once until ctx is done.
func (c *client) runQuota(ctx context.Context) {
	for ctx.Err() == nil {
		r := c.nextRequest()
		r.disconnects = false
		if c.quota.floods {
			// Requests that run longer would bound the flood.
			r.Service, r.Adapter, r.Idempotent, r.DeadlyPart = deskService, "", true, ""
			r.method, r.path, r.stream, r.timeout = http.MethodGet, lookPrefix, false, plainTimeout
			r.NeedsKey = true
		}
		c.dialNumber.Add(int64(c.sent % 2)) // the account's traffic changes gateways
		c.send(r)
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(c.quota.pause)))
	}
	c.http.CloseIdleConnections()
}

// sign adds the key of the client's account, if that has a quota, and records the cost.
func (c *client) sign(req *http.Request, r *clientRequest) {
	if c.quota == nil {
		return
	}
	tokens := 0
	if r.stream {
		tokens = r.promptTokens + r.statedTokens
	}
	// The client sends with the key of its quota's account alone.
	req.Header.Del(platform.HeaderAccount)
	r.Account, r.Key, r.Invalid, r.namedAccount = c.quota.Name, c.quota.Key, false, ""
	if !r.NeedsKey {
		return
	}
	req.Header.Set(platform.HeaderAPIKey, c.quota.Key)
	c.d.oracle.recordPayment(c.quota.Name, r.Attempt, payment{at: time.Now(), cost: c.quota.Cost(tokens)})
}

// quotaLedger is what the requests of accounts with a quota cost.
type quotaLedger map[ident.Account]map[ident.Attempt]payment

// recordPayment records a request of an account with a quota before it is sent.
func (o *Oracle) recordPayment(a ident.Account, attempt ident.Attempt, p payment) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.quotas == nil {
		o.quotas = make(quotaLedger)
	}
	if o.quotas[a] == nil {
		o.quotas[a] = make(map[ident.Attempt]payment)
	}
	o.quotas[a][attempt] = p
}

// floods reports whether a request is of an account that sends too much, so that it need
// not be served. The caller holds mu.
func (o *Oracle) floods(attempt ident.Attempt) bool {
	for _, a := range quotaAccounts {
		if _, sent := o.quotas[a.Name][attempt]; sent && a.floods {
			return true
		}
	}
	return false
}

// payment is what one request of an account costs, and when.
type payment struct {
	at   time.Time
	cost float64
}

// heaviest returns the highest sum within a window of a time.
func heaviest(payments []payment, window time.Duration) (sum float64, until time.Time) {
	slices.SortFunc(payments, func(a, b payment) int { return a.at.Compare(b.at) })
	first, current := 0, 0.0
	for _, p := range payments {
		current += p.cost
		for p.at.Sub(payments[first].at) >= window {
			current -= payments[first].cost
			first++
		}
		if current > sum {
			sum, until = current, p.at
		}
	}
	return sum, until
}

// checkQuotas checks that the requests of each account that ran, over all gateways, stay
// within its quota, and that an account far below it was not refused while there were no
// faults. The caller holds mu.
func (o *Oracle) checkQuotas() (out []Violation) {
	for _, a := range quotaAccounts {
		out = append(out, o.checkQuota(a.QuotaAccount)...)
	}
	return out
}

func (o *Oracle) checkQuota(a standin.QuotaAccount) (out []Violation) {
	var ran, sent []payment
	var refused []ident.Attempt
	for attempt, p := range o.quotas[a.Name] {
		sent = append(sent, p)
		if runs := o.runs[attempt]; len(runs) > 0 {
			ran = append(ran, payment{runs[0].At, p.cost})
		}
		if o.answers[attempt].Status == http.StatusTooManyRequests {
			refused = append(refused, attempt)
		}
	}
	whole := a.PerSecond*standin.QuotaWindow.Seconds() + a.Burst
	if sum, until := heaviest(ran, standin.QuotaWindow); sum > whole*(1+standin.QuotaExcess)+standin.QuotaSlack {
		out = append(out, Violation{GuaranteeQuota, "", fmt.Sprintf("account %s ran %.0f in the %s until %s, with a quota of %.0f", a.Name, sum, standin.QuotaWindow, until.Format(time.StampMilli), whole)})
	}
	if sum, _ := heaviest(sent, standin.QuotaWindow); sum > usualShare*a.PerSecond*standin.QuotaWindow.Seconds() {
		return out
	}
	for _, attempt := range refused {
		if p := o.quotas[a.Name][attempt]; o.faultFree(p.at.Add(-recoveryGrace), p.at) {
			out = append(out, Violation{GuaranteeWithinQuota, attempt, fmt.Sprintf("account %s was refused within its quota", a.Name)})
		}
	}
	return out
}
