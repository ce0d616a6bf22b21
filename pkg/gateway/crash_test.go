package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// settled is the time within which all gateways have to know that three targets ended under a
// request.
const settled = 3 * time.Second

// The recorded day: a request ends each target that runs it, and comes again, twice a second at
// any gateway, while the targets are back after some seconds.
func TestRequestThatCrashesTargetsIsRefusedEverywhere(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		for _, path := range []string{"/safe/" + deadly, "/unsafe/" + deadly} {
			t.Run(method+" "+path, func(t *testing.T) {
				testCrashFleet(t, 4, 3, func(t *testing.T, h *crashFleet) {
					var last *http.Response
					for i := range 60 {
						last = h.send(i*7%4, method, path)
						h.send(i%4, method, fmt.Sprintf("/safe/sound-%d", i))
						time.Sleep(500 * time.Millisecond)
					}
					third := h.ended()[2]
					require.LessOrEqual(t, after(h.arrivals(path), third.Add(settled)), 3)
					require.Equal(t, 503, last.StatusCode)
					require.NotEmpty(t, last.Header.Get("Retry-After"))
					require.Equal(t, 200, h.send(0, method, "/safe/sound").StatusCode)
				})
			})
		}
	}
}
