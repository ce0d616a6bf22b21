package settings

import (
	"time"
)

// Entry holds the settings of hyssoproad-entry.
type Entry struct {
	Process
	// SeedEntries lists the link addresses of other entries that the entry
	// contacts first. It learns all further entries from them.
	SeedEntries []string         `json:"entries"`
	Callers     CallerListener   `json:"callers"`
	Operators   OperatorListener `json:"operators"`
	Ledger      Ledger           `json:"ledger"`
	Retry       Retry            `json:"retry"`
	// RelaysPerDomain is the number of entries in each failure domain that watch the
	// object API for configuration changes and send them to the other entries.
	RelaysPerDomain int `json:"relays"`
	// ConfigMaxAge is the maximum time since the configuration was last
	// confirmed as the latest. After it, as in an outage of the object API, the
	// entry admits requests only while it is in contact with most entries and
	// knows of no later revision.
	ConfigMaxAge Duration `json:"config-max-age"`
	// WeightStore holds the weight store's limits that apply until the
	// configuration declares them.
	WeightStore WeightStore `json:"weight-store"`
}

// CallerListener configures the listener for callers.
type CallerListener struct {
	// Listen is the IP address and port of the listener.
	Listen string `json:"listen"`
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int `json:"max-body-bytes"`
	// MaxHeaderBytes is the maximum size of a request header, in bytes.
	MaxHeaderBytes int `json:"max-header-bytes"`
	// MaxConnections is the maximum number of concurrent connections.
	MaxConnections int `json:"max-connections"`
	// ReadTimeout is the maximum time to read one request.
	ReadTimeout Duration `json:"read-timeout"`
	// IdleTimeout is the time after which a connection without requests is
	// closed.
	IdleTimeout Duration `json:"idle-timeout"`
	// Deadline is the time within which the response to a request must begin,
	// if its service declares no deadline. The caller may set a shorter one.
	Deadline Duration `json:"deadline"`
	// MaxTokens is the maximum response length in tokens. A service may declare
	// a lower limit.
	MaxTokens int `json:"max-tokens"`
	// DrainDelay is the time at a stop between the first failing readiness
	// check and the closing of the listener. It gives load balancers time to
	// notice the drain.
	DrainDelay Duration `json:"drain-delay"`
	TLS        TLS      `json:"tls"`
}

// TLS names the files of a listener's certificate. Without them the listener uses
// plain TCP.
type TLS struct {
	// CertFile is the path of the certificate. The file is reloaded when it
	// changes.
	CertFile string `json:"cert-file"`
	// KeyFile is the path of the certificate's private key.
	KeyFile string `json:"key-file"`
}

// OperatorListener configures the listener for operators and their tokens.
type OperatorListener struct {
	// Listen is the IP address and port of the listener.
	Listen string `json:"listen"`
	// Tokens lists the tokens of the operators that have access.
	Tokens []OperatorToken `json:"tokens"`
	TLS    TLS             `json:"tls"`
}

// OperatorToken gives one operator access.
type OperatorToken struct {
	// Name identifies the operator in logs and in accepted commands.
	Name string `json:"name"`
	// Hash is the SHA-256 hash of the token in hexadecimal.
	Hash string `json:"token-hash"`
	// ReadOnly restricts the operator to queries.
	ReadOnly bool `json:"read-only"`
}

// Ledger configures the at-most-once ledger. Its sizes must be the same on all
// entries.
type Ledger struct {
	// Partitions is the number of partitions of the ledger, from 1 to 256.
	Partitions int `json:"partitions"`
	// Interval is the span of key creation times that one stored object of a
	// partition covers.
	Interval Duration `json:"interval"`
	// Window is the maximum age of an unknown idempotency key. The ledger
	// refuses unknown keys that are older.
	Window Duration `json:"window"`
	// WritesPerSecond is the maximum rate at which the entry updates ledger
	// objects through the object API.
	WritesPerSecond float64 `json:"writes-per-second"`
}

