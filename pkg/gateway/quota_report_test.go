package gateway

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/quota"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

func servedReport(t *testing.T, q *quotas) quota.Report {
	t.Helper()
	page, err := q.accountsPage(t.Context(), nil)
	require.NoError(t, err)
	body, err := json.Marshal(page)
	require.NoError(t, err)
	var r quota.Report
	require.NoError(t, json.Unmarshal(body, &r))
	return r
}

// An operator looks for the cause of refusals: the page shows what was asked and refused,
// and whether the holder denied it or gave no answer.
func TestAccountsPageShowsWhyRequestsAreRefused(t *testing.T) {
	answer := wire.QuotaReply{Granted: 5}
	q, a := testQuotas(func(*wire.QuotaRequest) (wire.QuotaReply, error) { return answer, nil })
	r := servedReport(t, q)
	require.Equal(t, "vm-1", string(r.Gateway))
	require.Len(t, r.Accounts, 1)
	c, o, _ := q.take(t.Context(), a, 1, 5)
	require.Equal(t, quotaPaid, o)
	c.spent = true
	q.settle(c)
	row := servedReport(t, q).Accounts[0]
	require.Equal(t, quota.HolderGrants, row.Holders[0].State)
	require.Equal(t, []any{uint64(1), uint64(1), 5.0, 1000.0}, []any{row.Asked, row.Served, row.Granted, row.PerSecond})
	answer = wire.QuotaReply{WaitMS: 40}
	_, o, wait := q.take(t.Context(), a, 1, 5)
	require.Equal(t, quotaOver, o)
	require.InDelta(t, 40, wait.Milliseconds(), 5)
	row = servedReport(t, q).Accounts[0]
	require.Equal(t, quota.HolderDenies, row.Holders[0].State)
	require.Equal(t, []any{uint64(1), int64(40)}, []any{row.RefusedOver, row.Holders[0].WaitMS})
}
