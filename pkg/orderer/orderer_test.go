package orderer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/grant"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

const loadTime = 250 * time.Millisecond

// fakeEngine is a model engine whose orders take time and whose replies may be lost
// or late.
type fakeEngine struct {
	mu          sync.Mutex
	name        ident.Target
	startMS     int64
	sequence    uint64
	model       bool
	held        map[ident.Adapter]ident.Version
	loading     map[ident.Adapter]ident.Version
	maxAdapters int // maximum of adapters held and loading at once
	unloaded    []ident.Adapter
	runs        []ident.Attempt // running requests in the report
	sendDelay   time.Duration   // time from an order's sending to its execution
	reportDelay time.Duration   // delay of a report, which shows the state at its start
	lostReplies int             // number of replies to lose
	lateOrders  int             // number of orders to execute 3 s later without a reply
	unloadTime  time.Duration   // time that unloads wait for runs to end; the adapter is held meanwhile
	down        bool            // reports fail
	draining    bool
	notice      platform.TargetNotice // in the head of each report
	load        platform.TargetLoad   // in the head of each report
	senders     map[platform.Order]bool
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{name: "i-1", startMS: 1, model: true, held: map[ident.Adapter]ident.Version{}, loading: map[ident.Adapter]ident.Version{}, senders: map[platform.Order]bool{}}
}

func (e *fakeEngine) restart(name ident.Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.name, e.startMS, e.sequence, e.model = name, e.startMS+1, 0, false
	clear(e.held)
	clear(e.loading)
}

func (e *fakeEngine) report() (platform.EngineReport, error) {
	r, err := e.currentReport()
	e.mu.Lock()
	reportDelay := e.reportDelay
	e.mu.Unlock()
	time.Sleep(reportDelay)
	return r, err
}

// currentReport returns the engine's report of its present state.
func (e *fakeEngine) currentReport() (platform.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return platform.EngineReport{}, errors.New("connection refused")
	}
	var runs [][]any
	for _, id := range e.runs {
		runs = append(runs, []any{id, 100, 1, 1})
	}
	body, err := json.Marshal(map[string]any{"born": e.startMS, "seq": e.sequence, "runs": runs, "state": map[bool]string{false: "ready", true: "draining"}[e.draining]})
	if err != nil {
		return platform.EngineReport{}, err
	}
	r, err := platform.ParseReport(body)
	if err != nil {
		return r, err
	}
	r.Notice, r.Load = e.notice, e.load
	if !e.model {
		return r, nil
	}
	m := platform.HeldModel{Name: "m"}
	for a, v := range e.held {
		m.Adapters = append(m.Adapters, ident.AdapterVersion{Adapter: a, Version: v})
	}
	r.Models = []platform.HeldModel{m}
	for a, v := range e.loading {
		r.Pending = append(r.Pending, platform.PendingAdapter{Model: "m", AdapterVersion: ident.AdapterVersion{Adapter: a, Version: v}})
	}
	return r, nil
}

func (e *fakeEngine) send(o platform.Order) (platform.OrderResult, error) {
	e.mu.Lock()
	sendDelay := e.sendDelay
	e.mu.Unlock()
	time.Sleep(sendDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.senders[platform.Order{Holder: o.Holder, FencingToken: o.FencingToken}] = true
	if o.Instance != e.name {
		return platform.OrderOtherInstance, nil
	}
	if e.lateOrders > 0 {
		e.lateOrders--
		time.AfterFunc(3*time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.execute(o)
		})
		return platform.OrderUnanswered, errors.New("no answer")
	}
	result := e.execute(o)
	if e.lostReplies > 0 {
		e.lostReplies--
		return platform.OrderUnanswered, errors.New("answer lost")
	}
	return result, nil
}

