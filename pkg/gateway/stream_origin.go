package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/origin"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// originWait bounds the time of all questions for the origin of one stream.
	originWait = 600 * time.Millisecond
	// maxOriginQueries is the number of agents that are asked at a time.
	maxOriginQueries = 32
	// originRetryAfter is the Retry-After time of a request that continues a stream while
	// agents that may know its origin do not answer, or the list of them is not current.
	originRetryAfter = 500 * time.Millisecond
	// maxListWait bounds the wait for a current list of targets. It is a little longer than
	// the time between two regular updates.
	maxListWait = 1500 * time.Millisecond
)

// The reasons of the refusal of a request that continues a stream.
const (
	reasonOriginUnknown    = "software version that began the stream is not known"
	reasonOriginUnanswered = "software version that began the stream is not known yet"
	reasonOriginGone       = "no engine of the software version that began the stream"
)

// streamOrigin is what is known of the software that began the stream of a request. It is
// the zero value until the stream has begun.
type streamOrigin struct {
	stream   origin.Stream
	software ident.Software
	// known says that software is known. That of a process that is not listed is not.
	known bool
	begun bool // a target has sent events, so that only its software may go on
}

// resumesStream reports whether the request continues the stream of an earlier one.
func (x *exchange) resumesStream() bool {
	return x.route.RetryPolicy == platform.RunStream && x.route.CanResume && x.q.lastEvent != ""
}

// findOrigin finds out which software began the stream that the request continues, if it does.
// It returns the refusal if that is not known: what is not known is not guessed, since no
// engine and no caller would notice.
func (x *exchange) findOrigin() (refusal, bool) {
	if !x.resumesStream() {
		return refusal{}, true
	}
	stream := origin.Stream{Account: x.accountName(), Attempt: ident.Attempt(x.q.resumes)}
	search := x.searchOrigin(stream)
	if !search.known {
		x.g.metrics.unknownOrigins.Inc(1)
		x.g.Info("msg", "origin of a stream not known", "request", x.q.attempt, "stream", stream.Attempt, "last-event", x.q.lastEvent, "list-current", search.listCurrent, "list-age", x.g.targetList.Age(time.Now()), "asked", search.asked, "answered", search.answered)
		if search.final {
			return refusal{reason: reasonOriginUnknown, wait: x.remaining()}, false
		}
		return refusal{reason: reasonOriginUnanswered, wait: originRetryAfter}, false
	}
	x.origin = streamOrigin{stream: stream, software: search.software, known: true, begun: true}
	x.g.metrics.resumedStreams.Inc(1)
	x.g.Info("msg", "stream resumed", "request", x.q.attempt, "stream", stream.Attempt, "last-event", x.q.lastEvent, "software", search.software, "asked", search.asked)
	if stream.Attempt != "" {
		x.g.origins.Record(stream, search.software, x.originTTL(), time.Now())
	}
	if len(x.matching(x.g.fleet.Available(x.service.Name))) == 0 {
		x.awaitList() // an engine of the version may have joined
	}
	return refusal{}, true
}

// originSearch is the result of a search for the software that began a stream.
type originSearch struct {
	software        ident.Software
	known           bool
	asked, answered int // agents
	// listCurrent says that the list of targets is as of the request's arrival or later.
	listCurrent bool
	// final says that another try would not find more.
	final bool
}

// searchOrigin searches for the software that began a stream. Engines that this process does
// not know of may have begun it, since other gateways' lists may be ahead of this one's.
func (x *exchange) searchOrigin(s origin.Stream) (o originSearch) {
	if s.Attempt == "" {
		// Without a name, the stream is of the only version that there was.
		if o.final = x.g.softwares.Several(x.service.Name, x.originTTL(), time.Now()); o.final {
			return o
		}
		if o.listCurrent = x.awaitList(); o.listCurrent {
			o.software, o.known = x.g.softwares.Sole(x.service.Name, x.originTTL(), time.Now())
			o.final = !o.known
		}
		return o
	}
	if o.software, o.known = x.g.origins.Find(s, time.Now()); o.known {
		return o
	}
	before := x.g.fleet.Known(x.service.Name)
	o.ask(x, before, s)
	if o.known {
		return o
	}
	if o.listCurrent = x.awaitList(); o.listCurrent {
		joined := slices.DeleteFunc(x.g.fleet.Known(x.service.Name), func(t fleet.Target) bool {
			return slices.ContainsFunc(before, func(b fleet.Target) bool { return b.Instance == t.Instance })
		})
		o.ask(x, joined, s)
		o.final = o.answered == o.asked
	}
	return o
}

// ask asks the agents beside targets.
func (o *originSearch) ask(x *exchange, targets []fleet.Target, s origin.Stream) {
	software, known, asked, answered := x.g.askOrigin(x.ctx, targets, s)
	o.software, o.known = software, known
	o.asked, o.answered = o.asked+asked, o.answered+answered
}

// awaitList waits until the list of targets is as of the request's arrival or later. It reports
// whether it is.
func (x *exchange) awaitList() bool {
	wait := min(maxListWait, x.maxGrantWait(), time.Duration(targetWaitShare*float64(x.remaining())))
	ctx, cancel := context.WithTimeout(x.ctx, wait)
	defer cancel()
	return x.g.awaitTargetList(ctx, x.began)
}

