package bench

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/caller"
	"github.com/hyssoproad/hyssoproad/pkg/httphead"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

// verdict is the result of checking one response.
type verdict string

const (
	verdictRight   verdict = "right"
	verdictWrong   verdict = "wrong"
	verdictCut     verdict = "cut"
	verdictNotRun  verdict = "not-run"
	verdictUnknown verdict = "unknown"
	verdictError   verdict = "error"
)

// outcome is the result of one request as its caller sees it.
type outcome struct {
	verdict verdict
	reason  string
	detail  string
	took    time.Duration
	stall   time.Duration
	target  string
	adapter string
}

// client sends requests to the entries in turn and checks the responses.
type client struct {
	entries []string
	token   string
	http    *fasthttp.Client
}

func newClient(entries []string, token string) *client {
	return &client{entries: entries, token: token, http: &fasthttp.Client{
		ConfigureClient: httphead.Configure, MaxConnsPerHost: 4096, ReadTimeout: time.Minute, MaxIdleConnDuration: time.Minute,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// completion describes one completion request.
type completion struct {
	number     int
	model      string
	prompt     string
	maxTokens  int
	stream     bool
	key        string
	repeat     bool // the idempotency key was sent before
	deadlineMS int
}

func (c *client) complete(in completion) outcome {
	body, err := json.Marshal(caller.CompletionRequest{Model: in.model, Prompt: in.prompt, MaxTokens: in.maxTokens, Stream: in.stream})
	if err != nil {
		return outcome{verdict: verdictError, detail: err.Error()}
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	c.prepareRequest(req, in.number, "/v1/completions", in.key, in.deadlineMS)
	setRepeatHeader(req, in.repeat)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	start := time.Now()
	err = c.http.Do(req, res)
	out := outcome{took: time.Since(start)}
	if err != nil {
		out.verdict, out.detail = verdictError, err.Error()
		return out
	}
	out.readHeaders(res)
	if res.StatusCode() != fasthttp.StatusOK {
		return out.withProblem(res.Body())
	}
	text, end := responseText(res.Body(), in.stream)
	return out.check(in, text, end)
}

func (c *client) prepareRequest(req *fasthttp.Request, n int, path, key string, deadlineMS int) {
	req.SetRequestURI(c.entries[n%len(c.entries)] + path)
	req.Header.Set("Authorization", "Bearer "+c.token)
	if key != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, key)
	}
	if deadlineMS > 0 {
		req.Header.Set(caller.HeaderDeadline, strconv.Itoa(deadlineMS))
	}
}

func setRepeatHeader(req *fasthttp.Request, repeat bool) {
	if repeat {
		req.Header.Set(caller.HeaderRepeat, "1")
	}
}

func (o *outcome) readHeaders(res *fasthttp.Response) {
	o.target = string(res.Header.Peek(caller.HeaderTarget))
	o.adapter = string(res.Header.Peek(caller.HeaderAdapter))
	ms, _ := strconv.Atoi(string(res.Header.Peek(caller.HeaderStall)))
	o.stall = time.Duration(ms) * time.Millisecond
}

func (o outcome) withProblem(body []byte) outcome {
	var p caller.Problem
	if err := json.Unmarshal(body, &p); err != nil {
		o.verdict, o.detail = verdictError, fmt.Sprintf("%.200s", body)
		return o
	}
	o.verdict, o.reason, o.detail = verdict(p.Outcome), p.Reason, p.Detail
	return o
}

// streamEnd describes how an event stream ended.
type streamEnd struct {
	done    bool
	problem *caller.Problem
}

func responseText(body []byte, stream bool) (string, streamEnd) {
	if !stream {
		var c caller.Completion
		if json.Unmarshal(body, &c) != nil || len(c.Choices) != 1 {
			return "", streamEnd{}
		}
		return c.Choices[0].Text, streamEnd{done: true}
	}
	var text strings.Builder
	var end streamEnd
	for line := range strings.Lines(string(body)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			end.done = true
			continue
		}
		var event struct {
			caller.Completion
			Error *caller.Problem `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return text.String(), end
		}
		end.problem = event.Error
		for _, choice := range event.Choices {
			text.WriteString(choice.Text)
		}
	}
	return text.String(), end
}

// check compares the generated text with the only correct text.
func (o outcome) check(in completion, text string, end streamEnd) outcome {
	var expected strings.Builder
	for i := range in.maxTokens {
		expected.WriteString(standin.Token(in.model, in.prompt, i))
	}
	switch {
	case end.problem != nil:
		o.verdict, o.reason = verdictCut, end.problem.Reason
	case text == expected.String() && end.done:
		o.verdict = verdictRight
	case strings.HasPrefix(expected.String(), text):
		o.verdict, o.detail = verdictCut, fmt.Sprintf("%d of %d bytes", len(text), expected.Len())
	default:
		o.verdict, o.detail = verdictWrong, fmt.Sprintf("%.120q", text)
	}
	if o.adapter != in.model && o.verdict == verdictRight {
		o.verdict, o.detail = verdictWrong, "adapter header "+o.adapter
	}
	return o
}

// call sends one request to the plain service.
func (c *client) call(n int, service, path, key string, repeat bool) outcome {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	c.prepareRequest(req, n, "/services/"+service+path, key, 0)
	setRepeatHeader(req, repeat)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString("{}")
	start := time.Now()
	err := c.http.Do(req, res)
	out := outcome{took: time.Since(start)}
	if err != nil {
		out.verdict, out.detail = verdictError, err.Error()
		return out
	}
	out.readHeaders(res)
	if res.StatusCode() != fasthttp.StatusOK {
		return out.withProblem(res.Body())
	}
	out.verdict = verdictWrong
	if strings.Contains(string(res.Body()), key) {
		out.verdict = verdictRight
	}
	return out
}

// direct is the client of stand-ins and processes that are asked without an entry.
var direct = &fasthttp.Client{ConfigureClient: httphead.Configure}

// getJSON reads the statistics of a stand-in or process.
func getJSON(url string, v any) error {
	status, body, err := direct.Get(nil, url)
	if err != nil {
		return errors.Trace(err)
	}
	if status != fasthttp.StatusOK {
		return errors.Errorf("%s: status %d", url, status)
	}
	return errors.Trace(json.Unmarshal(body, v))
}

// postJSON sets the faults of a stand-in.
func postJSON(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := direct.Do(req, res); err != nil {
		return errors.Trace(err)
	}
	if res.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("%s: status %d: %s", url, res.StatusCode(), res.Body())
	}
	return nil
}
