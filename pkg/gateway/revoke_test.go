package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	accountAWithout2 = `{"name":"a","api-keys":["k-a"]}`
	accountB         = `{"name":"b","api-keys":["k-b"]}`
)

// removeKey publishes a configuration without k-a2 and returns when that was acknowledged.
func (h *accountHarness) removeKey() time.Time {
	h.t.Helper()
	h.configure(accountAWithout2, accountB)
	return time.Now()
}

const (
	trustLost     = `msg="configuration not confirmed; requests that need a key are refused"`
	trustRegained = `msg="configuration confirmed again"`
)

// Guards against a removed key that goes on working at a gateway that does not hear of it,
// and against a gateway that then serves nothing else, or not again in time.
func TestRemovedKeyEndsAtAGatewayCutOffFromTheStore(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent %t", silent), func(t *testing.T) {
			for phase := range 8 { // of the watch that is cut
				testAccounts(t, func(t *testing.T, h *accountHarness) {
					time.Sleep(time.Duration(phase) * 200 * time.Millisecond)
					h.store.set(func(s *keyStore) { s.cut, s.silent = true, silent })
					removed := h.removeKey()
					for time.Since(removed) < 12*time.Second {
						if status := h.withKey("k-a2"); time.Since(removed) >= revokeTime {
							require.Equal(t, 503, status, "%s after the removal", time.Since(removed))
							require.Equal(t, 503, h.withKey("k-a"))
						} else {
							require.Contains(t, []int{200, 503}, status)
						}
						require.Equal(t, 200, h.status("/public/x"))
						time.Sleep(70 * time.Millisecond)
					}
					require.Equal(t, 1, h.log.rows(trustLost))
					require.Zero(t, h.log.rows(trustRegained))
					h.store.set(func(s *keyStore) { s.cut = false })
					time.Sleep(3 * time.Second)
					require.Equal(t, 200, h.withKey("k-a"))
					require.Equal(t, 401, h.withKey("k-a2"))
					require.Equal(t, 1, h.log.rows(trustLost))
					require.Equal(t, 1, h.log.rows(trustRegained))
				})
			}
		})
	}
}

// Guards against refusals at a gateway that is in touch with the store, or for which one
// call to it fails.
func TestGatewayInTouchWithTheStoreTrustsItsConfiguration(t *testing.T) {
	testAccounts(t, func(t *testing.T, h *accountHarness) {
		for i := range 400 {
			cut := i%80 == 40
			h.store.set(func(s *keyStore) { s.cut, s.silent = cut, false })
			require.Equal(t, 200, h.withKey("k-a2"))
			time.Sleep(50 * time.Millisecond)
		}
		require.Zero(t, h.log.rows(trustLost))
		removed := h.removeKey()
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, 401, h.withKey("k-a2"), "%s after the removal", time.Since(removed))
		require.Equal(t, 200, h.withKey("k-a"))
	})
}

// Guards against a removed key that works at a VM that wakes up and has not heard of it,
// since the monotonic clock does not count the time of its suspension.
func TestRemovedKeyEndsAtAVMThatWakesUp(t *testing.T) {
	testAccounts(t, func(t *testing.T, h *accountHarness) {
		require.Equal(t, 200, h.withKey("k-a2"))
		h.store.set(func(s *keyStore) { s.cut, s.silent = true, true })
		h.removeKey()
		h.suspend(6 * time.Second)
		require.Equal(t, 503, h.withKey("k-a2"))
		require.Equal(t, 200, h.status("/public/x"))
		h.store.set(func(s *keyStore) { s.cut = false })
		woken := time.Now()
		for h.withKey("k-a") != 200 {
			require.Equal(t, 503, h.withKey("k-a2"))
			time.Sleep(20 * time.Millisecond)
		}
		require.Less(t, time.Since(woken), 2300*time.Millisecond, "a watch that went silent, and a list")
		require.Equal(t, 401, h.withKey("k-a2"))
	})
}

