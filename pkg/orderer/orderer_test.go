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
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

const loadTime = 250 * time.Millisecond

// engine stands in for a model engine: orders take a while, and their answers may
// be lost or come late.
type engine struct {
	mu       sync.Mutex
	name     ident.Target
	born     int64
	sequence uint64
	model    bool
	held     map[ident.Adapter]ident.Version
	flying   map[ident.Adapter]ident.Version
	most     int // adapters held and on their way at once
	unloaded []ident.Adapter
	runs     []ident.Attempt // that the engine reports
	slow     time.Duration   // of a report, which is as of its begin
	lose     int             // answers to lose
	late     int             // orders to carry out 3 s later, unanswered
	holders  map[platform.Order]bool
}

func newEngine() *engine {
	return &engine{name: "i-1", born: 1, model: true, held: map[ident.Adapter]ident.Version{}, flying: map[ident.Adapter]ident.Version{}, holders: map[platform.Order]bool{}}
}

func (e *engine) restart(name ident.Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.name, e.born, e.sequence, e.model = name, e.born+1, 0, false
	clear(e.held)
	clear(e.flying)
}

func (e *engine) report() (platform.EngineReport, error) {
	r, err := e.now()
	e.mu.Lock()
	slow := e.slow
	e.mu.Unlock()
	time.Sleep(slow)
	return r, err
}

// now is the engine's report as of now.
func (e *engine) now() (platform.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var runs [][]any
	for _, id := range e.runs {
		runs = append(runs, []any{id, 100, 1, 1})
	}
	shown, err := json.Marshal(map[string]any{"born": e.born, "seq": e.sequence, "runs": runs})
	if err != nil {
		return platform.EngineReport{}, err
	}
	r, err := platform.ParseReport(shown)
	if err != nil {
		return r, err
	}
	if !e.model {
		return r, nil
	}
	m := platform.HeldModel{Name: "m"}
	for a, v := range e.held {
		m.Adapters = append(m.Adapters, ident.AdapterVersion{Adapter: a, Version: v})
	}
	r.Models = []platform.HeldModel{m}
	for a, v := range e.flying {
		r.Pending = append(r.Pending, platform.PendingAdapter{Model: "m", AdapterVersion: ident.AdapterVersion{Adapter: a, Version: v}})
	}
	return r, nil
}

func (e *engine) send(o platform.Order) (platform.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holders[platform.Order{Holder: o.Holder, Fence: o.Fence}] = true
	if o.Instance != e.name {
		return platform.OrderOtherInstance, nil
	}
	if e.late > 0 {
		e.late--
		time.AfterFunc(3*time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.carry(o)
		})
		return platform.OrderUnanswered, errors.New("no answer")
	}
	result := e.carry(o)
	if e.lose > 0 {
		e.lose--
		return platform.OrderUnanswered, errors.New("answer lost")
	}
	return result, nil
}

// carry carries an order out. The caller holds mu.
func (e *engine) carry(o platform.Order) platform.OrderResult {
	if o.Expected != e.sequence {
		return platform.OrderConflict
	}
	e.sequence++
	a := o.Adapter.Adapter
	switch {
	case a == "":
		e.model = true
	case o.Unload:
		delete(e.held, a)
		e.unloaded = append(e.unloaded, a)
	default:
		e.flying[a] = max(o.Adapter.Version, 1)
		e.most = max(e.most, len(e.held)+len(e.flying))
		born := e.born
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if v, flies := e.flying[a]; flies && e.born == born {
				delete(e.flying, a)
				e.held[a] = v
			}
		})
	}
	return platform.OrderAccepted
}

// testOrderer runs an orderer beside an engine with two places, and an entry.
func testOrderer(t *testing.T, f func(t *testing.T, e *engine, entry func() *link.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := newEngine()
		o := New(common.Discard(), platform.Node{VM: "vm-1", Engine: "127.0.0.1:1"})
		o.engine = Engine{Report: e.report, Send: e.send, Identity: func(string) (ident.Target, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.name, nil
		}}
		ctx, cancel := context.WithCancel(t.Context())
		go o.Run(ctx)
		synctest.Wait() // the engine's first report is in
		var conns []*link.Conn
		f(t, e, func() *link.Conn {
			near, far := net.Pipe()
			go func() { _, _ = link.Server(far, o.identity(), o.handlers()) }()
			c, err := link.Client(near, link.Identity{Role: wire.RoleEntry, VM: "vm-2", Liveness: link.GrantLiveness}, nil)
			require.NoError(t, err)
			conns = append(conns, c)
			s, err := c.Open(link.KindEngineSetup, &wire.EngineSetup{
				Configuration: 1, Instance: "i-1", HealthPath: "/health", Slots: 8, KVTokens: 100_000, MB: 100, AdapterSlots: 2,
				Models: []wire.ModelSetup{{Name: "m", MB: 90, AdapterMB: 1}},
			})
			require.NoError(t, err)
			_, _ = s.Receive(ctx)
			return c
		})
		cancel()
		for _, c := range conns {
			c.Close()
		}
		time.Sleep(time.Minute)
	})
}

