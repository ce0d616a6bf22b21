// Package dispatch carries a request from an entry to a target: it picks
// targets, retries what is safe to retry, resumes streams and keeps
// non-idempotent requests to one run.
package dispatch

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/route"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Job is one caller's request, resolved against the configuration.
type Job struct {
	Request  ident.Request
	Caller   ident.Caller
	Priority ident.Priority
	Service  wire.Service
	Key      ident.AdapterVersion // zero for plain services
	Weights  string
	Revision ident.Revision // that the job was resolved against
	Arrival  time.Time
	Deadline time.Time

	// Of completions.
	Prompt    string
	MaxTokens int

	// Of plain services.
	Method      string
	Path        string
	ContentType string
	Body        []byte

	// Of non-idempotent services.
	IdempotencyKey string
	// Repeat says that the caller has sent the key before.
	Repeat      bool
	Fingerprint uint64

	// Resolve brings the job up to a newer configuration. It returns a
	// refusal if the configuration no longer permits the request.
	Resolve func(*Job) *Refusal
}

func (j *Job) pool() route.Pool {
	return route.Pool{Kind: j.Service.Kind, Model: j.Service.Model, Role: j.Service.Role}
}

// Refusal says why a request was not served.
type Refusal struct {
	Outcome    wire.Outcome
	Reason     string
	Detail     string
	Status     int // HTTP status
	RetryAfter time.Duration
	// settled says that the ledger has confirmed the outcome.
	settled bool
}

// Reasons of refusals that the dispatcher gives.
const (
	ReasonNoTarget    = "no-target"
	ReasonDeadline    = "deadline"
	ReasonLedger      = "ledger-unavailable"
	ReasonInProgress  = "in-progress"
	ReasonInDoubt     = "in-doubt"
	ReasonKeyExpired  = "key-expired"
	ReasonKeyReused   = "key-reused"
	ReasonBadKey      = "bad-key"
	ReasonStreamLost  = "stream-lost"
	ReasonConfigStale = "config-stale"
	ReasonCallerGone  = "caller-gone"
)

// Result is how a request ended: an answer, or a refusal.
type Result struct {
	Refusal *Refusal

	Target  ident.Target
	Adapter ident.AdapterVersion
	Stall   time.Duration // wait for the adapter
	Queue   time.Duration // wait in all
	Tries   int
	// FirstToken is the time from arrival to the first text, and Gap the mean
	// time between tokens after it.
	FirstToken time.Duration
	Gap        time.Duration
	// Repeated says that the answer is that of an earlier request with the
	// same idempotency key.
	Repeated bool

	// Of completions.
	Tokens []string
	Total  int
	Finish string

	// Of plain services, and of repeated requests.
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
}

// Output receives a streamed answer. Its functions may be nil.
type Output struct {
	Started func(adapter ident.AdapterVersion, target ident.Target, stall time.Duration)
	// Tokens takes text in order. An error means that the caller is gone.
	Tokens func(offset int, texts []string) error
}
