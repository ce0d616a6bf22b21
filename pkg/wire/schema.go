// Package wire defines the messages that the system's own processes exchange
// and the values that they store through the object API. The codecs are
// generated from the schema files.
package wire

import (
	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

//go:generate msgp -o schema_gen.go -tests=false -io=false

// Outcome tells whether a request ran.
type Outcome string

// The outcomes of a request. NotRun is reported only when it is certain.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Role is the kind of process at one end of a link.
type Role uint8

// The roles of a link's ends.
const (
	RoleEntry Role = iota + 1
	RoleAgent
)

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// The kinds of target.
const (
	KindEngine  TargetKind = "engine"
	KindService TargetKind = "service"
)

// Hello opens the handshake of a link.
type Hello struct {
	Protocol uint16
	Role     Role
	VM       ident.VM
	Nonce    []byte
	// NewestKind is the highest frame kind that the sender reads; 0 from releases
	// that do not report it.
	NewestKind uint8
}

// Proof completes the handshake with an HMAC over both nonces.
type Proof struct {
	MAC []byte
}

// Fault tells the peer why a stream ended without a reply.
type Fault struct {
	Reason string
}

//msgp:tuple Submit

// Submit asks an agent to run one attempt on its target.
type Submit struct {
	Request       ident.Request
	Attempt       ident.Attempt
	Revision      ident.Revision
	Incarnation   ident.Incarnation // required incarnation of the agent; 0 accepts any
	Service       ident.Service
	Caller        ident.Caller
	Adapter       ident.AdapterVersion
	Weights       string // path of the adapter's weights in the weight store
	Priority      ident.Priority
	WaitedMS      int64 // time since the request's arrival at the entry, in ms
	DeadlineMS    int64 // time left until the caller's deadline, in ms
	NonIdempotent bool
	ReserveRetry  bool // a refusal may reserve a retry time, by which the adapter is expected to be loaded
	ResumeFrom    int  // index of the first token to send
	MaxTokens     int
	Prompt        string
	Method        string // of a plain service's call
	Path          string
	ContentType   string
	Body          []byte
	Key           string // idempotency key, passed on to plain services
}

// EventKind is what an Event reports.
type EventKind uint8

// The kinds of events of one attempt. The last event of an attempt is EventAnswer,
// EventFinished, EventRefused or EventFailed.
const (
	EventStarted  EventKind = iota + 1 // the attempt was sent to the target
	EventTokens                        // generated text
	EventAnswer                        // the complete answer of a plain service
	EventFinished                      // generation is complete
	EventRefused                       // not started, and never will be
	EventFailed                        // started, but its result is unknown or incomplete
)

//msgp:tuple Event

// Event reports the progress of one attempt.
type Event struct {
	Kind         EventKind
	Reason       string
	RetryAfterMS int64
	StallMS      int64 // load stall, in ms
	QueueMS      int64 // total wait before the request started, in ms
	Revision     ident.Revision
	Offset       int // index of the first token in Tokens
	Tokens       []string
	TotalTokens  int // number of tokens of the complete answer, in EventFinished
	FinishReason string
	Adapter      ident.AdapterVersion
	Status       int
	ContentType  string
	Body         []byte
}

//msgp:tuple Report

// Report describes an agent and its target.
type Report struct {
	Target      ident.Target
	Incarnation ident.Incarnation
	Sequence    uint64
	Revision    ident.Revision
	VM          ident.VM
	Domain      ident.Domain
	Address     string
	Kind        TargetKind
	Model       ident.Model
	Role        string // service role of the target, such as drafting
	Slots       int
	MaxRunning  int
	Running     int
	Waiting     int
	WaitMS      int64 // expected wait of a new request whose adapter is loaded, in ms
	LoadWaitMS  int64 // expected wait of a new request for the load of its adapter, in ms
	EvictCost   float64
	Draining    bool
	Ready       bool
	Loaded      []ident.AdapterVersion
}

//msgp:tuple ReportUpdate

// ReportUpdate is the part of a report that changes often. The rest is sent only when
// the receiver lacks it.
type ReportUpdate struct {
	Target      ident.Target
	Incarnation ident.Incarnation
	Sequence    uint64
	Revision    ident.Revision
	Running     int
	Waiting     int
	WaitMS      int64
	LoadWaitMS  int64
	EvictCost   float32
	Draining    bool
	Ready       bool
	Static      uint64 // hash of the report's other fields
}

//msgp:tuple EntryInfo BudgetInfo Heartbeat HeartbeatAck Digest DigestAck

// EntryInfo describes an entry.
type EntryInfo struct {
	VM       ident.VM
	Domain   ident.Domain
	Address  string
	Revision ident.Revision
	Draining bool
	// ConfirmedAgeMS is the time since Revision was last confirmed to be the latest,
	// in ms, or NeverConfirmed.
	ConfirmedAgeMS int64
}

// NeverConfirmed is the ConfirmedAgeMS of a revision that was never confirmed.
const NeverConfirmed = -1

// Heartbeat carries an agent's report to a home entry.
type Heartbeat struct {
	ReportUpdate ReportUpdate
	Full         []Report // the full report, if the entry may lack its other fields
	// Entries is a hash of the entries that the agent knows.
	Entries uint64
}

// HeartbeatAck answers a Heartbeat.
type HeartbeatAck struct {
	Highest  ident.Incarnation // highest incarnation known for the target
	Revision ident.Revision
	NeedFull bool // the entry lacks the report's other fields
	// Entries lists the live entries; it is empty if the agent knows them.
	Entries     []EntryInfo
	EntriesHash uint64
	Budget      BudgetInfo
}

// Digest carries what one entry learned directly from agents to another entry.
type Digest struct {
	From          EntryInfo
	ReportUpdates []ReportUpdate
	Reports       []Report // full reports, for targets whose other fields the receiver may lack
	Budget        BudgetInfo
}

// BudgetInfo identifies the holder of the load budget.
type BudgetInfo struct {
	Address string // empty if no holder is known
	Term    uint64
	LeftMS  int64 // remaining time of the holder's lease, in ms
	// PackedShareMilli is the share of a pool's targets, in thousandths, onto which
	// requests of services that favour batch efficiency are packed.
	PackedShareMilli int
}

// DigestAck answers a Digest.
type DigestAck struct {
	From EntryInfo
	// Unknown lists the targets whose full report the receiver lacks.
	Unknown []ident.Target
}

// ConfigPull asks for all records after a revision.
type ConfigPull struct {
	After       ident.Revision
	WithoutBulk bool // leave out adapters and callers
}

// ConfigDelta answers a ConfigPull or pushes new records.
type ConfigDelta struct {
	Revision ident.Revision
	Full     bool // Records replace everything that the receiver holds
	More     bool // another page follows
	Records  []Record
}

// ConfigAck reports the revision in force at the receiver of a ConfigDelta.
type ConfigAck struct {
	Revision ident.Revision
}

// LoadRequest asks the holder of the load budget for permission to load one
// adapter.
type LoadRequest struct {
	Target ident.Target
	Value  float64 // expected delay that the load saves, in request-seconds
}

// LoadGrant permits one load, which must be ordered within ValidMS.
type LoadGrant struct {
	Granted bool
	ID      uint64
	ValidMS int64
}

// LoadDone reports that a granted load has ended and no longer counts as in
// flight.
type LoadDone struct {
	ID     uint64
	Failed bool
	TookMS int64
}

// Claim asks a ledger partition's owner for the right to run the request with
// an idempotency key.
type Claim struct {
	Key         string
	Caller      ident.Caller
	Fingerprint uint64
	Attempt     ident.Attempt
	Target      ident.Target
	Incarnation ident.Incarnation
	Address     string // of the agent
	// Replaces is a refused and fenced attempt of the same request, which the
	// claim replaces.
	Replaces ident.Attempt
	// Peek reads the key's state without claiming it.
	Peek bool
}

// ClaimState is the state of a key in the ledger.
type ClaimState uint8

// The states of a claim.
const (
	ClaimFree    ClaimState = iota // the ledger has no entry for the key
	ClaimGranted                   // this attempt may run
	ClaimHeld                      // another attempt holds the key
	ClaimDone                      // the key's request ran; its outcome is attached
	ClaimExpired                   // the key is older than the ledger's window
	ClaimRefused                   // not granted, so the attempt must not be sent; an unconfirmed claim may still be stored
)

// ClaimReply answers a Claim.
type ClaimReply struct {
	State       ClaimState
	Reason      string
	Fingerprint uint64
	Holder      LedgerEntry
}

// Settle records the outcome of a claimed attempt, or releases the claim.
type Settle struct {
	Key     string
	Attempt ident.Attempt
	Release bool // the attempt was never started and is fenced
	Answer  StoredAnswer
}

// SettleRequest carries a Settle to the owner of the key's partition.
type SettleRequest struct {
	Caller ident.Caller
	Settle Settle
}

// SettleReply answers a Settle.
type SettleReply struct {
	Stored bool
}

// StoredAnswer is the stored answer to a non-idempotent request.
type StoredAnswer struct {
	Status      int    `msg:"s,omitempty"`
	ContentType string `msg:"t,omitempty"`
	Body        []byte `msg:"b,omitempty"`
	Truncated   bool   `msg:"x,omitempty"` // the body was too large to store
}

// AttemptQuery asks an agent for the state of an attempt, and fences the
// attempt if it has not started.
type AttemptQuery struct {
	Attempt     ident.Attempt
	Incarnation ident.Incarnation
}

// AttemptState is the state of an attempt at an agent.
type AttemptState uint8

// The states of an attempt.
const (
	AttemptUnknown AttemptState = iota
	AttemptFenced               // never started, and never will be
	AttemptWaiting
	AttemptRunning
	AttemptDone
	AttemptFailed // started, but its result is unknown
)

// AttemptReply answers an AttemptQuery.
type AttemptReply struct {
	State  AttemptState
	Answer StoredAnswer
}

// LedgerEntry is one key in a ledger bucket.
type LedgerEntry struct {
	Caller      ident.Caller      `msg:"c"`
	Fingerprint uint64            `msg:"f"`
	Attempt     ident.Attempt     `msg:"a"`
	Target      ident.Target      `msg:"t"`
	Incarnation ident.Incarnation `msg:"i"`
	Address     string            `msg:"n"`
	Done        bool              `msg:"d,omitempty"`
	Answer      StoredAnswer      `msg:"r,omitempty"`
}

// LedgerBucket is the object that holds the keys of one partition that were
// created in one interval. A closed bucket accepts no claims.
type LedgerBucket struct {
	Closed  bool                   `msg:"x,omitempty"`
	Write   string                 `msg:"w"` // identifies the newest write
	Entries map[string]LedgerEntry `msg:"e,omitempty"`
}

// IncarnationObject is the stored object that holds an agent's latest
// incarnation number.
type IncarnationObject struct {
	Number ident.Incarnation
	Write  string
}

// LeaseObject is the stored state of a lease.
type LeaseObject struct {
	Holder  ident.VM
	Address string
	Term    uint64
	Beat    uint64
	Write   string
}

// Service declares a service.
type Service struct {
	Name          ident.Service `json:"name" msg:"n"`
	Kind          TargetKind    `json:"kind" msg:"k"`
	Model         ident.Model   `json:"model,omitempty" msg:"m,omitempty"`
	Role          string        `json:"role" msg:"r"`
	NonIdempotent bool          `json:"non-idempotent,omitempty" msg:"x,omitempty"`
	// Balance weighs batch efficiency (0) against the avoidance of load stalls
	// (1).
	Balance     float64 `json:"balance,omitempty" msg:"b,omitempty"`
	DeadlineMS  int64   `json:"deadline-ms,omitempty" msg:"d,omitempty"`
	MaxTokens   int     `json:"max-tokens,omitempty" msg:"t,omitempty"`
	Description string  `json:"description,omitempty" msg:"s,omitempty"`
	// Objectives are the service level objectives that the burn report checks
	// the service's requests against.
	Objectives []Objective `json:"objectives,omitempty" msg:"o,omitempty"`
}

// Objective is a service level objective for requests of at least a minimum
// priority. A share is a fraction of requests from 0 to 1; a share of 0
// disables its objective.
type Objective struct {
	MinPriority ident.Priority `json:"min-priority,omitempty" msg:"p,omitempty"`
	// Availability is the share of requests that must be answered.
	Availability float64 `json:"availability,omitempty" msg:"a,omitempty"`
	// StallShare is the share of answered requests whose load stall must be at
	// most StallMS.
	StallMS    int64   `json:"stall-ms,omitempty" msg:"s,omitempty"`
	StallShare float64 `json:"stall-share,omitempty" msg:"t,omitempty"`
	// FirstTokenShare is the share of answered requests that must get their
	// first token within FirstTokenMS.
	FirstTokenMS    int64   `json:"first-token-ms,omitempty" msg:"f,omitempty"`
	FirstTokenShare float64 `json:"first-token-share,omitempty" msg:"g,omitempty"`
	// GapShare is the share of answered requests whose mean time between tokens
	// must be at most GapMS.
	GapMS    int64   `json:"gap-ms,omitempty" msg:"b,omitempty"`
	GapShare float64 `json:"gap-share,omitempty" msg:"c,omitempty"`
}

// Model declares a base model.
type Model struct {
	Name ident.Model `json:"name" msg:"n"`
}

// AdapterVersion declares one version of an adapter.
type AdapterVersion struct {
	Number  ident.Version `json:"number" msg:"n"`
	Weights string        `json:"weights" msg:"w"`
	Retired bool          `json:"retired,omitempty" msg:"x,omitempty"`
}

// Adapter declares an adapter of a service.
type Adapter struct {
	Name     ident.Adapter    `json:"name" msg:"n"`
	Service  ident.Service    `json:"service" msg:"s"`
	Default  ident.Version    `json:"default,omitempty" msg:"d,omitempty"` // version for requests that name none
	Versions []AdapterVersion `json:"versions" msg:"v"`
}

// CallerRule permits a caller to use a service, at a priority.
type CallerRule struct {
	Service  ident.Service  `json:"service" msg:"s"`
	Priority ident.Priority `json:"priority" msg:"p"`
	Adapters string         `json:"adapters,omitempty" msg:"a,omitempty"` // name prefix; empty permits all
}

// Caller declares a caller.
type Caller struct {
	Name      ident.Caller `json:"name" msg:"n"`
	TokenHash string       `json:"token-hash" msg:"h"` // SHA-256 in hexadecimal
	InFlight  int          `json:"in-flight,omitempty" msg:"f,omitempty"`
	Rules     []CallerRule `json:"rules" msg:"r"`
}

// Target declares an operator's settings for a target.
type Target struct {
	Name     ident.Target `json:"name" msg:"n"`
	Draining bool         `json:"draining,omitempty" msg:"d,omitempty"`
	// Role overrides the role in the agent's settings, if it is not empty.
	Role string `json:"role,omitempty" msg:"r,omitempty"`
}

// WeightStore declares the weight store's limits.
type WeightStore struct {
	LoadsPerSecond float64 `json:"loads-per-second" msg:"r"`
	InFlight       int     `json:"in-flight" msg:"f"`
	MaxEngines     int     `json:"engines" msg:"e"` // maximum number of engines that load from it
}

// ObjectKind is the kind of a declared object.
type ObjectKind string

// The kinds of declared objects.
const (
	ObjectService     ObjectKind = "service"
	ObjectModel       ObjectKind = "model"
	ObjectAdapter     ObjectKind = "adapter"
	ObjectCaller      ObjectKind = "caller"
	ObjectTarget      ObjectKind = "target"
	ObjectWeightStore ObjectKind = "weight-store"
)

// Change puts or deletes one declared object. Exactly one field is set.
type Change struct {
	Service *Service     `json:"service,omitempty" msg:"s,omitempty"`
	Model   *Model       `json:"model,omitempty" msg:"m,omitempty"`
	Adapter *Adapter     `json:"adapter,omitempty" msg:"a,omitempty"`
	Caller  *Caller      `json:"caller,omitempty" msg:"c,omitempty"`
	Target  *Target      `json:"target,omitempty" msg:"t,omitempty"`
	Store   *WeightStore `json:"weight-store,omitempty" msg:"w,omitempty"`
	Delete  *ObjectRef   `json:"delete,omitempty" msg:"d,omitempty"`
}

// ObjectRef identifies a declared object.
type ObjectRef struct {
	Kind ObjectKind `json:"kind" msg:"k"`
	Name string     `json:"name" msg:"n"`
}

// Record is one accepted command of the configuration log.
type Record struct {
	Revision ident.Revision `json:"revision" msg:"r"`
	Command  ident.Command  `json:"command" msg:"c"`
	Operator string         `json:"operator" msg:"o"`
	AtMS     int64          `json:"at-ms" msg:"t"` // Unix time of acceptance, in ms
	Changes  []Change       `json:"changes" msg:"x"`
}

// SnapshotPage is one object of a configuration snapshot.
type SnapshotPage struct {
	Changes []Change `msg:"x"`
}

// CommandMark identifies an accepted command whose record was compacted into
// the snapshot.
type CommandMark struct {
	Command  ident.Command  `msg:"c"`
	Revision ident.Revision `msg:"r"`
}

// ConfigHead is the object that serializes all configuration changes.
type ConfigHead struct {
	Revision      ident.Revision `msg:"r"`
	Snapshot      ident.Revision `msg:"s"` // revision of the snapshot
	SnapshotPages int            `msg:"p"`
	SnapshotID    string         `msg:"i,omitempty"`
	Tail          []Record       `msg:"t"` // the newest records: all after Snapshot, and possibly some older ones
	Marks         []CommandMark  `msg:"m,omitempty"`
	// Era is the era of the store's history in which the head was written, 0 from releases
	// that do not store it. A head of an earlier era than the store's may lack records.
	Era uint64 `msg:"e,omitempty"`
}
