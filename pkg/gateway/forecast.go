package gateway

import (
	"time"

	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// plainRequestObjectives is the number of latency objectives within which
	// nearly all plain requests finish.
	plainRequestObjectives = 5
	// firstEventObjectives is the number of latency objectives within which nearly all
	// streams begin once they were sent.
	firstEventObjectives = 2
	// streamDurationFactor scales the forecast duration of a stream while the
	// process is stopping: the engine may be slower than most, and a cut stream
	// cannot be recovered.
	streamDurationFactor = 2.0
)

// forecastDuration forecasts how long the request takes once it is sent to a target.
func (x *exchange) forecastDuration() time.Duration {
	if x.route.RetryPolicy == platform.RunStream {
		return firstEventObjectives*x.route.Objective + x.forecastEvents()
	}
	deadline, _ := x.ctx.Deadline()
	return min(time.Until(deadline), plainRequestObjectives*x.route.Objective)
}

// forecastEvents forecasts how long a stream takes from its first event on.
func (x *exchange) forecastEvents() time.Duration {
	events := x.q.maxOutputTokens
	if x.service.Engine != nil {
		events /= x.service.Engine.TokensPerEvent
	}
	return time.Duration(streamDurationFactor * float64(x.g.eventInterval.forecast(events)))
}
