package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// meters are the gateway's metrics.
type meters struct {
	requests   tally.Counter
	outcomes   [len(outcomeNames)]tally.Counter // of sends
	refused    tally.Counter
	timedOut   tally.Counter
	brokenOff  tally.Counter
	repeats    tally.Counter
	grantWait  tally.Histogram // from a request to its send
	firstEvent tally.Histogram // from a send to a stream's first event
}

// latencyBuckets span a round trip to the longest wait of a caller, doubling.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func newMeters(scope tally.Scope) meters {
	m := meters{
		requests: scope.Counter("requests"), refused: scope.Counter("refused"), timedOut: scope.Counter("timed_out"),
		brokenOff: scope.Counter("streams_broken_off"), repeats: scope.Counter("repeated_sends"),
		grantWait: scope.Histogram("grant_wait", latencyBuckets), firstEvent: scope.Histogram("first_event", latencyBuckets),
	}
	for i, name := range outcomeNames {
		m.outcomes[i] = scope.Tagged(map[string]string{"outcome": name}).Counter("sends")
	}
	return m
}
