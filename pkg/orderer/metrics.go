package orderer

import (
	"github.com/uber-go/tally/v4"

	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// metrics holds the orderer's metrics.
type metrics struct {
	scope            tally.Scope
	waiting, running tally.Gauge
	held, loading    tally.Gauge
	// quotaGranted and quotaDenied are answers to gateways that ask for quota.
	quotaGranted, quotaDenied tally.Counter
	pace                      tally.Gauge // that the engine stated last, in percent
	// memory is the KV cache that requests at the engine may need, in tokens, and
	// unaccounted the part of runs that no entry accounts for any more.
	memory, unaccounted tally.Gauge
	latePauses          tally.Counter // streams that paused for longer than their objective
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope: scope, waiting: scope.Gauge("waiting"), running: scope.Gauge("running"),
		held: scope.Gauge("adapters_held"), loading: scope.Gauge("adapters_loading"),
		quotaGranted: scope.Counter("quota_granted"), quotaDenied: scope.Counter("quota_denied"),
		pace:   scope.Gauge("pace"),
		memory: scope.Gauge("memory_tokens"), unaccounted: scope.Gauge("memory_tokens_unaccounted"),
		latePauses: scope.Counter("late_pauses"),
	}
}

func (m metrics) orderSent(r platform.OrderResult) {
	m.scope.Tagged(map[string]string{"result": r.String()}).Counter("orders").Inc(1)
}

// paceStated counts a pace that the engine has stated.
func (m metrics) paceStated(source string) {
	m.scope.Tagged(map[string]string{"source": source}).Counter("paces").Inc(1)
}

// refused counts a request that is not granted.
func (m metrics) refused(r wire.GrantReason) {
	m.scope.Tagged(map[string]string{"reason": r.String()}).Counter("turned_away").Inc(1)
}
