package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const model ident.Model = "m"

var start = time.Unix(1_000_000, 0)

func adapterOf(i int, v ident.Version) ident.AdapterVersion {
	return ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprintf("a%d", i)), Version: v}
}

func weightsOf(i int, v ident.Version) ident.Weights {
	return ident.Weights{Model: model, AdapterVersion: adapterOf(i, v)}
}

func setup(places int) wire.EngineSetup {
	return wire.EngineSetup{
		Configuration: 1, Instance: "i-1", Slots: 4, KVTokens: 100_000, MB: 1000, AdapterSlots: places,
		Models: []wire.ModelSetup{{Name: model, MB: 900, AdapterMB: 1}},
	}
}

// bookWith returns the book of an engine that holds the adapters at version 1.
func bookWith(places int, held ...int) *Book {
	b := New()
	b.Setup(setup(places))
	r := Report{Born: 1, Models: []ident.Model{model}}
	for _, i := range held {
		r.Held = append(r.Held, weightsOf(i, 1))
	}
	b.Observe(r, start)
	return b
}

func want(id WantID, adapter int, at time.Time) *Want {
	return &Want{ID: id, Asked: at, GrantWant: wire.GrantWant{
		Model: model, Adapter: adapterOf(adapter, 0), PromptTokens: 100, OutputTokens: 100, WaitMS: 3000, ObjectiveMS: 800,
	}}
}

func TestRequestsForHeldAdaptersAreGrantedAtOnce(t *testing.T) {
	b := bookWith(4, 1)
	b.Ask(want(1, 1, start))
	replies := b.Answer(start)
	require.Len(t, replies, 1)
	require.Equal(t, wire.GrantReply{Code: wire.GrantGiven, Version: 1, Instance: "i-1"}, replies[0].GrantReply)
}

// A skewed demand for more adapters than fit: the least recently used idle one
// makes way, and none that is in use.
func TestAdaptersInUseAreNotUnloaded(t *testing.T) {
	b := bookWith(2, 1, 2)
	b.Ask(want(1, 1, start))
	b.Answer(start)
	b.Ask(want(2, 3, start))
	require.Empty(t, b.Answer(start))
	order, ok := b.Order(start)
	require.True(t, ok)
	require.Equal(t, Order{Unload: true, Weights: weightsOf(2, 0), Instance: "i-1", Displaces: true}, order)
	b.Carried(order, start)
	order, ok = b.Order(start)
	require.True(t, ok)
	require.Equal(t, Order{Weights: weightsOf(3, 0), Sequence: 1, Instance: "i-1"}, order)
}

func TestAllAdaptersInUse(t *testing.T) {
	b := bookWith(1, 1)
	b.Ask(want(1, 1, start))
	b.Answer(start)
	w := want(2, 2, start)
	w.MayGoElsewhere = true
	b.Ask(w)
	replies := b.Answer(start)
	require.Len(t, replies, 1)
	require.Equal(t, wire.GrantBusy, replies[0].Code)
	require.Equal(t, wire.ReasonAdaptersUsed, replies[0].Reason)
	_, ok := b.Order(start)
	require.False(t, ok)
}

// A popular adapter whose prompts come faster than they are read: later ones
// are told at once to go elsewhere.
func TestPromptsBeyondTheReadWindowGoElsewhere(t *testing.T) {
	b := bookWith(4, 1)
	for id := WantID(1); id <= 3; id++ {
		w := want(id, 1, start)
		w.PromptTokens, w.MayGoElsewhere = 6_000, true
		b.Ask(w)
	}
	replies := b.Answer(start)
	require.Len(t, replies, 2, "the second may wait")
	require.Equal(t, wire.GrantGiven, replies[0].Code)
	require.Equal(t, WantID(3), replies[1].ID)
	require.Equal(t, wire.GrantBusy, replies[1].Code)
	require.Equal(t, wire.ReasonReading, replies[1].Reason)
	require.Equal(t, int64(800), replies[1].WaitMS, "18,000 tokens at 15 a ms, less the window of 400 ms")
}

func TestEngineIsNotFilledBeyondItsPlaces(t *testing.T) {
	b := bookWith(4, 1)
	for id := WantID(1); id <= 6; id++ {
		b.Ask(want(id, 1, start))
	}
	require.Len(t, b.Answer(start), 4)
	b.Withdraw(1, start.Add(time.Second))
	require.Len(t, b.Answer(start.Add(time.Second)), 1)
}

