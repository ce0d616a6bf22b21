package dispatch

import (
	"context"
	"sync/atomic"
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

// Dispatcher sends requests to targets. Its function fields connect it to the
// rest of the entry and must be set before use.
type Dispatcher struct {
	common.Common
	Table          *route.Table
	Connect        func(ctx context.Context, address string) (*link.Conn, error)
	Claim          func(ctx context.Context, c wire.Claim) wire.ClaimReply
	Settle         func(ctx context.Context, caller ident.Caller, s wire.Settle) bool
	UpdateConfigTo func(ctx context.Context, revision ident.Revision) error

	retry        settings.Retry
	retryBudgets retryBudgets
	breakers     breakers
	metrics      metrics
	active       active
	stopping     atomic.Bool
}

type metrics struct {
	requests, retries, resumes, refused tally.Counter
	answered, unknown                   tally.Counter
}

// New returns a dispatcher whose function fields are unset.
func New(c common.Common, table *route.Table, retry settings.Retry) *Dispatcher {
	d := &Dispatcher{Common: c.With("dispatch"), Table: table, retry: retry}
	d.retryBudgets.init(retry)
	d.breakers.init()
	d.active.init()
	s := d.Metrics
	d.metrics = metrics{
		requests: s.Counter("requests"), retries: s.Counter("retries"), resumes: s.Counter("resumes"),
		refused: s.Counter("refused"), answered: s.Counter("answered"), unknown: s.Counter("unknown"),
	}
	return d
}

// attemptOutcome is what the entry knows of an attempt that has ended.
type attemptOutcome uint8

const (
	answered  attemptOutcome = iota // the result is complete
	refused                         // has not run and never will
	uncertain                       // may have run
)

// run is the state of one request over all its attempts.
type run struct {
	d       *Dispatcher
	ctx     context.Context
	job     *Job
	output  Output
	result  Result
	exclude []ident.Target

	nextToken      int // offset of the first token that the caller lacks
	firstTokenAt   time.Time
	attempt        ident.Attempt
	claimedAttempt ident.Attempt // attempt that claimed the key in the ledger
	mayHaveRun     bool          // an earlier attempt may have run
	retryAfter     time.Duration
	reason         string
	silenceTimer   *time.Timer
	active         *activeRequest
}

// refusalGrace is the time after the deadline in which an agent's refusal may
// still arrive.
const refusalGrace = time.Second

// Run sends a job to targets until it is answered or refused. ctx must end when
// the caller disconnects.
func (d *Dispatcher) Run(ctx context.Context, job *Job, output Output) Result {
	d.metrics.requests.Inc(1)
	d.retryBudgets.credit(job.Caller)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &run{d: d, ctx: ctx, job: job, output: output, reason: ReasonNoTarget}
	r.active = d.active.add(job, cancel)
	defer d.active.remove(job.Request)
	if d.stopping.Load() {
		cancel(errStopping)
	}
	// Agents enforce the deadline. This timer covers agents that stop
	// responding; it is stopped once the request starts.
	r.silenceTimer = time.AfterFunc(time.Until(job.Deadline)+refusalGrace, func() { cancel(nil) })
	defer r.silenceTimer.Stop()
	refusal := r.runAttempts()
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

func (r *run) runAttempts() *Refusal {
	for r.result.Attempts = 1; ; r.result.Attempts++ {
		if errors.Is(context.Cause(r.ctx), errStopping) {
			return r.giveUp(refused)
		}
		if refusal := r.refreshJob(); refusal != nil {
			return refusal
		}
		choice, refusal := r.pickTarget()
		if refusal != nil {
			return refusal
		}
		r.attempt = newAttempt()
		if refusal, repeated := r.claim(choice); refusal != nil || repeated {
			return refusal
		}
		outcome := r.sendAttempt(choice)
		if outcome == uncertain && r.job.IdempotencyKey != "" {
			outcome = r.resolveUncertain(choice)
		}
		switch {
		case outcome == answered:
			r.settle()
			return nil
		case outcome == uncertain && r.job.IdempotencyKey != "":
			return r.inDoubt()
		case r.expired(), !r.mayRetry(outcome):
			return r.giveUp(outcome)
		}
		r.d.metrics.retries.Inc(1)
	}
}

func newAttempt() ident.Attempt {
	id, err := uuid.NewV7()
	if err != nil {
		panic(errors.Annotate(err, "generating attempt id"))
	}
	return ident.Attempt(id.String())
}

func (r *run) pickTarget() (route.Choice, *Refusal) {
	query := r.job.query(r.exclude)
	choice, ok := r.d.place(&query, r.d.Table.Pick)
	if !ok {
		return choice, r.giveUp(refused)
	}
	return choice, nil
}

// place chooses the target of a request by pick. It excludes targets with open circuit
// breakers from the query.
func (d *Dispatcher) place(query *route.Query, pick func(route.Query, time.Time) (route.Choice, bool)) (route.Choice, bool) {
	for {
		choice, ok := pick(*query, time.Now())
		if !ok || d.breakers.allow(choice.Node.Target, time.Now()) {
			return choice, ok
		}
		query.Exclude = append(query.Exclude, choice.Node.Target)
	}
}

// expired reports whether the caller has disconnected, or the deadline passed
// before any token was sent.
func (r *run) expired() bool {
	return r.ctx.Err() != nil || r.nextToken == 0 && time.Now().After(r.job.Deadline)
}

// refreshJob resolves the job against the current configuration before every
// attempt but the first.
func (r *run) refreshJob() *Refusal {
	if r.result.Attempts == 1 || r.job.Resolve == nil {
		return nil
	}
	refusal := r.job.Resolve(r.job)
	if refusal != nil && r.claimedAttempt != "" && !r.release() {
		return r.inDoubt()
	}
	return refusal
}

const (
	maxStaleTries = 20
	stalePause    = 20 * time.Millisecond
)

// mayRetry reports whether the attempt limit and the caller's retry budget
// allow another attempt. After a refusal for a stale configuration, the limit
// is maxStaleTries and no retry budget is spent.
func (r *run) mayRetry(outcome attemptOutcome) bool {
	if outcome == refused && r.reason == staleConfig {
		time.Sleep(stalePause)
		return r.result.Attempts < maxStaleTries
	}
	if r.result.Attempts >= r.d.retry.MaxAttempts {
		return false
	}
	if outcome == uncertain {
		r.mayHaveRun = true
		r.d.metrics.resumes.Inc(1)
	}
	return r.d.retryBudgets.spend(r.job.Caller)
}

// giveUp returns the refusal of a request that gets no further attempt.
func (r *run) giveUp(outcome attemptOutcome) *Refusal {
	switch {
	case r.nextToken > 0, r.mayHaveRun, outcome == uncertain:
		// The request may have run in part. It is idempotent, so the caller
		// may safely repeat it, but the outcome must not be not-run.
		return &Refusal{Outcome: wire.Unknown, Reason: ReasonStreamLost, Status: 502, Detail: "the answer could not be completed"}
	case r.claimedAttempt != "" && !r.release():
		return r.inDoubt()
	}
	out := &Refusal{
		Outcome: wire.NotRun, Reason: r.reason, Status: 503,
		RetryAfter: max(r.retryAfter, time.Second), settled: r.claimedAttempt != "",
	}
	switch cause := context.Cause(r.ctx); {
	case errors.Is(cause, errCancelled):
		out.Reason, out.RetryAfter = ReasonCancelled, 0
		return out
	case errors.Is(cause, errStopping):
		out.Reason, out.RetryAfter = ReasonStopping, time.Second // another entry serves it
		return out
	}
	if r.reason == ReasonDeadline || time.Now().After(r.job.Deadline) {
		// Without a retry delay from an agent, the refusal gives none.
		out.Reason, out.Status, out.RetryAfter = ReasonDeadline, 504, r.retryAfter
		out.Detail = "the request could not be started before its deadline"
	}
	return out
}

func (r *run) inDoubt() *Refusal {
	return &Refusal{
		Outcome: wire.Unknown, Reason: ReasonInDoubt, Status: 502,
		Detail: "it is not known if the request ran; repeat it with the same idempotency key to ask again",
	}
}

// recordFailure excludes the target from later attempts, and keeps the reason
// and the longest retry delay for a refusal.
func (r *run) recordFailure(target ident.Target, reason string, retryAfter time.Duration) {
	r.exclude = append(r.exclude, target)
	r.reason = reason
	r.retryAfter = max(r.retryAfter, retryAfter)
}
