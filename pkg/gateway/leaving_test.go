package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A target says in its responses that it is leaving, and the store's list doesn't show it
// (load pattern: gateways that are cut off from the store, while targets are replaced).
// Within a moment it gets no request any more, also from gateways that start later, until
// it has started again.
func TestTargetsThatSayThatTheyLeaveGetNoRequests(t *testing.T) {
	say := func(target *fleetTarget) { target.state("Server-Leaving: 1\r\n") }
	for _, test := range []struct {
		name, path string
		say        func(target *fleetTarget)
		happens    func(h *fleetHarness)
	}{
		{"a plain target", "/safe/", say, nil},
		{"an engine", "/stream/", say, nil},
		{"an engine, in its reports", "/stream/", func(e *fleetTarget) { e.report("Server-Leaving: 1\r\n") }, nil},
		{"a plain target, and a gateway restarts", "/safe/", say, func(h *fleetHarness) { h.startGateway(0) }},
		{"an engine, and its agent restarts", "/stream/", say, func(h *fleetHarness) { h.restartAgent(h.engines[0]) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			testFleet(t, fleetSize{4, 3, 3}, func(t *testing.T, h *fleetHarness) {
				target := h.plain[0]
				if test.path == "/stream/" {
					target = h.engines[0]
				}
				h.load(test.path, 40, 25*time.Second)
				time.Sleep(3 * time.Second)
				require.NotEmpty(t, target.arrived(time.Now().Add(-time.Second), time.Now()))
				test.say(target)
				time.Sleep(time.Second)
				from := time.Now()
				for range 5 {
					time.Sleep(time.Second)
					if test.happens != nil {
						test.happens(h)
						time.Sleep(500 * time.Millisecond) // links and notices
					}
				}
				late := target.arrived(from, time.Now())
				if test.happens == nil {
					require.Empty(t, late)
				}
				require.LessOrEqual(t, len(late), 5, "at most one for each restart")

				target.state("")
				target.report("")
				h.restartTarget(target)
				time.Sleep(3 * time.Second)
				require.NotEmpty(t, target.arrived(time.Now().Add(-time.Second), time.Now()), "it has started again")
			})
		})
	}
}
