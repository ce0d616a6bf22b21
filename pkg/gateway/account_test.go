package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Guards against a key that reaches a target, an account that a caller makes up, and a
// request that is served without a valid key, in whatever form the headers come.
func TestTargetsAreToldTheAccountAndNoKey(t *testing.T) {
	const keyA = "Api-Key: k-a\r\n"
	for _, test := range []struct {
		name, path string
		lines      []string
		status     int
		account    string // that the target is told
	}{
		{"a key", "/safe/x", []string{keyA}, 200, "a"},
		{"another key of the account", "/safe/x", []string{"Api-Key: k-a2\r\n"}, 200, "a"},
		{"another account", "/safe/x", []string{"Api-Key: k-b\r\n"}, 200, "b"},
		{"lower case", "/safe/x", []string{"api-key: k-a\r\n"}, 200, "a"},
		{"mixed case and blanks", "/safe/x", []string{"aPI-kEY:\t k-a \t\r\n"}, 200, "a"},
		{"one key twice", "/safe/x", []string{keyA, "API-KEY:k-a\r\n"}, 200, "a"},
		{"two keys of one account", "/safe/x", []string{keyA, "api-key: k-a2\r\n"}, 400, ""},
		{"two keys", "/safe/x", []string{keyA, "Api-Key: k-b\r\n"}, 400, ""},
		{"three lines, of which one differs", "/safe/x", []string{keyA, "Api-Key: k-b\r\n", keyA}, 400, ""},
		{"a key and an empty line", "/safe/x", []string{keyA, "Api-Key:\r\n"}, 400, ""},
		{"no key", "/safe/x", nil, 401, ""},
		{"an empty key", "/safe/x", []string{"Api-Key:\r\n"}, 401, ""},
		{"an unknown key", "/safe/x", []string{"Api-Key: k-c\r\n"}, 401, ""},
		{"a key in another case", "/safe/x", []string{"Api-Key: K-A\r\n"}, 401, ""},
		{"two keys in one line", "/safe/x", []string{"Api-Key: k-a, k-b\r\n"}, 401, ""},
		{"a key with a scheme", "/safe/x", []string{"Api-Key: Bearer k-a\r\n"}, 401, ""},
		{"an account instead of a key", "/safe/x", []string{"X-Tenant: a\r\n"}, 401, ""},
		{"an account name as a key", "/safe/x", []string{"Api-Key: a\r\n"}, 401, ""},
		{"a blank before the colon", "/safe/x", []string{"Api-Key : k-a\r\n"}, 400, ""},
		{"a folded line", "/safe/x", []string{"X-Other: 1\r\n", " Api-Key: k-a\r\n"}, 400, ""},
		{"no colon", "/safe/x", []string{"Api-Key k-a\r\n"}, 400, ""},
		{"a control character", "/safe/x", []string{"Api-Key: k-a\x01\r\n"}, 400, ""},
		{"a bare carriage return", "/safe/x", []string{keyA, "X-Other: 1\rX-Tenant: b\r\n"}, 400, ""},
		{"line ends without carriage returns", "/safe/x", []string{"X-Other: 1\nApi-Key: k-a\nX-Tenant: b\n"}, 200, "a"},
		{"another account named", "/safe/x", []string{"X-Tenant: b\r\n", keyA, "x-tenant: b\r\n", "X-TENANT:\r\n"}, 200, "a"},
		{"named in Connection", "/safe/x", []string{"Connection: Api-Key, x-tenant\r\n", keyA}, 200, "a"},
		{"named in Connection, and sent", "/safe/x", []string{"X-Tenant: b\r\n", keyA, "Connection: x-tenant\r\n", "Connection: api-key\r\n"}, 200, "a"},
		{"public", "/public/x", nil, 200, ""},
		{"public with a key and an account", "/public/x", []string{keyA, "X-Tenant: b\r\n", "x-tenant: a\r\n"}, 200, ""},
		{"public with an unknown key", "/public/x", []string{"api-KEY: k-c\r\n"}, 200, ""},
		{"public with two keys", "/public/x", []string{keyA, "Api-Key: k-b\r\n"}, 200, ""},
		{"no route", "/other/x", []string{keyA}, 404, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			testAccounts(t, func(t *testing.T, h *accountHarness) {
				require.Equal(t, test.status, h.status(test.path, append(test.lines, "X-Kept: yes\r\n")...))
				received := h.receivedRequests()
				if test.status != 200 {
					require.Empty(t, received)
					return
				}
				require.Len(t, received, 1)
				require.Empty(t, received[0].Header.Values(platform.HeaderAPIKey))
				require.Equal(t, "yes", received[0].Header.Get("X-Kept"))
				if test.account == "" {
					require.Empty(t, received[0].Header.Values(platform.HeaderAccount))
					return
				}
				require.Equal(t, []string{test.account}, received[0].Header.Values(platform.HeaderAccount))
			})
		})
	}
}

