package quota

import "github.com/hyssoproad/hyssoproad/pkg/ident"

// ReportPath is the path at which a gateway's metrics listener serves its Report.
const ReportPath = "/accounts"

// Report is what one gateway knows of the quotas of client accounts, as JSON.
type Report struct {
	Gateway       ident.VM        `json:"gateway"`
	Configuration uint64          `json:"configuration"`
	Accounts      []AccountReport `json:"accounts"`
}

// AccountReport is what one gateway knows of one account. Counts are of requests since
// the gateway started, and amounts in the account's units.
type AccountReport struct {
	Account   ident.Account `json:"account"`
	Unit      string        `json:"unit"`
	PerSecond float64       `json:"rate-per-s"` // 0 without a limit
	Burst     float64       `json:"burst"`
	Asked     uint64        `json:"asked"`
	Served    uint64        `json:"served"`
	// RefusedOver were denied by all holders that answer, and RefusedAlone while none did.
	RefusedOver  uint64 `json:"refused-over"`
	RefusedAlone uint64 `json:"refused-alone"`
	// Granted is what holders granted, Alone what was used of the gateway's own part, and
	// Leased what is left of the newest grant.
	Granted float64        `json:"granted"`
	Alone   float64        `json:"alone"`
	Leased  float64        `json:"leased"`
	Holders []HolderReport `json:"holders"`
}

// HolderReport is the last answer of a holder to one gateway.
type HolderReport struct {
	Engine string `json:"engine"`
	// State is one of the holder states.
	State string `json:"state"`
	// AgeMS is how old the last answer is; absent if there is none.
	AgeMS   *int64  `json:"age-ms,omitempty"`
	Granted float64 `json:"granted"`
	WaitMS  int64   `json:"wait-ms"`
}

// The states of a holder.
const (
	HolderNotAsked = "not-asked"
	HolderGrants   = "grants"
	HolderDenies   = "denies"
	HolderSilent   = "silent"
)
