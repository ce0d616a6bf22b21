package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A target turns requests away and says for how long it wants no others (load pattern:
// demand that goes on, at several gateways with uneven shares). Each gateway sends it none
// until then, and the first one after that at once.
func TestTargetsThatWantNoRequestsGetNone(t *testing.T) {
	const pause = 4 * time.Second
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			testFleet(t, fleetSize{3, 3, 3}, func(t *testing.T, h *fleetHarness) {
				target := h.plain[0]
				if path == "/stream/" {
					target = h.engines[0]
				}
				h.load(path, 60, 30*time.Second)
				time.Sleep(3 * time.Second)
				target.turnAway("Retry-After: 4\r\n")
				began := time.Now()
				time.Sleep(15 * time.Second)
				for gateway := range h.gateways {
					var last time.Time
					n := 0
					for _, a := range target.arrived(began, time.Now()) {
						if a.gateway != gateway {
							continue
						}
						answered := a.at.Add(fleetWork)
						if last.IsZero() || a.at.Sub(last) >= pause {
							last = answered
							n++
							continue
						}
						require.LessOrEqual(t, a.at.Sub(last), 20*time.Millisecond, "gateway %d: only what was under way", gateway)
					}
					require.GreaterOrEqual(t, n, 3, "gateway %d: it is asked again in time", gateway)
				}
				require.Zero(t, h.answers(502))
				require.Zero(t, h.answers(503), "the other targets serve")
			})
		})
	}
}

// All targets want no requests: callers are refused at once, and told when to return.
func TestRequestsThatNoTargetWantsAreRefusedAtOnce(t *testing.T) {
	testFleet(t, fleetSize{1, 1, 3}, func(t *testing.T, h *fleetHarness) {
		for _, p := range h.plain {
			p.turnAway("Retry-After: 5\r\n")
		}
		time.Sleep(3 * time.Second) // no targets can be missing from the list any more
		require.Equal(t, 503, h.request(0, "/unsafe/", 0).StatusCode, "each has turned it away")
		time.Sleep(time.Second)
		began := time.Now()
		res := h.request(0, "/unsafe/", 0)
		require.Equal(t, 503, res.StatusCode)
		require.Less(t, time.Since(began), 10*time.Millisecond)
		after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.InDelta(t, 5, after, 1.1, "what is left, and up to half of it")
		for _, p := range h.plain {
			require.Len(t, p.arrived(began.Add(-time.Minute), time.Now()), 1)
		}
	})
}

// What a target says of one request with another status concerns only that request.
func TestOnlyRefusalsPauseATarget(t *testing.T) {
	testFleet(t, fleetSize{1, 1, 1}, func(t *testing.T, h *fleetHarness) {
		h.plain[0].state("Retry-After: 100\r\n")
		for range 3 {
			require.Equal(t, 200, h.request(0, "/safe/", 0).StatusCode)
		}
		h.plain[0].turnAway("Retry-After: Sat, 05 Dec 2026 03:00:00 GMT\r\n")
		require.Equal(t, 503, h.request(0, "/safe/", 0).StatusCode)
		require.Equal(t, 503, h.request(0, "/safe/", 0).StatusCode)
		require.Len(t, h.plain[0].arrived(time.Now().Add(-time.Minute), time.Now()), 5)
	})
}
