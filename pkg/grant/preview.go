package grant

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Preview returns what Decide would answer now to a request that came next, without any
// effect. The reply has no code if the request would wait, and then the expected wait.
func (s *Scheduler) Preview(r wire.GrantRequest, now time.Time) wire.GrantReply {
	reply, decided := s.clone(now).answer(r, now)
	if decided {
		return reply
	}
	r.MaxWaitMS = 0 // a request that can't wait is told how long it would have to
	reply, _ = s.clone(now).answer(r, now)
	reply.Code = 0
	return reply
}

// answer enqueues a request and reports whether it is replied to at once.
func (s *Scheduler) answer(r wire.GrantRequest, now time.Time) (wire.GrantReply, bool) {
	var id RequestID
	for _, req := range s.waiting {
		id = max(id, req.ID)
	}
	for running := range s.running {
		id = max(id, running)
	}
	id++
	s.Enqueue(&Request{GrantRequest: r, ID: id, Enqueued: now})
	for _, reply := range s.Decide(now) {
		if reply.ID == id {
			return reply.GrantReply, true
		}
	}
	return wire.GrantReply{}, false
}

// clone returns a copy of the scheduler that shares nothing with it which a decision
// changes.
func (s *Scheduler) clone(now time.Time) *Scheduler {
	out := *s
	out.waiting = slices.Clone(s.waiting)
	out.running = maps.Clone(s.running)
	out.held = maps.Clone(s.held)
	for w, a := range out.held {
		held := *a
		out.held[w] = &held
	}
	out.models = maps.Clone(s.models)
	out.loading, out.copies, out.demand = maps.Clone(s.loading), maps.Clone(s.copies), maps.Clone(s.demand)
	out.shares, out.departed = s.shares.clone(), slices.Clone(s.departed)
	out.readings, out.lately = slices.Clone(s.readings), slices.Clone(s.lately)
	out.limit = s.limit.Clone(now)
	return &out
}