// execute executes an order. The caller holds mu.
func (e *fakeEngine) execute(o platform.Order) platform.OrderResult {
	if o.ExpectedSequence != e.sequence {
		return platform.OrderConflict
	}
	e.sequence++
	a := o.Adapter.Adapter
	switch {
	case a == "":
		e.model = true
	case o.Unload && e.unloadTime > 0:
		time.AfterFunc(e.unloadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.held, a)
		})
	case o.Unload:
		delete(e.held, a)
		e.unloaded = append(e.unloaded, a)
	default:
		e.loading[a] = max(o.Adapter.Version, 1)
		e.maxAdapters = max(e.maxAdapters, len(e.held)+len(e.loading))
		startMS := e.startMS
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if v, loading := e.loading[a]; loading && e.startMS == startMS {
				delete(e.loading, a)
				e.held[a] = v
			}
		})
	}
	return platform.OrderAccepted
}

// testOrderer runs an orderer beside a fake engine with two adapter slots. The function
// entry that it passes to f links a new entry.
func testOrderer(t *testing.T, f func(t *testing.T, e *fakeEngine, entry func() *link.Conn)) {
	t.Helper()
	testOrdererWith(t, func(t *testing.T, o *Orderer, e *fakeEngine) {
		var conns []*link.Conn
		f(t, e, func() *link.Conn {
			near, far := net.Pipe()
			go func() { _, _ = o.ServeLink(far) }()
			c, err := link.Client(near, link.Identity{Role: wire.RoleEntry, VM: "vm-2", Liveness: link.GrantLiveness}, nil)
			require.NoError(t, err)
			conns = append(conns, c)
			s, err := c.Open(link.KindEngineSetup, &wire.EngineSetup{
				Configuration: 1, Instance: "i-1", HealthPath: "/health", Slots: 8, KVTokens: 100_000, MB: 100, AdapterSlots: 2,
				Models: []wire.ModelSetup{{Name: "m", MB: 90, AdapterMB: 1}},
			})
			require.NoError(t, err)
			_, _ = s.Receive(t.Context())
			return c
		})
		for _, c := range conns {
			c.Close()
		}
	})
}

// testOrdererWith runs an orderer beside a fake engine.
func testOrdererWith(t *testing.T, f func(t *testing.T, o *Orderer, e *fakeEngine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine()
		o := New(common.Discard(), platform.Node{VM: "vm-1", EngineAddress: "127.0.0.1:1"})
		o.Engine = Engine{Report: e.report, Send: e.send, Identity: func(string) (ident.Target, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.name, nil
		}}
		ctx, cancel := context.WithCancel(t.Context())
		go o.Run(ctx)
		synctest.Wait() // wait for the engine's first report
		f(t, o, e)
		cancel()
		time.Sleep(time.Minute)
	})
}

// readGrant decodes the reply to a grant request.
func readGrant(t *testing.T, f link.Frame) (granted wire.ProcessGrant) {
	t.Helper()
	var err error
	if f.Kind == link.KindProcessGrant {
		_, err = granted.UnmarshalMsg(f.Body)
		require.Equal(t, wire.GrantIssued, granted.Reply.Code)
	} else {
		require.Equal(t, link.KindGrantReply, f.Kind)
		_, err = granted.Reply.UnmarshalMsg(f.Body)
		require.NotEqual(t, wire.GrantIssued, granted.Reply.Code, "the entry is not told the process")
	}
	require.NoError(t, err)
	return granted
}

// requestGrant requests a grant and returns the reply and its stream.
func requestGrant(t *testing.T, c *link.Conn, adapter ident.Adapter) (wire.GrantReply, *link.Stream) {
	t.Helper()
	s, err := c.Open(link.KindGrantRequest, &wire.GrantRequest{
		Model: "m", Adapter: ident.AdapterVersion{Adapter: adapter}, PromptTokens: 100, OutputTokens: 10, MaxWaitMS: 5000, ObjectiveMS: 800,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	f, err := s.Receive(ctx)
	require.NoError(t, err)
	reply := readGrant(t, f).Reply
	return reply, s
}

func TestLoadsAnAbsentAdapter(t *testing.T) {
	testOrderer(t, func(t *testing.T, _ *fakeEngine, entry func() *link.Conn) {
		began := time.Now()
		reply, _ := requestGrant(t, entry(), "a1")
		require.Equal(t, wire.GrantIssued, reply.Code)
		require.Equal(t, ident.Version(1), reply.Version)
		require.Equal(t, 1, reply.LinkedEntries)
		require.Less(t, time.Since(began), loadTime+2*activePoll)
	})
}

// The reply to an order is lost, or the order is executed seconds later, after newer
// ones: the engine never holds more adapters than it has slots, and the adapter is
// loaded.
func TestLostOrLateRepliesNeverOverfillTheEngine(t *testing.T) {
	for _, test := range []struct {
		name                    string
		lostReplies, lateOrders int
	}{
		{"replies lost", 3, 0}, {"executed late", 0, 2}, {"both", 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
				e.lostReplies, e.lateOrders = test.lostReplies, test.lateOrders
				c := entry()
				for _, a := range []ident.Adapter{"a1", "a2", "a3", "a4"} {
					reply, s := requestGrant(t, c, a)
					require.Equal(t, wire.GrantIssued, reply.Code)
					s.Close()
				}
				time.Sleep(5 * time.Second)
				require.LessOrEqual(t, e.maxAdapters, 2)
			})
		})
	}
}

