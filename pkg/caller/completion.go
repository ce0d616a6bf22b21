package caller

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

const defaultMaxTokens = 16

func (srv *Server) completion(x *exchange) *dispatch.Refusal {
	var in CompletionRequest
	if err := json.Unmarshal(x.ctx.PostBody(), &in); err != nil {
		return notRun(400, "bad-json", err.Error())
	}
	return srv.generate(x, in, completionFormat{})
}

func (srv *Server) chat(x *exchange) *dispatch.Refusal {
	var in ChatRequest
	if err := json.Unmarshal(x.ctx.PostBody(), &in); err != nil {
		return notRun(400, "bad-json", err.Error())
	}
	var prompt strings.Builder
	for _, m := range in.Messages {
		prompt.WriteString(m.Role + ": " + m.Content + "\n")
	}
	out := CompletionRequest{Model: in.Model, Prompt: prompt.String(), MaxTokens: in.MaxTokens, Stream: in.Stream}
	return srv.generate(x, out, chatFormat{})
}

func (srv *Server) generate(x *exchange, in CompletionRequest, format responseFormat) *dispatch.Refusal {
	job, refusal := srv.resolveCompletion(x, in)
	if refusal != nil {
		return refusal
	}
	if in.Stream {
		return srv.respondStream(x, job, format)
	}
	result := srv.run(context.Background(), job, dispatch.Output{})
	return srv.respond(x, job, result, format)
}

// resolveCompletion validates a request against the configuration and returns
// its job.
func (srv *Server) resolveCompletion(x *exchange, in CompletionRequest) (*dispatch.Job, *dispatch.Refusal) {
	named, err := ident.ParseAdapterVersion(in.Model)
	if err != nil {
		return nil, notRun(400, "bad-model", err.Error())
	}
	if in.Prompt == "" {
		return nil, notRun(400, "no-prompt", "the request carries no prompt")
	}
	job := &dispatch.Job{
		Request: x.id, Caller: x.caller.Name, Arrival: x.began, Prompt: in.Prompt, MaxTokens: in.MaxTokens,
	}
	if job.MaxTokens == 0 {
		job.MaxTokens = defaultMaxTokens
	}
	job.Resolve = func(j *dispatch.Job) *dispatch.Refusal { return srv.resolveAdapter(j, x.caller.Name, named) }
	if refusal := job.Resolve(job); refusal != nil {
		return nil, refusal
	}
	x.series = Series{job.Service.Name, job.Priority}
	if refusal := srv.checkTokens(job); refusal != nil {
		return nil, refusal
	}
	var refusal *dispatch.Refusal
	if job.Deadline, refusal = srv.deadline(x, job.Service); refusal != nil {
		return nil, refusal
	}
	if job.IdempotencyKey, refusal = idempotencyKey(x, job.Service); refusal != nil {
		return nil, refusal
	}
	job.Fingerprint = fingerprint(x)
	return job, nil
}

func (srv *Server) checkTokens(job *dispatch.Job) *dispatch.Refusal {
	limit := srv.settings.MaxTokens
	if job.Service.MaxTokens > 0 {
		limit = min(limit, job.Service.MaxTokens)
	}
	if job.MaxTokens < 0 || job.MaxTokens > limit {
		return notRun(400, "too-many-tokens", "max_tokens is outside 1 to "+strconv.Itoa(limit))
	}
	return nil
}

