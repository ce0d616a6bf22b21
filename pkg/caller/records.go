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

// StallBoundsMS are the upper bounds, in ms, of the load stalls that a bucket
// counts apart.
var StallBoundsMS = [...]int64{0, 100, 250, 500, 1000, 2000, 4000, 8000, 16000}

// Bucket counts what happened in one span of time.
type Bucket struct {
	StartMS  int64 `json:"start-ms"` // Unix time in ms
	Answered int64 `json:"answered"`
	NotRun   int64 `json:"not-run"`
	Unknown  int64 `json:"unknown"`
	// Stalls counts the answered requests by load stall, one count for each
	// of StallBoundsMS and one for longer stalls.
	Stalls [len(StallBoundsMS) + 1]int64 `json:"stalls"`
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
	Series  []SeriesExport `json:"series"`
	Reasons []ReasonCount  `json:"reasons"`
}

// Records keeps the newest hour of requests by series, for reports.
type Records struct {
	mu      sync.Mutex
	series  map[Series][]Bucket
	reasons map[string]int64
}

func newRecords() *Records {
	return &Records{series: make(map[Series][]Bucket), reasons: make(map[string]int64)}
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
	b.Stalls[stallIndex(result.Stall.Milliseconds())]++
}

func stallIndex(ms int64) int {
	return sort.Search(len(StallBoundsMS), func(i int) bool { return ms <= StallBoundsMS[i] })
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
	for s, buckets := range r.series {
		out.Series = append(out.Series, SeriesExport{Series: s, Buckets: append([]Bucket(nil), buckets...)})
	}
	sort.Slice(out.Series, func(i, j int) bool {
		a, b := out.Series[i], out.Series[j]
		return a.Service < b.Service || a.Service == b.Service && a.Priority < b.Priority
	})
	return out
}
