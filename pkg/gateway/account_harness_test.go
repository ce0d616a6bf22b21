package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/follow"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

// revokeTime is the time after which a removed key may be used at no gateway.
const revokeTime = 5 * time.Second

// accountHarness is an agent harness whose gateway follows the configuration of a store.
type accountHarness struct {
	*agentHarness
	store   *keyStore
	log     *syncBuffer
	version uint64
	// suspendedFor is how long the VM was suspended, which no clock of the test counts.
	suspendedFor atomic.Int64
}

// syncBuffer is a log that several goroutines write.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends b.
func (s *syncBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(b)
}

// rows returns the number of rows that contain a text.
func (s *syncBuffer) rows(text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Count(s.b.String(), text)
}

// testAccounts runs a gateway with a configuration of two accounts: a with the keys k-a and
// k-a2, and b with k-b.
func testAccounts(t *testing.T, f func(t *testing.T, h *accountHarness)) {
	t.Helper()
	testRevocation(t, true, f)
}

// testRevocation is testAccounts in a deployment that binds the time of revocation or not.
func testRevocation(t *testing.T, strict bool, f func(t *testing.T, h *accountHarness)) {
	t.Helper()
	testAgentHarness(t, func(t *testing.T, agents *agentHarness) {
		h := &accountHarness{agentHarness: agents, store: &keyStore{Objects: standin.NewObjects(1)}, log: new(syncBuffer), version: 2}
		h.configure(`{"name":"a","api-keys":["k-a","k-a2"]}`, `{"name":"b","api-keys":["k-b"]}`)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		h.node.Bounds.RevokeStrict = strict
		h.follow(ctx)
		time.Sleep(3 * time.Second)
		f(t, h)
	})
}

// follow makes the harness's gateway follow the store's configuration.
func (h *accountHarness) follow(ctx context.Context) {
	bounds := &h.node.Bounds
	bounds.Revoke, bounds.Settled = revokeTime, 3*time.Second
	bounds.Configuration, bounds.Draining, bounds.Version = 2*time.Second, 2*time.Second, 5*time.Second
	h.Log = log.NewLogfmtLogger(log.NewSyncWriter(h.log))
	h.suspended = func() time.Duration { return time.Duration(h.suspendedFor.Load()) }
	go h.followers(h.store.source())[0].Run(ctx)
}

// configure publishes a configuration with accounts in JSON. It is acknowledged when
// configure returns.
func (h *accountHarness) configure(accounts ...string) {
	h.t.Helper()
	h.version++
	route := func(prefix, kind, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":"host.example","path-prefix":%q,"kind":%q,"timeout-ms":10000,"slo-ms":100,"gap-slo-ms":300,"priority":2,"max-attempts":2,"can-resume":true,"service":%q,"public":%t}`, prefix, prefix, kind, service, strings.HasPrefix(prefix, "/public"))
	}
	spec := fmt.Sprintf(`{"version":%d,"routes":[%s],"tenants":[%s],"services":[{"name":"plain"},{"name":"streams","engine":{"slots":8,"kv-capacity-tokens":100000,"mb":1000,"adapter-slots":4,"models":[{"name":"m","mb":900,"adapter-mb":1}]}}]}`,
		h.version, strings.Join([]string{route("/safe/", "safe", "plain"), route("/unsafe/", "unsafe", "plain"), route("/stream/", "streaming", "streams"), route("/public/", "safe", "plain")}, ","), strings.Join(accounts, ","))
	require.NoError(h.t, h.store.Publish(platform.KindConfiguration, platform.ConfigurationName, json.RawMessage(spec)))
}

// status sends a request with header lines and returns the status of its response. Targets
// answer it.
func (h *accountHarness) status(path string, lines ...string) int {
	h.t.Helper()
	h.script(respond(200, "yes"))
	return h.send(rawRequest("GET", path, lines...)).StatusCode
}

// withKey returns the status of a request with a key on a route that needs one.
func (h *accountHarness) withKey(key string) int {
	h.t.Helper()
	return h.status("/safe/x", "Api-Key: "+key+"\r\n")
}

// suspend makes the VM one that has been suspended meanwhile.
func (h *accountHarness) suspend(d time.Duration) { h.suspendedFor.Add(int64(d)) }

// keyStore is a store whose callers can be cut off from it, or get answers of a store
// that is behind.
type keyStore struct {
	*standin.Objects

	mu sync.Mutex
	// cut makes calls fail, after the time that the store may take if silent is set.
	cut, silent bool
	// behind is the answer of a store that is behind, if it is set.
	behind *standinList
	waits  []time.Duration // of the watches
	lists  int
}

// standinList is the answer to a list.
type standinList struct {
	objects  []platform.Object
	position platform.Position
}

// set changes the state of the store.
func (s *keyStore) set(f func(s *keyStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// source returns the store as a follower sees it. Its histories have eras from 1 on.
func (s *keyStore) source() follow.Source {
	return follow.Source{List: s.list, Watch: s.watch}
}

func (s *keyStore) list(kind platform.Kind) ([]platform.Object, platform.Position, error) {
	s.mu.Lock()
	cut, silent, behind := s.cut, s.silent, s.behind
	s.lists++
	s.mu.Unlock()
	if cut {
		if silent {
			time.Sleep(2 * time.Second)
		}
		return nil, platform.Position{}, platform.ErrUnavailable
	}
	if behind != nil {
		return behind.objects, behind.position, nil
	}
	objects, p, err := s.ListKind(kind)
	p.Era++
	return objects, p, err
}

func (s *keyStore) watch(kind platform.Kind, from platform.Position, wait time.Duration) ([]platform.Event, platform.Position, error) {
	s.mu.Lock()
	behind := s.behind
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	if behind != nil {
		time.Sleep(wait)
		return nil, behind.position, nil
	}
	began := time.Now()
	events, p, err := s.WatchKind(kind, from, wait)
	s.mu.Lock()
	cut, silent := s.cut, s.silent
	s.mu.Unlock()
	if cut { // the answer is lost
		if silent {
			time.Sleep(time.Until(began.Add(wait + follow.AnswerTime(3*time.Second))))
		}
		return nil, from, platform.ErrUnavailable
	}
	p.Era++
	return events, p, err
}

// confirm makes a store without objects confirm the gateway's configuration.
func confirm(g *Gateway) {
	ctx, cancel := context.WithCancel(context.Background())
	source := follow.Source{List: func(platform.Kind) ([]platform.Object, platform.Position, error) {
		cancel()
		return nil, platform.Position{Era: 1, Revision: 1}, nil
	}}
	g.followers(source)[0].Run(ctx)
}
