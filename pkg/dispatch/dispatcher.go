package dispatch

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/route"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Dispatcher carries requests to targets. Its functions are the seams towards
// the rest of the entry.
type Dispatcher struct {
	common.Common
	Table   *route.Table
	Connect func(ctx context.Context, address string) (*link.Conn, error)
	Claim   func(ctx context.Context, c wire.Claim) wire.ClaimReply
	Settle  func(ctx context.Context, caller ident.Caller, s wire.Settle) bool
	CatchUp func(ctx context.Context, revision ident.Revision) error

	retry    settings.Retry
	budgets  budgets
	breakers breakers
	metrics  metrics
	active   active
}

type metrics struct {
	requests, retries, resumes, refused tally.Counter
	answered, unknown                   tally.Counter
}

// New returns a dispatcher whose seams are unset.
func New(c common.Common, table *route.Table, retry settings.Retry) *Dispatcher {
	d := &Dispatcher{Common: c.With("dispatch"), Table: table, retry: retry}
	d.budgets.init(retry)
	d.breakers.init()
	d.active.init()
	s := d.Metrics
	d.metrics = metrics{
		requests: s.Counter("requests"), retries: s.Counter("retries"), resumes: s.Counter("resumes"),
		refused: s.Counter("refused"), answered: s.Counter("answered"), unknown: s.Counter("unknown"),
	}
	return d
}

// verdict is what one attempt led to.
type verdict uint8

const (
	answered  verdict = iota // the result is whole
	refused                  // not started, and never will be
	uncertain                // may have started; its end is not known
)

// run is the state of one request across its attempts.
type run struct {
	d       *Dispatcher
	ctx     context.Context
	job     *Job
	out     Output
	result  Result
	exclude []ident.Target

	next       int // first token that the caller lacks
	firstAt    time.Time
	attempt    ident.Attempt
	claimed    ident.Attempt // attempt that holds the key in the ledger
	doubtful   bool          // an earlier attempt may have run
	retryAfter time.Duration
	reason     string
	silence    *time.Timer
	active     *activeRun
}

// silenceGrace is the time past the deadline for an agent's refusal to arrive.
const silenceGrace = time.Second

// Run carries a job to its end. ctx ends when the caller goes away.
func (d *Dispatcher) Run(ctx context.Context, job *Job, out Output) Result {
	d.metrics.requests.Inc(1)
	d.budgets.earn(job.Caller)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &run{d: d, ctx: ctx, job: job, out: out, reason: ReasonNoTarget}
	r.active = d.active.add(job, cancel)
	defer d.active.remove(job.Request)
	// Agents keep the deadline; this is for those that fall silent. What has
	// started is not cut off by it.
	r.silence = time.AfterFunc(time.Until(job.Deadline)+silenceGrace, func() { cancel(nil) })
	defer r.silence.Stop()
	refusal := r.drive()
	if refusal != nil {
		r.result.Refusal = refusal
		d.metrics.refused.Inc(1)
		if refusal.Outcome == wire.Unknown {
			d.metrics.unknown.Inc(1)
		}
		return r.result
	}
	d.metrics.answered.Inc(1)
	return r.result
}

func (r *run) drive() *Refusal {
	for r.result.Tries = 1; ; r.result.Tries++ {
		if refusal := r.resolveAgain(); refusal != nil {
			return refusal
		}
		choice, refusal := r.pick()
		if refusal != nil {
			return refusal
		}
		r.attempt = newAttempt()
		if refusal, repeated := r.claim(choice); refusal != nil || repeated {
			return refusal
		}
		end := r.try(choice)
		if end == uncertain && r.job.IdempotencyKey != "" {
			end = r.inquire(choice)
		}
		switch {
		case end == answered:
			r.settle()
			return nil
		case end == uncertain && r.job.IdempotencyKey != "":
			return r.doubt()
		case r.over(), !r.mayRetry(end):
			return r.giveUp(end)
		}
		r.d.metrics.retries.Inc(1)
	}
}

func newAttempt() ident.Attempt {
	id, err := uuid.NewV7()
	if err != nil {
		panic(errors.Annotate(err, "no randomness for an attempt id"))
	}
	return ident.Attempt(id.String())
}

func (r *run) pick() (route.Choice, *Refusal) {
	query := route.Query{Pool: r.job.pool(), Key: r.job.Key, Exclude: r.exclude, Balance: r.job.Service.Balance}
	for {
		choice, ok := r.d.Table.Pick(query, time.Now())
		if !ok {
			return choice, r.giveUp(refused)
		}
		if r.d.breakers.allow(choice.Node.Target, time.Now()) {
			return choice, nil
		}
		query.Exclude = append(query.Exclude, choice.Node.Target)
	}
}

// over reports whether the caller is gone or its deadline has passed before
// any text was sent.
func (r *run) over() bool {
	return r.ctx.Err() != nil || r.next == 0 && time.Now().After(r.job.Deadline)
}

// resolveAgain brings the job of a later attempt up to the configuration in
// force.
func (r *run) resolveAgain() *Refusal {
	if r.result.Tries == 1 || r.job.Resolve == nil {
		return nil
	}
	refusal := r.job.Resolve(r.job)
	if refusal != nil && r.claimed != "" && !r.release() {
		return r.doubt()
	}
	return refusal
}

const (
	maxStaleTries = 20
	stalePause    = 20 * time.Millisecond
)

// mayRetry reports whether another attempt is safe and within the limits.
func (r *run) mayRetry(end verdict) bool {
	if end == refused && r.reason == staleConfig {
		time.Sleep(stalePause)
		return r.result.Tries < maxStaleTries
	}
	if r.result.Tries >= r.d.retry.MaxAttempts {
		return false
	}
	if end == uncertain {
		r.doubtful = true
		r.d.metrics.resumes.Inc(1)
	}
	return r.d.budgets.spend(r.job.Caller)
}

// giveUp is the refusal of a request for which no attempt is left.
func (r *run) giveUp(end verdict) *Refusal {
	switch {
	case r.next > 0, r.doubtful, end == uncertain:
		// Idempotent work may have run in part; nothing is lost by running
		// it again, but it cannot be said that it was not run.
		return &Refusal{Outcome: wire.Unknown, Reason: ReasonStreamLost, Status: 502, Detail: "the answer could not be completed"}
	case r.claimed != "" && !r.release():
		return r.doubt()
	}
	out := &Refusal{
		Outcome: wire.NotRun, Reason: r.reason, Status: 503,
		RetryAfter: max(r.retryAfter, time.Second), settled: r.claimed != "",
	}
	if errors.Is(context.Cause(r.ctx), errCancelled) {
		out.Reason, out.RetryAfter = ReasonCancelled, 0
		return out
	}
	if r.reason == ReasonDeadline || time.Now().After(r.job.Deadline) {
		// Without a time that an agent told, none can be told truthfully.
		out.Reason, out.Status, out.RetryAfter = ReasonDeadline, 504, r.retryAfter
		out.Detail = "the request could not be started before its deadline"
	}
	return out
}

func (r *run) doubt() *Refusal {
	return &Refusal{
		Outcome: wire.Unknown, Reason: ReasonInDoubt, Status: 502,
		Detail: "it is not known if the request ran; repeat it with the same idempotency key to ask again",
	}
}

// note keeps what a refused attempt tells about later ones.
func (r *run) note(target ident.Target, reason string, retryAfter time.Duration) {
	r.exclude = append(r.exclude, target)
	r.reason = reason
	r.retryAfter = max(r.retryAfter, retryAfter)
}
