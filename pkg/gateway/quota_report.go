package gateway

import (
	"context"
	"net/url"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/quota"
	"github.com/hyssoproad/hyssoproad/platform"
)

// quotaUnits are the names of units in reports.
var quotaUnits = map[platform.QuotaUnit]string{platform.QuotaRequests: "requests", platform.QuotaTokens: "tokens"}

// report returns what is known of all accounts of the configuration, in its order.
func (q *quotas) report() quota.Report {
	r := quota.Report{Gateway: q.vm, Accounts: []quota.AccountReport{}}
	c, _ := q.current()
	if c == nil {
		return r
	}
	r.Configuration = c.Version
	now := q.now()
	for i := range c.Accounts {
		a := &c.Accounts[i]
		row := quota.AccountReport{Account: a.Name, Unit: quotaUnits[a.Unit], Holders: []quota.HolderReport{}}
		q.mu.RLock()
		known := q.accounts[a.Name]
		q.mu.RUnlock()
		if known != nil {
			known.fill(&row, now)
		}
		r.Accounts = append(r.Accounts, row)
	}
	return r
}

func (a *accountQuota) fill(row *quota.AccountReport, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limits := a.quota.Limits()
	row.PerSecond, row.Burst, row.Leased = limits.PerSecond, limits.Burst, a.quota.Leased(now)
	row.Asked, row.Served, row.RefusedOver, row.RefusedAlone = a.counts.asked, a.counts.served, a.counts.refusedOver, a.counts.refusedAlone
	row.Granted, row.Alone = a.counts.granted, a.counts.alone
	for _, h := range a.quota.Holders() {
		state := quota.HolderReport{Engine: h.Address, State: h.State(now), Granted: h.Granted, WaitMS: h.Wait.Milliseconds()}
		if !h.LastAnswer.IsZero() {
			age := now.Sub(h.LastAnswer).Milliseconds()
			state.AgeMS = &age
		}
		row.Holders = append(row.Holders, state)
	}
}

// accountsPage is the report as a page of the metrics listener.
func (q *quotas) accountsPage(context.Context, url.Values) (any, error) { return q.report(), nil }
