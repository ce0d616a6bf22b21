package grant

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// modelRun is a request at a memoryEngine.
type modelRun struct {
	prompt, output int
	made           int // output tokens so far
}

// memoryEngine holds the tokens of all requests that it was sent, waiting and running, and
// crashes if they exceed its memory.
type memoryEngine struct {
	memory  int
	startMS int64
	runs    map[ident.Attempt]*modelRun
	crashes int
}

func (e *memoryEngine) tokens() int {
	sum := 0
	for _, r := range e.runs {
		sum += r.prompt + r.made
	}
	return sum
}

// step lets each run make some tokens.
func (e *memoryEngine) step(tokens int) {
	for _, r := range e.runs {
		r.made = min(r.made+tokens, r.output)
	}
	if e.tokens() > e.memory {
		e.crashes++
	}
}

func (e *memoryEngine) report() (Report, []Run) {
	var runs []Run
	for id, r := range e.runs {
		runs = append(runs, Run{Attempt: id, Tokens: r.prompt + r.made})
	}
	return Report{StartMS: e.startMS, Models: []ident.Model{model}, Held: []ident.Weights{weightsOf(1, 1)}}, runs
}

// modelEntry is a gateway with the requests that it has asked a grant for.
type modelEntry struct {
	paused  bool
	granted map[RequestID]time.Time // grants that it has not used yet, with their times
	sent    map[RequestID]bool
}

// memoryModel is an engine with its agent and the gateways.
type memoryModel struct {
	engine   *memoryEngine
	sched    *Scheduler
	now      time.Time
	next     RequestID
	entries  []*modelEntry
	requests map[RequestID]*Request
	owner    map[RequestID]*modelEntry
	refused  map[RequestID]wire.GrantReason
}

const modelMemory = 20_000

func newMemoryModel() *memoryModel {
	m := &memoryModel{
		engine: &memoryEngine{memory: modelMemory, startMS: 1, runs: make(map[ident.Attempt]*modelRun)}, now: start,
		requests: make(map[RequestID]*Request), owner: make(map[RequestID]*modelEntry), refused: make(map[RequestID]wire.GrantReason),
	}
	for range 3 {
		m.entries = append(m.entries, newModelEntry())
	}
	m.startAgent()
	m.pass(LostGrace) // nothing is on its way from before
	return m
}

func newModelEntry() *modelEntry {
	return &modelEntry{granted: make(map[RequestID]time.Time), sent: make(map[RequestID]bool)}
}

func (m *memoryModel) startAgent() {
	m.sched = New()
	s := setup(4)
	s.Slots, s.KVTokens = 64, modelMemory
	m.sched.Setup(s)
	m.observe()
}

func (m *memoryModel) observe() {
	r, runs := m.engine.report()
	m.sched.Observe(r, m.now)
	m.sched.ObserveMemory(runs, true, m.now, m.now)
	m.decide()
}

func (m *memoryModel) decide() {
	for _, reply := range m.sched.Decide(m.now) {
		if reply.Code != wire.GrantIssued {
			m.refused[reply.ID] = reply.Reason
			continue
		}
		m.owner[reply.ID].granted[reply.ID] = m.now
	}
}

func (m *memoryModel) ask(e *modelEntry, prompt, output int) RequestID {
	m.next++
	r := request(m.next, 1, m.now)
	r.Attempt, r.PromptTokens, r.OutputTokens, r.MaxWaitMS = ident.Attempt(fmt.Sprint(m.next)), prompt, output, 60_000
	m.requests[m.next], m.owner[m.next] = r, e
	m.sched.Enqueue(r)
	m.decide()
	return m.next
}

// send uses a grant, unless it has lapsed.
func (m *memoryModel) send(e *modelEntry, id RequestID) {
	at := e.granted[id]
	delete(e.granted, id)
	if m.now.Sub(at) > 2*time.Second {
		m.end(id)
		return
	}
	e.sent[id] = true
	r := m.requests[id]
	m.engine.runs[r.Attempt] = &modelRun{prompt: r.PromptTokens, output: r.OutputTokens}
}

