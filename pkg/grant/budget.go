package grant

import (
	"math"
	"time"
)

const (
	// pauseShare is the share of a pause objective that the steps of an event and the
	// prefill between them may take. The rest is for the way to the caller.
	pauseShare = 0.9
	// slowWait is how long a prompt that is too long for the engine's pace waits for
	// the pace to change before it is redirected: half of an interval in which a VM is
	// slow. Loading the adapter elsewhere takes as long and is work for the weight store.
	slowWait = 300 * time.Millisecond
	// redirectReserve is the part of the latency objective that is left for another
	// engine, which may have to load the adapter.
	redirectReserve = 400 * time.Millisecond
	// lastResortShare is the share of the time that a request can wait after which a
	// prompt that is too long runs nevertheless. Each of the running streams would be
	// late because of it, so it takes longer than the request's own objective.
	lastResortShare = 0.5
)

// RecordPace records the pace that the engine states, in percent. It returns false if
// that is no sensible number.
func (s *Scheduler) RecordPace(percent int, now time.Time) bool {
	ok := s.pace.record(percent, now)
	s.factor = s.newest(now)
	return ok
}

// RecordStream records what is known of a granted request whose response has begun: the
// longest allowed pause between two of its events, or 0 if there is none, and the time
// between two events at the usual pace without prompts in between, or 0 if it is unknown.
func (s *Scheduler) RecordStream(id RequestID, gapObjective, eventTime time.Duration) {
	if eventTime > 0 {
		s.eventTime = eventTime
	}
	if run := s.running[id]; run != nil {
		run.gapObjective = gapObjective
	}
}

// prefillBudget returns the number of prompt tokens that may be read at once while streams
// run: what the engine reads, at the highest pace lately, in the part of the tightest
// pause objective that the steps of one event leave. All prompts that are read within
// these steps delay the event. Without a stated pace or objective there is no bound.
func (s *Scheduler) prefillBudget(now time.Time) int {
	if !s.stated {
		return math.MaxInt
	}
	return s.budgetAt(s.highest(now))
}

// budgetAt returns the budget at a pace.
func (s *Scheduler) budgetAt(factor float64) int {
	if s.gap == 0 {
		return math.MaxInt
	}
	left := pauseShare*float64(s.gap) - factor*float64(s.usualEvent())
	return max(int(left/float64(time.Millisecond)*s.prefill.tokensPerMS()/factor), 0)
}

// usualEvent returns the time between two events at the usual pace without prompts in
// between. As long as no gateway has measured it, the part of a first event that is not
// prefill is taken for it.
func (s *Scheduler) usualEvent() time.Duration {
	if s.eventTime > 0 {
		return s.eventTime
	}
	return s.prefill.firstEvent()
}

// readPrompt is a prompt that was read.
type readPrompt struct {
	tokens int
	until  time.Time // when the event that it delays has come
}

// holdRead records that a prompt was read. It delays the event of each running stream
// that is under way, as do the prompts that are read before that event comes.
func (s *Scheduler) holdRead(tokens int, now time.Time) {
	if s.readLately(now); s.stated {
		s.lately = append(s.lately, readPrompt{tokens, now.Add(time.Duration(s.highest(now) * float64(s.usualEvent())))})
	}
}

// readLately returns the number of prompt tokens that delay the events under way.
func (s *Scheduler) readLately(now time.Time) int {
	sum, kept := 0, s.lately[:0]
	for _, r := range s.lately {
		if now.Before(r.until) {
			sum += r.tokens
			kept = append(kept, r)
		}
	}
	s.lately = kept
	return sum
}

// tightestGap returns the least pause objective of the streams that run, or 0 if none has
// one.
func (s *Scheduler) tightestGap() time.Duration {
	var least time.Duration
	for _, r := range s.running {
		if r.gapObjective > 0 && (least == 0 || r.gapObjective < least) {
			least = r.gapObjective
		}
	}
	return least
}

// exceedsBudget reports whether the prompt alone exceeds the budget.
func (s *Scheduler) exceedsBudget(req *Request, now time.Time) bool {
	return s.stated && len(s.running) > 0 && req.PromptTokens > s.prefillBudget(now)
}

// tooLong reports whether the prompt alone exceeds the budget, and is not yet to run
// nevertheless.
func (s *Scheduler) tooLong(req *Request, now time.Time) bool {
	return s.exceedsBudget(req, now) && !s.isLastResort(req, now)
}

// overdue reports whether a prompt that exceeds the budget is to run nevertheless.
func (s *Scheduler) overdue(req *Request, now time.Time) bool {
	return s.isLastResort(req, now) && s.exceedsBudget(req, now)
}

func (s *Scheduler) isLastResort(req *Request, now time.Time) bool {
	wait := req.deadline().Sub(req.Enqueued)
	return now.Sub(req.Enqueued) >= time.Duration(lastResortShare*float64(wait)) || now.Add(slowWait).After(req.deadline())
}

// shouldReadElsewhere reports whether a prompt that is too long to run now should go to
// another engine rather than wait for the pace to change: if the other engine holds the
// adapter, if the engine's average pace is too slow as well, or if later there would be no
// time left to load the adapter elsewhere.
func (s *Scheduler) shouldReadElsewhere(req *Request, now time.Time) bool {
	if !s.tooLong(req, now) {
		return false
	}
	needs := redirectReserve + time.Duration(s.average/s.factor*float64(s.prefillTime(req.PromptTokens)))
	return req.AlternativeHolds || req.PromptTokens > s.budgetAt(s.average) || now.Sub(req.Enqueued) >= slowWait || req.objectiveLeft(now) < needs
}
