package gateway

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/origin"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

const streamModel ident.Model = "m"

// agentHarness is a harness whose stream targets are engines with an agent each.
type agentHarness struct {
	*harness
	// grant decides each grant request. It may sleep.
	grant func(address string, r wire.GrantRequest) wire.GrantReply
	// lost is called for each request that is reported as lost, if it is set.
	lost func(c *link.Conn, address string, r wire.RequestLost)
	// runs answers whether the engine of an agent runs a request. Without it none does.
	runs func(address string) wire.RunReply
	// silent makes the agents leave questions about runs without any sign of life.
	silent bool

	mu       sync.Mutex
	origins  map[string]*origin.Table // by the address of the agent
	links    []*link.Conn
	ended    bool     // the test has ended: its agents accept no further links
	requests []string // addresses of the agents that were asked, in order
	startMS  int64    // of the engines, as their agents know it; 0 if they do not tell
	paces    []wire.PaceReport
	kinds    []link.Kind // of the frames that came on the streams of grants
	open     int         // grants that have not ended
}

func testAgentHarness(t *testing.T, f func(t *testing.T, h *agentHarness)) {
	t.Helper()
	testHarness(t, func(t *testing.T, plain *harness) {
		h := &agentHarness{harness: plain, grant: func(string, wire.GrantRequest) wire.GrantReply {
			return wire.GrantReply{Code: wire.GrantIssued, LinkedEntries: 1}
		}}
		h.agents.pool.Dial = h.dialAgent
		c := testConfiguration(2)
		s := c.Services[streamService]
		s.Engine = &platform.EngineSpec{Slots: 8, KVTokens: 100_000, MB: 1000, AdapterSlots: 4, TokensPerEvent: 1, Models: []platform.ModelSpec{{Name: streamModel, MB: 900, AdapterMB: 1}}}
		c.Services[streamService] = s
		h.directory.Update(c)
		defer h.end()
		f(t, h)
	})
}

func (h *agentHarness) dialAgent(_ context.Context, address string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		c, err := link.Server(far, link.Identity{Role: wire.RoleAgent, VM: "vm-2", Liveness: link.GrantLiveness}, link.Handlers{
			link.KindEngineSetup: func(context.Context, *link.Stream, link.Frame) error { return nil },
			link.KindGrantRequest: func(ctx context.Context, s *link.Stream, f link.Frame) error {
				var r wire.GrantRequest
				_, err := r.UnmarshalMsg(f.Body)
				require.NoError(h.t, err)
				return h.serveGrant(ctx, s, r, address)
			},
			link.KindAccountGrantRequest: func(ctx context.Context, s *link.Stream, f link.Frame) error {
				var r wire.AccountGrantRequest
				_, err := r.UnmarshalMsg(f.Body)
				require.NoError(h.t, err)
				return h.serveGrant(ctx, s, r.Request, address)
			},
			link.KindRequestLost: func(_ context.Context, s *link.Stream, f link.Frame) error {
				var r wire.RequestLost
				_, err := r.UnmarshalMsg(f.Body)
				if h.lost != nil {
					h.lost(s.Conn(), address, r)
				}
				return err
			},
			link.KindStreamOrigin: func(_ context.Context, _ *link.Stream, f link.Frame) error {
				var r wire.StreamOrigin
				_, err := r.UnmarshalMsg(f.Body)
				h.originsAt(address).Record(origin.Stream{Account: r.Account, Attempt: r.Attempt}, r.Software, time.Duration(r.TTLMS)*time.Millisecond, time.Now())
				return err
			},
			link.KindOriginQuery: func(ctx context.Context, s *link.Stream, f link.Frame) error {
				if h.silent {
					<-ctx.Done()
					return nil
				}
				var q wire.OriginQuery
				if _, err := q.UnmarshalMsg(f.Body); err != nil {
					return err
				}
				software, known := h.originsAt(address).Find(origin.Stream{Account: q.Account, Attempt: q.Attempt}, time.Now())
				return s.Send(link.KindOriginReply, &wire.OriginReply{Known: known, Software: software})
			},
			link.KindRunQuery: func(ctx context.Context, s *link.Stream, _ link.Frame) error {
				if h.silent {
					<-ctx.Done()
					return nil
				}
				if err := s.Conn().Ping(); err != nil {
					return err
				}
				reply := wire.RunReply{Known: true}
				if h.runs != nil {
					reply = h.runs(address)
				}
				return s.Send(link.KindRunReply, &reply)
			},
		})
		if err == nil {
			h.accepted(c)
		}
	}()
	return near, nil
}

func (h *agentHarness) serveGrant(ctx context.Context, s *link.Stream, r wire.GrantRequest, address string) error {
	h.mu.Lock()
	h.requests = append(h.requests, address)
	h.open++
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.open--
	}()
	if err := s.Conn().Ping(); err != nil {
		return err
	}
	reply := h.grant(address, r)
	if err := h.sendReply(s, reply); err != nil {
		return err
	}
	for {
		f, err := s.Receive(ctx)
		if err != nil {
			return nil // the request has ended
		}
		h.mu.Lock()
		h.kinds = append(h.kinds, f.Kind)
		if f.Kind == link.KindPaceReport {
			var r wire.PaceReport
			_, err := r.UnmarshalMsg(f.Body)
			require.NoError(h.t, err)
			h.paces = append(h.paces, r)
		}
		h.mu.Unlock()
	}
}

// sendReply answers a grant request as an agent does that tells the engine's process or not.
func (h *agentHarness) sendReply(s *link.Stream, reply wire.GrantReply) error {
	h.mu.Lock()
	startMS := h.startMS
	h.mu.Unlock()
	if startMS == 0 {
		return s.Send(link.KindGrantReply, &reply)
	}
	return s.Send(link.KindProcessGrant, &wire.ProcessGrant{Reply: reply, StartMS: startMS})
}

// originsAt returns what the agent at an address knows of streams.
func (h *agentHarness) originsAt(address string) *origin.Table {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.origins == nil {
		h.origins = make(map[string]*origin.Table)
	}
	if h.origins[address] == nil {
		h.origins[address] = origin.NewTable()
	}
	return h.origins[address]
}

// accepted keeps the link that an agent has accepted. One whose handshake ends only after
// the test is closed, since a bubble can't end with a link open.
func (h *agentHarness) accepted(c *link.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		c.Close()
		return
	}
	h.links = append(h.links, c)
}

// end closes all links, and those that are being set up.
func (h *agentHarness) end() {
	h.cutLinks()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
}

// cutLinks closes the links to all agents.
func (h *agentHarness) cutLinks() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.links {
		c.Close()
	}
	h.links = nil
}

// grantRequests returns the number of grant requests so far.
func (h *agentHarness) grantRequests() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.requests)
}

// linkCount returns the number of links that agents have accepted.
func (h *agentHarness) linkCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links)
}

// openGrants returns the number of grants that have not ended.
func (h *agentHarness) openGrants() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

// streamRequest is a request for an adapter of streamModel.
func streamRequest(path string) string {
	return rawRequest("POST", path, "Content-Length: 0\r\n", "X-Model: m/a1\r\n", "X-Token-Count: 100,10\r\n")
}