// askOrigin asks the agents beside targets which software began a stream, until one knows.
func (g *Gateway) askOrigin(ctx context.Context, targets []fleet.Target, s origin.Stream) (software ident.Software, known bool, asked, answered int) {
	ctx, cancel := context.WithTimeout(ctx, originWait)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxOriginQueries)
	for _, t := range targets {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
		}
		asked++
		if ctx.Err() != nil {
			continue
		}
		group.Go(func() {
			defer func() { <-slots }()
			reply, err := g.queryOrigin(ctx, t, s)
			if err != nil {
				g.Debug("msg", "failed to ask for the origin of a stream", "stream", s.Attempt, "target", t.Instance, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
			if reply.Known {
				software, known = reply.Software, true
				cancel()
			}
		})
	}
	group.Wait()
	return software, known, asked, answered
}

// queryOrigin asks the agent beside a target which software began a stream. An agent of an
// earlier release knows of none.
func (g *Gateway) queryOrigin(ctx context.Context, t fleet.Target, s origin.Stream) (reply wire.OriginReply, err error) {
	conn, err := g.agents.conn(ctx, t)
	if err != nil || !conn.Reads(link.KindOriginQuery) {
		return reply, err
	}
	err = conn.Call(ctx, link.KindOriginQuery, &wire.OriginQuery{Account: s.Account, Attempt: s.Attempt}, link.KindOriginReply, &reply)
	return reply, err
}

// originTTL returns how long the caller may take the stream up again.
func (x *exchange) originTTL() time.Duration { return max(x.q.callerTimeout, x.route.Timeout) }

// beginAt records, at the first event of a target, the software that began the stream, here
// and beside the target: this process may end, and its callers come back to another one.
func (x *exchange) beginAt(a *assignment) {
	if x.route.RetryPolicy != platform.RunStream || !x.route.CanResume {
		return
	}
	if !x.origin.begun {
		x.origin = streamOrigin{stream: origin.Stream{Account: x.accountName(), Attempt: ident.Attempt(x.q.attempt)}, begun: true}
		x.origin.software, x.origin.known = x.g.softwareAt(a)
	}
	o := x.origin
	if !o.known {
		x.g.Info("msg", "stream begun by a process that is not listed", "request", x.q.attempt, "target", a.target.Instance, "listed-start", a.target.StartMS, "instance", a.instance, "start", a.startMS)
		return
	}
	if o.stream.Attempt == "" {
		return // nobody can name it
	}
	x.g.origins.Record(o.stream, o.software, x.originTTL(), time.Now())
	if a.agent == nil || !a.agent.Reads(link.KindStreamOrigin) {
		return
	}
	err := a.agent.Notify(link.KindStreamOrigin, &wire.StreamOrigin{
		Account: o.stream.Account, Attempt: o.stream.Attempt, StartMS: cmp.Or(a.startMS, a.target.StartMS), Software: o.software, TTLMS: x.originTTL().Milliseconds(),
	})
	if err != nil {
		x.g.Debug("msg", "failed to tell an agent the origin of a stream", "stream", o.stream.Attempt, "target", a.target.Instance, "err", err)
	}
}

// softwareAt returns the software of the process that an assignment is for, if the list of
// targets shows that process. The list may be behind: the engine may have started again as
// another version, or another engine may have its address.
func (g *Gateway) softwareAt(a *assignment) (ident.Software, bool) {
	instance := cmp.Or(a.instance, a.target.Instance)
	t, listed := g.fleet.Find(instance)
	if !listed {
		if instance != a.target.Instance {
			return "", false
		}
		t = a.target // it has left since
	}
	return t.Software, a.startMS == 0 || t.StartMS == 0 || a.startMS == t.StartMS
}

// mayGoOnAt reports whether the request may be sent to the target, by the list of targets: a
// stream that has begun goes on at targets of the software that began it only.
func (x *exchange) mayGoOnAt(t fleet.Target) bool {
	return !x.origin.begun || x.origin.known && t.Software == x.origin.software
}

// goesOnAt reports whether the assignment is still for a process to which the request may be
// sent.
func (x *exchange) goesOnAt(a *assignment) bool {
	if !x.origin.begun {
		return true
	}
	current, listed := x.g.fleet.Find(a.target.Instance)
	software, known := x.g.softwareAt(a)
	return listed && current.StartMS == a.target.StartMS && known && x.origin.known && software == x.origin.software
}

// matching returns the targets to which the request may be sent.
func (x *exchange) matching(targets []fleet.Target) []fleet.Target {
	if !x.origin.begun {
		return targets
	}
	var out []fleet.Target
	for _, t := range targets {
		if x.mayGoOnAt(t) {
			out = append(out, t)
		}
	}
	return out
}

// originGone reports whether no listed target runs the software that began the stream.
func (x *exchange) originGone() bool {
	return x.origin.begun && len(x.matching(x.g.fleet.Available(x.service.Name))) == 0 && !x.g.fleet.Settling(time.Now())
}

// goneRefusal is the refusal of a request whose stream no listed target can continue.
func (x *exchange) goneRefusal() refusal {
	x.g.metrics.goneOrigins.Inc(1)
	why := refusal{reason: reasonOriginGone, detail: string(x.origin.software), wait: x.remaining()}
	ctx, cancel := context.WithCancel(x.ctx)
	cancel()
	if !x.g.awaitTargetList(ctx, x.began) {
		why.wait = originRetryAfter // other gateways may know an engine
	}
	return why
}
