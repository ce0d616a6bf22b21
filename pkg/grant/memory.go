package grant

import (
	"math"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// memory tracks what the engine holds beside the running requests. An engine whose
// requests exceed its KV cache crashes, so that what may still run there counts until a
// report no longer lists it.
type memory struct {
	departed       []departure
	departedTokens int
	// foreign is the number of runs that the newest report lists and that are neither
	// running nor departed: they were granted by an earlier process. foreignTokens is
	// what they may need.
	foreign, foreignTokens int
	// largestOutput is the largest output limit that a request has stated.
	largestOutput int
	// firstReport is when this process first had a report of the engine.
	firstReport time.Time
	settling    bool // LostGrace has not passed since
}

// departure is a request that its entry has ended, at the given time. The engine may
// notice that only later.
type departure struct {
	attempt ident.Attempt
	tokens  int
	at      time.Time
}

// Run is a request that the engine lists as running.
type Run struct {
	Attempt ident.Attempt
	Tokens  int // in memory
}

const (
	// LostGrace is how long the grants of a lost link count as in use even if the engine
	// lists no run: the entry may be alive and about to send its request.
	LostGrace = 3 * time.Second
	// settlingReserve is the share of the memory that is left free for LostGrace after
	// this process started. Requests that an earlier process granted may be on their way
	// to the engine.
	settlingReserve = 0.25
	// maxTokens bounds the token counts that a request states, so that sums of them do not
	// overflow.
	maxTokens = 1 << 30
	// defaultShares is the number of requests that are assumed to share the memory of an
	// engine without a number of slots.
	defaultShares = 32
	// minForeignOutput is the least number of output tokens that a run of an earlier
	// process may still add. Requests of the known deployments state up to about 600.
	minForeignOutput = 1024
	// maxForeignShare is the largest share of the memory that is assumed for that.
	maxForeignShare = 1.0 / 16
)

func clampTokens(n int) int { return max(0, min(n, maxTokens)) }

// tooLarge reports whether the engine can never hold the request.
func (s *Scheduler) tooLarge(r *Request) bool {
	return s.setup.KVTokens > 0 && r.kvTokens() > s.setup.KVTokens
}

// needs returns the KV cache that a request may need, in tokens. Counts that it does not
// state are assumed to be those of an average request of a full engine.
func (s *Scheduler) needs(r *Request) int {
	share := s.setup.KVTokens / defaultShares
	if s.setup.Slots > 0 {
		share = s.setup.KVTokens / s.setup.Slots
	}
	n := r.kvTokens()
	switch {
	case r.PromptTokens == 0:
		n = max(n, share)
	case r.OutputTokens == 0:
		n += min(minForeignOutput, share)
	}
	return max(min(n, s.setup.KVTokens), r.kvTokens())
}

// lacksMemory reports whether the engine lacks KV cache for the request.
func (s *Scheduler) lacksMemory(r *Request) bool {
	if s.setup.KVTokens <= 0 {
		return false
	}
	capacity := s.setup.KVTokens
	if s.settling {
		capacity -= int(settlingReserve * float64(capacity))
	}
	return s.kvTokens+s.departedTokens+s.foreignTokens+s.needs(r) > capacity
}

// depart records that a running request has ended at its entry.
func (s *Scheduler) depart(r *runningRequest, now time.Time) {
	s.departed = append(s.departed, departure{attempt: r.Attempt, tokens: r.needs, at: now})
	s.departedTokens += r.needs
}

// Lose ends a request whose link was lost. If it was granted, it counts as running for
// LostGrace, and from then on until the engine does not list it.
func (s *Scheduler) Lose(id RequestID, now time.Time) {
	if r := s.running[id]; r != nil {
		r.lostAt = now
		return
	}
	s.Withdraw(id, now)
}

// ObserveMemory updates what the engine holds from the runs that its report lists, if they
// are known. The report was requested at the given time.
func (s *Scheduler) ObserveMemory(runs []Run, known bool, reported, now time.Time) {
	if s.firstReport.IsZero() {
		s.firstReport = reported
	}
	s.settling = reported.Sub(s.firstReport) < LostGrace
	listed := make(map[ident.Attempt]int, len(runs))
	for _, run := range runs {
		listed[run.Attempt] = clampTokens(run.Tokens)
	}
	unnamed := s.observeRunning(listed, known, reported, now)
	s.observeDeparted(listed, reported)
	s.foreign, s.foreignTokens = 0, 0
	for _, tokens := range listed {
		if unnamed > 0 {
			unnamed--
			continue
		}
		s.foreign++
		s.foreignTokens += tokens + s.foreignOutput()
	}
}

// observeRunning removes the running requests from the listed runs, ends lost ones that no
// longer run, and returns the number of requests without an ID.
func (s *Scheduler) observeRunning(listed map[ident.Attempt]int, known bool, reported, now time.Time) (unnamed int) {
	for id, r := range s.running {
		tokens, runs := listed[r.Attempt]
		if r.Attempt == "" {
			runs = false
			unnamed++
		}
		if tokens > r.needs && runs {
			s.kvTokens += tokens - r.needs
			r.needs = tokens
		}
		if runs {
			delete(listed, r.Attempt)
		}
		switch {
		case r.lostAt.IsZero() || reported.Sub(r.lostAt) < LostGrace:
		case runs, !known && now.Sub(r.lostAt) < maxUnknownTime:
			s.markStarted(r, now) // its prompt has been read, or is no longer waited for
		default:
			s.end(id, r, now)
		}
	}
	return unnamed
}

// observeDeparted forgets the departed requests that the report no longer lists, and
// removes the others from the listed runs.
func (s *Scheduler) observeDeparted(listed map[ident.Attempt]int, reported time.Time) {
	kept := s.departed[:0]
	s.departedTokens = 0
	for _, d := range s.departed {
		_, runs := listed[d.attempt]
		if !runs && d.at.Before(reported) {
			continue
		}
		delete(listed, d.attempt)
		kept = append(kept, d)
		s.departedTokens += d.tokens
	}
	s.departed = kept
}

// foreignOutput returns how many tokens a run of an earlier process may still add.
func (s *Scheduler) foreignOutput() int {
	return max(minForeignOutput, min(s.largestOutput, int(maxForeignShare*float64(s.setup.KVTokens))))
}

// Memory returns the tokens of KV cache that requests may need, and how many of these
// belong to runs that no entry accounts for any more.
func (s *Scheduler) Memory() (tokens, unaccounted int) {
	lost := 0
	for _, r := range s.running {
		if !r.lostAt.IsZero() {
			lost += r.needs
		}
	}
	return min(s.kvTokens+s.departedTokens+s.foreignTokens, math.MaxInt32), lost + s.foreignTokens
}
