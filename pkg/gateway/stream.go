package gateway

import (
	"bytes"
	"io"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
)

const (
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// pauseFactor is the number of a route's longest allowed pauses after which
	// a stream that can go on elsewhere counts as stuck; callers leave after
	// eight.
	pauseFactor = 4
	minPause    = 800 * time.Millisecond
)

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// stream passes a target's events on as they come, and only whole ones, so that
// another target can go on after the last.
func (x *exchange) stream(s *seat, a *forward.Answer, sent time.Time) outcome {
	first := true
	timing := streamTiming{granted: sent.Sub(x.began)}
	last := sent
	pending := make([]byte, 0, streamBufferBytes)
	for {
		a.SetReadDeadline(x.pauseEnd())
		pending = grow(pending)
		n, err := a.Read(pending[len(pending):cap(pending)])
		pending = pending[:len(pending)+n]
		whole := wholeEvents(pending)
		if err == io.EOF {
			whole = len(pending)
		}
		if whole > 0 {
			if first {
				s.started(time.Since(sent))
				timing.first = time.Since(sent)
				x.g.meters.grantWait.RecordDuration(timing.granted)
				x.g.meters.firstEvent.RecordDuration(timing.first)
				first = false
			} else {
				timing.pause = max(timing.pause, time.Since(last))
			}
			last = time.Now()
			timing.events += bytes.Count(pending[:whole], eventEnd)
			if !x.passEvents(a, pending[:whole]) {
				a.Close()
				x.c.closing = true
				return outcomeDelivered
			}
			pending = pending[:copy(pending, pending[whole:])]
		}
		switch {
		case err == io.EOF:
			timing.whole = time.Since(x.began)
			return x.endStream(s, a, timing)
		case err != nil || len(pending) > maxEventBytes:
			a.Close()
			if !x.over() {
				x.g.failed(s.target, "stream", err)
			}
			return outcomeUnknown
		}
	}
}

// streamTiming is where a stream's time went.
type streamTiming struct {
	granted time.Duration // from the request to its send
	first   time.Duration // from the send to the first event
	pause   time.Duration // the longest between two events
	whole   time.Duration
	events  int
}

func (x *exchange) endStream(s *seat, a *forward.Answer, t streamTiming) outcome {
	x.g.Debug("msg", "stream served", "request", x.q.attempt, "weights", x.q.weights, "target", s.target.Instance,
		"granted", t.granted, "first", t.first, "pause", t.pause, "whole", t.whole, "objective", x.route.Objective)
	x.g.pool.Finish(a)
	x.g.succeeded(s.target)
	x.g.pace.saw(t.events, t.whole-t.granted-t.first)
	if !x.streaming {
		x.c.beginStream(a)
	}
	if err := x.c.endStream(); err != nil {
		x.c.closing = true
	}
	return outcomeDelivered
}

// passEvents writes whole events to the caller. It reports false when the
// caller cannot be reached.
func (x *exchange) passEvents(a *forward.Answer, events []byte) bool {
	if id := lastEventID(events); id != "" {
		x.lastEvent = id
	}
	if !x.streaming {
		x.streaming = true
		x.c.beginStream(a)
	}
	return x.c.part(events) == nil
}

func (x *exchange) pauseEnd() time.Time {
	return x.patientUntil(time.Now().Add(max(pauseFactor*x.route.GapObjective, minPause)))
}

func grow(b []byte) []byte {
	if len(b) < cap(b) {
		return b
	}
	return append(b, 0)[:len(b)]
}

// wholeEvents returns the length of the whole events at the front of b.
func wholeEvents(b []byte) int {
	i := bytes.LastIndex(b, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) string {
	at := bytes.LastIndex(events, eventID)
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], eventID)
	}
	if at < 0 {
		return ""
	}
	line, _, _ := bytes.Cut(events[at+len(eventID):], []byte{'\n'})
	return string(bytes.TrimSpace(line))
}

var _ io.Reader = (*forward.Answer)(nil)
