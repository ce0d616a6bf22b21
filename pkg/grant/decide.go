package grant

import (
	"slices"
	"sort"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	// redirectWait is the forecast wait above which a request is redirected. It is
	// somewhat longer than loading the adapter on another engine.
	redirectWait = 400 * time.Millisecond
	// replicaRedirectWait is the same limit if the other engine already holds the
	// adapter. Without it all requests for a popular adapter would wait at its first
	// home.
	replicaRedirectWait = 100 * time.Millisecond
)

// Reply is the reply to one request.
type Reply struct {
	ID RequestID
	wire.GrantReply
}

// Order is an order to the engine to load or unload weights.
type Order struct {
	Unload   bool
	Weights  ident.Weights
	Sequence uint64 // number of orders that the engine must have accepted before this one
	Instance ident.Target
	// Displaces says that the order removes or replaces held weights. Such an order
	// is sent only after ObserveRuns has checked the requests that run on the engine.
	Displaces bool
}

// queueAhead describes the requests ahead of a request in the queue.
type queueAhead struct {
	requests     int
	promptTokens int                    // of the requests whose weights are ready
	loads        map[ident.Weights]bool // loads from the weight store that have not started
}

// Decide returns replies to the waiting requests that can be answered now.
func (s *Scheduler) Decide(now time.Time) []Reply {
	s.factor, s.gap = s.newest(now), s.tightestGap()
	s.sort(now)
	var replies []Reply
	var kept []*Request
	ahead := queueAhead{loads: make(map[ident.Weights]bool)}
	for _, req := range s.waiting {
		reply, done := s.decide(req, ahead, now)
		if done {
			if reply.Code != wire.GrantIssued {
				wait := time.Duration(reply.WaitMS) * time.Millisecond
				unserved := !req.HasAlternative || now.Add(wait).After(req.deadline())
				s.shares.leave(req, unserved && reply.Code == wire.GrantBusy, now)
			}
			replies = append(replies, Reply{ID: req.ID, GrantReply: reply})
			continue
		}
		kept = append(kept, req)
		ahead.requests++
		if _, ready := s.ready(req, now); ready {
			if !s.tooLong(req, now) {
				ahead.promptTokens += req.PromptTokens
			}
		} else if !s.hasCopy(req.weights()) && !s.isLoading(req.weights()) {
			ahead.loads[req.weights()] = true
		}
	}
	s.waiting = kept
	return replies
}

// sort orders the waiting requests: those that can still meet their latency
// objective come first, then by priority, then by the number of requests that wait
// for the same weights, then by age. A load that finishes too late for the
// objective would only delay the next one too. Requests of several client accounts are
// then ordered by the accounts' shares. A long prompt that has waited for a pace that lets
// it in is not put behind others any more.
func (s *Scheduler) sort(now time.Time) {
	late := make(map[RequestID]bool, len(s.waiting))
	waiters := make(map[ident.Weights]int)
	for _, req := range s.waiting {
		needs := s.prefillTime(req.PromptTokens)
		if _, ready := s.ready(req, now); !ready {
			needs += s.loadWait(req.weights(), 0, now)
		}
		late[req.ID] = req.objectiveLeft(now) < needs && !s.overdue(req, now)
		if !late[req.ID] {
			waiters[req.weights()]++
		}
	}
	sort.SliceStable(s.waiting, func(i, j int) bool {
		x, y := s.waiting[i], s.waiting[j]
		if late[x.ID] != late[y.ID] {
			return late[y.ID]
		}
		if x.Rank != y.Rank {
			return x.Rank < y.Rank
		}
		if m, n := waiters[x.weights()], waiters[y.weights()]; m != n {
			return m > n
		}
		return x.Enqueued.Before(y.Enqueued)
	})
	s.shares.order(s.waiting, func(r *Request) bool { return late[r.ID] }, now)
}

