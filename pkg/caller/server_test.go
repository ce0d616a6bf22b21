package caller

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const token = "a-token"

func testCatalog() *catalog.Catalog {
	c := catalog.New()
	c.Apply(wire.Record{Revision: 1, Changes: []wire.Change{
		{Service: &wire.Service{Name: "drafting", Kind: wire.KindEngine, MaxTokens: 100}},
		{Service: &wire.Service{Name: "secret", Kind: wire.KindEngine}},
		{Service: &wire.Service{Name: "booking", Kind: wire.KindService, NonIdempotent: true}},
		{Adapter: &wire.Adapter{Name: "guide", Service: "drafting", Versions: []wire.AdapterVersion{
			{Number: 1, Weights: "w1", Retired: true}, {Number: 2, Weights: "w2"},
		}}},
		{Adapter: &wire.Adapter{Name: "hidden", Service: "secret", Default: 1, Versions: []wire.AdapterVersion{{Number: 1, Weights: "w"}}}},
		{Caller: &wire.Caller{Name: "c", TokenHash: catalog.HashToken(token), InFlight: 1, Rules: []wire.CallerRule{{Service: "drafting", Priority: 4}, {Service: "booking"}}}},
	}})
	return c
}

// testServer runs a Server with a fake dispatcher on an in-memory listener. hold
// blocks the dispatcher until it is closed, and held receives a value for each blocked
// job; stale is the admission error.
type testServer struct {
	client *fasthttp.Client
	log    *strings.Builder
	jobs   []*dispatch.Job
	hold   chan struct{}
	held   chan struct{}
	stale  error
	served *Server
}

func newTestServer(t *testing.T) *testServer {
	ts := &testServer{log: &strings.Builder{}}
	c := common.Common{Log: log.NewLogfmtLogger(log.NewSyncWriter(ts.log)), Metrics: tally.NoopScope}
	s := settings.DefaultEntry().Callers
	s.MaxBodyBytes, s.MaxHeaderBytes = 2000, 2048
	served := NewServer(c, s, testCatalog(), func() error { return ts.stale })
	served.run = func(_ context.Context, j *dispatch.Job, out dispatch.Output) dispatch.Result {
		ts.jobs = append(ts.jobs, j)
		if ts.hold != nil {
			ts.held <- struct{}{}
			<-ts.hold
		}
		if out.Tokens != nil {
			_ = out.Tokens(0, []string{"a", "b"})
			return dispatch.Result{TokenCount: 2, FinishReason: "stop"}
		}
		return dispatch.Result{Tokens: []string{"a", "b"}, TokenCount: 2, FinishReason: "stop", Status: 200, Body: []byte("done")}
	}
	served.confirm = func(_ ident.Caller, _ string, _ bool, r *dispatch.Refusal) *dispatch.Refusal { return r }
	ts.served = served
	listener := fasthttputil.NewInmemoryListener()
	go func() { _ = served.server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	ts.client = &fasthttp.Client{Dial: func(string) (net.Conn, error) { return listener.Dial() }}
	return ts
}

type call struct {
	method, path, body string
	headers            map[string]string
}

func (ts *testServer) do(t *testing.T, c call) (int, string) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://entry" + c.path)
	req.Header.SetMethod(c.method)
	req.Header.Set("Authorization", "Bearer "+token)
	for k, v := range c.headers {
		req.Header.Set(k, v)
	}
	req.SetBodyString(c.body)
	require.NoError(t, ts.client.Do(req, res))
	return res.StatusCode(), string(res.Body())
}

func completionCall(model string) call {
	return call{"POST", "/v1/completions", `{"model":"` + model + `","prompt":"p","max_tokens":2}`, nil}
}

func withHeader(c call, header, value string) call {
	c.headers = map[string]string{header: value}
	return c
}

