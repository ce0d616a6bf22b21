package wire

import "github.com/hyssoproad/hyssoproad/pkg/ident"

//go:generate msgp -o grant_schema_gen.go -tests=false -io=false

//msgp:tuple EngineSetup ModelSetup GrantRequest AccountGrantRequest GrantReply ProcessGrant GrantFirstEvent PauseReport RequestLost CrashReport TargetNotice PermitRequest PermitReply RunQuery RunReply StreamOrigin OriginQuery OriginReply

// EngineSetup tells the agent beside an engine what the engine serves and how
// much it holds. For the same instance, a setup from an older configuration
// is ignored.
type EngineSetup struct {
	Configuration uint64
	Instance      ident.Target
	Service       ident.Service
	HealthPath    string
	Slots         int
	KVTokens      int
	MB            float64
	AdapterSlots  int
	Models        []ModelSetup
}

// ModelSetup is a base model that an engine may hold.
type ModelSetup struct {
	Name      ident.Model
	MB        float64
	AdapterMB float64
	// LoadMS is the duration of a load from the weight store, in ms. DiskMS and
	// WarmMS are the durations of a load from the engine's own disk and memory.
	LoadMS, DiskMS, WarmMS int64
}

// GrantRequest asks for a grant to send one request to the agent's engine. Its
// stream stays open while the request runs.
type GrantRequest struct {
	Attempt      ident.Attempt
	Model        ident.Model
	Adapter      ident.AdapterVersion // version 0 accepts any version
	PromptTokens int
	OutputTokens int
	Rank         int   // urgency; 0 is the most urgent
	MaxWaitMS    int64 // maximum wait for the grant, in ms
	ObjectiveMS  int64 // time left to the latency objective, in ms
	// HasAlternative reports that the entry can ask another engine. The agent
	// then answers GrantBusy at once if the wait would be long.
	HasAlternative bool
	// AlternativeHolds reports that the engine the entry would ask next already holds
	// the adapter.
	AlternativeHolds bool
	// HeldElsewhere reports that another engine holds the adapter or is about to load it.
	// While the weight store is congested, the agent then doesn't load it again.
	HeldElsewhere bool
	// MaySwitchModel permits the agent's engine to switch to the model: all engines of
	// the model are busy, and other engines hold what this engine holds.
	MaySwitchModel bool
}

// AccountGrantRequest is a GrantRequest on behalf of a client account. It is a message of
// its own because releases that do not know accounts reject a GrantRequest with further
// fields.
type AccountGrantRequest struct {
	Request GrantRequest
	Account ident.Account
	// Weight is what the account is entitled to, relative to other accounts.
	Weight float64
}

// GrantCode is the outcome of a GrantRequest.
type GrantCode uint8

// The outcomes of a GrantRequest.
const (
	GrantIssued GrantCode = iota + 1
	// GrantBusy means that the engine can serve the request, but only later.
	GrantBusy
	// GrantUnable means that the engine cannot serve the request.
	GrantUnable
)

// GrantReason is the cause of a request's wait for a grant.
type GrantReason uint8

// The reasons for a wait.
const (
	ReasonNone            GrantReason = iota
	ReasonEngineDown                  // the engine does not answer
	ReasonModelAbsent                 // the engine does not hold the base model
	ReasonPrefill                     // the prefill of other prompts comes first
	ReasonEngineFull                  // all slots or the KV cache memory are in use
	ReasonLoading                     // the adapter is being loaded
	ReasonAdaptersInUse               // every adapter on the engine is in use, so none can be evicted
	ReasonOldVersionInUse             // an older version of the adapter is in use
	ReasonDraining                    // the engine is about to leave
	ReasonRateLimited                 // the rate limit that the engine states is used up
	ReasonLongPrompt                  // the prompt would pause running streams for too long
	ReasonTooLarge                    // the request needs more KV cache than the engine has
)

// GrantReply answers a GrantRequest.
type GrantReply struct {
	Code    GrantCode
	Reason  GrantReason
	WaitMS  int64 // expected wait in ms, with GrantBusy
	Version ident.Version
	// Instance is the engine's current instance name, with GrantIssued.
	Instance ident.Target
	// LinkedEntries is the number of entries linked to the agent.
	LinkedEntries int
}

// ProcessGrant is a GrantReply that says which process of the engine the grant is for. It is a
// message of its own because releases that do not know it reject a GrantReply with further
// fields.
type ProcessGrant struct {
	Reply   GrantReply
	StartMS int64 // start of the engine's process in Unix ms; 0 if unknown
}

// GrantFirstEvent reports the time from sending a granted request to its first event.
type GrantFirstEvent struct {
	FirstEventMS int64
}

// PauseReport reports the longest pause between two events of a stream that ended,
// and the route's objective for it, both in ms.
type PauseReport struct {
	PauseMS     int64
	ObjectiveMS int64
}

// RequestLost reports that the connection of a granted request ended before its first
// event, with the parts of its prompt that no request with an event has shared.
type RequestLost struct {
	Parts []ident.PromptPart
}

// CrashReport reports that an engine ended while requests with these parts of prompts
// waited for their first events.
type CrashReport struct {
	VM      ident.VM
	StartMS int64 // start of the engine process that ended, in Unix ms
	Parts   []ident.PromptPart
}

// TargetNotice passes on what a target says about itself in its responses: a gateway to
// an agent, and the agent to all linked gateways.
type TargetNotice struct {
	Target  ident.Target
	StartMS int64 // start of the target's process in Unix ms; 0 if unknown
	Limited bool  // the target states a rate limit
	// LimitPerSecond is the limit, with Limited, in requests of all gateways.
	LimitPerSecond float64
	Leaving        bool // the process says that it is leaving
}

// PermitRequest asks for a permit to send one request to a target that states a rate
// limit. All gateways ask the same agent about the same target.
type PermitRequest struct {
	Target         ident.Target
	LimitPerSecond float64
	MaxWaitMS      int64 // how long the request may wait for its turn, in ms
}

// PermitReply answers a PermitRequest.
type PermitReply struct {
	Granted bool
	// WaitMS is how long to wait, in ms: until the request may be sent, or else until
	// another one may be granted.
	WaitMS int64
	// LinkedEntries is the number of entries linked to the agent.
	LinkedEntries int
}

// RunQuery asks the agent beside an engine whether the engine runs a request.
type RunQuery struct {
	Attempt ident.Attempt
}

// RunReply answers a RunQuery.
type RunReply struct {
	Known   bool // the engine has just listed the requests that it runs
	Running bool // the request is one of them
}

// StreamOrigin tells the agent beside an engine that a stream has had its first event there,
// and which software the engine runs.
type StreamOrigin struct {
	Account ident.Account // empty if the configuration has none
	Attempt ident.Attempt // that brought the stream's first event
	// StartMS is the start time of the engine's process in Unix ms, as listed.
	StartMS  int64
	Software ident.Software
	TTLMS    int64 // how long the caller may take the stream up again, in ms
}

// OriginQuery asks an agent which software began a stream.
type OriginQuery struct {
	Account ident.Account
	Attempt ident.Attempt // that brought the stream's first event
}

// OriginReply answers an OriginQuery.
type OriginReply struct {
	Known    bool
	Software ident.Software
}