// Many cold adapters at once share a store that serves a few at full speed: the
// loads that an engine has under way follow the times that it sees.
func TestLoadsGiveWayWhenTheStoreIsShared(t *testing.T) {
	load := func(b *Book, i int, at time.Time, took time.Duration) {
		b.Ask(want(WantID(i), i, at))
		b.Answer(at)
		o, ok := b.Order(at)
		require.True(t, ok)
		b.Carried(o, at)
		r := Report{Born: 1, Sequence: b.sequence, Models: []ident.Model{model}}
		for j := 10; j <= i; j++ {
			r.Held = append(r.Held, weightsOf(j, 1))
		}
		b.Observe(r, at.Add(took))
		b.Answer(at.Add(took))
		b.Withdraw(WantID(i), at.Add(took))
	}
	b := bookWith(100)
	at := start
	for i := 10; i < 20; i++ {
		took := time.Second
		if i == 10 {
			took = 250 * time.Millisecond // the first shows what the store can do
		}
		load(b, i, at, took)
		at = at.Add(time.Minute)
	}
	require.True(t, b.congested())
	w := want(50, 50, at)
	w.Spare, w.MayGoElsewhere = true, true
	b.Ask(w)
	replies := b.Answer(at)
	require.Len(t, replies, 1, "another engine is to hold it")
	require.Equal(t, wire.GrantBusy, replies[0].Code)
	for i := 20; i < 60; i++ {
		load(b, i, at, 250*time.Millisecond)
		at = at.Add(time.Minute)
	}
	require.False(t, b.congested())
}

// A deployment whose adapters are large: each load takes three times what was
// assumed, also where nobody shares the store.
func TestSlowLoadsAloneAreNoCongestion(t *testing.T) {
	l := newLoads()
	at := start
	for i := range 20 {
		l.arrived(weightsOf(i, 1), flight{since: at}, at.Add(750*time.Millisecond))
		require.False(t, l.congested())
		at = at.Add(time.Second)
	}
	require.True(t, l.mayLoad(weightsOf(50, 1), at))
}

func TestLoadsThatComeTooLateGoLast(t *testing.T) {
	b := bookWith(4)
	old, young := want(1, 1, start), want(2, 2, start.Add(700*time.Millisecond))
	b.Ask(old)
	b.Ask(young)
	now := start.Add(710 * time.Millisecond)
	b.Answer(now)
	o, ok := b.Order(now)
	require.True(t, ok)
	require.Equal(t, weightsOf(2, 0), o.Weights)
}

// After a restart many adapters are missing at once: a popular one goes before
// rare ones that were asked for earlier.
func TestLoadsThatMoreRequestsWaitForGoFirst(t *testing.T) {
	b := bookWith(4)
	b.Ask(want(1, 1, start))
	b.Ask(want(2, 2, start.Add(time.Millisecond)))
	b.Ask(want(3, 2, start.Add(2*time.Millisecond)))
	now := start.Add(3 * time.Millisecond)
	b.Answer(now)
	o, ok := b.Order(now)
	require.True(t, ok)
	require.Equal(t, weightsOf(2, 0), o.Weights)
}

func TestEmptyEngineLoadsItsModelUnasked(t *testing.T) {
	b := New()
	b.Setup(setup(4))
	b.Observe(Report{Born: 1}, start)
	o, ok := b.Order(start)
	require.True(t, ok)
	require.Equal(t, Order{Weights: ident.Weights{Model: model}, Instance: "i-1"}, o)
	b.Carried(o, start)
	_, ok = b.Order(start)
	require.False(t, ok, "one order at a time")
}

// After a restart the model comes from the engine's own disk: requests that can
// wait for it do, and the others are told how long.
func TestWaitForTheBaseModel(t *testing.T) {
	b := New()
	s := setup(4)
	s.Models[0].LoadMS, s.Models[0].DiskMS = 60_000, 2_000
	b.Setup(s)
	b.Observe(Report{Born: 1, OnDisk: []ident.Model{model}}, start)
	o, ok := b.Order(start)
	require.True(t, ok)
	b.Carried(o, start)
	impatient := want(1, 1, start)
	impatient.WaitMS = 1_000
	b.Ask(impatient)
	b.Ask(want(2, 1, start))
	replies := b.Answer(start)
	require.Len(t, replies, 1)
	require.Equal(t, wire.GrantReply{Code: wire.GrantBusy, Reason: wire.ReasonModelAbsent, WaitMS: 2_000}, replies[0].GrantReply)
	later := start.Add(1500 * time.Millisecond)
	b.Ask(&Want{ID: 3, Asked: later, GrantWant: impatient.GrantWant})
	require.Empty(t, b.Answer(later))
}

