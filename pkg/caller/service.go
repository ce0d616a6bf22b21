package caller

import (
	"context"
	"strings"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// call serves one call of a plain service.
func (srv *Server) call(x *exchange) *dispatch.Refusal {
	job, refusal := srv.resolveCall(x)
	if refusal != nil {
		return refusal
	}
	result := srv.run(context.Background(), job, dispatch.Output{})
	if result.Refusal != nil {
		return result.Refusal
	}
	defer srv.inFlight.release(x.caller.Name)
	srv.recordAnswer(x, job, result)
	setHeaders(x, job, result)
	if result.Truncated {
		writeProblem(x.ctx, newProblem(answerNotKept(), string(x.id)))
		return nil
	}
	x.ctx.SetStatusCode(result.Status)
	x.ctx.SetContentType(result.ContentType)
	x.ctx.SetBody(result.Body)
	return nil
}

func (srv *Server) resolveCall(x *exchange) (*dispatch.Job, *dispatch.Refusal) {
	name := ident.Service(x.ctx.UserValue("service").(string))
	path, _ := x.ctx.UserValue("path").(string)
	job := &dispatch.Job{
		Request: x.id, Caller: x.caller.Name, Arrival: x.began,
		Method: string(x.ctx.Method()), Path: "/" + strings.TrimPrefix(path, "/"),
		ContentType: string(x.ctx.Request.Header.ContentType()),
		Body:        append([]byte(nil), x.ctx.PostBody()...),
	}
	if query := x.ctx.URI().QueryString(); len(query) > 0 {
		job.Path += "?" + string(query)
	}
	job.Resolve = func(j *dispatch.Job) *dispatch.Refusal { return srv.resolveService(j, x.caller.Name, name) }
	if refusal := job.Resolve(job); refusal != nil {
		return nil, refusal
	}
	x.series = Series{job.Service.Name, job.Priority}
	var refusal *dispatch.Refusal
	if job.Deadline, refusal = srv.deadline(x, job.Service); refusal != nil {
		return nil, refusal
	}
	if job.IdempotencyKey, refusal = idempotencyKey(x, job.Service); refusal != nil {
		return nil, refusal
	}
	job.Fingerprint = fingerprint(x, job.Method, job.Path)
	return job, nil
}

func (srv *Server) resolveService(j *dispatch.Job, caller ident.Caller, name ident.Service) *dispatch.Refusal {
	j.Revision = srv.catalog.Revision()
	service, ok := srv.catalog.Service(name)
	if !ok || service.Kind != wire.KindService {
		return notRun(404, "unknown-service", "no plain service is named "+string(name))
	}
	current, _ := srv.catalog.Caller(caller)
	rule, ok := catalog.FindRule(current, name, "")
	if !ok {
		return notRun(403, "not-permitted", "the caller may not use "+string(name))
	}
	j.Service, j.Priority = service, rule.Priority
	return nil
}
