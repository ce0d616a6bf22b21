package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

// recordPaid records requests of an account that were refused, or ran at the given times.
func recordPaid(o *Oracle, a standin.QuotaAccount, status int, at ...time.Duration) {
	start := time.Unix(1000, 0)
	for i, d := range at {
		attempt := ident.Attempt(fmt.Sprint(a.Name, status, i))
		o.RecordRequest(Request{Attempt: attempt, Service: deskService, Idempotent: true, At: start.Add(d)})
		o.recordPayment(a.Name, attempt, payment{start.Add(d), a.Cost(0)})
		if status == 200 {
			o.RecordEvent(standin.WorkerEvent{Kind: standin.WorkerRan, At: start.Add(d), Attempt: attempt, Service: deskService})
		}
		o.RecordAnswer(attempt, Answer{Status: status, Complete: true, Correct: true})
	}
}

func every(interval time.Duration, n int) (out []time.Duration) {
	for i := range n {
		out = append(out, time.Duration(i)*interval)
	}
	return out
}

// The oracle itself fails: it must tell an account that runs more than its quota, and one
// that is refused within it.
func TestOracleChecksQuotas(t *testing.T) {
	flood := quotaAccounts[1].QuotaAccount
	// 12 a second with a burst of 12 allow (96 + 12) x 1.1 + 10 = 128.8 in 8 s.
	for _, test := range []struct {
		name   string
		record func(o *Oracle)
		want   []Guarantee
	}{
		{"up to the rule", func(o *Oracle) { recordPaid(o, flood, 200, every(8*time.Second/128, 500)...) }, nil},
		{"above it", func(o *Oracle) { recordPaid(o, flood, 200, every(8*time.Second/130, 500)...) }, []Guarantee{GuaranteeQuota}},
		{"far above it for a moment", func(o *Oracle) { recordPaid(o, flood, 200, every(time.Millisecond, 130)...) }, []Guarantee{GuaranteeQuota}},
		{"refused far above it", func(o *Oracle) { recordPaid(o, flood, 429, every(20*time.Millisecond, 500)...) }, nil},
		{"refused within it", func(o *Oracle) { recordPaid(o, flood, 429, every(time.Second, 2)...) }, []Guarantee{GuaranteeWithinQuota, GuaranteeWithinQuota}},
		{"refused within it during a fault", func(o *Oracle) {
			o.RecordFault(time.Unix(999, 0), false)
			recordPaid(o, flood, 429, every(time.Second, 2)...)
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := NewOracle()
			test.record(o)
			var got []Guarantee
			for _, v := range o.Check(false) {
				got = append(got, v.Guarantee)
			}
			require.Equal(t, test.want, got)
		})
	}
}
