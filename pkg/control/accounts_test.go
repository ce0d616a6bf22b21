package control

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/quota"
)

// reportServer serves a gateway's report, and returns its address.
func reportServer(t *testing.T, status int, body any) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path != quota.ReportPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func gatewayReport(perSecond float64, state string) quota.Report {
	return quota.Report{Gateway: "g", Accounts: []quota.AccountReport{
		{Account: "large", Unit: "tokens", PerSecond: perSecond, Burst: 100, Asked: 10, Served: 6, RefusedOver: 3, RefusedAlone: 1, Granted: 500.5, Holders: []quota.HolderReport{{Engine: "10.0.0.1:80", State: state}}},
		{Account: "free", Unit: "requests", Holders: []quota.HolderReport{}},
	}}
}

func runAccounts(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = Main(append([]string{"accounts"}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// An account's requests are spread over gateways: the operator sees the sums, and that a
// gateway has other limits in force.
func TestAccountsAreSummedOverGateways(t *testing.T) {
	a, b := reportServer(t, 200, gatewayReport(50, quota.HolderGrants)), reportServer(t, 200, gatewayReport(60, quota.HolderDenies))
	code, out, errOut := runAccounts("-gateway", a+","+b)
	require.Equal(t, ExitOK, code, errOut)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 3)
	require.Contains(t, lines[1], "free")
	require.Contains(t, lines[1], "none")
	require.Regexp(t, `large +tokens +50 \(differs\) +100 +20 +12 +6 +2 +1001 +0 +0 +10.0.0.1:80: denies 1, grants 1`, lines[2])
	code, out, _ = runAccounts("-gateway", a, "-json")
	require.Equal(t, ExitOK, code)
	var r accountsReport
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Equal(t, uint64(10), r.Accounts[1].Asked)
	require.Len(t, r.Gateways, 1)
}

// Some gateways are down or of an earlier release: the others' sums are shown, and each
// that is missing is named.
func TestAccountsNamesGatewaysWithoutAReport(t *testing.T) {
	up, broken := reportServer(t, 200, gatewayReport(50, quota.HolderGrants)), reportServer(t, 500, nil)
	old, odd := reportServer(t, 404, nil), reportServer(t, 200, "text")
	code, out, errOut := runAccounts("-gateway", strings.Join([]string{up, broken, old, odd, "127.0.0.1:1"}, ","))
	require.Equal(t, ExitFailed, code)
	require.Contains(t, out, "large")
	require.Contains(t, errOut, broken+": /accounts: status 500")
	require.Contains(t, errOut, old+": /accounts: status 404: the program is no gateway, or one of an earlier release")
	require.Contains(t, errOut, odd+": /accounts: answer: json")
	require.Contains(t, errOut, "127.0.0.1:1: ")
	require.Contains(t, errOut, "4 of 5 gateways gave no report")
}

func TestAccountsRejectsInvalidAddresses(t *testing.T) {
	for _, test := range []struct{ arg, want string }{
		{"", "-gateway: no address"}, {"http://10.0.0.1/", "-gateway: address"}, {":9464", "-gateway: address"}, {"a b", "-gateway: address"},
	} {
		code, _, errOut := runAccounts("-gateway", test.arg)
		require.Equal(t, ExitFailed, code, test.arg)
		require.Contains(t, errOut, test.want)
	}
	list, err := gatewayAddresses("10.0.0.1, 10.0.0.2:99")
	require.NoError(t, err)
	require.Equal(t, []string{"10.0.0.1:9464", "10.0.0.2:99"}, list)
}
