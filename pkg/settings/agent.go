package settings

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Agent holds the settings of hyssoproad-agent.
type Agent struct {
	Process
	Target Target `json:"target"`
	// Entries are the link addresses of entries to ask first.
	Entries []string `json:"entries"`
	// Queue holds the limits of the queue before the target.
	Queue Queue `json:"queue"`
	// Store holds the weight store's limits until the configuration
	// declares them.
	Store WeightStore `json:"weight-store"`
}

// Target describes the target beside an agent.
type Target struct {
	Name ident.Target `json:"name"`
	// Kind is engine or service.
	Kind wire.TargetKind `json:"kind"`
	// URL is the target's base URL.
	URL string `json:"url"`
	// Model is the base model that an engine holds.
	Model ident.Model `json:"model"`
	// Role is the part that the target plays, such as drafting; services
	// name the role that they need.
	Role string `json:"role"`
	// Slots is the number of adapters that an engine holds.
	Slots int `json:"slots"`
	// Seats is the number of requests that the target runs at once.
	Seats int `json:"seats"`
	// IgnoresFencing says that the engine takes orders with old fencing
	// tokens, so that a new agent must wait before its first order.
	IgnoresFencing bool `json:"ignores-fencing"`
}

// Queue holds the limits of an agent's queue.
type Queue struct {
	// MaxWaiting bounds the waiting requests.
	MaxWaiting int `json:"max-waiting"`
	// Balance weighs batch efficiency (0) against load stalls (1) where the
	// service does not.
	Balance float64 `json:"balance"`
}

// WeightStore holds the weight store's limits.
type WeightStore struct {
	// LoadsPerSecond is the rate of loads by all engines.
	LoadsPerSecond float64 `json:"loads-per-second"`
	// InFlight is the number of loads at once at full speed.
	InFlight int `json:"in-flight"`
	// Engines is an upper bound on the engines that load.
	Engines int `json:"engines"`
}

// DefaultAgent returns the agent's defaults.
func DefaultAgent() Agent {
	return Agent{
		Process: defaultProcess(),
		Queue:   Queue{MaxWaiting: 4096, Balance: 0.7},
		Store:   WeightStore{LoadsPerSecond: 3, InFlight: 8, Engines: 16},
	}
}

func (a *Agent) check(c *checker) {
	a.Process.check(c)
	a.Target.check(c)
	c.require(len(a.Entries) > 0, "/entries", "must name at least one entry")
	for _, e := range a.Entries {
		c.require(isAddress(e), "/entries", "%q is not an IP address and port", e)
	}
	c.require(a.Queue.MaxWaiting > 0, "/queue/max-waiting", "must be above zero")
	c.require(a.Queue.Balance >= 0 && a.Queue.Balance <= 1, "/queue/balance", "must be from 0 to 1")
	c.require(a.Store.LoadsPerSecond > 0, "/weight-store/loads-per-second", "must be above zero")
	c.require(a.Store.InFlight > 0, "/weight-store/in-flight", "must be above zero")
	c.require(a.Store.Engines > 0, "/weight-store/engines", "must be above zero")
}

func (t Target) check(c *checker) {
	c.require(ident.CheckName(string(t.Name)) == nil, "/target/name", "missing or not a name")
	c.require(isURL(t.URL), "/target/url", "%q is not an HTTP URL", t.URL)
	c.require(t.Role != "", "/target/role", "missing")
	c.require(t.Seats > 0, "/target/seats", "must be above zero")
	switch t.Kind {
	case wire.KindEngine:
		c.require(t.Slots > 0, "/target/slots", "must be above zero")
		c.require(t.Model != "", "/target/model", "missing")
	case wire.KindService:
	default:
		c.require(false, "/target/kind", "%q is neither engine nor service", t.Kind)
	}
}

// HeartbeatPeriod is the time between two heartbeats of an agent.
const HeartbeatPeriod = time.Second
