package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/explain"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
	"github.com/hyssoproad/hyssoproad/pkg/teststate"
	"github.com/hyssoproad/hyssoproad/platform"
)

// explainedQuery is the query of request n for an adapter.
func explainedQuery(n, adapter int, path string) explain.Query {
	q := explain.Query{Host: "host.example", Path: fmt.Sprintf("%sexplained-%d", path, n), Attempt: fmt.Sprintf("explained-%d", n)}
	if path == "/stream/" {
		q.Model, q.Adapter = streamModel, ident.Adapter(fmt.Sprint("a", adapter))
		q.Parts, q.PromptTokens, q.OutputTokens = fmt.Sprintf("shared-%d:400,own-%d:100", adapter%3, n%5), 500, 20
	}
	return q
}

// serveQuery sends the request of a query to a gateway as a caller.
func (h *fleetHarness) serveQuery(g *Gateway, q explain.Query) *http.Response {
	near, far := net.Pipe()
	go g.serve(far)
	defer near.Close()
	raw := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n", q.Path, q.Host, q.Attempt)
	if q.Model != "" {
		raw += fmt.Sprintf("X-Model: %s/%s\r\nX-Token-Count: %d,%d\r\nX-Prompt-Prefix: %s\r\n", q.Model, q.Adapter, q.PromptTokens, q.OutputTokens, q.Parts)
	}
	go func() { _, _ = io.WriteString(near, raw+"\r\n") }() // fails if the gateway closes first
	res, err := http.ReadResponse(bufio.NewReader(near), nil)
	require.NoError(h.t, err)
	_, err = io.Copy(io.Discard, res.Body)
	require.NoError(h.t, err)
	time.Sleep(time.Millisecond) // the gateway ends the request before its caller disconnects
	return res
}

// servedBy returns the target that a request reached first.
func (h *fleetHarness) servedBy(path string) (first ident.Target) {
	var at time.Time
	for _, t := range append(append([]*fleetTarget(nil), h.engines...), h.plain...) {
		for _, a := range t.arrived(time.Time{}, time.Now()) {
			if a.path == path && (first == "" || a.at.Before(at)) {
				first, at = t.Instance, a.at
			}
		}
	}
	return first
}

// disturb makes some targets leave, refuse, state limits or fail.
func (h *fleetHarness) disturb() {
	h.engines[0].state(statedLimit(2))
	h.engines[1].state("Server-Leaving: 1\r\n")
	h.engines[2].turnAway("Retry-After: 3\r\n")
	h.plain[0].state(statedLimit(2))
	h.plain[1].turnAway("Retry-After: 3\r\n")
	draining := h.engines[3].Target
	draining.Draining = true
	for _, g := range h.gateways {
		g.fleet.Put(draining)
		for range 5 {
			g.detector(streamService).Record(h.engines[4].Instance, true, time.Now())
		}
	}
}

// TestExplanationEqualsWhereTheRequestGoes guards against an explanation that is computed
// apart from the placement of requests, in a fleet under load with targets that leave,
// refuse, fail and state limits.
func TestExplanationEqualsWhereTheRequestGoes(t *testing.T) {
	for _, mode := range []PrefixAffinity{AffinityOn, AffinityOff} {
		t.Run(string(mode), func(t *testing.T) {
			testFleet(t, fleetSize{3, 10, 4}, func(t *testing.T, h *fleetHarness) {
				for _, g := range h.gateways {
					g.placing.mode = mode
				}
				h.disturb()
				sent, other := 0, 0
				random := rand.New(rand.NewPCG(7, 8))
				for n := range 150 {
					h.load("/stream/", 60, 500*time.Millisecond)
					h.load("/safe/", 40, 500*time.Millisecond)
					time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
					synctest.Wait()
					g := h.gateways[n%len(h.gateways)]
					q := explainedQuery(n, random.IntN(4), []string{"/stream/", "/safe/"}[n%2])
					answer, err := g.Explain(t.Context(), q)
					require.NoError(t, err)
					res := h.serveQuery(g, q)
					switch answer.Outcome.Action {
					case explain.ActionSend:
						sent++
						require.Equal(t, answer.Outcome.Target, h.servedBy(q.Path), "%d: %+v", n, answer)
					case explain.ActionRefuse:
						require.Equal(t, answer.Outcome.Status, res.StatusCode)
						other++
					default:
						other++
					}
					time.Sleep(time.Second)
				}
				require.Greater(t, sent, 100, "%d other outcomes", other)
			})
		})
	}
}

