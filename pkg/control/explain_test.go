package control

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/explain"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/operator"
)

// gatewayPage serves the page of a gateway with the name. It returns its address.
func gatewayPage(t *testing.T, name ident.VM) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			q, err := explain.ParseQuery(r.URL.Query())
			if r.URL.Path != explain.Path || err != nil || q.Account == "unknown" {
				w.WriteHeader(http.StatusBadRequest)
				_, _ = w.Write([]byte(`{"error":"account \"unknown\" not valid"}`))
				return
			}
			_ = json.NewEncoder(w).Encode(explain.Answer{Gateway: name, Attempt: q.Attempt, Outcome: explain.Outcome{Action: explain.ActionSend, Target: ident.Target("for-" + q.Model)}})
		}))
	}()
	return l.Addr().String()
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

func runTool(args ...string) (code int, stdout, stderr string) {
	var out, errOut strings.Builder
	code = Main(args, &out, &errOut)
	return code, out.String(), errOut.String()
}

// TestExplainRequestAsksEachGateway guards against a gateway that is left out unnoticed, and
// against answers about different requests.
func TestExplainRequestAsksEachGateway(t *testing.T) {
	a, b, closed := gatewayPage(t, "entry-a"), gatewayPage(t, "entry-b"), closedAddress(t)
	code, out, _ := runTool("explain", "request", "-gateway", a+","+b, "-host", "h", "-path", "/x", "-model", "m", "-attempt", "id")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "gateway entry-a in -: sends it to for-m\nrequest id,")
	require.Contains(t, out, "gateway entry-b in -: sends it to for-m\nrequest id,")

	code, out, stderr := runTool("explain", "request", "-gateway", a+","+closed, "-host", "h", "-path", "/x", "--json")
	require.Equal(t, ExitFailed, code)
	var answers []gatewayAnswer
	require.NoError(t, json.Unmarshal([]byte(out), &answers))
	require.Len(t, answers, 2)
	require.EqualValues(t, "entry-a", answers[0].Answer.Gateway)
	require.Len(t, answers[0].Answer.Attempt, 36)
	require.Contains(t, answers[1].Error, "not reached")
	require.Contains(t, stderr, "no answer from 1 of 2 gateways: "+closed)

	code, out, stderr = runTool("explain", "request", "-gateway", a, "-host", "h", "-path", "/x", "-account", "unknown")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, out+stderr, `account "unknown" not valid`)
	require.Equal(t, "10.0.0.1:9464", withMetricsPort("10.0.0.1"))
}

// TestExplainRequestNamesTheMistake guards against a mistyped question that is asked.
func TestExplainRequestNamesTheMistake(t *testing.T) {
	for _, test := range []struct {
		args string
		want string
	}{
		{"-host h -path /x", "gateway is missing"},
		{"-gateway g -path /x", "host is missing"},
		{"-gateway g -host h", "path is missing"},
		{"-gateway g -host h -path /x -adapter a", "model is missing"},
		{"-gateway g -host h -path /x -parts a", "part 1 is not ID:TOKENS"},
		{"-gateway g -host h -path /x rest", `argument "rest"`},
		{"-gateway g -host h -path /x -prompt-tokens many", "prompt-tokens"},
	} {
		code, out, stderr := runTool(append([]string{"explain", "request"}, strings.Fields(test.args)...)...)
		require.Equal(t, ExitUsage, code, test.args)
		require.Contains(t, stderr, test.want, test.args)
		require.NotContains(t, out, "gateway ", test.args)
	}
}

// TestExplainRouteReadsBothKindsOfReply guards against an answer that is lost between an entry
// and the operator, and against tools that need the newest entry.
func TestExplainRouteReadsBothKindsOfReply(t *testing.T) {
	table := &operator.Table{Columns: []string{"target"}, Rows: [][]string{{"t-1"}}}
	answer := &explain.Answer{Gateway: "entry-a", Outcome: explain.Outcome{Action: explain.ActionSend, Target: "t-1", Reason: "home", Wait: 250}}
	for _, test := range []struct {
		args  []string
		reply operator.Reply
		code  int
		want  string
	}{
		{[]string{"explain", "route", "guide@1"}, operator.Reply{Table: table, Explanation: answer}, ExitOK, "gateway entry-a in -: sends it to t-1, where it is expected to wait for 250 ms (home)\n"},
		{[]string{"explain", "route", "guide@1", "--json"}, operator.Reply{Table: table, Explanation: answer}, ExitOK, `"gateway": "entry-a"`},
		{[]string{"-format", "json", "explain", "route", "guide@1"}, operator.Reply{Table: table, Explanation: answer}, ExitOK, `"columns":["target"]`},
		{[]string{"explain", "route", "guide@1"}, operator.Reply{Table: table}, ExitOK, "TARGET\nt-1\n"},
		{[]string{"explain", "route"}, operator.Reply{}, ExitUsage, "adapter is missing"},
		{[]string{"explain", "route", "guide@1", "rest"}, operator.Reply{}, ExitUsage, `argument "rest"`},
	} {
		entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var q operator.CommandRequest
			_ = json.NewDecoder(r.Body).Decode(&q)
			if q.Text == "explain route guide@1" {
				_ = json.NewEncoder(w).Encode(test.reply)
			}
		}))
		code, out, stderr := runTool(append([]string{"-entry", entry.URL}, test.args...)...)
		entry.Close()
		require.Equal(t, test.code, code, stderr)
		require.Contains(t, out+stderr, test.want, test.args)
	}
}
