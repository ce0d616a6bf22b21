package gateway

import (
	"testing"

	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// BenchmarkQuotaWithoutLimit measures a request of an account without a limit.
func BenchmarkQuotaWithoutLimit(b *testing.B) {
	q, _ := testQuotas(nil)
	a := &platform.Account{Name: freeAccount}
	b.ReportAllocs()
	for b.Loop() {
		c, _, _ := q.take(b.Context(), a, 1, 1)
		q.settle(c)
	}
}

// BenchmarkQuotaFromLease measures a request that is paid without a message.
func BenchmarkQuotaFromLease(b *testing.B) {
	q, a := testQuotas(func(r *wire.QuotaRequest) (wire.QuotaReply, error) {
		return wire.QuotaReply{Granted: r.Need + 1e9}, nil
	})
	b.ReportAllocs()
	for b.Loop() {
		c, _, _ := q.take(b.Context(), a, 1, 1)
		c.spent = true
		q.settle(c)
	}
}

// BenchmarkQuotaDenied measures the refusal of a request by remembered denials.
func BenchmarkQuotaDenied(b *testing.B) {
	q, a := testQuotas(func(*wire.QuotaRequest) (wire.QuotaReply, error) { return wire.QuotaReply{WaitMS: 1e9}, nil })
	b.ReportAllocs()
	for b.Loop() {
		q.take(b.Context(), a, 1, 1)
	}
}