// Guards against an answer that waited for the VM to wake up and is taken for a new one.
func TestAnswerFromBeforeASuspensionConfirmsNothing(t *testing.T) {
	testAccounts(t, func(t *testing.T, h *accountHarness) {
		watches := func() int {
			h.store.mu.Lock()
			defer h.store.mu.Unlock()
			return len(h.store.waits)
		}
		for before := watches(); watches() == before; {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(1400 * time.Millisecond)
		h.suspend(10 * time.Second)
		// What is read after the answer of this watch says nothing.
		h.store.set(func(s *keyStore) { s.behind = &standinList{position: platform.Position{Era: 1}} })
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, 503, h.withKey("k-a2"))
		h.store.set(func(s *keyStore) { s.behind = nil })
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, 200, h.withKey("k-a2"), "a list confirms at once what a watch would confirm later")
	})
}

// Guards against a gateway that has just started and trusts what it can't know to be current.
func TestRestartedGatewayUsesNoKeyThatItHasNotReadSince(t *testing.T) {
	testAccounts(t, func(t *testing.T, h *accountHarness) {
		h.store.set(func(s *keyStore) { s.cut = true })
		h.removeKey()
		restarted := New(common.Discard(), h.node)
		restarted.pool.Dial = h.dialTarget
		restarted.fleet.Replace(h.fleet.Available(plainService), time.Now())
		for _, k := range []platform.Kind{platform.KindTargets, platform.KindVersions} {
			restarted.markListed(k)
		}
		before := h.Gateway
		h.Gateway = restarted
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		defer before.pool.Close()
		h.follow(ctx)
		require.Equal(t, 503, h.withKey("k-a2"))
		require.Equal(t, 503, h.withKey("k-a"))
		require.Empty(t, h.receivedRequests())
		served := make(chan int)
		h.script(respond(200, "yes"))
		// It may wait for longer than the follower pauses between two calls that fail.
		patient := strings.Replace(rawRequest("GET", "/safe/x", "Api-Key: k-a\r\n"), "1000", "9000", 1)
		go func() { served <- h.send(patient).StatusCode }()
		time.Sleep(10 * time.Millisecond)
		h.store.set(func(s *keyStore) { s.cut = false })
		require.Equal(t, 200, <-served, "one that waited for the first list")
		require.Equal(t, 401, h.withKey("k-a2"))
	})
}

// Guards against a removed key that works again once the store has returned from a copy
// that still holds it.
func TestRemovedKeyStaysRemovedInAnOlderCopy(t *testing.T) {
	testAccounts(t, func(t *testing.T, h *accountHarness) {
		h.removeKey()
		time.Sleep(2 * time.Second)
		require.Equal(t, 401, h.withKey("k-a2"))
		h.store.Restore(3 * time.Second)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, 401, h.withKey("k-a2"))
			require.Equal(t, 200, h.withKey("k-a"))
		}
		require.Zero(t, h.log.rows(trustLost), "the restored store confirms the configuration")
	})
}

// Guards against the answers of a store that is behind, which confirm a configuration
// although a later one has been acknowledged.
func TestAnswersOfAStoreThatIsBehindConfirmNothing(t *testing.T) {
	testAccounts(t, func(t *testing.T, h *accountHarness) {
		objects, position, err := h.store.list(platform.KindConfiguration)
		require.NoError(t, err)
		h.store.Withdraw(platform.KindTargets, "absent") // another change, which the gateway learns of
		require.NoError(t, h.store.Publish(platform.KindTargets, "p-9", []byte(`{}`)))
		time.Sleep(4 * time.Second)
		h.store.set(func(s *keyStore) { s.behind = &standinList{objects, position} })
		removed := h.removeKey()
		for time.Since(removed) < 15*time.Second {
			if status := h.withKey("k-a2"); time.Since(removed) >= revokeTime {
				require.Equal(t, 503, status)
			}
			time.Sleep(100 * time.Millisecond)
		}
		h.store.set(func(s *keyStore) { s.behind = nil })
		time.Sleep(3 * time.Second)
		require.Equal(t, 401, h.withKey("k-a2"))
		require.Equal(t, 200, h.withKey("k-a"))
	})
}

