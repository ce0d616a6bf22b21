package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
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
	promptTokens   tally.Counter   // of streams that engines have begun to answer
	keptTokens     tally.Counter   // of these, what the engines are taken to have kept
	grantWait      tally.Histogram // of streams: from a request's arrival to its send
	firstEvent     tally.Histogram // of streams: from a send to the first event
	streams        streamMetrics
	abandonedRuns  [len(runEndNames)]tally.Counter // abandoned sends before another one, by what showed their end
	abandonedWait  tally.Histogram                 // of these: until the end showed
	listAge        tally.Histogram                 // of sends: time for which the list of targets was not confirmed
	denials        [len(denialNames)]tally.Counter // requests refused for their keys, by reason
	trust          tally.Gauge                     // 1 if the configuration is used for requests that need a key
	// unreadableLoads counts the responses whose load has a field that cannot be read.
	unreadableLoads tally.Counter
	malformedHeads  tally.Counter                        // of targets' responses
	strayResponses  tally.Counter                        // of targets, to other requests than the one that was waiting
	heldWrites      tally.Counter                        // writes of events that a caller did not read at once
	unreadCuts      tally.Counter                        // streams that a target cut while a slow caller kept them unread
	connections     [forward.ConnEvents]tally.Counter    // to targets, by event
	targetEnds      [len(endEvidenceNames)]tally.Counter // processes that lost requests, by what shows their end
	unread          tally.Counter                        // responses that a caller did not read in time
	cutResponses    tally.Counter                        // responses whose write failed otherwise
	disconnects     tally.Counter                        // requests whose caller closed its connection
	halfClosed      tally.Counter                        // callers that closed their sending side before the response
	resumedStreams  tally.Counter                        // requests that continue a stream of an earlier one
	unknownOrigins  tally.Counter                        // of these, refused because nobody knows what began the stream
	goneOrigins     tally.Counter                        // streams for which no target runs the software that began them
	unreadable      tally.Counter                        // requests that ended before they were read
}

// latencyBuckets double from the time of a round trip to a caller's longest wait.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// countConn counts an event of a connection to a target.
func (m *metrics) countConn(e forward.ConnEvent) { m.connections[e].Inc(1) }

func newMetrics(scope tally.Scope) metrics {
	m := metrics{
		requests: scope.Counter("requests"), refused: scope.Counter("refused"), timedOut: scope.Counter("timed_out"),
		abortedStreams: scope.Counter("streams_broken_off"), retries: scope.Counter("repeated_sends"), limitedSends: scope.Counter("sends_to_limited_targets"),
		promptTokens: scope.Counter("prompt_tokens"), keptTokens: scope.Counter("prompt_tokens_kept"),
		grantWait: scope.Histogram("grant_wait", latencyBuckets), firstEvent: scope.Histogram("first_event", latencyBuckets),
		abandonedWait:   scope.Histogram("abandoned_run_wait", latencyBuckets),
		streams:         newStreamMetrics(scope),
		unreadableLoads: scope.Counter("unreadable_loads"), malformedHeads: scope.Counter("malformed_heads"), strayResponses: scope.Counter("stray_responses"),
		listAge:    scope.Histogram("target_list_age", latencyBuckets),
		trust:      scope.Gauge("configuration_trusted"),
		heldWrites: scope.Counter("held_writes"), unreadCuts: scope.Counter("streams_cut_unread"), unread: scope.Counter("responses_unread"),
		cutResponses: scope.Counter("responses_cut"), disconnects: scope.Counter("callers_disconnected"), halfClosed: scope.Counter("callers_half_closed"),
		resumedStreams: scope.Counter("streams_resumed"), unknownOrigins: scope.Counter("stream_origins_unknown"), goneOrigins: scope.Counter("stream_origins_gone"), unreadable: scope.Counter("requests_unreadable"),
	}
	for i, name := range outcomeNames {
		m.outcomes[i] = scope.Tagged(map[string]string{"outcome": name}).Counter("sends")
	}
	for i := range m.connections {
		m.connections[i] = scope.Tagged(map[string]string{"event": forward.ConnEvent(i).String()}).Counter("connections")
	}
	for i, name := range runEndNames {
		m.abandonedRuns[i] = scope.Tagged(map[string]string{"end": name}).Counter("abandoned_runs")
	}
	for i, name := range endEvidenceNames {
		m.targetEnds[i] = scope.Tagged(map[string]string{"by": name}).Counter("target_ends")
	}
	for i, name := range denialNames {
		m.denials[i] = scope.Tagged(map[string]string{"reason": name}).Counter("refused_for_key")
	}
	m.trust.Update(1)
	return m
}
