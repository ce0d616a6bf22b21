// Package wire holds the messages that the system's own processes exchange
// and the values that they keep in the object API. The codecs are generated
// from this file.
package wire

import (
	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

//go:generate msgp -o schema_gen.go -tests=false -io=false

// Outcome says whether a request ran.
type Outcome string

// The outcomes. NotRun is said only when it is certain.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Role is the part a process plays on a link.
type Role uint8

// The roles.
const (
	RoleEntry Role = iota + 1
	RoleAgent
)

// TargetKind tells a model engine from a plain service.
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
}

// Proof closes the handshake: a keyed hash over both nonces.
type Proof struct {
	MAC []byte
}

// Fault reports to the peer why a stream ended without its reply.
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
	WaitedMS      int64 // time already waited elsewhere, in ms
	DeadlineMS    int64 // time left until the caller's deadline, in ms
	NonIdempotent bool
	Promise       bool // a refusal's retry time is to be kept
	Resume        int  // first token wanted
	MaxTokens     int
	Prompt        string
	Method        string // of a plain service's call
	Path          string
	ContentType   string
	Body          []byte
	Key           string // idempotency key, passed on to plain services
}

// EventKind says what an Event reports.
type EventKind uint8

// The events of one attempt, in the order in which they can occur.
const (
	EventStarted  EventKind = iota + 1 // the target was given the attempt
	EventTokens                        // generated text
	EventAnswer                        // the whole answer of a plain service
	EventFinished                      // generation is complete
	EventRefused                       // not started and never will be
	EventFailed                        // started, and its end is not known or not whole
)

//msgp:tuple Event

// Event reports the progress of one attempt.
type Event struct {
	Kind         EventKind
	Reason       string
	RetryAfterMS int64
	StallMS      int64 // time the request waited for its adapter, in ms
	QueueMS      int64 // time the request waited in all before it started, in ms
	Revision     ident.Revision
	Offset       int // index of the first token in Tokens
	Tokens       []string
	Total        int // tokens of the whole answer, in EventFinished
	Finish       string
	Adapter      ident.AdapterVersion
	Status       int
	ContentType  string
	Body         []byte
}

//msgp:tuple Report

// Report is what an agent says of itself and its target.
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
	Role        string // service role the target plays, such as drafting
	Slots       int
	Seats       int
	Running     int
	Waiting     int
	WaitMS      int64 // expected wait of a new request whose adapter is loaded, in ms
	LoadWaitMS  int64 // expected wait of a new request whose adapter is not loaded, in ms
	EvictCost   float64
	Draining    bool
	Ready       bool
	Loaded      []ident.AdapterVersion
}

//msgp:tuple Brief