// ask asks for a grant and returns it with its stream.
func ask(t *testing.T, c *link.Conn, adapter ident.Adapter) (wire.GrantReply, *link.Stream) {
	t.Helper()
	s, err := c.Open(link.KindGrantWant, &wire.GrantWant{
		Model: "m", Adapter: ident.AdapterVersion{Adapter: adapter}, PromptTokens: 100, OutputTokens: 10, WaitMS: 5000, ObjectiveMS: 800,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	f, err := s.Receive(ctx)
	require.NoError(t, err)
	var reply wire.GrantReply
	_, err = reply.UnmarshalMsg(f.Body)
	require.NoError(t, err)
	return reply, s
}

func TestAbsentAdapterIsBrought(t *testing.T) {
	testOrderer(t, func(t *testing.T, _ *engine, entry func() *link.Conn) {
		began := time.Now()
		reply, _ := ask(t, entry(), "a1")
		require.Equal(t, wire.GrantGiven, reply.Code)
		require.Equal(t, ident.Version(1), reply.Version)
		require.Equal(t, 1, reply.Entries)
		require.Less(t, time.Since(began), loadTime+2*activePoll)
	})
}

// The answer to an order is lost, or the order is carried out seconds later, after
// newer ones: the engine is not overfilled, and the adapter comes.
func TestOrdersInDoubt(t *testing.T) {
	for _, test := range []struct {
		name       string
		lose, late int
	}{
		{"answers lost", 3, 0}, {"carried out late", 0, 2}, {"both", 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			testOrderer(t, func(t *testing.T, e *engine, entry func() *link.Conn) {
				e.lose, e.late = test.lose, test.late
				c := entry()
				for _, a := range []ident.Adapter{"a1", "a2", "a3", "a4"} {
					reply, s := ask(t, c, a)
					require.Equal(t, wire.GrantGiven, reply.Code)
					s.Close()
				}
				time.Sleep(5 * time.Second)
				require.LessOrEqual(t, e.most, 2)
			})
		})
	}
}

// All orders of an engine come from one holder under one token, over restarts of
// the engine and whichever entry asks.
func TestOneHolderOrders(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *engine, entry func() *link.Conn) {
		_, s := ask(t, entry(), "a1")
		s.Close()
		e.restart("i-2")
		time.Sleep(2 * idlePoll)
		_, s = ask(t, entry(), "a2")
		s.Close()
		require.Equal(t, map[platform.Order]bool{{Holder: "vm-1", Fence: fence}: true}, e.holders)
	})
}

// A link is lost while its requests run on: their adapters stay for a while.
func TestAdaptersOfALostEntryStay(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *engine, entry func() *link.Conn) {
		lost := entry()
		ask(t, lost, "a1")
		ask(t, lost, "a2")
		lost.Close()
		time.Sleep(time.Second)
		began := time.Now()
		reply, _ := ask(t, entry(), "a3")
		require.Equal(t, wire.GrantGiven, reply.Code)
		require.Greater(t, time.Since(began), lossLinger-2*time.Second)
		require.NotEmpty(t, e.unloaded)
	})
}

// A process starts beside an engine that runs a request of before: none of what the
// engine holds makes way until that has ended.
func TestAdaptersOfARequestOfBeforeStay(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *engine, entry func() *link.Conn) {
		e.mu.Lock()
		e.held["a1"], e.held["a2"], e.runs = 1, 1, []ident.Attempt{"of-before"}
		e.mu.Unlock()
		time.AfterFunc(2*time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			require.Empty(t, e.unloaded)
			e.runs = nil
		})
		began := time.Now()
		reply, _ := ask(t, entry(), "a3")
		require.Equal(t, wire.GrantGiven, reply.Code)
		require.Greater(t, time.Since(began), 2*time.Second)
	})
}

// An entry leaves a request that began after the newest report; the engine notices
// later. Its adapter stays until a report shows that it has ended.
func TestAdapterOfARequestThatWasJustLeftStays(t *testing.T) {
	const notices = 40 * time.Millisecond
	testOrderer(t, func(t *testing.T, e *engine, entry func() *link.Conn) {
		c := entry()
		for _, a := range []ident.Adapter{"a1", "a2"} {
			_, s := ask(t, c, a)
			s.Close()
		}
		time.Sleep(2 * idlePoll)
		_, left := ask(t, c, "a1")
		e.mu.Lock()
		e.slow = 10 * time.Millisecond // the next report is of before the request
		e.mu.Unlock()
		done := make(chan struct{})
		go func() {
			defer close(done)
			reply, _ := ask(t, c, "a3")
			require.Equal(t, wire.GrantGiven, reply.Code)
		}()
		time.Sleep(e.slow / 2)
		e.mu.Lock()
		e.runs = []ident.Attempt{"left"}
		e.mu.Unlock()
		left.Close()
		_, again := ask(t, c, "a2") // the only idle one is a1
		time.AfterFunc(notices, func() {
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

// An engine comes back empty and under another name, which entries do not know.
func TestRestartedEngineIsFilledAgain(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *engine, entry func() *link.Conn) {
		c := entry()
		_, s := ask(t, c, "a1")
		e.restart("i-2")
		s.Close()
		time.Sleep(2 * idlePoll)
		reply, _ := ask(t, c, "a1")
		require.Equal(t, wire.GrantGiven, reply.Code)
		require.Equal(t, ident.Target("i-2"), reply.Instance)
	})
}