// resolveAdapter resolves the named adapter and version against the current
// configuration. A request that names no version keeps the version that it was
// first resolved to.
func (srv *Server) resolveAdapter(j *dispatch.Job, caller ident.Caller, named ident.AdapterVersion) *dispatch.Refusal {
	j.Revision = srv.catalog.Revision()
	adapter, ok := srv.catalog.Adapter(named.Adapter)
	if !ok {
		return unknownAdapter(named.Adapter)
	}
	current, ok := srv.catalog.Caller(caller)
	if !ok {
		return notRun(403, "not-permitted", "the caller is no longer declared")
	}
	rule, ok := catalog.FindRule(current, adapter.Service, adapter.Name)
	if !ok {
		// Answering as for an unknown adapter would hide a misconfiguration.
		// Naming the adapter discloses nothing: the caller sent the name.
		return notRun(403, "not-permitted", "the caller may not use "+string(named.Adapter))
	}
	if named.Version == 0 && !j.Adapter.IsZero() {
		named = j.Adapter
	}
	j.Priority = rule.Priority
	return srv.resolveVersion(j, adapter, named)
}

func unknownAdapter(name ident.Adapter) *dispatch.Refusal {
	return notRun(404, "unknown-adapter", "no adapter is named "+string(name))
}

// resolveVersion resolves the named version of an adapter, or its default.
func (srv *Server) resolveVersion(j *dispatch.Job, adapter wire.Adapter, named ident.AdapterVersion) *dispatch.Refusal {
	if named.Version == 0 {
		named.Version = adapter.Default
	}
	if named.Version == 0 {
		return notRun(400, "no-version", "the request names no version and the adapter has no default")
	}
	version, ok := catalog.FindVersion(adapter, named.Version)
	if !ok {
		return notRun(404, "unknown-version", "the adapter has no version "+strconv.Itoa(int(named.Version)))
	}
	if version.Retired {
		return notRun(410, "retired-version", named.String()+" is retired")
	}
	service, ok := srv.catalog.Service(adapter.Service)
	if !ok {
		return notRun(404, "unknown-service", "the adapter's service is not declared")
	}
	j.Adapter, j.Weights, j.Service = named, version.Weights, service
	return nil
}

// respond writes a completion that is not streamed.
func (srv *Server) respond(x *exchange, job *dispatch.Job, r dispatch.Result, format responseFormat) *dispatch.Refusal {
	if r.Refusal != nil {
		return r.Refusal
	}
	defer srv.inFlight.release(x.caller.Name)
	srv.recordAnswer(x, job, r)
	setHeaders(x, job, r)
	text := strings.Join(r.Tokens, "")
	if r.Repeated {
		if r.Truncated {
			writeProblem(x.ctx, newProblem(answerNotKept(), string(x.id)))
			return nil
		}
		text = string(r.Body)
	}
	body, err := json.Marshal(format.response(string(x.id), job.Adapter.String(), text, r))
	if err != nil {
		srv.Warn("msg", "failed to encode the response", "request", x.id, "err", errors.Trace(err))
	}
	x.ctx.SetContentType("application/json")
	x.ctx.SetBody(body)
	return nil
}

// answerNotKept is the refusal of a repeated request that ran but whose answer
// was too large to store.
func answerNotKept() *dispatch.Refusal {
	return &dispatch.Refusal{
		Outcome: wire.Ran, Status: 409, Reason: "answer-not-kept",
		Detail: "the request ran; its answer was too large to be kept for a repeat",
	}
}

func setHeaders(x *exchange, job *dispatch.Job, r dispatch.Result) {
	h := &x.ctx.Response.Header
	h.Set(HeaderTarget, string(r.Target))
	h.Set(HeaderStall, strconv.FormatInt(r.LoadStall.Milliseconds(), 10))
	if !job.Adapter.IsZero() {
		h.Set(HeaderAdapter, job.Adapter.String())
	}
	if r.Repeated {
		h.Set(HeaderRepeated, "true")
	}
}

// recordAnswer records an answered request for the burn report and logs it.
func (srv *Server) recordAnswer(x *exchange, job *dispatch.Job, r dispatch.Result) {
	took := time.Since(x.began)
	srv.stats.answered(job, r)
	srv.Debug("msg", "answered", "request", x.id, "caller", x.caller.Name, "adapter", job.Adapter, "target", r.Target,
		"stall", r.LoadStall, "took", took, "tries", r.Attempts)
}
