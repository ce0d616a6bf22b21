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
	// BucketSpan is the time that one bucket covers.
	BucketSpan  = 10 * time.Second
	bucketCount = 360 // one hour of buckets
	maxSeries   = 256
	maxReasons  = 256
)

// Series identifies one service's requests of one priority. Requests refused
// before their service is known count under the zero Series.
type Series struct {
	Service  ident.Service  `json:"service"`
	Priority ident.Priority `json:"priority"`
}

// HistogramBoundsMS are the inclusive upper bounds, in ms, of the histograms in
// a Bucket.
var HistogramBoundsMS = [...]int64{0, 10, 20, 29, 40, 60, 100, 250, 500, 1000, 1600, 2500, 4000, 8000, 16000}

// Histogram is a histogram of durations, with one count for each of
// HistogramBoundsMS and one for longer durations.
type Histogram [len(HistogramBoundsMS) + 1]int64

func (h *Histogram) add(d time.Duration) {
	ms := d.Milliseconds()
	h[sort.Search(len(HistogramBoundsMS), func(i int) bool { return ms <= HistogramBoundsMS[i] })]++
}

// Within returns the number of durations of at most ms. If ms lies between two
// bounds, the lower bound is used.
func (h Histogram) Within(ms int64) int64 {
	total := int64(0)
	for i, bound := range HistogramBoundsMS {
		if bound <= ms {
			total += h[i]
		}
	}
	return total
}

// Total returns the number of durations.
func (h Histogram) Total() int64 {
	total := int64(0)
	for _, n := range h {
		total += n
	}
	return total
}

// Bucket counts the requests of one series in one BucketSpan.
type Bucket struct {
	StartMS     int64     `json:"start-ms"` // Unix time in ms
	Answered    int64     `json:"answered"`
	NotRun      int64     `json:"not-run"`
	Unknown     int64     `json:"unknown"`
	Stalls      Histogram `json:"stalls"`
	FirstTokens Histogram `json:"first-tokens"`
	Gaps        Histogram `json:"gaps"`
}

// SeriesExport is one series with its buckets, oldest first.
type SeriesExport struct {
	Series
	Buckets []Bucket `json:"buckets"`
}

// ReasonCount is the number of requests refused for one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// RequestStatsExport is an entry's request statistics: series over the last hour,
// reasons and stalls since its start.
type RequestStatsExport struct {
	Series   []SeriesExport `json:"series"`
	Reasons  []ReasonCount  `json:"reasons"`
	Adapters []StallTotal   `json:"adapters"` // those with the most load stall
	Targets  []StallTotal   `json:"targets"`
}

// RequestStats holds an entry's request statistics for reports. Series are kept for
// the last hour.
type RequestStats struct {
	mu      sync.Mutex
	series  map[Series][]Bucket
	reasons map[string]int64
	// Load stalls by the adapter or target that caused them.
	adapters stallTotals
	targets  stallTotals
}

func newRequestStats() *RequestStats {
	return &RequestStats{
		series: make(map[Series][]Bucket), reasons: make(map[string]int64),
		adapters: make(stallTotals), targets: make(stallTotals),
	}
}

// stallTotals sums load stalls by name.
type stallTotals map[string]time.Duration

const maxStallNames = 4096

func (t stallTotals) add(name string, d time.Duration) {
	if _, known := t[name]; known || len(t) < maxStallNames {
		t[name] += d
	}
}

// StallTotal is the total load stall that one adapter or target caused.
type StallTotal struct {
	Name    string `json:"name"`
	TotalMS int64  `json:"total-ms"`
}

const topStalls = 20

func (t stallTotals) top() []StallTotal {
	out := make([]StallTotal, 0, len(t))
	for name, d := range t {
		out = append(out, StallTotal{Name: name, TotalMS: d.Milliseconds()})
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].TotalMS > out[j].TotalMS || out[i].TotalMS == out[j].TotalMS && out[i].Name < out[j].Name
	})
	return out[:min(len(out), topStalls)]
}

// addStall adds a request's load stall to its adapter and target. The caller
// holds mu.
func (r *RequestStats) addStall(result dispatch.Result) {
	if result.LoadStall == 0 {
		return
	}
	r.adapters.add(result.Adapter.String(), result.LoadStall)
	r.targets.add(string(result.Target), result.LoadStall)
}

// Stats returns the server's request statistics.
func (srv *Server) Stats() *RequestStats { return srv.stats }

// bucket returns the bucket of a series at now. The caller holds mu.
func (r *RequestStats) bucket(s Series, now time.Time) *Bucket {
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

func (r *RequestStats) answered(job *dispatch.Job, result dispatch.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(Series{job.Service.Name, job.Priority}, time.Now())
	b.Answered++
	b.Stalls.add(result.LoadStall)
	if result.TokenCount > 0 {
		b.FirstTokens.add(result.FirstToken)
	}
	if result.TokenCount > 1 {
		b.Gaps.add(result.TokenInterval)
	}
	r.addStall(result)
}

func (r *RequestStats) refused(s Series, refusal *dispatch.Refusal) {
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

// Reasons returns the refusals by reason, the most frequent first.
func (r *RequestStats) Reasons() []ReasonCount {
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

// Export returns a copy of all statistics.
func (r *RequestStats) Export() RequestStatsExport {
	out := RequestStatsExport{Reasons: r.Reasons()}
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
