package explain

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
)

// An operator reads in one table why a request goes to its engine: e-1 keeps the prompt, and
// the engines below it would take longer or get no requests.
func ExampleAnswer_WriteText() {
	a := Answer{
		Gateway: "entry-3", Domain: "z2", Attempt: "0198", Route: "chat", Service: "llm", Weights: "m/a1@7", Order: OrderCost,
		Outcome: Outcome{Action: ActionSend, Target: "e-1"},
		Account: &Account{Name: "acme", Unit: "tokens", PerSecond: 11000, Burst: 11000, Cost: 1310, Quota: "unknown"},
		Targets: []Target{
			{
				Target: "e-1", Domain: "z2", Cost: &Cost{Wait: 30, Prefill: 5, Total: 35}, Requests: 32, Slots: 64, LoadAge: 800,
				ForecastAge: -1, Pace: 100, PaceAge: 120, HoldsAdapter: true, Kept: 1010, KeptAge: 4000,
				Agent: &Agent{Answer: "granted", Running: 31},
			},
			{
				Target: "e-2", Domain: "z1", Cost: &Cost{Load: 288, Prefill: 137, Way: 3, Copy: 72, Total: 500}, Slots: 64, LoadAge: -1,
				Forecast: 0, ForecastAge: -1, Pace: 250, PaceAge: 300, KeptAge: -1,
			},
		},
		Bans:      &Bans{Requests: 2},
		RuledOut:  []Target{{Target: "e-3", Domain: "z1", RuledOut: Paused, RuledOutFor: 1500}},
		Knowledge: Knowledge{Configuration: 12, TargetList: 400, Gateways: 31, AdapterLoad: 288, TokensPerMS: 19.1, Parts: 2310},
	}
	if err := a.WriteText(os.Stdout); err != nil {
		panic(err)
	}
	// Output:
	// gateway entry-3 in z2: sends it to e-1
	// request 0198, route chat, service llm, weights m/a1@7, order by cost
	// known: configuration 12, targets 400 ms old, 31 gateways, 2310 prompt beginnings, adapter load 288 ms, prefill 19.1 tokens per ms
	// account acme: costs 1310 tokens of a rate of 11000 per s and a burst of 11000, quota left: unknown
	// not checked: 2 requests are banned because they crash targets; -fingerprint tells whether this one is
	// TARGET     DOMAIN  COST    WAIT   LOAD    PREFILL  WAY   COPY   REQUESTS               UNREAD  FORECAST  PACE               ADAPTER  KEPT                LIMIT  AGENT
	// e-1        z2      35 ms   30 ms  0 ms    5 ms     0 ms  0 ms   32 of 64 (800 ms old)  0       -         100% (120 ms old)  held     1010 (4000 ms old)  -      granted, 31 running, 0 waiting
	// e-2        z1      500 ms  0 ms   288 ms  137 ms   3 ms  72 ms  0 of 64                0       -         250% (300 ms old)  -        -                   -      -
	// RULED OUT  DOMAIN  REASON
	// e-3        z1      wants no requests for now for 1500 ms
}

// TestQueriesSurviveTheWay guards against parameters that are lost between the command and
// the gateway.
func TestQueriesSurviveTheWay(t *testing.T) {
	q := Query{Host: "h", Path: "/a b?", Model: "m", Adapter: "a/1&", Parts: "x:1,y:2", PromptTokens: 3, OutputTokens: 4, Account: "acme & co", Attempt: "id", Fingerprint: quarantine.RequestContent{URI: "/x"}.Fingerprint()}
	got, err := ParseQuery(q.Values())
	require.NoError(t, err)
	require.Equal(t, q, got)
}