// Guards against a change for deployments without client accounts.
func TestWithoutAccountsHeadersAreForwarded(t *testing.T) {
	testHarness(t, func(t *testing.T, h *harness) {
		h.script(respond(200, "yes"))
		require.Equal(t, 200, h.send(rawRequest("GET", "/safe/x", "api-key: k-1\r\n", "Api-Key: k-2\r\n", "X-Tenant: t\r\n")).StatusCode)
		require.Equal(t, []string{"k-1", "k-2"}, h.receivedRequests()[0].Header.Values(platform.HeaderAPIKey))
		require.Equal(t, []string{"t"}, h.receivedRequests()[0].Header.Values(platform.HeaderAccount))
		h.script(respond(200, "yes"))
		require.Equal(t, 200, h.send(rawRequest("GET", "/safe/x")).StatusCode)
		require.Empty(t, h.receivedRequests()[1].Header.Values(platform.HeaderAccount))
	})
}

// Guards against a configuration that takes effect in part, or ends the one before, although
// its accounts contradict each other, and against a log that shows keys or does not name
// the account.
func TestInvalidAccountsLeaveThePreviousConfigurationInForce(t *testing.T) {
	for _, test := range []struct{ name, account string }{
		{"a key of another account", `{"name":"c","api-keys":["k-b"]}`},
		{"an unknown unit", `{"name":"c","api-keys":["k-c"],"unit":"bytes"}`},
		{"a rate that is no number", `{"name":"c","api-keys":["k-c"],"rate-per-s":"many"}`},
		{"a negative burst", `{"name":"c","api-keys":["k-c"],"burst":-1}`},
		{"an empty key", `{"name":"c","api-keys":["k-c",""]}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			testAccounts(t, func(t *testing.T, h *accountHarness) {
				h.configure(`{"name":"b","api-keys":["k-b","k-new"]}`, test.account)
				time.Sleep(time.Second)
				require.Equal(t, 200, h.withKey("k-a"))
				require.Equal(t, 200, h.withKey("k-b"))
				require.Equal(t, 401, h.withKey("k-new"))
				require.Equal(t, 401, h.withKey("k-c"))
				require.Equal(t, 1, h.log.rows(`msg="invalid configuration"`))
				require.Equal(t, 1, h.log.rows(`account \"c\"`))
				require.Zero(t, h.log.rows("k-"))
				h.configure(`{"name":"b","api-keys":["k-new"]}`)
				time.Sleep(time.Second)
				require.Equal(t, 200, h.withKey("k-new"))
				require.Equal(t, 401, h.withKey("k-a"))
			})
		})
	}
}

