// Package grant schedules the requests of one engine: it decides which requests
// may be sent to the engine and which models and adapters the engine loads. It
// does no I/O, and callers pass in the current time.
//
// It handles five load patterns:
//   - Many rare adapters compete for few slots. Adapters in use are pinned, and
//     the least recently used idle adapter is evicted first.
//   - Prompts for a popular adapter arrive faster than one engine can prefill
//     them. A wait forecast redirects the later ones to another engine at once.
//   - More requests arrive than fit the engine's slots or memory. They queue
//     here in priority order, where they can still be refused as not run.
//   - A client account sends many times its usual load. The queue is shared by what
//     the accounts are entitled to, so that the others are served as before.
//   - An engine in need states that it takes fewer requests than arrive. It is used
//     up to its limit, and the other requests go to other engines at once.
package grant

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/ratelimit"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// RequestID identifies a request within one Scheduler.
type RequestID uint64

// Request is a request for a grant to send one inference request to the engine.
type Request struct {
	wire.GrantRequest
	ID       RequestID
	Enqueued time.Time
	// Account is the client account of the request, empty if there is none, and Weight
	// what it is entitled to, relative to other accounts.
	Account ident.Account
	Weight  float64
}

func (r *Request) weights() ident.Weights {
	return ident.Weights{Model: r.Model, AdapterVersion: r.Adapter}
}

// kvTokens returns the KV cache that the request may need, in tokens.
func (r *Request) kvTokens() int { return r.PromptTokens + r.OutputTokens }

// deadline returns the time after which a grant is of no use to the request.
func (r *Request) deadline() time.Time {
	return r.Enqueued.Add(time.Duration(r.MaxWaitMS) * time.Millisecond)
}

// objectiveLeft returns the time left to the request's latency objective.
func (r *Request) objectiveLeft(now time.Time) time.Duration {
	return time.Duration(r.ObjectiveMS)*time.Millisecond - now.Sub(r.Enqueued)
}

// runningRequest is a granted request.
type runningRequest struct {
	*Request
	grantedAt time.Time
	backlog   int // prompt tokens to prefill before its first event, including its own
	started   bool
	// gapObjective is the longest allowed pause between two of its events; 0 if none or
	// unknown.
	gapObjective time.Duration
	needs        int       // tokens of KV cache
	lostAt       time.Time // when its link was lost; zero if it was not
	load         StreamLoad
}

// heldAdapter is an adapter that the engine holds.
type heldAdapter struct {
	version ident.Version
	uses    int
	lastUse time.Time
	// unloadingSince is when the engine began to unload it, or zero. It still takes a
	// place until its runs have ended.
	unloadingSince time.Time
}

// Scheduler tracks the state of one engine and the requests that wait for it or
// run on it.
type Scheduler struct {
	setup wire.EngineSetup
	// instance is the engine's instance name, as last reported by entries or by
	// the engine itself. It is empty while unknown.
	instance          ident.Target
	identifiedStartMS int64 // startMS (Unix ms) of the engine process that last reported its name
	startMS           int64
	// displacing is the adapter that an unanswered order displaces.
	displacing ident.Weights
	up         bool
	draining   bool // the engine is about to leave
	// unknownSince is the time since which the engine runs requests that were not
	// granted here, or zero if there are none. unknownLastSeen is the time at which
	// such requests were last seen.
	unknownSince, unknownLastSeen time.Time
	// lastEnd is the time at which a granted request last ended.
	lastEnd time.Time
	models  map[ident.Model]bool
	// onDisk and inMemory list the models whose weights the engine has cached.
	onDisk, inMemory []ident.Model
	held             map[ident.Weights]*heldAdapter // keyed by unversioned weights
	busy             bool                           // a model is being loaded or unloaded
	// busySince is the time at which the engine became busy.
	busySince time.Time
	// sequence is the number of orders that the engine has accepted since it started.
	sequence uint64

	waiting []*Request
	running map[RequestID]*runningRequest
	usage
	speed
	pacing
	pace
	prefill prefillModel
	gap     time.Duration // tightest pause objective of the running streams; 0 if none
	// lately are the prompts that were read within the time of an event.
	lately []readPrompt
	// eventTime is the time between two events at the usual pace without prompts in
	// between, as gateways measure it; 0 if unknown.
	eventTime time.Duration
	loads
	modelSwitch
	// limit is the rate limit that the engine states. It counts grants, since each is
	// for one send.
	limit ratelimit.Limiter
	// shares holds what client accounts use of the engine.
	shares shares
	memory
}

// usage holds totals over the granted requests.
type usage struct {
	kvTokens       int // KV cache that they may need, in tokens
	pendingPrefill int // prompt tokens not yet prefilled
}

// New returns a scheduler that knows nothing about its engine yet.
func New() *Scheduler {
	s := &Scheduler{running: make(map[RequestID]*runningRequest), shares: newShares(), speed: newSpeed(), pacing: newPacing(), prefill: newPrefillModel(), loads: newLoads()}
	s.reset()
	return s
}

