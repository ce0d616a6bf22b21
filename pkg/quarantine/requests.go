package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// EvidenceKind is the kind of the records in which gateways share evidence.
const EvidenceKind = "target-ends"

const (
	// maxRequests bounds the requests in one process's evidence, the oldest of which are
	// dropped, and maxSuspicions those for which the evidence of all is kept collected.
	maxRequests   = 256
	maxSuspicions = 16384
	// requestTTL is how long the end of a target counts against a request.
	requestTTL = time.Hour
	// minMoments is the number of different times at which targets ended that ban a
	// request. A failure domain takes many targets at one moment.
	minMoments = 2
)

// End is the end of a target's process.
type End struct {
	Target  ident.Target `json:"target"`
	StartMS int64        `json:"start-ms"` // start of the process in Unix ms
	AtMS    int64        `json:"at-ms"`    // Unix ms, by the clock of the process that saw it
}

func (e End) sameProcess(other End) bool {
	return e.Target == other.Target && e.StartMS == other.StartMS
}

// EndWithRequests is the end of a target's process with the requests that it took with it.
type EndWithRequests struct {
	End
	Requests []Fingerprint `json:"requests"`
}

// Answer is a request that a target has answered although others had ended under it.
type Answer struct {
	Request Fingerprint `json:"request"`
	AtMS    int64       `json:"at-ms"`
}

// Evidence is what one process has seen.
type Evidence struct {
	Ends    []EndWithRequests `json:"ends"`
	Answers []Answer          `json:"answers,omitempty"`
}

// suspicion is what speaks against a request.
type suspicion struct {
	ends       []End // in the order of their times, one for each process
	answeredMS int64 // the last answer
}

// Requests is one process's knowledge of whole requests that come again and end the targets
// that run them: the evidence of all processes. A request is banned if several targets have
// ended at different times while they had it, and none has answered it since.
type Requests struct {
	suspected atomic.Bool // there may be evidence

	mu     sync.Mutex
	own    Evidence
	others map[ident.VM]Evidence
	heads  map[Head]int // how often they are in the evidence
	// suspicions are those that were collected since the evidence changed last.
	suspicions map[Fingerprint]suspicion
	tried      map[Fingerprint]time.Time // when banned requests were sent once more
}

// NewRequests returns a table without evidence.
func NewRequests() *Requests {
	return &Requests{others: make(map[ident.VM]Evidence), heads: make(map[Head]int), suspicions: make(map[Fingerprint]suspicion), tried: make(map[Fingerprint]time.Time)}
}

// MayKnow reports whether there is evidence against a request with the head. It is cheap if
// there is none at all.
func (r *Requests) MayKnow(head func() Head) bool {
	if !r.suspected.Load() {
		return false
	}
	h := head()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heads[h] > 0
}

// Record records that a target's process ended while it had the requests. It reports whether
// this is new.
func (r *Requests) Record(end End, requests []Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	added := false
	r.changeOwn(time.UnixMilli(end.AtMS), func(own *Evidence) { added = own.add(EndWithRequests{End: end, Requests: requests}) })
	return added
}

// RecordAnswer records that a target has answered a request. It reports whether this lifts
// evidence against it.
func (r *Requests) RecordAnswer(f Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.suspicion(f); len(s.live(now)) == 0 {
		return false
	}
	r.changeOwn(now, func(own *Evidence) {
		own.Answers = slices.DeleteFunc(own.Answers, func(a Answer) bool { return a.Request == f })
		own.Answers = append(own.Answers, Answer{Request: f, AtMS: now.UnixMilli()})
	})
	return true
}

// Own returns the evidence of this process.
func (r *Requests) Own() Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own.clone()
}

// Adopt adds evidence to that of this process, which an earlier process has left.
func (r *Requests) Adopt(e Evidence, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e = e.clone()
	e.limit(now)
	r.changeOwn(now, func(own *Evidence) {
		for _, old := range e.Ends {
			own.add(old)
		}
		for _, a := range e.Answers {
			if !slices.ContainsFunc(own.Answers, func(o Answer) bool { return o.Request == a.Request && o.AtMS >= a.AtMS }) {
				own.Answers = append(own.Answers, a)
			}
		}
	})
}

// Drop drops the evidence of this process.
func (r *Requests) Drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.own
	r.own = Evidence{}
	r.replaced(old, r.own)
}

// Replace replaces the evidence of another process, or drops it if it is empty.
func (r *Requests) Replace(vm ident.VM, e Evidence, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e = e.clone()
	e.limit(now)
	old := r.others[vm]
	if r.others[vm] = e; e.Empty() {
		delete(r.others, vm)
	}
	r.replaced(old, e)
}

// Sources returns the other processes that have evidence.
func (r *Requests) Sources() []ident.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.others))
}

// Banned returns the ends of targets for which a request is banned, and until when it is.
func (r *Requests) Banned(f Fingerprint, now time.Time) (ends []End, until time.Time, banned bool) {
	return verdict(r.live(f, now))
}

// verdict returns the live ends for which a request is banned, and until when it is.
func verdict(live []End) (ends []End, until time.Time, banned bool) {
	if !ban(live) {
		return nil, time.Time{}, false
	}
	return live, time.UnixMilli(live[len(live)-banAfter].AtMS).Add(requestTTL), true
}

// ban reports whether ends of targets, in the order of their times, ban a request.
func ban(ends []End) bool {
	moments := 0
	for i, e := range ends {
		if i == 0 || e.AtMS-ends[i-1].AtMS > moment.Milliseconds() {
			moments++
		}
	}
	return len(ends) >= banAfter && moments >= minMoments
}

