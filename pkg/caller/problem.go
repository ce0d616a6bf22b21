package caller

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Problem is the RFC 9457 problem document that reports a refusal to a caller.
type Problem struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Detail  string       `json:"detail,omitempty"`
	Outcome wire.Outcome `json:"outcome"`
	Reason  string       `json:"reason"`
	Request string       `json:"request,omitempty"`
	// RetryAfterMS is the time after which a retry is expected to be served.
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
}

func newProblem(r *dispatch.Refusal, request string) Problem {
	return Problem{
		Type: "about:blank", Title: fasthttp.StatusMessage(r.Status), Status: r.Status, Detail: r.Detail,
		Outcome: r.Outcome, Reason: r.Reason, Request: request, RetryAfterMS: r.RetryAfter.Milliseconds(),
	}
}

func writeProblem(ctx *fasthttp.RequestCtx, p Problem) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType("application/problem+json")
	if p.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(p.RetryAfterMS) / float64(time.Second/time.Millisecond))
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	body, err := json.Marshal(p)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// notRun returns the refusal of a request that fails a check before routing.
func notRun(status int, reason, detail string) *dispatch.Refusal {
	return &dispatch.Refusal{Outcome: wire.NotRun, Status: status, Reason: reason, Detail: detail}
}