func TestRefusesAndLogsBadInput(t *testing.T) {
	booking := call{"POST", "/services/booking/book", "{}", nil}
	scenarios := []struct {
		name   string
		call   call
		status int
		reason string
	}{
		{"unknown adapter", completionCall("nobody@1"), 404, "unknown-adapter"},
		{"unknown version", completionCall("guide@7"), 404, "unknown-version"},
		{"retired version", completionCall("guide@1"), 410, "retired-version"},
		{"no version and no default", completionCall("guide"), 400, "no-version"},
		{"bad version", completionCall("guide@x"), 400, "bad-model"},
		{"not permitted", completionCall("hidden@1"), 403, "not-permitted"},
		{"no token", withHeader(completionCall("guide@2"), "Authorization", ""), 401, "no-token"},
		{"wrong token", withHeader(completionCall("guide@2"), "Authorization", "Bearer x"), 401, "wrong-token"},
		{"wrong JSON", call{"POST", "/v1/completions", "{", nil}, 400, "bad-json"},
		{"no prompt", call{"POST", "/v1/completions", `{"model":"guide@2"}`, nil}, 400, "no-prompt"},
		{"too many tokens", call{"POST", "/v1/completions", `{"model":"guide@2","prompt":"p","max_tokens":101}`, nil}, 400, "too-many-tokens"},
		{"body too large", call{"POST", "/v1/completions", strings.Repeat("x", 3000), nil}, 413, "body-too-large"},
		{"header too large", withHeader(completionCall("guide@2"), "X-Long", strings.Repeat("x", 4000)), 431, "header-too-large"},
		{"past deadline", withHeader(completionCall("guide@2"), HeaderDeadline, "-1"), 504, "deadline"},
		{"bad deadline", withHeader(completionCall("guide@2"), HeaderDeadline, "soon"), 400, "bad-deadline"},
		{"no key", booking, 400, "no-key"},
		{"bad key", withHeader(booking, HeaderIdempotencyKey, "1"), 400, "bad-key"},
		{"unknown service", call{"POST", "/services/none/x", "", nil}, 404, "unknown-service"},
		{"unknown path", call{"GET", "/nowhere", "", nil}, 404, "no-such-path"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			ts := newTestServer(t)
			status, body := ts.do(t, s.call)
			require.Equal(t, s.status, status, body)
			var p Problem
			require.NoError(t, json.Unmarshal([]byte(body), &p), body)
			require.Equal(t, wire.NotRun, p.Outcome)
			require.Equal(t, s.reason, p.Reason)
			require.Contains(t, ts.log.String(), "reason="+s.reason)
			require.NotContains(t, ts.log.String(), token)
			require.Empty(t, ts.jobs, "a refused request must not reach the dispatcher")
		})
	}
}

func TestRefusesCallerOverInFlightLimit(t *testing.T) {
	ts := newTestServer(t)
	ts.hold, ts.held = make(chan struct{}), make(chan struct{}, 1)
	first := make(chan int)
	go func() {
		status, _ := ts.do(t, completionCall("guide@2"))
		first <- status
	}()
	<-ts.held // the first request has the caller's only place
	status, body := ts.do(t, withHeader(completionCall("guide@2"), "X-Probe", "1"))
	require.Equal(t, 429, status)
	require.Contains(t, body, "caller-limit")
	close(ts.hold)
	require.Equal(t, 200, <-first)
}

func TestStaleEntryRefusesRequests(t *testing.T) {
	ts := newTestServer(t)
	ts.stale = errors.New("not confirmed")
	status, body := ts.do(t, completionCall("guide@2"))
	require.Equal(t, 503, status)
	require.Contains(t, body, "config-stale")
	key := standin.NewKey(time.Now())
	c := call{"POST", "/services/booking/book", "{}", map[string]string{HeaderIdempotencyKey: key, HeaderRepeat: "1"}}
	_, body = ts.do(t, c)
	require.Contains(t, body, `"unknown"`)
}

