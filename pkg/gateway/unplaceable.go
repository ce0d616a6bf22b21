package gateway

import (
	"fmt"
	"time"
)

// banned reports whether a part of the prompt is banned, with the refusal.
func (x *exchange) banned() (refusal, bool) {
	now := time.Now()
	ban, banned := x.g.quarantine.Banned(x.q.parts, now)
	if !banned {
		return x.requestBan(now)
	}
	return refusal{reason: "part of the prompt crashes engines", wait: ban.Until.Sub(now), detail: fmt.Sprintf("part %s, crashes %v", ban.Part, ban.Crashes)}, true
}

// noTarget returns the refusal of a request without an eligible target.
func (x *exchange) noTarget() refusal {
	if pause := x.g.pause(x.service.Name); pause > 0 {
		return refusal{reason: "targets want no requests for now", wait: pause}
	}
	return refusal{reason: "no target", wait: noTargetRetryAfter}
}

// needsGrant reports whether an agent has to grant the request.
func (x *exchange) needsGrant() bool { return x.service.Engine != nil && x.q.weights.Model != "" }

// exceeds reports whether a request needs more KV cache than an engine has.
func exceeds(q *request, kvTokens int) bool {
	return kvTokens > 0 && (q.promptTokens > kvTokens || q.maxOutputTokens > kvTokens-q.promptTokens)
}

// tooLarge is the refusal of a request that no engine of the service can hold.
func (x *exchange) tooLarge() refusal {
	return refusal{reason: "request needs more memory than an engine has", tooLarge: true, detail: fmt.Sprintf("%d and %d tokens of %d", x.q.promptTokens, x.q.maxOutputTokens, x.service.Engine.KVTokens)}
}