// reset clears the recorded state of the engine.
func (s *Scheduler) reset() {
	s.models = make(map[ident.Model]bool)
	s.held = make(map[ident.Weights]*heldAdapter)
	clear(s.loading)
	s.busy = false
	s.sequence = 0
}

// Setup applies the engine's configuration unless it is older than the current one.
// The name that the running engine has reported itself takes precedence over the
// setup's: an entry that is behind may send that of an engine that has left.
// It reports whether it has renamed the engine or applied its first setup.
func (s *Scheduler) Setup(setup wire.EngineSetup) bool {
	instance, first := s.instance, s.setup.Instance == ""
	if s.instance == "" || setup.Instance != s.setup.Instance && !s.identified() {
		s.instance = setup.Instance
	}
	if setup.Configuration >= s.setup.Configuration || setup.Instance != s.setup.Instance {
		s.setup = setup
	}
	return first || s.instance != instance
}

// Unidentified reports whether the engine has restarted since it last reported
// its name, and returns the path of the health check that reports it.
func (s *Scheduler) Unidentified() (path string, ok bool) {
	return s.setup.HealthPath, s.up && s.setup.HealthPath != "" && !s.identified()
}

// identified reports whether the running engine has reported its name.
func (s *Scheduler) identified() bool { return s.identifiedStartMS == s.startMS && s.startMS != 0 }

// Identify records the name that the engine process with the given start time
// reported.
func (s *Scheduler) Identify(instance ident.Target, startMS int64) {
	s.instance, s.identifiedStartMS = instance, startMS
}

// Instance returns the engine's instance name, or an empty name while it is unknown.
func (s *Scheduler) Instance() ident.Target { return s.instance }

// SetDraining records whether the engine is about to leave.
func (s *Scheduler) SetDraining(draining bool) { s.draining = draining }

// SetLimit sets the rate limit that the engine states, in requests per second.
func (s *Scheduler) SetLimit(perSecond float64, now time.Time) { s.limit.Set(perSecond, now) }

// Limit returns the rate limit that the engine states, if any.
func (s *Scheduler) Limit() (perSecond float64, limited bool) { return s.limit.PerSecond() }

// ClearLimit records that the engine states no rate limit.
func (s *Scheduler) ClearLimit() { s.limit.Clear() }

// TakePermit takes one request that needs no grant off the engine's rate limit, if the
// limit allows it within maxWait. It returns how long to wait, and whether it did.
func (s *Scheduler) TakePermit(maxWait time.Duration, now time.Time) (wait time.Duration, taken bool) {
	return s.limit.TakeWithin(maxWait, now)
}

// Idle reports whether no request waits and no load or unload is in progress, so
// that the engine can be polled less often.
func (s *Scheduler) Idle() bool { return len(s.waiting) == 0 && len(s.loading) == 0 && !s.busy }

// Enqueue adds a request. Decide replies to it.
func (s *Scheduler) Enqueue(req *Request) {
	if req.MaySwitchModel && !s.models[req.Model] {
		s.recordDemand(req.Model, req.Enqueued)
	}
	req.PromptTokens, req.OutputTokens = clampTokens(req.PromptTokens), clampTokens(req.OutputTokens)
	s.largestOutput = max(s.largestOutput, req.OutputTokens)
	s.shares.enter(req)
	s.waiting = append(s.waiting, req)
}

// Withdraw removes a waiting request or ends a granted one.
func (s *Scheduler) Withdraw(id RequestID, now time.Time) {
	for i, req := range s.waiting {
		if req.ID == id {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.shares.leave(req, !req.HasAlternative, now)
			return
		}
	}
	r := s.running[id]
	if r == nil {
		return
	}
	s.recordRun(now.Sub(r.grantedAt))
	s.depart(r, now)
	s.end(id, r, now)
}

// end removes a running request.
func (s *Scheduler) end(id RequestID, r *runningRequest, now time.Time) {
	s.markStarted(r, now)
	s.lastEnd = now
	s.kvTokens -= r.needs
	s.shares.end(r.Request)
	delete(s.running, id)
	if a := s.held[r.weights().Unversioned()]; a != nil {
		a.uses--
		a.lastUse = now
	}
}

// Started records that a granted request returned its first event, with the given
// delay after it was sent.
func (s *Scheduler) Started(id RequestID, delay time.Duration, now time.Time) {
	if r := s.running[id]; r != nil && !r.started {
		s.recordPrefill(r.backlog, delay)
		if s.stated {
			s.prefill.record(r.backlog, time.Duration(float64(delay)/s.factor))
		}
		s.markStarted(r, now)
	}
}

func (s *Scheduler) markStarted(r *runningRequest, now time.Time) {
	if !r.started {
		r.started = true
		s.pendingPrefill -= r.PromptTokens
		s.holdRead(r.PromptTokens, now)
	}
}

// AdapterCounts returns the number of adapters that are held and that are loading.
func (s *Scheduler) AdapterCounts() (held, loading int) { return len(s.held), len(s.loading) }

// RequestCounts returns the number of waiting and running requests.
func (s *Scheduler) RequestCounts() (waiting, running int) { return len(s.waiting), len(s.running) }
