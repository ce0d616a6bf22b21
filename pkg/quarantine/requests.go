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
	// dropped, and maxSuspectRequests those of all processes that are compared.
	maxRequests        = 256
	maxSuspectRequests = 16384
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

	mu       sync.Mutex
	own      Evidence
	others   map[ident.VM]Evidence
	dirty    bool
	requests map[Fingerprint]*suspicion
	heads    map[Head]bool
}

// NewRequests returns a table without evidence.
func NewRequests() *Requests { return &Requests{others: make(map[ident.VM]Evidence)} }

// MayKnow reports whether there is evidence against a request with the head. It is cheap if
// there is none at all.
func (r *Requests) MayKnow(head func() Head) bool {
	if !r.suspected.Load() {
		return false
	}
	h := head()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.compare()
	return r.heads[h]
}

// Record records that a target's process ended while it had the requests. It reports whether
// this is new.
func (r *Requests) Record(end End, requests []Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.own.Ends, func(e EndWithRequests) bool { return e.sameProcess(end) })
	if i < 0 {
		r.own.Ends = append(r.own.Ends, EndWithRequests{End: end})
		i = len(r.own.Ends) - 1
	}
	added := false
	for _, f := range requests {
		if !slices.Contains(r.own.Ends[i].Requests, f) {
			r.own.Ends[i].Requests = append(r.own.Ends[i].Requests, f)
			added = true
		}
	}
	r.own.limit(time.UnixMilli(end.AtMS))
	r.changed()
	return added
}

// RecordAnswer records that a target has answered a request. It reports whether this lifts
// evidence against it.
func (r *Requests) RecordAnswer(f Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.compare()
	if s := r.requests[f]; s == nil || len(s.live(now)) == 0 {
		return false
	}
	r.own.Answers = slices.DeleteFunc(r.own.Answers, func(a Answer) bool { return a.Request == f })
	r.own.Answers = append(r.own.Answers, Answer{Request: f, AtMS: now.UnixMilli()})
	r.own.limit(now)
	r.changed()
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
	for _, old := range e.Ends {
		if i := slices.IndexFunc(r.own.Ends, func(end EndWithRequests) bool { return end.sameProcess(old.End) }); i >= 0 {
			for _, f := range old.Requests {
				if !slices.Contains(r.own.Ends[i].Requests, f) {
					r.own.Ends[i].Requests = append(r.own.Ends[i].Requests, f)
				}
			}
			continue
		}
		r.own.Ends = append(r.own.Ends, old)
	}
	for _, a := range e.Answers {
		if !slices.ContainsFunc(r.own.Answers, func(own Answer) bool { return own.Request == a.Request && own.AtMS >= a.AtMS }) {
			r.own.Answers = append(r.own.Answers, a)
		}
	}
	r.own.limit(now)
	r.changed()
}

// Drop drops the evidence of this process.
func (r *Requests) Drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own = Evidence{}
	r.changed()
}

// Replace replaces the evidence of another process, or drops it if it is empty.
func (r *Requests) Replace(vm ident.VM, e Evidence, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e = e.clone()
	e.limit(now)
	if r.others[vm] = e; e.Empty() {
		delete(r.others, vm)
	}
	r.changed()
}

// Sources returns the other processes that have evidence.
func (r *Requests) Sources() []ident.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.others))
}

// Banned returns the ends of targets for which a request is banned, and until when it is.
func (r *Requests) Banned(f Fingerprint, now time.Time) (ends []End, until time.Time, banned bool) {
	if !r.suspected.Load() {
		return nil, time.Time{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.compare()
	if s := r.requests[f]; s != nil {
		return s.verdict(now)
	}
	return nil, time.Time{}, false
}

// verdict returns the ends of targets for which the request is banned, and until when it is.
func (s *suspicion) verdict(now time.Time) (ends []End, until time.Time, banned bool) {
	live := s.live(now)
	moments := 0
	for i, e := range live {
		if i == 0 || e.AtMS-live[i-1].AtMS > moment.Milliseconds() {
			moments++
		}
	}
	if len(live) < banAfter || moments < minMoments {
		return nil, time.Time{}, false
	}
	return live, time.UnixMilli(live[len(live)-banAfter].AtMS).Add(requestTTL), true
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
	r.compare()
	if s := r.requests[f]; s != nil {
		return s.live(now)
	}
	return nil
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

// changed records that the evidence has changed. The caller holds mu.
func (r *Requests) changed() {
	r.dirty = true
	r.suspected.Store(len(r.others) > 0 || !r.own.Empty())
}

// compare compares the evidence of all processes if it has changed. The caller holds mu.
func (r *Requests) compare() {
	if !r.dirty {
		return
	}
	r.dirty = false
	r.requests, r.heads = make(map[Fingerprint]*suspicion), make(map[Head]bool)
	ends := slices.Clone(r.own.Ends)
	for e := range maps.Values(r.others) {
		ends = append(ends, e.Ends...)
	}
	slices.SortFunc(ends, func(a, b EndWithRequests) int { return cmp.Compare(b.AtMS, a.AtMS) })
	for _, e := range ends { // the newest first, so that the oldest are left out
		for _, f := range e.Requests {
			r.add(f, e.End)
		}
	}
	for _, s := range r.requests {
		slices.Reverse(s.ends)
	}
	r.addAnswers(r.own)
	for e := range maps.Values(r.others) {
		r.addAnswers(e)
	}
}

// add adds the end of a target to the evidence against a request. Several processes may have
// seen it.
func (r *Requests) add(f Fingerprint, end End) {
	s := r.requests[f]
	if s == nil {
		if len(r.requests) >= maxSuspectRequests {
			return
		}
		s = &suspicion{}
		r.requests[f], r.heads[f.Head] = s, true
	}
	if !slices.ContainsFunc(s.ends, end.sameProcess) {
		s.ends = append(s.ends, end)
	}
}

func (r *Requests) addAnswers(e Evidence) {
	for _, a := range e.Answers {
		if s := r.requests[a.Request]; s != nil {
			s.answeredMS = max(s.answeredMS, a.AtMS)
		}
	}
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