func (m *memoryModel) end(id RequestID) {
	m.sched.Withdraw(id, m.now)
	m.decide()
}

// lose makes the agent lose its link to an entry. The requests that were sent run on.
func (m *memoryModel) lose(e *modelEntry) {
	for id := range m.requests {
		if m.owner[id] == e {
			m.sched.Lose(id, m.now)
		}
	}
	m.decide()
}

// pass lets time pass, with a report every half second.
func (m *memoryModel) pass(d time.Duration) {
	for ; d > 0; d -= 500 * time.Millisecond {
		m.now = m.now.Add(min(d, 500*time.Millisecond))
		m.engine.step(10)
		m.observe()
	}
}

// Guards against engines that crash because they hold more than their memory: prompts from
// one token to the largest, entries that die or are paused while their requests run, agents
// that restart beside a full engine, and engines that notice the end of a request late.
func TestRequestsAtAnEngineStayWithinItsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemoryModel()
		for i := range 12 { // more than fit
			e := m.entries[i%len(m.entries)]
			if id := m.ask(e, 2000, 500); !e.granted[id].IsZero() {
				m.send(e, id)
				m.sched.Started(id, 100*time.Millisecond, m.now)
			}
		}
		entry := func(t *rapid.T) *modelEntry { return m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(t, "entry")] }
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				if e := entry(t); !e.paused {
					prompt := rapid.OneOf(rapid.IntRange(1, 10), rapid.IntRange(1, 4000), rapid.IntRange(1, modelMemory+100)).Draw(t, "prompt")
					m.ask(e, prompt, rapid.IntRange(1, 600).Draw(t, "output"))
				}
			},
			"send": func(t *rapid.T) {
				if e := entry(t); !e.paused {
					for id := range e.granted {
						m.send(e, id)
						m.sched.Started(id, 100*time.Millisecond, m.now)
					}
				}
			},
			"end": func(t *rapid.T) {
				e := entry(t)
				for id := range e.sent {
					if !e.paused {
						delete(e.sent, id)
						delete(m.engine.runs, m.requests[id].Attempt)
						m.end(id)
						return
					}
				}
			},
			"abandon, which the engine has not noticed": func(t *rapid.T) {
				e := entry(t)
				for id := range e.sent {
					if !e.paused {
						delete(e.sent, id)
						m.end(id)
						return
					}
				}
			},
			"the engine notices": func(t *rapid.T) {
				for id := range m.engine.runs {
					used := false
					for _, e := range m.entries {
						for own := range e.sent {
							used = used || m.requests[own].Attempt == id
						}
					}
					if !used {
						delete(m.engine.runs, id)
						return
					}
				}
			},
			"the entry dies": func(t *rapid.T) {
				i := rapid.IntRange(0, len(m.entries)-1).Draw(t, "entry")
				m.lose(m.entries[i])
				m.entries[i] = newModelEntry()
			},
			"the entry is paused": func(t *rapid.T) { entry(t).paused = true },
			"the entry goes on": func(t *rapid.T) {
				e := entry(t)
				e.paused = false
				for id := range e.granted {
					m.send(e, id) // at once, before it knows that its link is lost
				}
			},
			"the link of a paused entry is lost": func(t *rapid.T) {
				if e := entry(t); e.paused {
					m.lose(e)
				}
			},
			"the agent restarts": func(t *rapid.T) {
				for _, e := range m.entries {
					clear(e.granted) // void without the link on which they were granted
				}
				clear(m.owner)
				m.startAgent()
			},
			"time passes": func(t *rapid.T) {
				m.pass(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				m.engine.step(0)
				require.Zero(t, m.engine.crashes, "%d tokens of %d", m.engine.tokens(), modelMemory)
				require.GreaterOrEqual(t, m.sched.kvTokens, 0)
				require.GreaterOrEqual(t, m.sched.pendingPrefill, 0)
			},
		})
	})
}

