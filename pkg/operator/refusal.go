package operator

import (
	"sort"

	"github.com/juju/errors"
)

// refusalTexts maps refusal reasons, though not all, to their meanings. Some texts
// also say where to look further.
var refusalTexts = map[string]string{
	"no-token":           "the request carried no bearer token",
	"wrong-token":        "the token's hash belongs to no declared caller",
	"not-permitted":      "no rule of the caller covers the service and adapter; see show callers",
	"caller-limit":       "the caller has as many requests in flight as in-flight permits",
	"unknown-adapter":    "no adapter of that name is declared; see show adapters",
	"unknown-version":    "the adapter has no such version; see show versions",
	"retired-version":    "the version was retired",
	"no-version":         "the request names no version and the adapter has no default",
	"no-target":          "no usable target has the service's kind, model and role; see show targets",
	"deadline":           "the expected wait exceeds the deadline; see show waiting, and the weight store",
	"queue-full":         "the target's queue has reached max-waiting",
	"draining":           "every target tried was draining",
	"unreachable":        "no link to the agent could be opened; see show targets",
	"not-loaded":         "the engine lost the adapter, as after a restart",
	"config-stale":       "the entry cannot confirm that its configuration is the latest; see show entries",
	"stale-config":       "entry and agent did not agree on the configuration's revision in time; see show rollout",
	"ledger-unavailable": "the object API did not confirm a claim; non-idempotent requests are refused until it does",
	"in-progress":        "a request with the same idempotency key is being run",
	"in-doubt":           "a run may have begun and its end is not known; ask the target",
	"key-expired":        "the idempotency key is older than the ledger remembers",
	"key-reused":         "the idempotency key belongs to a request with another body",
	"stream-lost":        "the answer broke off and could not be resumed",
}

func explainRefusal(reason string) (*Table, error) {
	text, ok := refusalTexts[reason]
	if !ok {
		var reasons []string
		for r := range refusalTexts {
			reasons = append(reasons, r)
		}
		sort.Strings(reasons)
		hint := ""
		if suggestion := nearest(reason, reasons); suggestion != "" {
			hint = "; did you mean " + suggestion + "?"
		}
		return nil, errors.NotFoundf("reason %q%s", reason, hint)
	}
	t := &Table{Columns: []string{"reason", "meaning"}}
	t.add(reason, text)
	return t, nil
}