// All orders to an engine carry the same holder and fencing token, across restarts of
// the engine and for all entries.
func TestAllOrdersShareOneFencingToken(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
		_, s := requestGrant(t, entry(), "a1")
		s.Close()
		e.restart("i-2")
		time.Sleep(2 * idlePoll)
		_, s = requestGrant(t, entry(), "a2")
		s.Close()
		require.Equal(t, map[platform.Order]bool{{Holder: "vm-1", FencingToken: fencingToken}: true}, e.senders)
	})
}

// A link is lost while its requests keep running: their adapters stay held for
// grant.LostGrace.
func TestKeepsAdaptersOfALostLink(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
		lost := entry()
		requestGrant(t, lost, "a1")
		requestGrant(t, lost, "a2")
		lost.Close()
		time.Sleep(time.Second)
		began := time.Now()
		reply, _ := requestGrant(t, entry(), "a3")
		require.Equal(t, wire.GrantIssued, reply.Code)
		require.Greater(t, time.Since(began), grant.LostGrace-2*time.Second)
		require.NotEmpty(t, e.unloaded)
	})
}

// The process starts beside an engine that still runs an earlier request: no adapter is
// evicted until that request has ended.
func TestKeepsAdaptersWhileAnEarlierRequestRuns(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
		e.mu.Lock()
		e.held["a1"], e.held["a2"], e.runs = 1, 1, []ident.Attempt{"earlier"}
		e.mu.Unlock()
		time.AfterFunc(2*time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			require.Empty(t, e.unloaded)
			e.runs = nil
		})
		began := time.Now()
		reply, _ := requestGrant(t, entry(), "a3")
		require.Equal(t, wire.GrantIssued, reply.Code)
		require.Greater(t, time.Since(began), 2*time.Second)
	})
}

// An entry abandons a request that started after the newest report, and the engine
// notices only later. The adapter stays held until a report shows that the request has
// ended.
func TestKeepsAdapterOfAnAbandonedRequestUntilReported(t *testing.T) {
	const noticeDelay = 40 * time.Millisecond
	testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
		c := entry()
		for _, a := range []ident.Adapter{"a1", "a2"} {
			_, s := requestGrant(t, c, a)
			s.Close()
		}
		// The request begins between two reports: at the moment of one that report may still
		// show that a2 may be evicted.
		time.Sleep(2*idlePoll + idlePoll/4)
		_, abandoned := requestGrant(t, c, "a1")
		e.mu.Lock()
		e.reportDelay = 10 * time.Millisecond // the next report predates the request
		e.mu.Unlock()
		done := make(chan struct{})
		go func() {
			defer close(done)
			reply, _ := requestGrant(t, c, "a3")
			require.Equal(t, wire.GrantIssued, reply.Code)
		}()
		time.Sleep(e.reportDelay / 2)
		e.mu.Lock()
		e.runs = []ident.Attempt{"abandoned"}
		e.mu.Unlock()
		abandoned.Close()
		_, again := requestGrant(t, c, "a2") // leaves a1 as the only idle adapter
		time.AfterFunc(noticeDelay, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			require.Empty(t, e.unloaded)
			e.runs = nil
		})
		<-done
		again.Close()
		require.Equal(t, []ident.Adapter{"a1"}, e.unloaded)
	})
}