func (s *Scheduler) decide(req *Request, ahead queueAhead, now time.Time) (wire.GrantReply, bool) {
	if !s.up {
		return wire.GrantReply{Code: wire.GrantUnable, Reason: wire.ReasonEngineDown}, true
	}
	if s.draining {
		return wire.GrantReply{Code: wire.GrantUnable, Reason: wire.ReasonDraining}, true
	}
	if s.tooLarge(req) {
		return wire.GrantReply{Code: wire.GrantUnable, Reason: wire.ReasonTooLarge}, true
	}
	if s.instance == "" {
		return wire.GrantReply{Code: wire.GrantBusy}, now.After(req.deadline())
	}
	version, ready := s.ready(req, now)
	if ready && ahead.promptTokens == 0 && !s.prefersReplica(req, ahead) && s.fits(req, now) && s.limit.Take(now) {
		s.grant(req, now)
		return wire.GrantReply{Code: wire.GrantIssued, Version: version, Instance: s.instance}, true
	}
	f := s.forecast(req, ahead, now)
	if f.redirect && req.HasAlternative || now.Add(f.wait).After(req.deadline()) {
		return wire.GrantReply{Code: wire.GrantBusy, Reason: f.reason, WaitMS: f.wait.Milliseconds()}, true
	}
	return wire.GrantReply{}, false
}

// waitForecast is the estimated wait of a request, its reason, and whether the request
// should be redirected to another engine.
type waitForecast struct {
	wait     time.Duration
	reason   wire.GrantReason
	redirect bool
}

func (s *Scheduler) forecast(req *Request, ahead queueAhead, now time.Time) waitForecast {
	var f waitForecast
	f.wait, f.reason = s.queueWait(req, ahead, now)
	turn := s.limit.Wait(ahead.requests+1, now)
	if turn > f.wait {
		f.wait, f.reason = turn, wire.ReasonRateLimited
	}
	// Redirecting at once still uses up the limit: more requests ask than it allows.
	f.redirect = f.wait > redirectWait || turn > 0
	if s.prefersReplica(req, ahead) {
		// Both engines hold the adapter, so the prefill backlog decides.
		f.redirect = true
		f.wait = max(f.wait, s.prefillTime(s.pendingPrefill+ahead.promptTokens))
	}
	if _, ready := s.ready(req, now); ready {
		f.redirect = f.redirect || s.shouldReadElsewhere(req, now)
		return f
	}
	wait, reason := s.weightsWait(req, len(ahead.loads), now)
	f.redirect = f.redirect || reason != wire.ReasonLoading || s.shouldLoadElsewhere(req, wait, now)
	if wait >= f.wait {
		f.wait, f.reason = wait, reason
	}
	return f
}

// prefersReplica reports whether a request should go to the other engine that holds
// its adapter.
func (s *Scheduler) prefersReplica(req *Request, ahead queueAhead) bool {
	return req.AlternativeHolds && req.HasAlternative && s.prefillTime(s.pendingPrefill+ahead.promptTokens) > replicaRedirectWait
}

// shouldLoadElsewhere reports whether another engine should load the adapter or
// serve the request from the copy it holds. While the weight store is congested, a
// second load of the same adapter only delays all other loads.
func (s *Scheduler) shouldLoadElsewhere(req *Request, wait time.Duration, now time.Time) bool {
	if !s.congested() {
		return wait > req.objectiveLeft(now)
	}
	return req.HeldElsewhere && !s.isLoading(req.weights()) && !s.hasCopy(req.weights())
}

// ready returns the version that the engine holds and reports whether it is the
// requested version or a newer one.
func (s *Scheduler) ready(req *Request, now time.Time) (ident.Version, bool) {
	if !s.serves(req.Model) {
		return 0, false
	}
	if req.Adapter.IsZero() {
		return 0, true
	}
	a := s.held[req.weights().Unversioned()]
	if a == nil || a.version < req.Adapter.Version || a.isUnloading(now) || s.isLoading(req.weights()) || s.isDisplaced(req.weights()) {
		return 0, false
	}
	return a.version, true
}

// serves reports whether new requests for the model may run. An engine that is
// switching to another model only finishes its running requests.
func (s *Scheduler) serves(m ident.Model) bool {
	return s.models[m] && (s.switchTo == "" || s.switchTo == m)
}

