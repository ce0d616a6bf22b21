package gateway

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/quota"
)

const (
	// maxNamedAccounts bounds the accounts that have metrics by name.
	maxNamedAccounts = 64
	// otherAccounts is the name under which the others are counted.
	otherAccounts = "others"
	// refusalLogInterval is how often refusals of one account are logged. One that sends
	// too much is refused up to hundreds of times a second.
	refusalLogInterval = time.Second
)

// accountCounts are the counts of one account since the gateway started.
type accountCounts struct {
	asked, served, refusedOver, refusedAlone uint64
	// granted is the quota that holders granted, and alone what was used of the
	// gateway's own part.
	granted, alone float64
}

// accountMetrics are the metrics of one account, or of those that have none by name.
type accountMetrics struct {
	asked, served, refusedOver, refusedAlone, granted, alone tally.Counter
}

// accountMetricsTable holds the metrics by account.
type accountMetricsTable struct {
	scope tally.Scope

	mu     sync.Mutex
	byName map[ident.Account]*accountMetrics
}

func newAccountMetricsTable(scope tally.Scope) *accountMetricsTable {
	return &accountMetricsTable{scope: scope, byName: make(map[ident.Account]*accountMetrics)}
}

// get returns the metrics of an account.
func (t *accountMetricsTable) get(name ident.Account) *accountMetrics {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.byName[name]; m != nil {
		return m
	}
	if len(t.byName) >= maxNamedAccounts {
		name = otherAccounts
	}
	m := t.byName[name]
	if m == nil {
		s := t.scope.Tagged(map[string]string{"account": string(name)})
		reason := func(r quotaOutcome) tally.Counter {
			return s.Tagged(map[string]string{"reason": r.String()}).Counter("account_refused")
		}
		m = &accountMetrics{
			asked: s.Counter("account_requests"), served: s.Counter("account_served"), refusedOver: reason(quotaOver), refusedAlone: reason(quotaAlone),
			granted: s.Counter("account_quota_granted"), alone: s.Counter("account_quota_alone"),
		}
		t.byName[name] = m
	}
	return m
}

func (a *accountQuota) asked() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.asked++
	a.metrics.asked.Inc(1)
}

func (a *accountQuota) refused(o quotaOutcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch o {
	case quotaOver:
		a.counts.refusedOver++
		a.metrics.refusedOver.Inc(1)
	case quotaAlone:
		a.counts.refusedAlone++
		a.metrics.refusedAlone.Inc(1)
	}
}

// describeHolders returns the last answer of each holder, for the log.
func (a *accountQuota) describeHolders(now time.Time) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var b strings.Builder
	for i, h := range a.quota.Holders() {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%s", h.Address, h.State(now))
		if h.State(now) == quota.HolderDenies {
			fmt.Fprintf(&b, "/%s", h.Wait)
		}
	}
	return b.String()
}