func TestResponseFormats(t *testing.T) {
	chat := `{"model":"guide@2","messages":[{"role":"user","content":"hi"}],"max_tokens":2`
	scenarios := []struct {
		name string
		call call
		want []string
	}{
		{"completion", completionCall("guide@2"), []string{`"text":"ab"`, `"model":"guide@2"`, `"completion_tokens":2`}},
		{"chat", call{"POST", "/v1/chat/completions", chat + "}", nil}, []string{`"content":"ab"`, `"chat.completion"`}},
		{"streamed completion", call{"POST", "/v1/completions", `{"model":"guide@2","prompt":"p","max_tokens":2,"stream":true}`, nil}, []string{`"text":"a"`, `"text":"b"`, "[DONE]"}},
		{"streamed chat", call{"POST", "/v1/chat/completions", chat + `,"stream":true}`, nil}, []string{`"delta"`, "[DONE]"}},
		{"plain service", withHeader(call{"POST", "/services/booking/book?x=1", "{}", nil}, HeaderIdempotencyKey, standin.NewKey(time.Now())), []string{"done"}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			ts := newTestServer(t)
			status, body := ts.do(t, s.call)
			require.Equal(t, 200, status, body)
			for _, part := range s.want {
				require.Contains(t, body, part)
			}
			require.Len(t, ts.jobs, 1)
			require.Equal(t, ident.Revision(1), ts.jobs[0].Revision)
		})
	}
}

// Guards against an entry whose grace period ends with requests in progress: their callers
// got no answer when the process exited. A stop whose requests are all answered in time is no
// failure, however short the grace period.
func TestStopAnswersRequestsInProgress(t *testing.T) {
	for _, test := range []struct {
		grace time.Duration
		ends  bool // the request ends when it is cancelled
	}{{time.Second, true}, {50 * time.Millisecond, true}, {time.Second, false}} {
		synctest.Test(t, func(t *testing.T) {
			t.Cleanup(func() { time.Sleep(5 * time.Minute) }) // virtual: the idle workers and clients of fasthttp end
			ts := newTestServer(t)
			ts.hold, ts.held = make(chan struct{}), make(chan struct{}, 1)
			ts.served.settings.DrainDelay = 0
			ts.served.server.NoDefaultDate = true // its clock would not end with the bubble
			ts.served.cancelAll = func() {
				if test.ends {
					close(ts.hold)
				}
			}
			answered := make(chan int, 1)
			go func() {
				status, _ := ts.do(t, call{method: "POST", path: "/v1/completions", body: `{"model": "guide@2", "prompt": "p"}`})
				answered <- status
			}()
			<-ts.held
			announced := false
			err := ts.served.stop(t.Context(), func(context.Context) { announced = true }, test.grace)
			require.True(t, announced)
			if !test.ends {
				require.ErrorIs(t, err, context.DeadlineExceeded)
				close(ts.hold)
			} else {
				require.NoError(t, err, "grace %s", test.grace)
			}
			require.Equal(t, 200, <-answered)
		})
	}
}

// Guards against explanations that refuse in another way than callers see it.
func TestExplanationRefusesAsRequestsAreRefused(t *testing.T) {
	for _, test := range []struct {
		model string
		stale error
	}{
		{"nobody@1", nil}, {"guide@7", nil}, {"guide@1", nil}, {"guide", nil}, {"guide@2", errors.New("not confirmed")}, {"guide@2", nil},
	} {
		ts := newTestServer(t)
		ts.stale = test.stale
		ts.served.place = func(*dispatch.Job) dispatch.Placement { return dispatch.Placement{} }
		named, err := ident.ParseAdapterVersion(test.model)
		require.NoError(t, err)
		job, placement := ts.served.Explain(named)
		status, body := ts.do(t, completionCall(test.model))
		if placement.Refusal == nil {
			require.Equal(t, 200, status, test.model)
			require.Equal(t, []any{ts.jobs[0].Service, ts.jobs[0].Adapter}, []any{job.Service, job.Adapter})
			continue
		}
		require.Equal(t, status, placement.Refusal.Status, test.model)
		require.Contains(t, body, `"`+placement.Refusal.Reason+`"`)
	}
}
