package orderer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

func quotaLimits(version uint64, accounts ...ident.Account) wire.QuotaLimits {
	l := wire.QuotaLimits{Configuration: version}
	for _, a := range accounts {
		l.Limits = append(l.Limits, wire.QuotaLimit{Account: a, Share: wire.QuotaShare{PerSecond: 100, Burst: 100}})
	}
	return l
}

// Several gateways announce the same limits, again and in any order: the share fills from
// the first announcement on, by the newest limits.
func TestRepeatedAnnouncementsDoNotChangeAShare(t *testing.T) {
	var table quotaTable
	now := time.Unix(1000, 0)
	table.adopt(quotaLimits(2, "a"), now)
	now = now.Add(500 * time.Millisecond)
	table.adopt(quotaLimits(2, "a"), now)
	older := quotaLimits(1, "a")
	older.Limits[0].Share.Burst = 1
	table.adopt(older, now)
	r := wire.QuotaRequest{Account: "a", Configuration: 2, Need: 50, Share: wire.QuotaShare{PerSecond: 100, Burst: 100}}
	require.Equal(t, 50.0, table.take(r, now).Granted)
	require.Equal(t, int64(500), table.take(r, now).WaitMS)
	r.Returned = 50
	require.Equal(t, 50.0, table.take(r, now).Granted, "from what is returned with the request")
}

// An agent that has started again knows no limits: the first request brings them.
func TestRequestBringsTheLimitsToAnAgentThatStartedAgain(t *testing.T) {
	var table quotaTable
	now := time.Unix(1000, 0)
	r := wire.QuotaRequest{Account: "a", Configuration: 2, Need: 50, Share: wire.QuotaShare{PerSecond: 100, Burst: 100}}
	reply := table.take(r, now)
	require.Zero(t, reply.Granted)
	reply = table.take(r, now.Add(millis(reply.WaitMS)))
	require.Equal(t, 50.0, reply.Granted)
}

// Accounts come and go with each configuration, without end: memory stays bounded, and
// the shares of accounts that remain are kept.
func TestSharesOfFormerAccountsAreDropped(t *testing.T) {
	var table quotaTable
	now := time.Unix(1000, 0)
	for version := range uint64(20) {
		table.adopt(quotaLimits(version+1, "stays", ident.Account(fmt.Sprint(version))), now)
		now = now.Add(quotaKeep)
		table.adopt(quotaLimits(version+1, "stays"), now)
	}
	require.Len(t, table.byAccount, 2)
	require.Equal(t, 100.0, table.byAccount["stays"].Balance(now))
	for i := range maxQuotaAccounts + 10 {
		table.adopt(quotaLimits(30, ident.Account(fmt.Sprint("n", i))), now)
	}
	require.Len(t, table.byAccount, maxQuotaAccounts)
	reply := table.take(wire.QuotaRequest{Account: "another", Configuration: 30, Need: 1, Share: wire.QuotaShare{PerSecond: 1, Burst: 1}}, now)
	require.Equal(t, quotaFullWait, millis(reply.WaitMS))
}

// BenchmarkQuotaTake measures a holder's decision.
func BenchmarkQuotaTake(b *testing.B) {
	var table quotaTable
	now := time.Unix(1000, 0)
	r := wire.QuotaRequest{Account: "a", Configuration: 1, Need: 1, Wish: 10, Share: wire.QuotaShare{PerSecond: 1e9, Burst: 1e9, Sum: 1e10, WindowMS: 8000}}
	table.take(r, now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		table.take(r, now)
	}
}