// Guards against a confirmation that comes while a request is checked: it vouches for the
// configuration in force then, not for one that was read before.
func TestConfirmationDoesNotVouchForAnEarlierConfiguration(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		update := func(version uint64, key string) {
			c := testConfiguration(version)
			c.Accounts = []platform.Account{{Name: "a", Keys: []string{key}}}
			_, err := h.directory.Update(c)
			require.NoError(t, err)
		}
		h.node.Bounds.Revoke, h.node.Bounds.RevokeStrict, h.node.Bounds.Configuration = revokeTime, true, 2*time.Second
		for version, key := range []string{"k-old", "k-new"} {
			update(uint64(2*version+2), "k-old")
			confirm(h.Gateway)
			h.configurationCopy.Suspended = func() time.Duration {
				update(uint64(2*version+3), "k-new") // the process was paused until then
				return 0
			}
			x := &exchange{g: h.Gateway, q: &request{path: "/safe/x", key: key}}
			x.q.head.SetHost("host.example")
			require.Equal(t, []denial{denialUnknown, denialNone}[version], x.authenticate())
			h.configurationCopy.Suspended = nil
		}
	})
}

// Guards against a request that waits for an engine while its key is removed, and then runs.
func TestKeyIsRemovedWhileItsRequestWaits(t *testing.T) {
	testAccounts(t, func(t *testing.T, h *accountHarness) {
		h.grant = func(string, wire.GrantRequest) wire.GrantReply {
			time.Sleep(600 * time.Millisecond)
			return wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
		}
		time.AfterFunc(300*time.Millisecond, func() { h.removeKey() })
		res := h.send(streamWithKey("k-a2"))
		require.Equal(t, 401, res.StatusCode)
		require.Empty(t, h.receivedRequests())
		time.Sleep(time.Second)
		require.Zero(t, h.openGrants())
	})
}

// Guards against a request that came without a key while none was needed, waits, and runs
// after accounts came into force.
func TestAccountsComeWhileARequestWaits(t *testing.T) {
	testAccounts(t, func(t *testing.T, h *accountHarness) {
		h.configure()
		time.Sleep(time.Second)
		h.grant = func(string, wire.GrantRequest) wire.GrantReply {
			time.Sleep(600 * time.Millisecond)
			return wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
		}
		for _, test := range []struct {
			key    string
			status int
		}{{"k-none", 401}, {"k-a", 200}} {
			h.script(respondRaw(streamHead + chunk(events(1, 2)) + "0\r\n\r\n"))
			time.AfterFunc(300*time.Millisecond, func() { h.configure(accountAWithout2, accountB) })
			res := h.send(streamWithKey(test.key))
			require.Equal(t, test.status, res.StatusCode)
			_, _ = io.Copy(io.Discard, res.Body)
		}
		require.Len(t, h.receivedRequests(), 1)
		require.Empty(t, h.receivedRequests()[0].Header.Values(platform.HeaderAPIKey))
		require.Equal(t, "a", h.receivedRequests()[0].Header.Get(platform.HeaderAccount))
	})
}

// Guards against a key that is removed while a connection to a target is set up.
func TestKeyIsRemovedDuringTheDial(t *testing.T) {
	testAccounts(t, func(t *testing.T, h *accountHarness) {
		h.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			h.removeKey()
			time.Sleep(100 * time.Millisecond)
			return h.dialTarget(ctx, address)
		}
		require.Equal(t, 401, h.withKey("k-a2"))
		require.Empty(t, h.receivedRequests())
	})
}

