package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

// soakAccounts are the client accounts of a run. The clients are spread over the first
// ones, and flooders send with the key of the last one.
var soakAccounts = []standin.OperatorAccount{
	{Name: "unlimited", Key: "soak-key-1"},
	{Name: "counted", Key: "soak-key-2", Tokens: true, PlainTokens: 50, PerSecond: 60_000, Burst: 60_000},
	floodAccount,
}

// floodAccount sends several times its quota.
var floodAccount = standin.OperatorAccount{Name: "flood", Key: "soak-key-3", PerSecond: 12, Burst: 12}

const (
	// flooders are the clients of floodAccount, and floodPause the mean pause between
	// two requests of each: 5 times the quota in all.
	flooders   = 3
	floodPause = 50 * time.Millisecond
	// usualShare is the share of its quota up to which an account may not be refused
	// while there are no faults.
	usualShare = 0.55
)

// accountOf returns the account of a client.
func accountOf(client int) standin.OperatorAccount {
	return soakAccounts[client%(len(soakAccounts)-1)]
}

// newFlooder returns a client that sends far more than the quota of its account.
func newFlooder(d *deployment, number int) *client {
	c := newClient(d, d.Clients+number, false)
	c.account, c.pause = floodAccount, floodPause
	return c
}

// flood sends plain requests until ctx is done, and does not wait after a refusal.
func (c *client) flood(ctx context.Context) {
	for ctx.Err() == nil {
		c.sent++
		r := clientRequest{method: http.MethodGet, path: lookPrefix, timeout: plainTimeout}
		r.Attempt, r.Service, r.Idempotent = ident.Attempt(fmt.Sprintf("%d-%d-%d", c.d.Seed, c.number, c.sent)), deskService, true
		c.dialNumber.Add(int64(c.sent % 2)) // it also changes gateways
		c.send(r)
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(c.pause)))
	}
	c.http.CloseIdleConnections()
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

// checkQuota checks that the requests of each account that ran, over all gateways, stay
// within its quota, and that an account far below it was not refused while there were no
// faults. The caller holds mu.
func (o *Oracle) checkQuota(a standin.OperatorAccount) []Violation {
	if a.PerSecond <= 0 {
		return nil
	}
	var ran, sent []payment
	var refused []Request
	for attempt, r := range o.requests {
		if r.Account != a.Name {
			continue
		}
		sent = append(sent, payment{r.At, r.Cost})
		if runs := o.runs[attempt]; len(runs) > 0 {
			ran = append(ran, payment{runs[0].At, r.Cost})
		}
		if o.answers[attempt].Status == http.StatusTooManyRequests {
			refused = append(refused, r)
		}
	}
	var out []Violation
	whole := a.PerSecond*standin.QuotaWindow.Seconds() + a.Burst
	if sum, until := heaviest(ran, standin.QuotaWindow); sum > whole*(1+standin.QuotaExcess)+standin.QuotaSlack {
		out = append(out, Violation{GuaranteeQuota, "", fmt.Sprintf("account %s ran %.0f in the %s until %s, with a quota of %.0f", a.Name, sum, standin.QuotaWindow, until.Format(time.StampMilli), whole)})
	}
	if sum, _ := heaviest(sent, standin.QuotaWindow); sum > usualShare*a.PerSecond*standin.QuotaWindow.Seconds() {
		return out
	}
	for _, r := range refused {
		if o.faultFree(r.At.Add(-recoveryGrace), r.At) {
			out = append(out, Violation{GuaranteeWithinQuota, r.Attempt, fmt.Sprintf("account %s was refused within its quota", a.Name)})
		}
	}
	return out
}