func TestRestartedEngineIsAskedForItsName(t *testing.T) {
	b := New()
	s := setup(4)
	s.HealthPath = "/health"
	b.Setup(s)
	b.Observe(Report{Born: 1, Sequence: 7, Models: []ident.Model{model}, Held: []ident.Weights{weightsOf(1, 1)}}, start)
	path, due := b.Unidentified()
	require.True(t, due)
	require.Equal(t, "/health", path)
	b.Identify("i-1", 1)
	_, due = b.Unidentified()
	require.False(t, due)
	b.Observe(Report{Born: 2}, start)
	_, due = b.Unidentified()
	require.True(t, due)
	held, _ := b.Holdings()
	require.Zero(t, held)
}

// A newer version is brought once the older one is idle, and requests for it
// wait or go elsewhere until then.
func TestNewVersionWaitsForTheOldOnesRuns(t *testing.T) {
	b := bookWith(4, 1)
	b.Ask(want(1, 1, start))
	b.Answer(start)
	w := want(2, 1, start)
	w.Adapter.Version = 2
	b.Ask(w)
	require.Empty(t, b.Answer(start))
	_, ok := b.Order(start)
	require.False(t, ok)
	b.Withdraw(1, start)
	o, ok := b.Order(start)
	require.True(t, ok)
	require.Equal(t, weightsOf(1, 2), o.Weights)
	b.Carried(o, start)
	late := want(3, 1, start)
	b.Ask(late)
	require.Empty(t, b.Answer(start), "requests for the old version would be refused meanwhile")
}

// Adapters on their way count towards the places beside the versions that they
// replace, which the engine still holds.
func TestReplacementsNeedAPlaceOfTheirOwn(t *testing.T) {
	b := bookWith(2, 1, 2)
	w := want(1, 1, start)
	w.Adapter.Version = 2
	b.Ask(w)
	b.Answer(start)
	o, ok := b.Order(start)
	require.True(t, ok)
	require.Equal(t, Order{Unload: true, Weights: weightsOf(2, 0), Instance: "i-1", Displaces: true}, o)
	b.Carried(o, start)
	o, ok = b.Order(start)
	require.True(t, ok)
	require.Equal(t, weightsOf(1, 2), o.Weights)
	b.Carried(o, start)
	b.Ask(want(2, 3, start))
	b.Answer(start)
	_, ok = b.Order(start)
	require.False(t, ok, "one held and one on its way fill both places")
}

func TestOlderVersionGivesUpTheOnlyPlace(t *testing.T) {
	b := bookWith(1, 1)
	w := want(1, 1, start)
	w.Adapter.Version = 2
	b.Ask(w)
	b.Answer(start)
	o, ok := b.Order(start)
	require.True(t, ok)
	require.Equal(t, Order{Unload: true, Weights: weightsOf(1, 0), Instance: "i-1", Displaces: true}, o)
}

// A process that starts beside a busy engine, or lost an entry, does not know all
// requests: what the engine holds is in use while one runs that was not granted here.
func TestAdaptersOfUnknownRequestsAreNotUnloaded(t *testing.T) {
	b := bookWith(1, 1)
	known := want(1, 1, start)
	known.Attempt = "known"
	b.Ask(known)
	require.Len(t, b.Answer(start), 1)
	b.Displace([]ident.Attempt{"known"}, start)
	require.False(t, b.Pinned())
	b.Withdraw(1, start)
	require.False(t, b.Shows(start), "the engine may run what was just left")
	require.True(t, b.Shows(start.Add(1)))
	b.Ask(want(2, 2, start))
	b.Answer(start)
	o, ok := b.Order(start)
	require.True(t, ok)
	require.Equal(t, Order{Unload: true, Weights: weightsOf(1, 0), Instance: "i-1", Displaces: true}, o)

	b.Displace([]ident.Attempt{"of-before"}, start)
	require.True(t, b.Pinned())
	_, ok = b.Order(start)
	require.False(t, ok)
	elsewhere := want(3, 3, start)
	elsewhere.MayGoElsewhere = true
	b.Ask(elsewhere)
	replies := b.Answer(start)
	require.Len(t, replies, 1)
	require.Equal(t, wire.ReasonAdaptersUsed, replies[0].Reason)

	b.Displace([]ident.Attempt{"of-before"}, start.Add(unknownTime-1))
	require.True(t, b.Pinned())
	b.Displace([]ident.Attempt{"of-before"}, start.Add(unknownTime))
	require.False(t, b.Pinned(), "it cannot run that long")
	b.Displace(nil, start.Add(unknownTime))
	require.False(t, b.Pinned())
}

