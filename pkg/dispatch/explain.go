package dispatch

import (
	"context"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/route"
)

// Placement is where a request would go, and what was considered.
type Placement struct {
	Candidates []route.Candidate
	// Open are the targets that would be chosen but for their circuit breakers.
	Open []ident.Target
	// Refusal is set if the request would be refused.
	Refusal *Refusal
}

// Explain returns where a job would go now. It asks the functions that Run asks, and changes
// nothing.
func (d *Dispatcher) Explain(job *Job) Placement {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	r := &run{d: d, ctx: ctx, job: job, reason: ReasonNoTarget}
	query := job.query(nil)
	choice, ok := d.place(&query, d.Table.Choose)
	out := Placement{Candidates: d.Table.Candidates(query, choice, time.Now()), Open: query.Exclude}
	if stopping := d.stopping.Load(); stopping || !ok {
		if stopping {
			cancel(errStopping)
		}
		out.Refusal = r.giveUp(refused)
	}
	return out
}
