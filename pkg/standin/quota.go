package standin

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// The window rule of quotas that the platform states to processes. The slack is lower than
// that of the users' deployments, so that it hides little of what accounts of a few
// requests a second use.
const (
	QuotaWindow = 8 * time.Second
	QuotaExcess = 0.1
	QuotaSlack  = 10.0
)

// QuotaAccount is a client account with a quota.
type QuotaAccount struct {
	Name        ident.Account
	Key         string
	Tokens      bool // its quota counts tokens
	PlainTokens float64
	// PerSecond and Burst are its quota.
	PerSecond, Burst float64
}

// Cost returns what a request of the account costs that states a number of tokens, or 0.
func (a QuotaAccount) Cost(tokens int) float64 {
	switch {
	case !a.Tokens:
		return 1
	case tokens == 0:
		return a.PlainTokens
	}
	return float64(tokens)
}

// WithQuotas returns a configuration with the accounts added to those that it has.
func WithQuotas(configuration json.RawMessage, accounts []QuotaAccount) (json.RawMessage, error) {
	var fields map[string]any
	if err := json.Unmarshal(configuration, &fields); err != nil {
		return nil, errors.Trace(err)
	}
	list, _ := fields["tenants"].([]any)
	for _, a := range accounts {
		unit := "requests"
		if a.Tokens {
			unit = "tokens"
		}
		list = append(list, map[string]any{
			"name": a.Name, "api-keys": []string{a.Key}, "unit": unit, "plain-tokens": a.PlainTokens, "rate-per-s": a.PerSecond, "burst": a.Burst,
		})
	}
	fields["tenants"] = list
	out, err := json.Marshal(fields)
	return out, errors.Trace(err)
}

// WithQuotaBounds returns a settings file that states the window rule of quotas.
func WithQuotaBounds(settings []byte) ([]byte, error) {
	var fields map[string]any
	if err := json.Unmarshal(settings, &fields); err != nil {
		return nil, errors.Trace(err)
	}
	bounds, _ := fields["bounds"].(map[string]any)
	if bounds == nil {
		bounds = make(map[string]any)
	}
	bounds["quota-window-s"], bounds["quota-excess"], bounds["quota-slack"] = QuotaWindow.Seconds(), QuotaExcess, QuotaSlack
	fields["bounds"] = bounds
	out, err := json.MarshalIndent(fields, "", "  ")
	return out, errors.Trace(err)
}
