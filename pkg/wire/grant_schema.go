package wire

import "github.com/hyssoproad/hyssoproad/pkg/ident"

//go:generate msgp -o grant_schema_gen.go -tests=false -io=false

//msgp:tuple EngineSetup ModelSetup GrantWant GrantReply GrantUse

// EngineSetup tells the agent beside an engine what the engine is for. The
// newest configuration wins.
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
	// LoadMS is what a load from the weight store takes, in ms; DiskMS and WarmMS
	// one from the engine's own disk and memory.
	LoadMS, DiskMS, WarmMS int64
}

// GrantWant asks for the right to send one request to the agent's engine. The
// stream that carries it stays open while the request runs.
type GrantWant struct {
	Attempt      ident.Attempt
	Model        ident.Model
	Adapter      ident.AdapterVersion // version 0 takes any
	PromptTokens int
	OutputTokens int
	Rank         int   // urgency, 0 first
	WaitMS       int64 // the longest wait that is of use, in ms
	ObjectiveMS  int64 // time left to the latency objective, in ms
	// MayGoElsewhere says that the entry knows another engine to ask: a long
	// wait is then answered at once.
	MayGoElsewhere bool
	// Replicated says that the other engine holds the adapter already.
	Replicated bool
	// Spare says that another engine holds the adapter or is to hold it: while the
	// weight store is congested it is not worth a second load.
	Spare bool
	// MaySwitch says that all engines of the model are busy, and that others hold what
	// the agent's engine holds: it may change to the model.
	MaySwitch bool
}

// GrantCode is the outcome of a GrantWant.
type GrantCode uint8

// The outcomes.
const (
	GrantGiven GrantCode = iota + 1
	// GrantBusy says that the engine could serve the request, later.
	GrantBusy
	// GrantUnable says that the engine cannot serve the request.
	GrantUnable
)

// GrantReason says what a request would wait for.
type GrantReason uint8

// The reasons for a wait.
const (
	ReasonNone         GrantReason = iota
	ReasonEngineDown               // the engine does not answer, or is another one
	ReasonModelAbsent              // the engine does not hold the base model
	ReasonReading                  // prompts that are read first
	ReasonPlaces                   // the engine's places or memory are taken
	ReasonLoading                  // the adapter is brought
	ReasonAdaptersUsed             // all adapters held are in use
	ReasonOldVersion               // an older version of the adapter is in use
)

// GrantReply answers a GrantWant.
type GrantReply struct {
	Code    GrantCode
	Reason  GrantReason
	WaitMS  int64 // forecast of the wait, with GrantBusy
	Version ident.Version
	// Instance is the engine's present name, with GrantGiven.
	Instance ident.Target
	// Entries is the number of entries that have a link to the agent.
	Entries int
}

// GrantUse reports that the granted request's first event came, so many ms
// after it was sent.
type GrantUse struct {
	FirstEventMS int64
}