func streamWithKey(key string) string {
	return strings.Replace(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n", "X-Model: m/a1\r\n", "X-Token-Count: 100,10\r\n", "Api-Key: "+key+"\r\n"), "1000", "20000", 1)
}

// Guards against a request that goes on at another engine after its key was removed, and
// against a run that is ended for it.
func TestKeyIsRemovedBeforeItsRequestGoesOnElsewhere(t *testing.T) {
	cutStream := func(h *accountHarness) reply {
		return func(w net.Conn, _ receivedRequest) bool {
			_, _ = io.WriteString(w, streamHead+chunk(events(1, 2)))
			h.removeKey()
			time.Sleep(100 * time.Millisecond)
			return false
		}
	}
	t.Run("a broken stream", func(t *testing.T) {
		testAccounts(t, func(t *testing.T, h *accountHarness) {
			h.script(cutStream(h), respondRaw(streamHead+chunk(events(3, 4))+"0\r\n\r\n"))
			res := h.send(streamWithKey("k-a2"))
			got, err := io.ReadAll(res.Body)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Equal(t, events(1, 2), string(got))
			require.Len(t, h.receivedRequests(), 1)
			require.Equal(t, 1, h.log.rows(`msg="refused for its key"`))
		})
	})
	t.Run("a broken stream of a key that is kept", func(t *testing.T) {
		testAccounts(t, func(t *testing.T, h *accountHarness) {
			h.script(cutStream(h), respondRaw(streamHead+chunk(events(3, 4))+"0\r\n\r\n"))
			require.Equal(t, events(1, 4), body(t, h.send(streamWithKey("k-a"))))
			require.Len(t, h.receivedRequests(), 2)
		})
	})
	t.Run("a stalled stream", func(t *testing.T) {
		testAccounts(t, func(t *testing.T, h *accountHarness) {
			h.script(func(w net.Conn, _ receivedRequest) bool {
				_, _ = io.WriteString(w, streamHead+chunk(events(1, 2)))
				h.removeKey()
				time.Sleep(3 * time.Second)
				_, _ = io.WriteString(w, chunk(events(3, 4))+"0\r\n\r\n")
				return false
			}, respondRaw(streamHead+chunk(events(3, 4))+"0\r\n\r\n"))
			require.Equal(t, events(1, 4), body(t, h.send(streamWithKey("k-a2"))), "the run that has begun goes on")
			require.Len(t, h.receivedRequests(), 1)
		})
	})
	t.Run("a request that its target did not run", func(t *testing.T) {
		testAccounts(t, func(t *testing.T, h *accountHarness) {
			h.script(func(w net.Conn, call receivedRequest) bool {
				h.removeKey()
				time.Sleep(100 * time.Millisecond)
				return respond(503, "no", "X-Not-Executed: 1\r\n")(w, call)
			}, respond(200, "yes"))
			require.Equal(t, 401, h.send(rawRequest("GET", "/safe/x", "Api-Key: k-a2\r\n")).StatusCode)
			require.Len(t, h.receivedRequests(), 1)
		})
	})
	t.Run("a request that failed", func(t *testing.T) {
		testAccounts(t, func(t *testing.T, h *accountHarness) {
			h.script(func(w net.Conn, call receivedRequest) bool {
				h.removeKey()
				time.Sleep(100 * time.Millisecond)
				return respond(500, "no")(w, call)
			}, respond(200, "yes"))
			require.Equal(t, 500, h.send(rawRequest("GET", "/safe/x", "Api-Key: k-a2\r\n")).StatusCode)
			require.Len(t, h.receivedRequests(), 1)
		})
	})
}

// Guards against watches that last longer than the trust in what they would confirm, also
// if accounts come with a later configuration, and against calls that cost without need.
func TestWatchesFitIntoTheTimeOfTrust(t *testing.T) {
	testAccounts(t, func(t *testing.T, h *accountHarness) {
		waits := func(d time.Duration) []time.Duration {
			h.store.set(func(s *keyStore) { s.waits, s.lists = nil, 0 })
			time.Sleep(d)
			h.store.mu.Lock()
			defer h.store.mu.Unlock()
			require.Zero(t, h.store.lists)
			return h.store.waits
		}
		const bounded, unbounded = 1500 * time.Millisecond, 1950 * time.Millisecond
		got := waits(20 * time.Second)
		require.LessOrEqual(t, len(got), 13)
		require.GreaterOrEqual(t, len(got), 12)
		for _, wait := range got {
			require.Equal(t, bounded, wait)
		}
		h.configure()
		time.Sleep(time.Second)
		for _, wait := range waits(20 * time.Second) {
			require.Equal(t, unbounded, wait)
		}
		h.configure(accountB)
		time.Sleep(time.Second)
		for _, wait := range waits(20 * time.Second) {
			require.Equal(t, bounded, wait)
		}
	})
}

// Guards against an end of trust in deployments that do not ask for it.
func TestWithoutStrictRevocationAnOutageEndsNoTrust(t *testing.T) {
	testRevocation(t, false, func(t *testing.T, h *accountHarness) {
		h.store.set(func(s *keyStore) { s.cut = true })
		time.Sleep(30 * time.Second)
		require.Equal(t, 200, h.withKey("k-a2"))
		require.Equal(t, 503, h.withKey("k-c"))
	})
}
