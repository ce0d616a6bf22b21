package caller

import (
	"sort"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	// BucketSpan is the span of time that one bucket of a record covers.
	BucketSpan  = 10 * time.Second
	bucketCount = 360 // an hour
	maxSeries   = 256
	maxReasons  = 256
)

// Series names one service's requests of one priority. Requests refused before
// their service was known have none.
type Series struct {
	Service  ident.Service  `json:"service"`
	Priority ident.Priority `json:"priority"`
}

// BoundsMS are the upper bounds, in ms, of the times that a bucket counts apart.
var BoundsMS = [...]int64{0, 10, 20, 29, 40, 60, 100, 250, 500, 1000, 1600, 2500, 4000, 8000, 16000}

// Counts counts times: one count for each of BoundsMS and one for longer ones.
type Counts [len(BoundsMS) + 1]int64

func (c *Counts) add(d time.Duration) {
	ms := d.Milliseconds()
	c[sort.Search(len(BoundsMS), func(i int) bool { return ms <= BoundsMS[i] })]++
}

// Within returns the number of times that were at most ms. An ms between two
// bounds counts as the lower one.
func (c Counts) Within(ms int64) int64 {
	total := int64(0)
	for i, bound := range BoundsMS {
		if bound <= ms {
			total += c[i]
		}
	}
	return total
}

// Total returns the number of all times.
func (c Counts) Total() int64 {
	total := int64(0)
	for _, n := range c {
		total += n
	}
	return total
}

// Bucket counts what happened in one span of time.
type Bucket struct {
	StartMS     int64  `json:"start-ms"` // Unix time in ms
	Answered    int64  `json:"answered"`
	NotRun      int64  `json:"not-run"`
	Unknown     int64  `json:"unknown"`
	Stalls      Counts `json:"stalls"`
	FirstTokens Counts `json:"first-tokens"`
	Gaps        Counts `json:"gaps"`
}

// SeriesExport is one series with its buckets, oldest first.
type SeriesExport struct {
	Series
	Buckets []Bucket `json:"buckets"`
}

// ReasonCount is how often requests were refused for one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// RecordsExport is what an entry knows of the newest hour.
type RecordsExport struct {
	Series   []SeriesExport `json:"series"`
	Reasons  []ReasonCount  `json:"reasons"`
	Adapters []Wait         `json:"adapters"` // that caused most load stalls
	Targets  []Wait         `json:"targets"`
}

// Records keeps the newest hour of requests by series, for reports.
type Records struct {
	mu      sync.Mutex
	series  map[Series][]Bucket
	reasons map[string]int64
	// Waits by what was waited for.
	adapters waits
	targets  waits
}

func newRecords() *Records {
	return &Records{
		series: make(map[Series][]Bucket), reasons: make(map[string]int64),
		adapters: make(waits), targets: make(waits),
	}
}

// waits adds up load stalls by name.
type waits map[string]time.Duration

const maxWaits = 4096

func (w waits) add(name string, d time.Duration) {
	if _, known := w[name]; known || len(w) < maxWaits {
		w[name] += d
	}
}

// Wait is the load stall that one adapter or target caused in all.
type Wait struct {
	Name    string `json:"name"`
	TotalMS int64  `json:"total-ms"`
}

const topWaits = 20

func (w waits) top() []Wait {
	out := make([]Wait, 0, len(w))
	for name, d := range w {
		out = append(out, Wait{Name: name, TotalMS: d.Milliseconds()})
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].TotalMS > out[j].TotalMS || out[i].TotalMS == out[j].TotalMS && out[i].Name < out[j].Name
	})
	return out[:min(len(out), topWaits)]
}

// blame notes what a stalled request waited for. It is called with the lock
// held.
func (r *Records) blame(result dispatch.Result) {
	if result.Stall == 0 {
		return
	}
	r.adapters.add(result.Adapter.String(), result.Stall)
	r.targets.add(string(result.Target), result.Stall)
}

// Records returns the face's records.
func (f *Face) Records() *Records { return f.records }

// bucket returns the bucket of now. It is called with the lock held.
func (r *Records) bucket(s Series, now time.Time) *Bucket {
	start := now.Truncate(BucketSpan).UnixMilli()
	buckets, known := r.series[s]
	if !known && len(r.series) >= maxSeries {
		return &Bucket{}
	}
	if len(buckets) == 0 || buckets[len(buckets)-1].StartMS != start {
		buckets = append(buckets, Bucket{StartMS: start})
		buckets = buckets[max(0, len(buckets)-bucketCount):]
		r.series[s] = buckets
	}
	return &buckets[len(buckets)-1]
}

func (r *Records) answered(job *dispatch.Job, result dispatch.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(Series{job.Service.Name, job.Priority}, time.Now())
	b.Answered++
	b.Stalls.add(result.Stall)
	if result.Total > 0 {
		b.FirstTokens.add(result.FirstToken)
	}
	if result.Total > 1 {
		b.Gaps.add(result.Gap)
	}
	r.blame(result)
}

func (r *Records) refused(s Series, refusal *dispatch.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(s, time.Now())
	if refusal.Outcome == wire.NotRun {
		b.NotRun++
	} else {
		b.Unknown++
	}
	if _, known := r.reasons[refusal.Reason]; known || len(r.reasons) < maxReasons {
		r.reasons[refusal.Reason]++
	}
}

// Reasons returns the refusals by reason, most frequent first.
func (r *Records) Reasons() []ReasonCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]ReasonCount, 0, len(r.reasons))
	for reason, n := range r.reasons {
		out = append(out, ReasonCount{Reason: reason, Count: n})
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Count > out[j].Count || out[i].Count == out[j].Count && out[i].Reason < out[j].Reason
	})
	return out
}

// Export returns all records.
func (r *Records) Export() RecordsExport {
	out := RecordsExport{Reasons: r.Reasons()}
	r.mu.Lock()
	defer r.mu.Unlock()
	out.Adapters, out.Targets = r.adapters.top(), r.targets.top()
	for s, buckets := range r.series {
		out.Series = append(out.Series, SeriesExport{Series: s, Buckets: append([]Bucket(nil), buckets...)})
	}
	sort.Slice(out.Series, func(i, j int) bool {
		a, b := out.Series[i], out.Series[j]
		return a.Service < b.Service || a.Service == b.Service && a.Priority < b.Priority
	})
	return out
}
