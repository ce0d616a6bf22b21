package gateway

import (
	"context"
	"fmt"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/notice"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
)

const (
	// endProbeTimeout bounds the dial that shows whether a target's process has ended.
	endProbeTimeout = 400 * time.Millisecond
	// endListWait is how long the list of targets may take to show that a process has ended:
	// its record expires after three heartbeats, and the list lags.
	endListWait = 8 * time.Second
	// endListPoll is how often the list is looked at meanwhile.
	endListPoll = 250 * time.Millisecond
	// maxLostProcesses bounds the processes that are looked at, and maxLostRequests the
	// requests that are kept for each.
	maxLostProcesses = 64
	maxLostRequests  = 256
)

// endEvidence is what shows that a target's process has ended.
type endEvidence uint8

const (
	// endNotSeen: the process may have closed or lost its connection alone.
	endNotSeen endEvidence = iota
	// endRefused: nothing listens at the address.
	endRefused
	// endListed: the target has left the list without a notice, or has started again.
	endListed
	// endPlanned: the target leaves.
	endPlanned
)

var endEvidenceNames = [...]string{"not-seen", "refused", "listed", "planned"}

// String returns the name of the evidence.
func (e endEvidence) String() string { return endEvidenceNames[e] }

// lostProcess is a target's process that has closed connections under requests.
type lostProcess struct {
	at       time.Time
	requests []quarantine.Fingerprint
}

// lostProcesses are the processes that may have ended.
type lostProcesses struct {
	mu        sync.Mutex
	processes map[notice.Process]*lostProcess
}

func newLostProcesses() *lostProcesses {
	return &lostProcesses{processes: make(map[notice.Process]*lostProcess)}
}

// add adds a request that was lost. It reports whether the process is not looked at yet.
func (l *lostProcesses) add(p notice.Process, f quarantine.Fingerprint, now time.Time) (isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := l.processes[p]
	if lost == nil {
		if len(l.processes) >= maxLostProcesses {
			return false
		}
		lost, isNew = &lostProcess{at: now}, true
		l.processes[p] = lost
	}
	if len(lost.requests) < maxLostRequests {
		lost.requests = append(lost.requests, f)
	}
	return isNew
}

// take returns the requests that were lost with a process, and when the first one was.
func (l *lostProcesses) take(p notice.Process) (requests []quarantine.Fingerprint, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := l.processes[p]
	delete(l.processes, p)
	return lost.requests, lost.at
}

// recordLost records that the connection to a target ended under the request, so that it
// counts against the request if the target's process has ended.
func (x *exchange) recordLost(a *assignment) {
	p := processOf(a.target)
	x.suspected = x.isSuspected() // before this loss
	if !x.connectionEnded() || !x.g.fleet.Usable(a.target) || x.g.notices.Leaving(p) {
		return // a target that leaves closes its connections
	}
	if x.g.lost.add(p, x.fingerprint(), time.Now()) {
		go x.g.observeEnd(a.target)
	}
}

// observeEnd finds out whether a target's process has ended. If so, it records the end with
// the requests that were lost.
func (g *Gateway) observeEnd(t fleet.Target) {
	by := g.findEnd(t)
	requests, at := g.lost.take(processOf(t))
	g.metrics.targetEnds[by].Inc(1)
	if by != endRefused && by != endListed {
		return
	}
	end := quarantine.End{Target: t.Instance, StartMS: t.StartMS, AtMS: at.UnixMilli()}
	g.Info("msg", "target ended with requests in progress", "target", t.Instance, "start-ms", t.StartMS, "by", by, "requests", fmt.Sprint(requests))
	if g.requests.Record(end, requests) {
		g.evidence.schedule()
	}
	for _, f := range requests {
		g.logBan(f, time.Now())
	}
}

// findEnd returns what shows that a target's process has ended.
func (g *Gateway) findEnd(t fleet.Target) endEvidence {
	ctx, cancel := context.WithTimeout(context.Background(), endProbeTimeout)
	nc, err := g.pool.Dial(ctx, t.Address)
	cancel()
	switch {
	case err == nil:
		_ = nc.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		return endRefused
	}
	for until := time.Now().Add(endListWait); time.Now().Before(until); time.Sleep(endListPoll) {
		current, known := g.fleet.Find(t.Instance)
		switch {
		case known && current.Draining, g.notices.Leaving(processOf(t)):
			return endPlanned
		case !known, current.StartMS != t.StartMS:
			return endListed
		}
	}
	return endNotSeen
}

// logBan logs that a request is banned, if it is.
func (g *Gateway) logBan(f quarantine.Fingerprint, now time.Time) {
	if ends, until, banned := g.requests.Banned(f, now); banned {
		g.Warn("msg", "request banned: targets end under it", "fingerprint", f, "ends", fmt.Sprint(ends), "until", until)
	}
}

// requestBan returns the refusal of a request under which targets have ended.
func (x *exchange) requestBan(now time.Time) (refusal, bool) {
	if !x.g.requests.MayKnow(x.contentHead) {
		return refusal{}, false
	}
	ends, until, banned := x.g.requests.Banned(x.fingerprint(), now)
	if !banned || x.trial {
		return refusal{}, false
	}
	return refusal{reason: "request crashes targets", wait: until.Sub(now), detail: fmt.Sprintf("fingerprint %s, ends %v", x.fingerprint(), ends)}, true
}

// contentHead returns the request's fingerprint without the body.
func (x *exchange) contentHead() quarantine.Head {
	if x.identity != nil {
		return x.identity.Head
	}
	return x.content().Head()
}

// bansPage is the page of the metrics listener that lists banned requests.
func (g *Gateway) bansPage(context.Context, url.Values) (any, error) {
	return g.requests.Bans(g.node.VM, time.Now()), nil
}

// tryBanned makes the request a trial if it is banned and one is due.
func (x *exchange) tryBanned() {
	if x.trial || !x.g.requests.MayKnow(x.contentHead) {
		return
	}
	if x.trial = x.g.requests.MayTry(x.fingerprint(), x.g.node.VM, time.Now()); x.trial {
		x.g.Info("msg", "trying a banned request: another one may be to blame", "request", x.q.attempt, "fingerprint", x.fingerprint())
	}
}

// isSuspected reports whether a target has ended under the request before.
func (x *exchange) isSuspected() bool {
	return x.g.requests.MayKnow(x.contentHead) && x.g.requests.Suspected(x.fingerprint(), time.Now())
}

// recordAnswer records that a target has answered the request, which lifts the evidence
// against it.
func (x *exchange) recordAnswer() {
	if !x.g.requests.MayKnow(x.contentHead) {
		return
	}
	if x.g.requests.RecordAnswer(x.fingerprint(), time.Now()) {
		x.g.Info("msg", "target answered a request under which others ended", "request", x.q.attempt, "fingerprint", x.fingerprint())
		x.g.evidence.schedule()
	}
}