// Guards against 401 for a key that was just added, which callers take for final, and
// against 503 for an unknown one while the gateway is in touch with the store.
func TestUnknownKeyAtAnUnconfirmedGatewayMayBeNew(t *testing.T) {
	testAccounts(t, func(t *testing.T, h *accountHarness) {
		for range 100 {
			time.Sleep(70 * time.Millisecond)
			require.Equal(t, 401, h.withKey("k-c"), "at any time between two answers of the store")
		}
		h.store.set(func(s *keyStore) { s.cut, s.silent = true, true })
		h.configure(`{"name":"a","api-keys":["k-a"]}`, `{"name":"c","api-keys":["k-c"]}`)
		acknowledged := time.Now()
		for time.Since(acknowledged) < 20*time.Second {
			time.Sleep(100 * time.Millisecond)
			if time.Since(acknowledged) >= 2*time.Second {
				require.Equal(t, 503, h.withKey("k-c"), "it may be new: %s", time.Since(acknowledged))
			}
			require.Equal(t, 200, h.status("/public/x"))
		}
		res := h.send(rawRequest("GET", "/safe/x", "Api-Key: k-c\r\n"))
		require.Equal(t, 503, res.StatusCode)
		require.NotEmpty(t, res.Header.Get("Retry-After"))
		h.store.set(func(s *keyStore) { s.cut = false })
		time.Sleep(3 * time.Second)
		require.Equal(t, 200, h.withKey("k-c"))
	})
}

// Guards against urgent accounts that wait behind less urgent ones for their routes' ranks.
func TestRankOfTheAccountGoesBeforeThatOfTheRoute(t *testing.T) {
	testAccounts(t, func(t *testing.T, h *accountHarness) {
		var ranks []int
		h.grant = func(_ string, r wire.GrantRequest) wire.GrantReply {
			ranks = append(ranks, r.Rank)
			return wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
		}
		rank := func(key string) int {
			h.script(respondRaw(streamHead + chunk(events(1, 2)) + "0\r\n\r\n"))
			body(t, h.send(rawRequest("POST", "/stream/x", "Content-Length: 0\r\n", "X-Model: m/a1\r\n", "Api-Key: "+key+"\r\n")))
			return ranks[len(ranks)-1]
		}
		require.Equal(t, 2, rank("k-a"), "no account has a rank: that of the route")
		h.configure(`{"name":"a","api-keys":["k-a"],"priority":0}`, `{"name":"b","api-keys":["k-b"],"priority":1}`, `{"name":"c","api-keys":["k-c"]}`, `{"name":"d","api-keys":["k-d"],"priority":3}`, `{"name":"e","api-keys":["k-e"],"priority":-7}`)
		time.Sleep(time.Second)
		require.Less(t, rank("k-a"), rank("k-b"))
		require.Less(t, rank("k-b"), rank("k-c"), "the rank of the route, 2, stands in")
		require.Less(t, rank("k-c"), rank("k-d"))
		require.Equal(t, rank("k-a"), rank("k-e"))
	})
	x := &exchange{g: testGateway(), route: &platform.Route{Rank: 7}}
	require.Equal(t, 7, x.rank())
	c := testConfiguration(2)
	c.Accounts = []platform.Account{{Name: "a", HasRank: true, Rank: 1}}
	_, err := x.g.directory.Update(c)
	require.NoError(t, err)
	ranks := []int{}
	for _, pair := range [][2]int{{0, 0}, {0, 5}, {1, 0}, {1, 5}, {2, -1}, {3, 1 << 40}, {4, 0}, {1 << 40, 0}} {
		x.account, x.route = &platform.Account{HasRank: true, Rank: pair[0]}, &platform.Route{Rank: pair[1]}
		ranks = append(ranks, x.rank())
	}
	require.IsIncreasing(t, ranks)
}

// Guards against a log that callers fill, and against one that shows a key.
func TestRefusedKeysAreLoggedSparingly(t *testing.T) {
	testAccounts(t, func(t *testing.T, h *accountHarness) {
		for range 50 {
			require.Equal(t, 401, h.withKey("k-secret"))
		}
		require.Equal(t, 1, h.log.rows(`msg="refused for its key"`))
		time.Sleep(2 * time.Second)
		require.Equal(t, 401, h.withKey("k-secret"))
		require.Equal(t, 2, h.log.rows(`msg="refused for its key"`))
		require.Equal(t, 1, h.log.rows("rows-left-out=49"))
		require.Zero(t, h.log.rows("k-secret"))
	})
}
