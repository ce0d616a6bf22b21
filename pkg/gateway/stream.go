package gateway

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// maxEventBytes bounds the size of one event. Many streams may buffer one at the
	// same time.
	maxEventBytes = 128 << 10
	// gapFactor is the number of a route's gap objectives after which a stream
	// that can resume on another target counts as stuck. Callers abandon a stream
	// after 8.
	gapFactor  = 4
	minGapWait = 800 * time.Millisecond
)

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
	// eventFields begin the lines that make up an event.
	eventFields = [][]byte{[]byte("id:"), []byte("data:")}
)

// streamForm is what the responses have in common whose events make up one stream.
type streamForm struct {
	status    int
	mediaType string
}

func formOf(res *forward.Response) streamForm {
	mediaType, _, _ := strings.Cut(res.Value(fasthttp.HeaderContentType), ";")
	return streamForm{status: res.Status, mediaType: strings.ToLower(strings.TrimSpace(mediaType))}
}

// String returns the form as a row of the log shows it.
func (f streamForm) String() string {
	return fmt.Sprintf("status %d of type %q", f.status, f.mediaType)
}

// forwardStream forwards a target's events as they arrive. Until the end of the
// stream it forwards only complete events, so that another target can resume after
// the last one.
func (x *exchange) forwardStream(a *assignment, res *forward.Response, sent time.Time) outcome {
	x.begin(a, stepStream)
	first, resumed := true, x.streamStarted
	timing := streamTiming{grantWait: sent.Sub(x.began)}
	last := sent
	var steps stepSample
	a.reportPace(x.paceReport())
	pending := make([]byte, 0, freeBodyBytes)
	defer func() { x.g.bodies.release(cap(pending)) }()
	res.SetReadDeadline(x.nextEventDeadline())
	for {
		var err error
		pending, err = x.readPending(res, pending)
		complete := completeEvents(pending)
		if err == io.EOF {
			if insideEvent(pending[complete:]) || first && len(pending) == 0 && res.EndsWithConnection() {
				// The end of the connection may be all that ends the response.
				err = io.ErrUnexpectedEOF
			} else {
				complete = len(pending)
			}
		}
		if resumed && !follows(x.lastEvent, pending[:complete]) {
			complete, err = 0, errors.Annotatef(forward.ErrInvalidResponse, "events begin again at or before event %s", x.lastEvent)
		}
		if complete > 0 {
			if hasEvent(pending[:complete]) {
				// Other bytes, such as comments, do not keep a stalled stream alive.
				res.SetReadDeadline(x.nextEventDeadline())
				resumed = false // further IDs only increase
			}
			if first {
				if x.streamStarted {
					timing.resumedGap = time.Since(x.lastSign())
				}
				a.reportFirstEvent(time.Since(sent))
				x.g.clearParts(x.q.parts)
				x.beginAt(a)
				timing.firstEvent = time.Since(sent)
				x.g.firstEvents.Record(x.route.Name, timing.firstEvent)
				x.g.metrics.grantWait.RecordDuration(timing.grantWait)
				x.g.metrics.firstEvent.RecordDuration(timing.firstEvent)
				first, x.eventSeen = false, true
			} else {
				timing.maxGap = max(timing.maxGap, time.Since(last))
				if x.load.Known.Has(platform.LoadPace) && steps.add(time.Since(last), bytes.Count(pending[:complete], eventEnd)) {
					x.g.stepTime.record(&steps, x.load.Pace)
				}
			}
			last = time.Now()
			events := bytes.Count(pending[:complete], eventEnd)
			timing.events += events
			x.events += events
			if (!x.streamStarted || x.c.delayed) && !x.beginStream(complete) {
				x.abandon(a, res.Conn())
				x.endForStop(phaseSent)
				return outcomeUnknown
			}
			began := time.Now()
			if err := x.forwardEvents(res, pending[:complete]); err != nil {
				x.abandon(a, res.Conn())
				x.failWrite(err)
				return outcomeDelivered
			}
			if x.unread.record(began, time.Now()) {
				// The target was not read meanwhile, which is no stall.
				res.SetReadDeadline(x.nextEventDeadline())
				last = time.Now()
			}
			pending = x.g.bodies.shrink(pending[:copy(pending, pending[complete:])])
		}
		switch {
		case err == io.EOF:
			timing.total = time.Since(x.began)
			return x.endStream(a, res, timing)
		case err == nil && len(pending) > maxEventBytes:
			err = errors.Annotatef(forward.ErrInvalidResponse, "event exceeds %d bytes", maxEventBytes)
		}
		if err != nil {
			x.abandon(a, res.Conn())
			if x.unread.explains(time.Now()) {
				x.failUnread(a, err)
			} else {
				x.fail(a, stepStream, err)
			}
			return outcomeUnknown
		}
	}
}

// streamTiming is the time that each phase of a stream took.
type streamTiming struct {
	grantWait  time.Duration // from the request's arrival to its send
	firstEvent time.Duration // from the send to the first event
	maxGap     time.Duration // longest time between two reads with complete events
	resumedGap time.Duration // from the last event of another target; 0 if there was none
	total      time.Duration
	events     int
}

