// Package dispatch sends requests from an entry to targets. It picks the
// targets, retries attempts where that is safe, resumes streams, and makes sure
// that a non-idempotent request runs at most once.
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
	Adapter  ident.AdapterVersion // zero for services without adapters
	Weights  string
	Revision ident.Revision // configuration revision that the job was resolved against
	Arrival  time.Time
	Deadline time.Time

	// Completion requests only.
	Prompt    string
	MaxTokens int

	// Requests to plain services only.
	Method      string
	Path        string
	ContentType string
	Body        []byte

	// Requests to non-idempotent services only.
	IdempotencyKey string
	// KeySentBefore is set if the caller has sent the key before.
	KeySentBefore bool
	Fingerprint   uint64

	// Resolve updates the job to the current configuration. It returns a
	// refusal if that no longer permits the request.
	Resolve func(*Job) *Refusal
}

func (j *Job) pool() route.Pool {
	return route.Pool{Kind: j.Service.Kind, Model: j.Service.Model, Role: j.Service.Role}
}

func (j *Job) query(exclude []ident.Target) route.Query {
	return route.Query{Pool: j.pool(), Key: j.Adapter, Exclude: exclude, Balance: j.Service.Balance}
}

// Refusal says why a request was not served.
type Refusal struct {
	Outcome    wire.Outcome
	Reason     string
	Detail     string
	Status     int // HTTP status
	RetryAfter time.Duration
	// settled is set if the ledger has confirmed the outcome.
	settled bool
}

// Refusal reasons of the dispatcher.
const (
	ReasonNoTarget           = "no-target"
	ReasonDeadline           = "deadline"
	ReasonLedger             = "ledger-unavailable"
	ReasonInProgress         = "in-progress"
	ReasonInDoubt            = "in-doubt"
	ReasonKeyExpired         = "key-expired"
	ReasonKeyReused          = "key-reused"
	ReasonBadKey             = "bad-key"
	ReasonStreamLost         = "stream-lost"
	ReasonConfigStale        = "config-stale"
	ReasonCallerDisconnected = "caller-gone"
)

// Result is the answer to a request, or its refusal.
type Result struct {
	Refusal *Refusal

	Target    ident.Target
	Adapter   ident.AdapterVersion
	LoadStall time.Duration // time spent waiting for the adapter to load
	QueueTime time.Duration // total wait from Arrival until the request started
	Attempts  int
	// FirstToken is the time from arrival to the first token, and TokenInterval the
	// mean time between later tokens.
	FirstToken    time.Duration
	TokenInterval time.Duration
	// Repeated is set if the answer is that of an earlier request with the
	// same idempotency key.
	Repeated bool

	// Completion requests only.
	Tokens       []string
	TokenCount   int
	FinishReason string

	// Requests to plain services, and repeated requests.
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
}

// Output receives a streamed answer. Its functions may be nil.
type Output struct {
	Started func(adapter ident.AdapterVersion, target ident.Target, stall time.Duration)
	// Tokens receives tokens in order, starting at an offset. It returns an
	// error if the caller has disconnected.
	Tokens func(offset int, texts []string) error
}