// TestExplanationChangesNothing guards against an explanation that reserves a place, takes a
// permit, or is learned from.
func TestExplanationChangesNothing(t *testing.T) {
	testFleet(t, fleetSize{2, 10, 4}, func(t *testing.T, h *fleetHarness) {
		for _, g := range h.gateways {
			g.placing.mode = AffinityOn
		}
		state := func() string {
			values := []any{h.gateways[0], h.gateways[1]}
			for _, e := range h.engines {
				host, _, _ := net.SplitHostPort(e.Address)
				values = append(values, e, h.agents[net.JoinHostPort(host, fmt.Sprint(fleetPeerPort))].Orderer)
			}
			return teststate.Of(values...)
		}
		h.disturb()
		h.load("/stream/", 200, 5*time.Second)
		h.load("/safe/", 40, 5*time.Second)
		time.Sleep(6 * time.Second)
		for n := range 10 { // requests that are granted and not sent yet
			x := placedRequest(h.gateways[0], fmt.Sprint("granted-", n), "a1", sessionPrompt)
			a, why := x.acquireAssignment()
			require.NotNil(t, a, why.reason)
			defer a.release()
		}
		synctest.Wait()
		before := state()
		require.Greater(t, len(before), 10_000)
		for n := range 40 {
			_, err := h.gateways[n%2].Explain(t.Context(), explainedQuery(n, n%6, []string{"/stream/", "/safe/", "/nowhere/"}[n%3]))
			require.NoError(t, err)
		}
		synctest.Wait()
		after := state()
		require.True(t, before == after, "the state has changed: %s", firstDifference(before, after))
		h.request(0, "/stream/", 1)
		synctest.Wait()
		require.False(t, before == state(), "the dump shows a request")
	})
}

func firstDifference(a, b string) string {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return fmt.Sprintf("%q became %q", a[max(i-200, 0):min(i+60, len(a))], b[max(i-200, 0):min(i+60, len(b))])
		}
	}
	return "the length"
}

// TestExplanationTellsWhatRulesTargetsOut guards against targets that are missing from an
// explanation, or in it for another reason than the one that counts.
func TestExplanationTellsWhatRulesTargetsOut(t *testing.T) {
	testFleet(t, fleetSize{1, 10, 4}, func(t *testing.T, h *fleetHarness) {
		g := h.gateways[0]
		h.disturb()
		h.load("/stream/", 100, 2*time.Second)
		time.Sleep(1500 * time.Millisecond)
		for range 20 {
			g.detector(streamService).Record(h.engines[4].Instance, true, time.Now())
		}
		synctest.Wait()
		answer, err := g.Explain(t.Context(), explainedQuery(1, 1, "/stream/"))
		require.NoError(t, err)
		require.Equal(t, explain.OrderHomes, answer.Order)
		require.Equal(t, "m/a1@0", answer.Weights)
		why := make(map[ident.Target]explain.Exclusion)
		for _, target := range answer.RuledOut {
			why[target.Target] = target.RuledOut
		}
		require.Equal(t, map[ident.Target]explain.Exclusion{
			"e-1": explain.Leaving, "e-2": explain.Paused, "e-3": explain.Draining, "e-4": explain.Ejected,
		}, why)
		require.Len(t, answer.Targets, 6)
		require.Equal(t, "granted", answer.Targets[0].Agent.Answer)
		for _, target := range answer.Targets {
			require.Equal(t, target.Target == "e-0", target.Limit != nil)
			require.Nil(t, target.Cost)
		}
		g.placing.mode = AffinityOn
		answer, err = g.Explain(t.Context(), explainedQuery(1, 1, "/stream/"))
		require.NoError(t, err)
		require.Equal(t, explain.OrderCost, answer.Order)
		require.NotNil(t, answer.Targets[0].Cost)
		time.Sleep(time.Second)
	})
}