// An engine restarts empty and under a new name that entries do not know.
func TestReloadsARestartedEngine(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
		c := entry()
		_, s := requestGrant(t, c, "a1")
		e.restart("i-2")
		s.Close()
		time.Sleep(2 * idlePoll)
		reply, _ := requestGrant(t, c, "a1")
		require.Equal(t, wire.GrantIssued, reply.Code)
		require.Equal(t, ident.Target("i-2"), reply.Instance)
	})
}

// The process starts beside an engine that replaced another one, and an entry that is
// behind sends the setup of the old one. The engine gets orders under its own name.
func TestServesUnderTheNameOfTheRunningEngine(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
		e.restart("i-2")
		c := entry() // its setup names i-1
		time.Sleep(2 * idlePoll)
		late := entry()
		for _, conn := range []*link.Conn{c, late} {
			reply, s := requestGrant(t, conn, "a1")
			require.Equal(t, wire.GrantIssued, reply.Code)
			require.Equal(t, ident.Target("i-2"), reply.Instance)
			s.Close()
		}
	})
}

// Guards against LIMIT: an engine that answers an unload 202 holds the adapter until its
// runs have ended. The place counted as free, and the next load overfilled the engine.
func TestUnloadThatWaitsForRunsFreesNoPlaceYet(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
		c := entry()
		for _, a := range []ident.Adapter{"a1", "a2"} {
			reply, s := requestGrant(t, c, a)
			require.Equal(t, wire.GrantIssued, reply.Code)
			s.Close()
		}
		e.mu.Lock()
		e.unloadTime = 600 * time.Millisecond
		e.mu.Unlock()
		reply, s := requestGrant(t, c, "a3")
		require.Equal(t, wire.GrantIssued, reply.Code)
		s.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		require.Equal(t, 2, e.maxAdapters)
	})
}

// Found by the soak: an order to unload an idle adapter is on its way to the engine, and a
// request is granted on that adapter, which is then in use when the order arrives. No request
// is granted on it before the order is answered.
func TestNoGrantOnAnAdapterThatIsOrderedAway(t *testing.T) {
	const onItsWay = 50 * time.Millisecond
	for _, test := range []struct {
		name   string
		answer func(e *fakeEngine) // makes the engine answer the order in some way
		after  time.Duration       // how long the request for the adapter waits
	}{
		{"accepted", func(*fakeEngine) {}, onItsWay + loadTime},
		{"not accepted", func(e *fakeEngine) { e.sequence++ }, onItsWay},
		{"the answer is lost", func(e *fakeEngine) { e.lostReplies = 1 }, onItsWay + loadTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
				c := entry()
				for _, a := range []ident.Adapter{"a1", "a2"} {
					reply, s := requestGrant(t, c, a)
					require.Equal(t, wire.GrantIssued, reply.Code)
					s.Close()
					time.Sleep(time.Second)
				}
				e.mu.Lock()
				e.sendDelay = onItsWay
				e.mu.Unlock()
				third, err := c.Open(link.KindGrantRequest, &wire.GrantRequest{Model: "m", Adapter: ident.AdapterVersion{Adapter: "a3"}, PromptTokens: 100, OutputTokens: 10, MaxWaitMS: 5000, ObjectiveMS: 800})
				require.NoError(t, err)
				time.Sleep(onItsWay / 2)
				e.mu.Lock()
				test.answer(e)
				e.mu.Unlock()
				began := time.Now()
				reply, s := requestGrant(t, c, "a1")
				require.Equal(t, wire.GrantIssued, reply.Code)
				require.GreaterOrEqual(t, time.Since(began), test.after/2)
				e.mu.Lock()
				if test.name != "not accepted" {
					require.Equal(t, []ident.Adapter{"a1"}, e.unloaded[:1])
				}
				require.Equal(t, 2, e.maxAdapters)
				e.mu.Unlock()
				s.Close()
				third.Close()
			})
		})
	}
}