func (x *exchange) endStream(a *assignment, res *forward.Response, t streamTiming) outcome {
	x.g.Debug("msg", "stream served", "request", x.q.attempt, "weights", x.q.weights, "target", a.target.Instance,
		"granted", t.grantWait, "first", t.firstEvent, "pause", t.maxGap, "whole", t.total, "objective", x.route.Objective)
	x.g.pool.Release(res)
	x.g.recordSuccess(a.target)
	x.recordAnswer()
	x.g.eventInterval.record(t.events, t.total-t.grantWait-t.firstEvent)
	if t.events > 1 {
		x.reportPause(a, t.maxGap)
	}
	x.recordLateness(a, t)
	if !x.streamStarted {
		x.c.beginStream(x.ctx, res)
	}
	if x.c.delayed && !x.openStream() {
		return outcomeUnknown
	}
	x.complete = true
	if err := x.c.endStream(); err != nil {
		x.failWrite(err)
	}
	return outcomeDelivered
}

// forwardEvents writes complete events to the caller, or holds them for it.
func (x *exchange) forwardEvents(res *forward.Response, events []byte) error {
	if id := lastEventID(events); id != "" {
		x.lastEvent, x.lastEventAt = id, time.Now()
	}
	if !x.streamStarted {
		x.streamStarted, x.streamForm = true, formOf(res)
		x.c.beginStream(x.ctx, res)
	}
	return errors.Trace(x.c.writeBodyPart(events))
}

func (x *exchange) nextEventDeadline() time.Time {
	return x.failoverDeadline(time.Now().Add(x.maxEventGap()))
}

// maxEventGap is the time without an event after which a target counts as stuck.
func (x *exchange) maxEventGap() time.Duration {
	return max(gapFactor*x.route.GapObjective, minGapWait)
}

// stallRetry is how soon another target is asked again to take the request of a stalled
// one. It is a small part of the time after which callers abandon a stream.
const stallRetry = 250 * time.Millisecond

// stallHandler returns the function that is called when the target has sent nothing
// useful until the deadline of a read. The response is abandoned only if another
// target takes the request at once: the target may merely be slow.
func (x *exchange) stallHandler(a *assignment) func() (time.Time, bool) {
	return func() (time.Time, bool) {
		if x.expired() {
			return time.Time{}, false
		}
		switch x.reserve(a) {
		case reserved:
			return time.Time{}, false
		case targetsBusy:
			return x.failoverDeadline(time.Now().Add(stallRetry)), true
		}
		return x.failoverDeadline(time.Now().Add(x.maxEventGap())), true
	}
}

// reservation is the result of an attempt to reserve another target.
type reservation uint8

const (
	notAllowed  reservation = iota // the request may not be sent to another target
	targetsBusy                    // no other target takes it at once
	reserved
)

// reserve acquires an assignment to another target than that of a, which is stuck,
// and takes a retry from the budget.
func (x *exchange) reserve(a *assignment) reservation {
	if !x.retryable() || x.runs+1 >= x.route.MaxTargets || x.sends >= maxSends || x.remaining() < minRemaining || x.authenticate() != denialNone {
		return notAllowed
	}
	x.excluded = append(x.excluded, a.target.Instance)
	other, _ := x.acquireImmediately()
	x.excluded = x.excluded[:len(x.excluded)-1]
	if other == nil {
		return targetsBusy
	}
	if !x.takeRetry() {
		other.release()
		return notAllowed
	}
	x.reserved = other
	return reserved
}

// readPending appends bytes of the response to those of an unfinished event. It returns
// ErrInvalidResponse if there is no memory for more.
func (x *exchange) readPending(res *forward.Response, pending []byte) ([]byte, error) {
	if len(pending) == cap(pending) {
		larger, ok := x.g.bodies.grow(pending, -1)
		if !ok {
			return pending, errors.Annotatef(forward.ErrInvalidResponse, "no memory for more than %d bytes of an event", len(pending))
		}
		pending = larger
	}
	n, err := res.Read(pending[len(pending):cap(pending)])
	return pending[:len(pending)+n], err
}

// hasEvent reports whether the text contains a line of an event rather than only
// comments and blank lines.
func hasEvent(text []byte) bool {
	for line := range bytes.Lines(text) {
		for _, field := range eventFields {
			if bytes.HasPrefix(line, field) {
				return true
			}
		}
	}
	return false
}

// insideEvent reports whether the text after the last complete event begins another one.
func insideEvent(text []byte) bool {
	for line := range bytes.Lines(text) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// completeEvents returns the length of the complete events at the start of b.
func completeEvents(b []byte) int {
	i := bytes.LastIndex(b, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

// follows reports whether events can follow the one with the given ID: the IDs of a
// stream increase. Text without a number as ID can always.
func follows(last string, events []byte) bool {
	for line := range bytes.Lines(events) {
		id, found := bytes.CutPrefix(line, eventID)
		if !found {
			continue
		}
		before, err := strconv.ParseUint(last, 10, 64)
		next, nextErr := strconv.ParseUint(string(bytes.TrimSpace(id)), 10, 64)
		return err != nil || nextErr != nil || next > before
	}
	return true
}

// lastEventID returns the ID of the last event that has one.
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

var _ io.Reader = (*forward.Response)(nil)
