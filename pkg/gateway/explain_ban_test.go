package gateway

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/explain"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
)

// servedBans returns a gateway's page of banned requests as the tool reads it.
func (h *crashFleet) servedBans(gateway int) quarantine.BanReport {
	page, err := h.gateways[gateway].bansPage(h.ctx, nil)
	require.NoError(h.t, err)
	body, err := json.Marshal(page)
	require.NoError(h.t, err)
	var out quarantine.BanReport
	require.NoError(h.t, json.Unmarshal(body, &out))
	return out
}

// An operator goes from a caller's refused request to the ends under it and back to service:
// explanations say that they don't know the body, or refuse as the caller sees it, and the
// records that the page names lift the ban.
func TestExplanationAndPageOfABannedRequest(t *testing.T) {
	testCrashFleet(t, 2, 3, func(t *testing.T, h *crashFleet) {
		g := h.gateways[1]
		q := explain.Query{Host: "host.example", Path: deadlyPath}
		answer, err := g.Explain(t.Context(), q)
		require.NoError(t, err)
		require.Nil(t, answer.Bans, "nothing is banned")
		require.Empty(t, h.servedBans(1).Requests)

		h.crashThree(deadlyPath)
		time.Sleep(settled + crashRestart)
		bans := h.servedBans(1)
		require.Equal(t, "gateway-1", string(bans.Gateway))
		require.Len(t, bans.Requests, 1)
		require.Equal(t, bans.Requests, h.servedBans(0).Requests, "the gateway that has seen the ends")
		ban := bans.Requests[0]
		require.Len(t, ban.Ends, 3)
		var records []string
		for _, e := range ban.Ends {
			for _, vm := range e.Records {
				records = append(records, string(vm))
			}
		}
		require.Equal(t, []string{"gateway-0"}, slices.Compact(records))

		answer, err = g.Explain(t.Context(), q)
		require.NoError(t, err)
		require.Equal(t, &explain.Bans{Requests: 1}, answer.Bans)
		require.Equal(t, explain.ActionSend, answer.Outcome.Action)
		q.Fingerprint = quarantine.RequestContent{URI: "/another"}.Fingerprint()
		answer, err = g.Explain(t.Context(), q)
		require.NoError(t, err)
		require.Nil(t, answer.Bans)
		require.Equal(t, explain.ActionSend, answer.Outcome.Action)
		q.Fingerprint = ban.Fingerprint
		answer, err = g.Explain(t.Context(), q)
		require.NoError(t, err)
		require.Nil(t, answer.Bans)
		res := h.send(1, "GET", deadlyPath)
		require.Equal(t, []any{explain.ActionRefuse, res.StatusCode}, []any{answer.Outcome.Action, answer.Outcome.Status})
		require.Contains(t, answer.Outcome.Reason, "request crashes targets: fingerprint "+ban.Fingerprint.String())
		require.Equal(t, bans, h.servedBans(1), "explanations change nothing")

		h.store.Withdraw(kindEvidence, records[0])
		time.Sleep(settled)
		for gateway := range h.gateways {
			require.Empty(t, h.servedBans(gateway).Requests)
		}
		answer, err = g.Explain(t.Context(), q)
		require.NoError(t, err)
		require.Equal(t, explain.ActionSend, answer.Outcome.Action)
	})
}