// TestExplanationTellsTheAnswerInPlaceOfASend guards against a refusal that the explanation
// shows in another way than the caller sees it.
func TestExplanationTellsTheAnswerInPlaceOfASend(t *testing.T) {
	for _, test := range []struct {
		name    string
		path    string
		happens func(h *fleetHarness, g *Gateway)
		reason  string
	}{
		{"no route", "/nowhere/", func(*fleetHarness, *Gateway) {}, "no route"},
		{"a banned part", "/stream/", func(_ *fleetHarness, g *Gateway) {
			g.quarantine.Adopt(quarantine.Ban{Part: "shared-1", Until: time.Now().Add(time.Minute)}, time.Now())
		}, "part of the prompt crashes engines: part shared-1, crashes []"},
		{"all want no requests", "/stream/", func(h *fleetHarness, g *Gateway) {
			for _, e := range h.engines {
				g.notices.Observe(processOf(e.Target), platform.TargetNotice{RetryAfter: 2 * time.Second}, time.Now(), time.Now())
			}
		}, "targets want no requests for now"},
		{"all at their limits", "/safe/", func(h *fleetHarness, g *Gateway) {
			for _, p := range h.plain {
				g.notices.Observe(processOf(p.Target), platform.TargetNotice{Limit: platform.LimitStated, LimitPerSecond: 1}, time.Now(), time.Now())
				g.permits.answered(p.Instance, 5*time.Second, false, time.Now())
			}
		}, "targets at their rate limits"},
	} {
		t.Run(test.name, func(t *testing.T) {
			testFleet(t, fleetSize{1, 3, 2}, func(t *testing.T, h *fleetHarness) {
				time.Sleep(3 * time.Second) // the list is settled
				g := h.gateways[0]
				test.happens(h, g)
				q := explainedQuery(1, 1, test.path)
				answer, err := g.Explain(t.Context(), q)
				require.NoError(t, err)
				require.Equal(t, explain.ActionRefuse, answer.Outcome.Action)
				require.Equal(t, test.reason, answer.Outcome.Reason)
				res := h.serveQuery(g, q)
				require.Equal(t, res.StatusCode, answer.Outcome.Status)
				if header := res.Header.Get("Retry-After"); header != "" {
					seconds, err := strconv.ParseFloat(header, 64)
					require.NoError(t, err)
					require.InDelta(t, 1.25*float64(answer.Outcome.RetryAfter), 1000*seconds, 0.26*float64(answer.Outcome.RetryAfter)+1)
				}
			})
		})
	}
}

// TestExplanationOfAccounts guards against a question without the account that its route
// needs which is answered as if that did not matter.
func TestExplanationOfAccounts(t *testing.T) {
	g := placingGateway(3)
	for _, k := range requiredKinds {
		g.markListed(k)
	}
	c := *g.directory.Configuration()
	c.Version++
	c.Accounts = []platform.Account{{Name: "acme", Keys: []string{"secret"}, Unit: platform.QuotaTokens, PerSecond: 100, Burst: 50}}
	g.directory.Update(&c)
	q := explainedQuery(1, 1, "/stream/")
	answer, err := g.Explain(t.Context(), q)
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, answer.Outcome.Status)

	q.Account = "other"
	_, err = g.Explain(t.Context(), q)
	require.ErrorIs(t, err, errors.NotValid)
	require.ErrorContains(t, err, `account "other"`)

	q.Account = "acme"
	answer, err = g.Explain(t.Context(), q)
	require.NoError(t, err)
	require.Equal(t, &explain.Account{Name: "acme", Unit: "tokens", PerSecond: 100, Burst: 50, Cost: 520, Quota: "unknown"}, answer.Account)
	require.Equal(t, explain.ActionAsk, answer.Outcome.Action, "no agent is linked")
	require.NotContains(t, fmt.Sprintf("%+v", answer), "secret")
}

// TestExplainPageNamesTheMistake guards against questions with a mistake that are answered as
// if they had none.
func TestExplainPageNamesTheMistake(t *testing.T) {
	g := placingGateway(3)
	for query, want := range map[string]string{
		"path=/x":                              "host is missing",
		"host=h":                               "path is missing",
		"host=h&path=x":                        `path "x" does not begin with /`,
		"host=h&path=/x&adapter=a":             "model is missing",
		"host=h&path=/x&prompt-tokens=many":    `prompt-tokens "many"`,
		"host=h&path=/x&output-tokens=-1":      "output-tokens -1",
		"host=h&path=/x&parts=a:1,b":           `parts "a:1,b": part 2 is not ID:TOKENS`,
		"host=h&path=/x&fingerprint=12":        "fingerprint: fingerprint of 2 bytes",
		"host=h&path=/x&prompt-token-count=10": `parameter "prompt-token-count"`,
	} {
		values, err := url.ParseQuery(query)
		require.NoError(t, err)
		_, err = g.explainPage(t.Context(), values)
		require.ErrorIs(t, err, errors.NotValid, query)
		require.ErrorContains(t, err, want, query)
	}
}