// simulated is an engine whose loads take a while, and whose answers to orders
// may be lost.
type simulated struct {
	born     int64
	sequence uint64
	held     map[ident.Weights]ident.Version
	flying   map[ident.Weights]ident.Version
}

func (s *simulated) report() Report {
	r := Report{Born: s.born, Sequence: s.sequence, Models: []ident.Model{model}}
	for w, v := range s.held {
		w.Version = v
		r.Held = append(r.Held, w)
	}
	for w, v := range s.flying {
		w.Version = v
		r.Flying = append(r.Flying, w)
	}
	return r
}

func (s *simulated) carry(o Order) bool {
	if o.Sequence != s.sequence {
		return false
	}
	s.sequence++
	key := o.Weights.Unversioned()
	if o.Unload {
		delete(s.held, key)
		return true
	}
	s.flying[key] = max(o.Weights.Version, 1)
	return true
}

// Whatever is asked, granted, lost and restarted: no adapter in use is unloaded,
// no more are loaded than fit, and no request is granted for what is not there.
func TestBookKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const places = 3
		engine := &simulated{born: 1, held: map[ident.Weights]ident.Version{}, flying: map[ident.Weights]ident.Version{}}
		b := New()
		b.Setup(setup(places))
		now := start
		b.Observe(engine.report(), now)
		var next WantID
		asked := map[WantID]*Want{}
		uses := map[WantID]ident.Weights{}
		answer := func() {
			for _, r := range b.Answer(now) {
				w := asked[r.ID]
				delete(asked, r.ID)
				if r.Code != wire.GrantGiven {
					continue
				}
				key := w.weights().Unversioned()
				require.GreaterOrEqual(t, engine.held[key], max(w.Adapter.Version, 1), "granted without the adapter")
				require.NotContains(t, engine.flying, key, "granted while it is replaced")
				uses[r.ID] = key
				require.LessOrEqual(t, len(uses), 4)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				next++
				w := want(next, rapid.IntRange(1, 6).Draw(t, "adapter"), now)
				w.Adapter.Version = ident.Version(rapid.IntRange(0, 2).Draw(t, "version"))
				w.MayGoElsewhere, w.Spare = rapid.Bool().Draw(t, "elsewhere"), rapid.Bool().Draw(t, "spare")
				asked[next] = w
				b.Ask(w)
				answer()
			},
			"end": func(t *rapid.T) {
				for id := range uses {
					delete(uses, id)
					b.Withdraw(id, now)
					break
				}
				answer()
			},
			"order": func(t *rapid.T) {
				o, ok := b.Order(now)
				if !ok {
					return
				}
				key := o.Weights.Unversioned()
				for _, u := range uses {
					require.NotEqual(t, u, key, "order on an adapter in use")
				}
				accepted := engine.carry(o)
				if accepted && rapid.IntRange(0, 3).Draw(t, "answered") > 0 {
					b.Carried(o, now)
				} else {
					b.Observe(engine.report(), now) // no answer: the report tells
				}
				require.LessOrEqual(t, len(engine.held)+len(engine.flying), places, "engine overfilled")
				require.LessOrEqual(t, len(engine.flying), maxFlying)
			},
			"land": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(10, 900).Draw(t, "ms")) * time.Millisecond)
				for key, v := range engine.flying {
					engine.held[key] = v
					delete(engine.flying, key)
					break
				}
				b.Observe(engine.report(), now)
				answer()
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") > 0 {
					return
				}
				*engine = simulated{born: engine.born + 1, held: map[ident.Weights]ident.Version{}, flying: map[ident.Weights]ident.Version{}}
				for id := range uses {
					delete(uses, id)
					b.Withdraw(id, now)
				}
				b.Observe(engine.report(), now)
				answer()
			},
			"": func(t *rapid.T) {
				require.GreaterOrEqual(t, b.tokens, 0)
				require.GreaterOrEqual(t, b.unstarted, 0)
				_, running := b.Counts()
				require.Equal(t, len(uses), running)
			},
		})
	})
}
