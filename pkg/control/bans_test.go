package control

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
)

func bansServer(t *testing.T, r quarantine.BanReport) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(quarantine.BansPath, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(r) })
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func bannedUnder(uri string, untilMS int64, ends ...quarantine.SeenEnd) quarantine.RequestBan {
	return quarantine.RequestBan{Fingerprint: quarantine.RequestContent{URI: uri}.Fingerprint(), UntilMS: untilMS, Ends: ends}
}

func seenEnd(target ident.Target, records ...ident.VM) quarantine.SeenEnd {
	return quarantine.SeenEnd{End: quarantine.End{Target: target, StartMS: 1_000, AtMS: 61_000}, Records: records}
}

// An operator sees which objects hold the evidence against each request, also if gateways
// know different parts of it, and which gateways gave no report.
func TestBansAreMergedOverGateways(t *testing.T) {
	a := bansServer(t, quarantine.BanReport{Gateway: "g-a", Requests: []quarantine.RequestBan{
		bannedUnder("/x", 3_600_000, seenEnd("t-1", "g-a"), seenEnd("t-2", "g-a", "g-b")), bannedUnder("/y", 3_600_000, seenEnd("t-9", "g-a")),
	}})
	b := bansServer(t, quarantine.BanReport{Gateway: "g-b", Requests: []quarantine.RequestBan{
		bannedUnder("/x", 3_660_000, seenEnd("t-2", "g-b", "g-c"), seenEnd("t-3", "g-b")),
	}})
	x, y := bannedUnder("/x", 0).Fingerprint.String(), bannedUnder("/y", 0).Fingerprint.String()
	code, out, errOut := runTool("bans", "-gateway", a+","+b, "-fingerprint", x)
	require.Equal(t, ExitOK, code, errOut)
	require.Equal(t, "request "+x+": refused until 1970-01-01T01:01:00Z by 2 of 2 gateways\n"+
		"TARGET  STARTED               ENDED                 IN TARGET-ENDS\n"+
		"t-1     1970-01-01T00:00:01Z  1970-01-01T00:01:01Z  g-a\n"+
		"t-2     1970-01-01T00:00:01Z  1970-01-01T00:01:01Z  g-a,g-b,g-c\n"+
		"t-3     1970-01-01T00:00:01Z  1970-01-01T00:01:01Z  g-b\n"+
		"1 banned requests at 2 gateways\n", out)

	closed := closedAddress(t)
	code, out, errOut = runTool("bans", "-json", "-gateway", a+","+b+","+closed)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, errOut, "1 of 3 gateways gave no report")
	var r bansReport
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Equal(t, []ident.VM{"g-a", "g-b"}, r.Gateways)
	require.Equal(t, closed, r.Unanswered[0].Gateway)
	byRequest := make(map[string][]ident.VM)
	for _, ban := range r.Requests {
		byRequest[ban.Fingerprint.String()] = ban.RefusedBy
	}
	require.Equal(t, map[string][]ident.VM{x: {"g-a", "g-b"}, y: {"g-a"}}, byRequest)

	for _, test := range []struct{ args, want string }{
		{"bans", "-gateway: no address"},
		{"bans -gateway " + a + " -fingerprint 12", "fingerprint"},
		{"bans -gateway " + a + " rest", `argument "rest"`},
	} {
		code, out, errOut = runTool(strings.Fields(test.args)...)
		require.Equal(t, ExitUsage, code, test.args)
		require.Contains(t, out+errOut, test.want, test.args)
	}
}
