package settings

import (
	"time"
)

// Entry holds the settings of hyssoproad-entry.
type Entry struct {
	Process
	// Entries are the link addresses of other entries to ask first.
	Entries   []string  `json:"entries"`
	Callers   Callers   `json:"callers"`
	Operators Operators `json:"operators"`
	Ledger    Ledger    `json:"ledger"`
	Retry     Retry     `json:"retry"`
	// Relays is the number of entries in each failure domain that watch the
	// object API.
	Relays int `json:"relays"`
	// ConfigMaxAge is the age of the newest proof that the configuration in
	// force is the latest, beyond which the entry admits no requests unless
	// most entries are as cut off from the object API as it is.
	ConfigMaxAge Duration `json:"config-max-age"`
	// Store holds the weight store's limits until the configuration
	// declares them.
	Store WeightStore `json:"weight-store"`
}

// Callers holds the limits of the callers' listener.
type Callers struct {
	// Listen is the address of the listener.
	Listen string `json:"listen"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int `json:"max-body-bytes"`
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes int `json:"max-header-bytes"`
	// MaxConnections bounds the connections at a time.
	MaxConnections int `json:"max-connections"`
	// ReadTimeout bounds the reading of one request.
	ReadTimeout Duration `json:"read-timeout"`
	// IdleTimeout closes a connection without requests.
	IdleTimeout Duration `json:"idle-timeout"`
	// Deadline bounds requests whose caller and service name none.
	Deadline Duration `json:"deadline"`
	// MaxTokens bounds the length of an answer.
	MaxTokens int `json:"max-tokens"`
	// DrainDelay is the time between failing readiness checks and closing
	// the listener at a stop.
	DrainDelay Duration `json:"drain-delay"`
	TLS        TLS      `json:"tls"`
}

// TLS names a listener's certificate; both files empty means plain TCP.
type TLS struct {
	// CertFile holds the certificate, read again when it changes.
	CertFile string `json:"cert-file"`
	// KeyFile holds the certificate's key.
	KeyFile string `json:"key-file"`
}

// Operators holds the operators' listener and their tokens.
type Operators struct {
	// Listen is the address of the listener.
	Listen string `json:"listen"`
	// Tokens lists the operators that are let in.
	Tokens []OperatorToken `json:"tokens"`
	TLS    TLS             `json:"tls"`
}

// OperatorToken lets one operator in.
type OperatorToken struct {
	// Name appears in logs and in accepted commands.
	Name string `json:"name"`
	// Hash is the SHA-256 of the token in hexadecimal.
	Hash string `json:"token-hash"`
	// ReadOnly permits queries only.
	ReadOnly bool `json:"read-only"`
}

// Ledger holds the at-most-once ledger's sizes, the same on all entries.
type Ledger struct {
	// Partitions is the number of partitions.
	Partitions int `json:"partitions"`
	// Interval is the span of key creation times that share an object.
	Interval Duration `json:"interval"`
	// Window is the age up to which an unseen key is accepted.
	Window Duration `json:"window"`
	// WritesPerSecond bounds this entry's updates of the object API.
	WritesPerSecond float64 `json:"writes-per-second"`
}

// Retry bounds retries.
type Retry struct {
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int `json:"max-attempts"`
	// Ratio is the number of retries permitted per request of one caller,
	// on average.
	Ratio float64 `json:"ratio"`
	// Burst is the number of retries permitted at once.
	Burst int `json:"burst"`
}

// DefaultEntry returns the entry's defaults.
func DefaultEntry() Entry {
	return Entry{
		Process: defaultProcess(),
		Callers: Callers{
			MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, MaxConnections: 8192,
			ReadTimeout: Duration(10 * time.Second), IdleTimeout: Duration(time.Minute),
			Deadline: Duration(30 * time.Second), MaxTokens: 4096, DrainDelay: Duration(2 * time.Second),
		},
		Ledger: Ledger{Partitions: 8, Interval: Duration(10 * time.Second), Window: Duration(time.Hour), WritesPerSecond: 60},
		Retry:  Retry{MaxAttempts: 4, Ratio: 0.2, Burst: 20},
		Relays: 1, ConfigMaxAge: Duration(15 * time.Second),
		Store: WeightStore{LoadsPerSecond: 3, InFlight: 8, Engines: 16},
	}
}

const tokenHashLength = 64

func (e *Entry) check(c *checker) {
	e.Process.check(c)
	for _, address := range e.Entries {
		c.require(isAddress(address), "/entries", "%q is not an IP address and port", address)
	}
	e.Callers.check(c)
	c.require(isAddress(e.Operators.Listen), "/operators/listen", "%q is not an IP address and port", e.Operators.Listen)
	for _, t := range e.Operators.Tokens {
		c.require(len(t.Hash) == tokenHashLength, "/operators/tokens", "token-hash of %q is not a SHA-256 in hexadecimal", t.Name)
	}
	e.Operators.TLS.check(c, "/operators/tls")
	c.require(e.Ledger.Partitions > 0 && e.Ledger.Partitions <= 256, "/ledger/partitions", "must be from 1 to 256")
	c.require(e.Ledger.Interval > 0, "/ledger/interval", "must be above zero")
	c.require(e.Ledger.Window >= e.Ledger.Interval, "/ledger/window", "must not be below the interval")
	c.require(e.Ledger.WritesPerSecond > 0, "/ledger/writes-per-second", "must be above zero")
	c.require(e.Retry.MaxAttempts > 0, "/retry/max-attempts", "must be above zero")
	c.require(e.Retry.Ratio >= 0, "/retry/ratio", "must not be negative")
	c.require(e.Relays > 0, "/relays", "must be above zero")
	c.require(e.ConfigMaxAge > 0, "/config-max-age", "must be above zero")
	c.require(e.Store.LoadsPerSecond > 0 && e.Store.InFlight > 0 && e.Store.Engines > 0, "/weight-store", "all limits must be above zero")
}

func (x Callers) check(c *checker) {
	c.require(isAddress(x.Listen), "/callers/listen", "%q is not an IP address and port", x.Listen)
	c.require(x.MaxBodyBytes > 0, "/callers/max-body-bytes", "must be above zero")
	c.require(x.MaxHeaderBytes >= 1024, "/callers/max-header-bytes", "must be 1024 at least")
	c.require(x.MaxConnections > 0, "/callers/max-connections", "must be above zero")
	c.require(x.Deadline > 0, "/callers/deadline", "must be above zero")
	c.require(x.MaxTokens > 0, "/callers/max-tokens", "must be above zero")
	x.TLS.check(c, "/callers/tls")
}

func (t TLS) check(c *checker, key string) {
	c.require((t.CertFile == "") == (t.KeyFile == ""), key, "cert-file and key-file go together")
}