// Retry limits the retries of requests.
type Retry struct {
	// MaxAttempts is the maximum number of attempts of one request, including
	// the first.
	MaxAttempts int `json:"max-attempts"`
	// Ratio is the average number of retries permitted per request of a
	// caller.
	Ratio float64 `json:"ratio"`
	// Burst is the maximum number of retries that a caller can make at once.
	Burst int `json:"burst"`
}

// DefaultEntry returns the entry's defaults.
func DefaultEntry() Entry {
	return Entry{
		Process: defaultProcess(),
		Callers: CallerListener{
			MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, MaxConnections: 8192,
			ReadTimeout: Duration(10 * time.Second), IdleTimeout: Duration(time.Minute),
			Deadline: Duration(30 * time.Second), MaxTokens: 4096, DrainDelay: Duration(2 * time.Second),
		},
		Ledger:          Ledger{Partitions: 8, Interval: Duration(10 * time.Second), Window: Duration(time.Hour), WritesPerSecond: 60},
		Retry:           Retry{MaxAttempts: 4, Ratio: 0.2, Burst: 20},
		RelaysPerDomain: 1, ConfigMaxAge: Duration(15 * time.Second),
		WeightStore: WeightStore{LoadsPerSecond: 3, InFlight: 8, MaxEngines: 16},
	}
}

const tokenHashHexLength = 64

func (e *Entry) check(c *checker) {
	e.Process.check(c)
	for _, address := range e.SeedEntries {
		c.require(isAddress(address), "/entries", "%q is not an IP address and port", address)
	}
	e.Callers.check(c)
	c.require(isAddress(e.Operators.Listen), "/operators/listen", "%q is not an IP address and port", e.Operators.Listen)
	for _, t := range e.Operators.Tokens {
		c.require(len(t.Hash) == tokenHashHexLength, "/operators/tokens", "token-hash of %q is not a SHA-256 in hexadecimal", t.Name)
	}
	e.Operators.TLS.check(c, "/operators/tls")
	c.require(e.Ledger.Partitions > 0 && e.Ledger.Partitions <= 256, "/ledger/partitions", "must be from 1 to 256")
	c.require(e.Ledger.Interval > 0, "/ledger/interval", "must be above zero")
	c.require(e.Ledger.Window >= e.Ledger.Interval, "/ledger/window", "must not be below the interval")
	c.require(e.Ledger.WritesPerSecond > 0, "/ledger/writes-per-second", "must be above zero")
	c.require(e.Retry.MaxAttempts > 0, "/retry/max-attempts", "must be above zero")
	c.require(e.Retry.Ratio >= 0, "/retry/ratio", "must not be negative")
	c.require(e.RelaysPerDomain > 0, "/relays", "must be above zero")
	c.require(e.ConfigMaxAge > 0, "/config-max-age", "must be above zero")
	c.require(e.WeightStore.LoadsPerSecond > 0 && e.WeightStore.InFlight > 0 && e.WeightStore.MaxEngines > 0, "/weight-store", "all limits must be above zero")
}

func (l CallerListener) check(c *checker) {
	c.require(isAddress(l.Listen), "/callers/listen", "%q is not an IP address and port", l.Listen)
	c.require(l.MaxBodyBytes > 0, "/callers/max-body-bytes", "must be above zero")
	c.require(l.MaxHeaderBytes >= 1024, "/callers/max-header-bytes", "must be at least 1024")
	c.require(l.MaxConnections > 0, "/callers/max-connections", "must be above zero")
	c.require(l.Deadline > 0, "/callers/deadline", "must be above zero")
	c.require(l.MaxTokens > 0, "/callers/max-tokens", "must be above zero")
	l.TLS.check(c, "/callers/tls")
}

func (t TLS) check(c *checker, key string) {
	c.require((t.CertFile == "") == (t.KeyFile == ""), key, "cert-file and key-file must be set together")
}
