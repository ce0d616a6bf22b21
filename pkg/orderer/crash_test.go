package orderer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// listener is an entry that keeps the crash reports it gets.
type listener struct {
	*link.Conn
	mu      sync.Mutex
	reports []wire.CrashReport
}

func (l *listener) handlers() link.Handlers {
	return link.Handlers{link.KindCrashReport: func(_ context.Context, _ *link.Stream, f link.Frame) error {
		var r wire.CrashReport
		if _, err := r.UnmarshalMsg(f.Body); err != nil {
			return err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.reports = append(l.reports, r)
		return nil
	}}
}

func (l *listener) received() []wire.CrashReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]wire.CrashReport(nil), l.reports...)
}

// connect links a listener to the orderer o.
func connect(t *testing.T, o *Orderer, vm ident.VM) *listener {
	t.Helper()
	l := &listener{}
	l.Conn = connectWith(t, o, vm, l.handlers()).Conn
	return l
}

// connectWith links an entry with the handlers to the orderer o.
func connectWith(t *testing.T, o *Orderer, vm ident.VM, handlers link.Handlers) *listener {
	t.Helper()
	near, far := net.Pipe()
	go func() { _, _ = o.ServeLink(far) }()
	c, err := link.Client(near, link.Identity{Role: wire.RoleEntry, VM: vm, Liveness: link.GrantLiveness}, handlers)
	require.NoError(t, err)
	s, err := c.Open(link.KindEngineSetup, &wire.EngineSetup{Configuration: 1, Instance: "i-1", Slots: 4, KVTokens: 1000, MB: 1000, AdapterSlots: 2})
	require.NoError(t, err)
	s.Close()
	return &listener{Conn: c}
}

func (l *listener) lose(t *testing.T, parts ...ident.PromptPart) {
	t.Helper()
	s, err := l.Open(link.KindRequestLost, &wire.RequestLost{Parts: parts})
	require.NoError(t, err)
	s.Close()
}

// An engine ends while requests wait for their first events: all entries are told the
// parts of their prompts, also those that come later. A lost request without the end of
// its engine, or the planned end of one, is no evidence.
func TestTellsAllEntriesUnderWhichPartsTheEngineEnded(t *testing.T) {
	for _, test := range []struct {
		name     string
		happens  func(e *fakeEngine)
		seen     time.Duration // before the losses are reported
		reported bool
	}{
		{"the engine is gone", func(e *fakeEngine) { e.down = true }, 0, true},
		{"the engine has started again", func(e *fakeEngine) { e.startMS++ }, 0, true},
		{"its new start was seen before", func(e *fakeEngine) { e.startMS++ }, 2 * idlePoll, true},
		{"the engine drains and is gone", func(e *fakeEngine) { e.draining = true }, time.Second, false},
		{"only the connection was lost", func(*fakeEngine) {}, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			testOrdererWith(t, func(t *testing.T, o *Orderer, e *fakeEngine) {
				first, second := connect(t, o, "vm-2"), connect(t, o, "vm-3")
				time.Sleep(time.Second)
				e.mu.Lock()
				test.happens(e)
				e.mu.Unlock()
				time.Sleep(test.seen)
				e.mu.Lock()
				e.down = e.down || e.draining
				e.mu.Unlock()
				first.lose(t, "caller", "bad")
				second.lose(t, "bad")
				time.Sleep(time.Second)
				late := connect(t, o, "vm-4")
				time.Sleep(time.Second)
				for _, l := range []*listener{first, second, late} {
					seen := make(map[ident.PromptPart]bool)
					for _, r := range l.received() {
						require.Equal(t, ident.VM("vm-1"), r.VM)
						require.Equal(t, int64(1), r.StartMS)
						for _, p := range r.Parts {
							seen[p] = true
						}
					}
					require.Equal(t, test.reported, seen["bad"])
					require.Equal(t, test.reported, seen["caller"])
					l.Close()
				}
			})
		})
	}
}

func TestCrashLogIsBounded(t *testing.T) {
	var l crashLog
	for range 10 * maxLosses {
		l.lost(loss{at: time.Now(), startMS: 1, parts: []ident.PromptPart{"p"}})
		l.reported(wire.CrashReport{})
	}
	require.Len(t, l.losses, maxLosses)
	require.Len(t, l.reports, maxCrashReports)
	require.Equal(t, []ident.PromptPart{"p"}, l.take(1, time.Now()))
	require.Empty(t, l.take(1, time.Now()))
}
