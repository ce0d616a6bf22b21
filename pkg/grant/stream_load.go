package grant

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// StreamLoad is the load of the engine while a request runs, which explains its pauses.
// It is recorded on engines that state a pace.
type StreamLoad struct {
	Attempt       ident.Attempt
	PeakPace      float64 // highest pace when a prompt was let in, with 1 for the usual one
	PeakRunning   int
	PeakPrefill   int // most prompt tokens that one event could wait for
	LargestPrompt int // let in while the request ran
	// TokensPerMS is the learned speed of prefill at the usual pace, EventTime the time of
	// an event without prompts, and Window the time of prefill that may be let in at once.
	TokensPerMS float64
	EventTime   time.Duration
	Window      time.Duration
}

// recordLoad records for each running request that a prompt was let in.
func (s *Scheduler) recordLoad(req *Request, now time.Time) {
	if !s.stated {
		return
	}
	factor, prefill := s.highest(now), s.pendingPrefill+s.readLately(now)
	for id, r := range s.running {
		l := &r.load
		l.PeakPace, l.PeakRunning, l.PeakPrefill = max(l.PeakPace, factor), max(l.PeakRunning, len(s.running)), max(l.PeakPrefill, prefill)
		if id != req.ID {
			l.LargestPrompt = max(l.LargestPrompt, req.PromptTokens)
		}
	}
}

// StreamLoad returns the load of the engine while a granted request ran so far.
func (s *Scheduler) StreamLoad(id RequestID) (StreamLoad, bool) {
	r := s.running[id]
	if r == nil {
		return StreamLoad{}, false
	}
	l := r.load
	l.Attempt, l.TokensPerMS, l.EventTime, l.Window = r.Attempt, s.prefill.tokensPerMS(), s.usualEvent(), s.window
	return l, true
}
