package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the gateway's metrics.
type metrics struct {
	requests       tally.Counter
	outcomes       [len(outcomeNames)]tally.Counter // of sends, by outcome
	refused        tally.Counter
	timedOut       tally.Counter
	abortedStreams tally.Counter
	retries        tally.Counter
	limitedSends   tally.Counter   // to targets that state a rate limit
	grantWait      tally.Histogram // of streams: from a request's arrival to its send
	firstEvent     tally.Histogram // of streams: from a send to the first event
	streams        streamMetrics
	abandonedRuns  [len(runEndNames)]tally.Counter // abandoned sends before another one, by what showed their end
	abandonedWait  tally.Histogram                 // of these: until the end showed
	// unreadableLoads counts the responses whose load has a field that cannot be read.
	unreadableLoads tally.Counter
	listAge         tally.Histogram // of sends: time for which the list of targets was not confirmed
}

// latencyBuckets double from the time of a round trip to a caller's longest wait.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func newMetrics(scope tally.Scope) metrics {
	m := metrics{
		requests: scope.Counter("requests"), refused: scope.Counter("refused"), timedOut: scope.Counter("timed_out"),
		abortedStreams: scope.Counter("streams_broken_off"), retries: scope.Counter("repeated_sends"), limitedSends: scope.Counter("sends_to_limited_targets"),
		grantWait: scope.Histogram("grant_wait", latencyBuckets), firstEvent: scope.Histogram("first_event", latencyBuckets),
		abandonedWait:   scope.Histogram("abandoned_run_wait", latencyBuckets),
		streams:         newStreamMetrics(scope),
		unreadableLoads: scope.Counter("unreadable_loads"),
		listAge:         scope.Histogram("target_list_age", latencyBuckets),
	}
	for i, name := range outcomeNames {
		m.outcomes[i] = scope.Tagged(map[string]string{"outcome": name}).Counter("sends")
	}
	for i, name := range runEndNames {
		m.abandonedRuns[i] = scope.Tagged(map[string]string{"end": name}).Counter("abandoned_runs")
	}
	return m
}