// isLoading reports whether any version of the adapter is loading.
func (s *Scheduler) isLoading(w ident.Weights) bool {
	_, loading := s.loading[w.Unversioned()]
	return loading
}

func (s *Scheduler) fits(req *Request, now time.Time) bool {
	if s.saturated(req) {
		return false
	}
	if len(s.running) == 0 {
		return true
	}
	if s.tooLong(req, now) {
		return false
	}
	if s.pendingPrefill > 0 && s.prefillTime(s.pendingPrefill+req.PromptTokens) > s.window {
		return false
	}
	return s.pendingPrefill+s.readLately(now)+req.PromptTokens <= s.prefillBudget(now) || s.pendingPrefill == 0 && s.overdue(req, now)
}

// saturated reports whether the engine lacks a slot or KV cache for the request.
func (s *Scheduler) saturated(req *Request) bool {
	return s.setup.Slots > 0 && len(s.running)+s.foreign >= s.setup.Slots || s.lacksMemory(req)
}

func (s *Scheduler) grant(req *Request, now time.Time) {
	s.servedRate = s.servedRate.add(now)
	s.pendingPrefill += req.PromptTokens
	needs := s.needs(req)
	s.kvTokens += needs
	s.shares.grant(req, now)
	s.running[req.ID] = &runningRequest{Request: req, grantedAt: now, backlog: s.pendingPrefill, needs: needs}
	if a := s.held[req.weights().Unversioned()]; a != nil {
		a.uses++
	}
	s.recordLoad(req, now)
}

// queueWait estimates how long the engine's current and queued work delays the
// request, and returns the reason.
func (s *Scheduler) queueWait(req *Request, ahead queueAhead, now time.Time) (time.Duration, wire.GrantReason) {
	if !s.saturated(req) && s.tooLong(req, now) {
		return max(s.prefillTime(s.pendingPrefill+ahead.promptTokens), slowWait), wire.ReasonLongPrompt
	}
	wait := max(s.prefillTime(s.pendingPrefill+ahead.promptTokens+req.PromptTokens)-s.window, 0)
	if !s.saturated(req) {
		return wait, wire.ReasonPrefill
	}
	// On average one of the running requests ends every runTime/len(running).
	return wait + s.runTime*time.Duration(ahead.requests+1)/time.Duration(max(len(s.running), 1)), wire.ReasonEngineFull
}

// weightsWait estimates how long it takes until the engine holds the request's
// weights, with the given number of loads ahead, and returns the reason. Weights
// that cannot load yet wait for running requests to end.
func (s *Scheduler) weightsWait(req *Request, ahead int, now time.Time) (time.Duration, wire.GrantReason) {
	adapter := s.held[req.weights().Unversioned()]
	switch {
	case !s.serves(req.Model):
		return s.modelWait(req.Model, now), wire.ReasonModelAbsent
	case adapter != nil && (s.inUse(adapter) || adapter.isUnloading(now)):
		return s.runTime, wire.ReasonOldVersionInUse
	case adapter == nil && !s.isLoading(req.weights()) && s.full() && s.victim(now).IsZero():
		return s.runTime, wire.ReasonAdaptersInUse
	}
	return s.loadWait(req.weights(), ahead, now), wire.ReasonLoading
}

// modelWait estimates how long it takes until an absent base model is loaded.
func (s *Scheduler) modelWait(name ident.Model, now time.Time) time.Duration {
	m, ok := s.model(name)
	if !ok {
		return s.runTime
	}
	wait := time.Duration(m.LoadMS) * time.Millisecond
	switch {
	case slices.Contains(s.inMemory, name):
		wait = time.Duration(m.WarmMS) * time.Millisecond
	case slices.Contains(s.onDisk, name):
		wait = time.Duration(m.DiskMS) * time.Millisecond
	}
	if s.busy {
		// Concurrent loads take longer than one, so an overdue load is taken to
		// need another quarter of its usual time.
		wait = max(wait-now.Sub(s.busySince), wait/4)
	}
	return wait
}
