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
	// SeedEntries lists the link addresses of the entries that the agent contacts
	// first. It learns all other entries from them.
	SeedEntries []string `json:"entries"`
	// Queue configures the queue of requests that wait for the target.
	Queue Queue `json:"queue"`
	// WeightStore holds the weight store's limits that apply until the
	// configuration declares them.
	WeightStore WeightStore `json:"weight-store"`
}

// Target describes the target that an agent manages.
type Target struct {
	Name ident.Target `json:"name"`
	// Kind is the kind of target: engine or service.
	Kind wire.TargetKind `json:"kind"`
	// URL is the target's base URL.
	URL string `json:"url"`
	// Model is the base model that an engine serves. It is required for engines.
	Model ident.Model `json:"model"`
	// Role is the role of the target, such as drafting. A service is served
	// only by targets that have its role.
	Role string `json:"role"`
	// Slots is the maximum number of adapters that an engine holds at once.
	Slots int `json:"slots"`
	// MaxRunning is the maximum number of requests that the target runs at once.
	MaxRunning int `json:"seats"`
	// IgnoresFencing says that the engine accepts orders with outdated fencing
	// tokens. A new agent then waits before its first order, until no order of
	// its predecessor can arrive any more.
	IgnoresFencing bool `json:"ignores-fencing"`
}

// Queue configures an agent's request queue.
type Queue struct {
	// MaxWaiting is the maximum number of waiting requests.
	MaxWaiting int `json:"max-waiting"`
	// Balance weighs batch efficiency (0) against the avoidance of load
	// stalls (1) when the queue chooses the next adapter to load.
	Balance float64 `json:"balance"`
}

// WeightStore holds the weight store's limits.
type WeightStore struct {
	// LoadsPerSecond is the maximum rate of adapter loads by all engines
	// together.
	LoadsPerSecond float64 `json:"loads-per-second"`
	// InFlight is the number of concurrent loads that the weight store serves
	// at full speed.
	InFlight int `json:"in-flight"`
	// MaxEngines is an upper bound on the number of engines that load adapters.
	MaxEngines int `json:"engines"`
}

// DefaultAgent returns the agent's defaults.
func DefaultAgent() Agent {
	return Agent{
		Process:     defaultProcess(),
		Queue:       Queue{MaxWaiting: 4096, Balance: 0.7},
		WeightStore: WeightStore{LoadsPerSecond: 3, InFlight: 8, MaxEngines: 16},
	}
}

func (a *Agent) check(c *checker) {
	a.Process.check(c)
	a.Target.check(c)
	c.require(len(a.SeedEntries) > 0, "/entries", "must name at least one entry")
	for _, e := range a.SeedEntries {
		c.require(isAddress(e), "/entries", "%q is not an IP address and port", e)
	}
	c.require(a.Queue.MaxWaiting > 0, "/queue/max-waiting", "must be above zero")
	c.require(a.Queue.Balance >= 0 && a.Queue.Balance <= 1, "/queue/balance", "must be from 0 to 1")
	c.require(a.WeightStore.LoadsPerSecond > 0, "/weight-store/loads-per-second", "must be above zero")
	c.require(a.WeightStore.InFlight > 0, "/weight-store/in-flight", "must be above zero")
	c.require(a.WeightStore.MaxEngines > 0, "/weight-store/engines", "must be above zero")
}

func (t Target) check(c *checker) {
	c.require(ident.CheckName(string(t.Name)) == nil, "/target/name", "missing or not a valid name")
	c.require(isURL(t.URL), "/target/url", "%q is not an HTTP URL", t.URL)
	c.require(t.Role != "", "/target/role", "missing")
	c.require(t.MaxRunning > 0, "/target/seats", "must be above zero")
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
