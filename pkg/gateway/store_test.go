package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/follow"
	"github.com/hyssoproad/hyssoproad/platform"
)

// targetStore is a store that lists targets of the plain service. Its calls fail in the
// given times after its start, at once or without an answer.
type targetStore struct {
	start    time.Time
	from, to time.Duration
	silent   bool
	listed   func(after time.Duration) int // number of targets
}

func (s *targetStore) fail(wait time.Duration) error {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		if d := time.Since(s.start); d >= s.from && d < s.to {
			if s.silent {
				time.Sleep(time.Until(end.Add(follow.AnswerTime(3 * time.Second))))
			}
			return platform.ErrUnavailable
		}
		if !time.Now().Before(end) {
			return nil
		}
	}
}

func (s *targetStore) source() follow.Source {
	return follow.Source{
		List: func(k platform.Kind) ([]platform.Object, platform.Position, error) {
			if err := s.fail(0); err != nil || k != platform.KindTargets {
				return nil, platform.Position{Revision: 1}, err
			}
			var list []platform.Object
			for i := range s.listed(time.Since(s.start)) {
				spec := fmt.Sprintf(`{"service":"plain","address":"10.0.0.%d:1","state":"ready"}`, i+1)
				list = append(list, platform.Object{Name: fmt.Sprintf("p-%d", i+1), Position: platform.Position{Revision: 1}, Spec: json.RawMessage(spec)})
			}
			return list, platform.Position{Revision: 1}, nil
		},
		Watch: func(_ platform.Kind, from platform.Position, wait time.Duration) ([]platform.Event, platform.Position, error) {
			return nil, from, s.fail(wait)
		},
	}
}

// A target that has left is in use no longer after 2 s, and after a connection went silent
// after 3 s, unless the store was away for so long that the records of live targets may
// have expired.
func TestTargetsThatLeaveBesideAFailedCallAreGone(t *testing.T) {
	for _, test := range []struct {
		name  string
		store targetStore
		at    time.Duration // since the start
		left  int           // targets in use then
	}{
		{"one call fails", targetStore{from: 5 * time.Second, to: 5*time.Second + 20*time.Millisecond}, 7 * time.Second, 1},
		{"a connection goes silent", targetStore{from: 5 * time.Second, to: 5*time.Second + 20*time.Millisecond, silent: true}, 8 * time.Second, 1},
		{"an outage", targetStore{from: 5 * time.Second, to: 8 * time.Second}, 9 * time.Second, 2},
		{"a silent outage", targetStore{from: 5 * time.Second, to: 8 * time.Second, silent: true}, 9 * time.Second, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, store := testGateway(), test.store
				g.node.Bounds.Draining, g.node.Bounds.Configuration, g.node.Bounds.Version = 2*time.Second, 2*time.Second, 5*time.Second
				g.node.Bounds.Settled, g.node.TargetHeartbeat = 3*time.Second, 1200*time.Millisecond
				g.fleet = fleet.New()
				store.start = time.Now()
				store.listed = func(after time.Duration) int {
					if after < store.from {
						return 2
					}
					return 1
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer time.Sleep(time.Minute)
				defer cancel()
				for _, f := range g.followers(store.source()) {
					go f.Run(ctx)
				}
				time.Sleep(time.Until(store.start.Add(4 * time.Second)))
				require.Len(t, g.fleet.Available(plainService), 2)
				time.Sleep(time.Until(store.start.Add(test.at)))
				require.Len(t, g.fleet.Available(plainService), test.left)
			})
		})
	}
}

// A target begins to drain while a connection to it is set up, which may take as long as
// its leaving may take to be known.
func TestTargetThatDrainsDuringTheDialGetsNoRequest(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			time.Sleep(100 * time.Millisecond)
			for _, target := range h.fleet.Available(plainService) {
				if target.Address == address && len(h.fleet.Available(plainService)) > 1 {
					target.Draining = true
					h.fleet.Put(target)
				}
			}
			return h.dialTarget(ctx, address)
		}
		h.script(respond(200, "yes"))
		require.Equal(t, 200, h.send(rawRequest("POST", "/unsafe/x", "Content-Length: 0\r\n")).StatusCode)
		require.Len(t, h.receivedRequests(), 1)
		require.Equal(t, h.fleet.Available(plainService)[0].Address, h.receivedRequests()[0].Address)
	})
}