// Brief is the part of a report that changes all the time. The rest is sent
// only when the receiver does not have it.
type Brief struct {
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

// EntryInfo is what an entry says of itself.
type EntryInfo struct {
	VM       ident.VM
	Domain   ident.Domain
	Address  string
	Revision ident.Revision
	Draining bool
	// FreshMS is the age of the newest proof that Revision is the latest, in
	// ms, or NeverFresh.
	FreshMS int64
}

// NeverFresh stands for the age of a proof that there never was.
const NeverFresh = -1

// Heartbeat carries an agent's report to a home entry.
type Heartbeat struct {
	Brief Brief
	Full  []Report // the whole report, if the entry may lack its other fields
	// Entries is the hash of the entries that the agent knows.
	Entries uint64
}

// HeartbeatAck answers a Heartbeat.
type HeartbeatAck struct {
	Highest  ident.Incarnation // highest incarnation known for the target
	Revision ident.Revision
	NeedFull bool // the entry lacks the report's other fields
	// Entries are the live entries, unless the agent knows them.
	Entries     []EntryInfo
	EntriesHash uint64
	Budget      BudgetInfo
}

// Digest carries what one entry knows first-hand to another.
type Digest struct {
	From    EntryInfo
	Briefs  []Brief
	Reports []Report // whole, where the receiver may lack the other fields
	Budget  BudgetInfo
}

// BudgetInfo tells who holds the load budget.
type BudgetInfo struct {
	Address string // empty if no holder is known
	Term    uint64
	LeftMS  int64 // time for which the holder's lease is still good, in ms
	// ShareMilli is the share of a pool's targets on which work that favours
	// batch efficiency is packed, in thousandths.
	ShareMilli int
}

// DigestAck answers a Digest.
type DigestAck struct {
	From EntryInfo
	// Unknown are the targets of which the receiver lacks the other fields.
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
	Full     bool // Records replace all that the receiver holds
	More     bool // another page follows
	Records  []Record
}

// ConfigAck confirms the revision in force at the receiver.
type ConfigAck struct {
	Revision ident.Revision
}

// LoadWant asks the budget's holder for permission to load one adapter.
type LoadWant struct {
	Target ident.Target
	Value  float64 // expected delay saved by the load, in request-seconds
}

// LoadGrant permits one load order if it is issued within ValidMS.
type LoadGrant struct {
	Granted bool
	ID      uint64
	ValidMS int64
}

// LoadDone returns a grant's place among the loads in flight.
type LoadDone struct {
	ID     uint64
	Failed bool
	TookMS int64
}

// Claim asks a ledger partition's owner for the right to run a key.
type Claim struct {
	Key         string
	Caller      ident.Caller
	Fingerprint uint64
	Attempt     ident.Attempt
	Target      ident.Target
	Incarnation ident.Incarnation
	Address     string // of the agent
	// Replaces is an attempt of the same request that was refused and is
	// fenced; the claim takes its place.
	Replaces ident.Attempt
	// Peek asks what is on record and claims nothing.
	Peek bool
}

// ClaimState is what the ledger knows of a key.
type ClaimState uint8

// The states of a claim.
const (
	ClaimFree    ClaimState = iota // nothing is on record
	ClaimGranted                   // this attempt may run
	ClaimHeld                      // another attempt holds the key
	ClaimDone                      // the key's request ran; its outcome is attached
	ClaimExpired                   // the key is older than the ledger remembers
	ClaimRefused                   // nothing was claimed, and nothing ran under this claim
)

// ClaimReply answers a Claim.
type ClaimReply struct {
	State       ClaimState
	Reason      string
	Fingerprint uint64
	Holder      LedgerEntry
}

// Settle records how a claimed attempt ended, or releases it.
type Settle struct {
	Key     string
	Attempt ident.Attempt
	Release bool // the attempt was never started and is fenced
	Answer  StoredAnswer
}

// SettleRequest carries a Settle to its partition's owner.
type SettleRequest struct {
	Caller ident.Caller
	Settle Settle
}

// SettleReply answers a Settle.
type SettleReply struct {
	Stored bool
}

// StoredAnswer is the remembered outcome of a non-idempotent request.
type StoredAnswer struct {
	Status      int    `msg:"s,omitempty"`
	ContentType string `msg:"t,omitempty"`
	Body        []byte `msg:"b,omitempty"`
	Truncated   bool   `msg:"x,omitempty"` // the body was too large to keep
}

// AttemptQuery asks an agent what became of an attempt, and fences it if it
// has not been started.
type AttemptQuery struct {
	Attempt     ident.Attempt
	Incarnation ident.Incarnation
}

// AttemptState is what an agent knows of an attempt.
type AttemptState uint8

// The states of an attempt.
const (
	AttemptUnknown AttemptState = iota
	AttemptFenced               // never started, and never will be
	AttemptWaiting
	AttemptRunning
	AttemptDone
	AttemptFailed // started, and its end is not known
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

// LedgerBucket is the object that holds the keys of one partition born in one
// interval. Once closed it accepts no claim.
type LedgerBucket struct {
	Closed  bool                   `msg:"x,omitempty"`
	Write   string                 `msg:"w"` // identifies the newest write
	Entries map[string]LedgerEntry `msg:"e,omitempty"`
}

// IncarnationObject is the object that issues an agent's fencing numbers.
type IncarnationObject struct {
	Number ident.Incarnation
	Write  string
}

// LeaseObject is the object behind a lease.
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
	// Balance weighs batch efficiency (0) against load stalls (1).
	Balance     float64 `json:"balance,omitempty" msg:"b,omitempty"`
	DeadlineMS  int64   `json:"deadline-ms,omitempty" msg:"d,omitempty"`
	MaxTokens   int     `json:"max-tokens,omitempty" msg:"t,omitempty"`
	Description string  `json:"description,omitempty" msg:"s,omitempty"`
	// Objectives are the service levels that the burn report holds the
	// service's requests against.
	Objectives []Objective `json:"objectives,omitempty" msg:"o,omitempty"`
}

// Objective is a service level for the requests of callers from a priority up.
// Shares are of requests, from 0 to 1; a share of 0 leaves its level out.
type Objective struct {
	MinPriority ident.Priority `json:"min-priority,omitempty" msg:"p,omitempty"`
	// Availability is the share of requests that are answered.
	Availability float64 `json:"availability,omitempty" msg:"a,omitempty"`
	// StallShare of the answered requests wait at most StallMS for their
	// adapter.
	StallMS    int64   `json:"stall-ms,omitempty" msg:"s,omitempty"`
	StallShare float64 `json:"stall-share,omitempty" msg:"t,omitempty"`
	// FirstTokenShare of the answered requests get their first token within
	// FirstTokenMS.
	FirstTokenMS    int64   `json:"first-token-ms,omitempty" msg:"f,omitempty"`
	FirstTokenShare float64 `json:"first-token-share,omitempty" msg:"g,omitempty"`
	// GapShare of the answered requests get tokens GapMS apart on average.
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
	Default  ident.Version    `json:"default,omitempty" msg:"d,omitempty"` // version of requests that name none
	Versions []AdapterVersion `json:"versions" msg:"v"`
}

// CallerRule lets a caller reach a service at a priority.
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

// Target declares what operators have decided about a target.
type Target struct {
	Name     ident.Target `json:"name" msg:"n"`
	Draining bool         `json:"draining,omitempty" msg:"d,omitempty"`
	// Role replaces the role of the agent's settings, if it is not empty.
	Role string `json:"role,omitempty" msg:"r,omitempty"`
}

// WeightStore declares the weight store's limits.
type WeightStore struct {
	LoadsPerSecond float64 `json:"loads-per-second" msg:"r"`
	InFlight       int     `json:"in-flight" msg:"f"`
	Engines        int     `json:"engines" msg:"e"` // upper bound on engines that load from it
}

// ObjectKind names a kind of declared object.
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

// ObjectRef names a declared object.
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

// CommandMark remembers an accepted command after its record was compacted.
type CommandMark struct {
	Command  ident.Command  `msg:"c"`
	Revision ident.Revision `msg:"r"`
}

// ConfigHead is the object that orders all configuration changes.
type ConfigHead struct {
	Revision      ident.Revision `msg:"r"`
	Snapshot      ident.Revision `msg:"s"` // revision that the snapshot holds
	SnapshotPages int            `msg:"p"`
	SnapshotID    string         `msg:"i,omitempty"`
	Tail          []Record       `msg:"t"` // records after some revision at or before Snapshot
	Marks         []CommandMark  `msg:"m,omitempty"`
}