// A link is lost while its request runs for 10 s: before, its memory counted for 3 s only.
func TestRunOfALostLinkCountsUntilItEnds(t *testing.T) {
	m := newMemoryModel()
	lost, other := m.entries[0], m.entries[1]
	m.send(lost, m.ask(lost, 15_000, 600))
	m.lose(lost)
	m.pass(10 * time.Second)
	id := m.ask(other, 10_000, 600)
	require.NotContains(t, other.granted, id)
	tokens, unaccounted := m.sched.Memory()
	require.Equal(t, 15_600, tokens)
	require.Equal(t, 15_600, unaccounted)
	clear(m.engine.runs)
	m.pass(500 * time.Millisecond)
	require.Contains(t, other.granted, id)
}

// The agent restarts beside an engine whose memory is in use.
func TestRestartedAgentCountsTheRunsOfItsEngine(t *testing.T) {
	m := newMemoryModel()
	e := m.entries[0]
	m.send(e, m.ask(e, 15_000, 600))
	m.startAgent()
	id := m.ask(e, 4_000, 600)
	require.NotContains(t, e.granted, id)
	clear(m.engine.runs)
	m.observe()
	require.Contains(t, e.granted, id)
}

// Requests that state no token counts took no memory: an engine got them until its slots
// were full, whatever they held.
func TestRequestsWithoutTokenCountsTakeTheirShare(t *testing.T) {
	for _, test := range []struct {
		name           string
		prompt, output int
		want           int // tokens
	}{
		{"both unknown", 0, 0, modelMemory / 64},
		{"prompt unknown", 0, 10, modelMemory / 64},
		{"output unknown", 1000, 0, 1000 + modelMemory/64},
		{"output unknown, nearly as large as the memory", modelMemory - 1, 0, modelMemory},
		{"negative", -5, -5, modelMemory / 64},
		{"both known", 1, 1, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newMemoryModel()
			e := m.entries[0]
			id := m.ask(e, test.prompt, test.output)
			require.Contains(t, e.granted, id)
			require.Equal(t, test.want, m.sched.kvTokens)
		})
	}
	m := newMemoryModel()
	e := m.entries[0]
	m.ask(e, 0, 0)
	m.engine.runs["1"] = &modelRun{prompt: 19_000}
	m.observe()
	require.Equal(t, 19_000, m.sched.kvTokens, "the engine lists what it really takes")
}

// A request that no engine can hold was granted to an idle engine, which it crashed.
func TestRequestLargerThanTheMemoryIsRefusedAsSuch(t *testing.T) {
	for _, test := range []struct{ prompt, output int }{
		{modelMemory, 1}, {1, modelMemory}, {modelMemory + 1, 0}, {math.MaxInt, math.MaxInt}, {math.MaxInt, 0},
	} {
		m := newMemoryModel()
		id := m.ask(m.entries[0], test.prompt, test.output)
		require.Equal(t, wire.ReasonTooLarge, m.refused[id], "%+v", test)
	}
	m := newMemoryModel()
	require.Contains(t, m.entries[0].granted, m.ask(m.entries[0], modelMemory-1, 1), "the largest")
}

// A request that needs most of the memory is granted once the requests before it have
// ended, although smaller ones keep arriving.
func TestLargestRequestDoesNotStarve(t *testing.T) {
	m := newMemoryModel()
	e := m.entries[0]
	var large RequestID
	for i := range 200 {
		m.ask(e, 2000, 100)
		if i == 20 {
			large = m.ask(e, modelMemory-600, 600)
		}
		for id := range e.granted {
			if id == large {
				return
			}
			m.send(e, id)
			m.sched.Started(id, 100*time.Millisecond, m.now)
		}
		for id := range e.sent {
			delete(e.sent, id)
			delete(m.engine.runs, m.requests[id].Attempt)
			m.end(id)
			break
		}
		m.pass(100 * time.Millisecond)
	}
	require.Fail(t, "not granted")
}