// Suspected reports whether a target has ended while it had the request, and none has
// answered it since.
func (r *Requests) Suspected(f Fingerprint, now time.Time) bool { return len(r.live(f, now)) > 0 }

func (r *Requests) live(f Fingerprint, now time.Time) []End {
	if !r.suspected.Load() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.suspicion(f)
	return s.live(now)
}

// live returns the ends that count.
func (s *suspicion) live(now time.Time) []End {
	var out []End
	for _, e := range s.ends {
		if e.AtMS > s.answeredMS && now.Sub(time.UnixMilli(e.AtMS)) < requestTTL {
			out = append(out, e)
		}
	}
	return out
}

// replaced records that the evidence of one process was replaced. The caller holds mu.
func (r *Requests) replaced(old, current Evidence) {
	for _, e := range old.Ends {
		for _, f := range e.Requests {
			if r.heads[f.Head]--; r.heads[f.Head] == 0 {
				delete(r.heads, f.Head)
			}
		}
	}
	for _, e := range current.Ends {
		for _, f := range e.Requests {
			r.heads[f.Head]++
		}
	}
	clear(r.suspicions)
	r.suspected.Store(len(r.others) > 0 || !r.own.Empty())
}

// changeOwn changes the evidence of this process, and drops what does not count any more. The
// caller holds mu.
func (r *Requests) changeOwn(now time.Time, change func(*Evidence)) {
	old := r.own.clone()
	change(&r.own)
	r.own.limit(now)
	r.replaced(old, r.own)
}

// suspicion returns what speaks against a request. It is collected from the evidence of all
// processes at the first call after a change, since few requests are suspected and records of
// many processes change. The caller holds mu.
func (r *Requests) suspicion(f Fingerprint) suspicion {
	if r.heads[f.Head] == 0 {
		return suspicion{}
	}
	if s, known := r.suspicions[f]; known {
		return s
	}
	var s suspicion
	s.collect(f, r.own)
	for e := range maps.Values(r.others) {
		s.collect(f, e)
	}
	s.sort()
	if len(r.suspicions) >= maxSuspicions {
		clear(r.suspicions)
	}
	r.suspicions[f] = s
	return s
}

// collect adds what the evidence of one process says of a request.
func (s *suspicion) collect(f Fingerprint, e Evidence) {
	for _, end := range e.Ends {
		if slices.Contains(end.Requests, f) {
			s.ends = append(s.ends, end.End)
		}
	}
	for _, a := range e.Answers {
		if a.Request == f {
			s.answeredMS = max(s.answeredMS, a.AtMS)
		}
	}
}

// sort puts the ends in order. Of those of one process, which several may have seen, it keeps
// the latest.
func (s *suspicion) sort() {
	slices.SortFunc(s.ends, func(a, b End) int { return cmp.Compare(b.AtMS, a.AtMS) })
	var ends []End
	for _, end := range s.ends {
		if !slices.ContainsFunc(ends, end.sameProcess) {
			ends = append(ends, end)
		}
	}
	slices.Reverse(ends)
	s.ends = ends
}

// add adds requests that a target's process took with it. It reports whether there are new ones.
func (e *Evidence) add(end EndWithRequests) (added bool) {
	i := slices.IndexFunc(e.Ends, func(known EndWithRequests) bool { return known.sameProcess(end.End) })
	if i < 0 {
		e.Ends = append(e.Ends, EndWithRequests{End: end.End})
		i = len(e.Ends) - 1
	}
	for _, f := range end.Requests {
		if !slices.Contains(e.Ends[i].Requests, f) {
			e.Ends[i].Requests, added = append(e.Ends[i].Requests, f), true
		}
	}
	return added
}

// Empty reports whether there is no evidence.
func (e Evidence) Empty() bool { return len(e.Ends) == 0 && len(e.Answers) == 0 }

// Expired reports whether nothing of the evidence counts any more.
func (e Evidence) Expired(now time.Time) bool {
	e = e.clone()
	e.limit(now)
	return e.Empty()
}

func (e Evidence) clone() Evidence {
	out := Evidence{Answers: slices.Clone(e.Answers)}
	for _, end := range e.Ends {
		out.Ends = append(out.Ends, EndWithRequests{End: end.End, Requests: slices.Clone(end.Requests)})
	}
	return out
}

// limit drops what does not count any more, and the oldest of what is too much. Times of
// clocks that are ahead count as now.
func (e *Evidence) limit(now time.Time) {
	oldest, nowMS := now.Add(-requestTTL).UnixMilli(), now.UnixMilli()
	for i := range e.Ends {
		e.Ends[i].AtMS = min(e.Ends[i].AtMS, nowMS)
	}
	for i := range e.Answers {
		e.Answers[i].AtMS = min(e.Answers[i].AtMS, nowMS)
	}
	e.Ends = slices.DeleteFunc(e.Ends, func(end EndWithRequests) bool { return end.AtMS <= oldest })
	e.Answers = slices.DeleteFunc(e.Answers, func(a Answer) bool { return a.AtMS <= oldest })
	if len(e.Answers) > maxRequests {
		e.Answers = e.Answers[len(e.Answers)-maxRequests:]
	}
	slices.SortStableFunc(e.Ends, func(a, b EndWithRequests) int { return cmp.Compare(a.AtMS, b.AtMS) })
	count := 0
	for i := len(e.Ends) - 1; i >= 0; i-- {
		if room := maxRequests - count; len(e.Ends[i].Requests) > room {
			e.Ends[i].Requests = e.Ends[i].Requests[:room]
			e.Ends = e.Ends[i:]
			break
		}
		count += len(e.Ends[i].Requests)
	}
	e.Ends = slices.DeleteFunc(e.Ends, func(end EndWithRequests) bool { return len(end.Requests) == 0 })
}
