package orderer

import (
	"github.com/uber-go/tally/v4"

	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// meters are the orderer's metrics.
type meters struct {
	scope            tally.Scope
	waiting, running tally.Gauge
	held, flying     tally.Gauge
}

func newMeters(scope tally.Scope) meters {
	return meters{
		scope: scope, waiting: scope.Gauge("waiting"), running: scope.Gauge("running"),
		held: scope.Gauge("adapters_held"), flying: scope.Gauge("adapters_loading"),
	}
}

func (m meters) order(r platform.OrderResult) {
	m.scope.Tagged(map[string]string{"result": r.String()}).Counter("orders").Inc(1)
}

// turnedAway counts a request that gets no seat.
func (m meters) turnedAway(r wire.GrantReason) {
	m.scope.Tagged(map[string]string{"reason": r.String()}).Counter("turned_away").Inc(1)
}
