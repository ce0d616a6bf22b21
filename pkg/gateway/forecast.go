package gateway

import (
	"math"
	"time"

	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// plainRequestObjectives is the number of latency objectives within which nearly all
	// plain requests finish, as long as no earlier ones tell more.
	plainRequestObjectives = 5
	// firstEventObjectives is the same for the first events of streams.
	firstEventObjectives = 2
	// streamDurationFactor scales the forecast duration of a stream while the
	// process is stopping: the engine may be slower than most, and a cut stream
	// cannot be recovered.
	streamDurationFactor = 2.0
)

// forecastDuration forecasts how long the request takes once it is sent to a target.
func (x *exchange) forecastDuration() time.Duration {
	route, objective := x.route.Name, x.route.Objective
	if x.route.RetryPolicy == platform.RunStream {
		events, known := x.forecastEvents()
		if !known {
			return x.route.Timeout // it lasts at most as long as its route allows
		}
		first := max(x.g.firstEvents.Bound(route, firstEventObjectives*objective), firstEventReserve)
		return first + time.Duration(streamDurationFactor*float64(events))
	}
	bound := max(x.g.plainTimes.Bound(route, plainRequestObjectives*objective), objective)
	deadline, _ := x.ctx.Deadline()
	return min(time.Until(deadline), bound) + targetAnswerReserve
}

// forecastEvents forecasts how long a stream takes from its first event on, if anything is
// known of its length.
func (x *exchange) forecastEvents() (time.Duration, bool) {
	events, known := x.g.lengths.Bound(x.route.Name, x.statedEvents())
	return x.g.eventInterval.forecast(int(math.Ceil(events))), known
}

// statedEvents returns the number of events that hold the stated number of output tokens,
// or 0 if none is stated.
func (x *exchange) statedEvents() int {
	if x.service.Engine == nil {
		return x.q.maxOutputTokens
	}
	perEvent := x.service.Engine.TokensPerEvent
	return (x.q.maxOutputTokens + perEvent - 1) / perEvent
}

// recordLength records how many events the response had.
func (x *exchange) recordLength() {
	if x.events > 0 && x.q.lastEvent == "" {
		x.g.lengths.Record(x.route.Name, x.statedEvents(), x.events, x.complete)
	}
}
