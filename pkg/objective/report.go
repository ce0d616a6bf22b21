// Package objective compares the request statistics of the entries with the
// declared service level objectives, and reports the burn rates of their error
// budgets.
package objective

import (
	"sort"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/caller"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Level is the service level indicator that an objective limits.
type Level string

// The levels.
const (
	Availability  Level = "availability"
	LoadStall     Level = "load-stall"
	FirstToken    Level = "first-token"
	BetweenTokens Level = "between-tokens"
)

// State is the urgency of a burn rate.
type State string

// The states. A burn rate that would spend a 30-day budget within about two days
// pages, and one that would spend it within about five days opens a ticket. Both
// a short and the longest window must show the rate.
const (
	OK     State = "ok"
	Ticket State = "ticket"
	Page   State = "page"
)

const (
	pageBurnRate   = 14.4
	ticketBurnRate = 6.0
)

// WindowSpans are the lengths of the windows of the report, shortest first.
var WindowSpans = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour}

// Window holds the bad requests and the burn rate of one objective over one time
// window.
type Window struct {
	SpanS int64   `json:"span-s"`
	Bad   int64   `json:"bad"`
	Total int64   `json:"total"`
	Burn  float64 `json:"burn"` // burn rate; 1 spends exactly the budget
}

// Point is the fraction of bad requests in the time that one point of the plot
// covers.
type Point struct {
	AtMS int64   `json:"at-ms"`
	Bad  float64 `json:"bad"`
}

// Row reports on one level of one objective.
type Row struct {
	Service     ident.Service  `json:"service"`
	MinPriority ident.Priority `json:"min-priority"`
	Level       Level          `json:"level"`
	LimitMS     int64          `json:"limit-ms,omitempty"`
	Target      float64        `json:"target"`
	Windows     []Window       `json:"windows"`
	// BudgetLeft is the unspent fraction of the last hour's error budget.
	BudgetLeft float64 `json:"budget-left"`
	State      State   `json:"state"`
	AtMS       int64   `json:"-"` // time of the report
	Points     []Point `json:"points"`
}

// Report holds the burn rates of all objectives, with the least remaining budget
// first. It also holds the reasons for refusals, and the adapters and targets with
// load stalls, each with the largest first.
type Report struct {
	AtMS     int64                `json:"at-ms"`
	Rows     []Row                `json:"rows"`
	Refusals []caller.ReasonCount `json:"refusals"`
	Adapters []caller.StallTotal  `json:"adapters"`
	Targets  []caller.StallTotal  `json:"targets"`
}

// Compute returns the report on the request statistics of all entries.
func Compute(services []wire.Service, stats []caller.RequestStatsExport, now time.Time) Report {
	out := Report{AtMS: now.UnixMilli()}
	for _, s := range services {
		for _, o := range s.Objectives {
			buckets := selectBuckets(stats, s.Name, o.MinPriority)
			out.Rows = append(out.Rows, newRows(s.Name, o, buckets, now)...)
		}
	}
	sort.SliceStable(out.Rows, func(i, j int) bool { return out.Rows[i].BudgetLeft < out.Rows[j].BudgetLeft })
	out.Refusals = mergeReasons(stats)
	out.Adapters = mergeStalls(stats, func(r caller.RequestStatsExport) []caller.StallTotal { return r.Adapters })
	out.Targets = mergeStalls(stats, func(r caller.RequestStatsExport) []caller.StallTotal { return r.Targets })
	return out
}

func selectBuckets(stats []caller.RequestStatsExport, service ident.Service, minPriority ident.Priority) []caller.Bucket {
	var out []caller.Bucket
	for _, r := range stats {
		for _, s := range r.Series {
			if s.Service == service && s.Priority >= minPriority {
				out = append(out, s.Buckets...)
			}
		}
	}
	return out
}

// errorCount is a number of bad requests and of all requests.
type errorCount struct{ bad, total int64 }

func (c *errorCount) add(o errorCount) {
	c.bad += o.bad
	c.total += o.total
}

func (c errorCount) errorRate() float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.bad) / float64(c.total)
}

type counter func(caller.Bucket) errorCount

func countOver(h caller.Histogram, limitMS int64) errorCount {
	total := h.Total()
	return errorCount{bad: total - h.Within(limitMS), total: total}
}

func newRows(service ident.Service, o wire.Objective, buckets []caller.Bucket, now time.Time) []Row {
	levels := []struct {
		level  Level
		target float64
		limit  int64
		count  counter
	}{
		{Availability, o.Availability, 0, func(b caller.Bucket) errorCount {
			return errorCount{bad: b.NotRun + b.Unknown, total: b.Answered + b.NotRun + b.Unknown}
		}},
		{LoadStall, o.StallShare, o.StallMS, func(b caller.Bucket) errorCount { return countOver(b.Stalls, o.StallMS) }},
		{FirstToken, o.FirstTokenShare, o.FirstTokenMS, func(b caller.Bucket) errorCount { return countOver(b.FirstTokens, o.FirstTokenMS) }},
		{BetweenTokens, o.GapShare, o.GapMS, func(b caller.Bucket) errorCount { return countOver(b.Gaps, o.GapMS) }},
	}
	var out []Row
	for _, l := range levels {
		if l.target == 0 {
			continue
		}
		row := Row{Service: service, MinPriority: o.MinPriority, Level: l.level, LimitMS: l.limit, Target: l.target}
		row.fill(buckets, l.count, now)
		out = append(out, row)
	}
	return out
}

func (r *Row) fill(buckets []caller.Bucket, count counter, now time.Time) {
	budget := 1 - r.Target
	for _, span := range WindowSpans {
		c := countWithin(buckets, count, now.Add(-span), now)
		r.Windows = append(r.Windows, Window{
			SpanS: int64(span.Seconds()), Bad: c.bad, Total: c.total, Burn: c.errorRate() / budget,
		})
	}
	r.BudgetLeft = 1 - r.Windows[len(r.Windows)-1].Burn
	r.State = stateOf(r.Windows)
	r.AtMS = now.UnixMilli()
	r.Points = points(buckets, count, now)
}

func countWithin(buckets []caller.Bucket, count counter, from, to time.Time) errorCount {
	var c errorCount
	for _, b := range buckets {
		if b.StartMS >= from.UnixMilli() && b.StartMS < to.UnixMilli() {
			c.add(count(b))
		}
	}
	return c
}

func stateOf(w []Window) State {
	short, long := w[0].Burn, w[len(w)-1].Burn
	switch {
	case short >= pageBurnRate && long >= pageBurnRate:
		return Page
	case w[1].Burn >= ticketBurnRate && long >= ticketBurnRate:
		return Ticket
	}
	return OK
}

const pointSpan = time.Minute

func points(buckets []caller.Bucket, count counter, now time.Time) []Point {
	var out []Point
	for at := now.Add(-time.Hour).Truncate(pointSpan); at.Before(now); at = at.Add(pointSpan) {
		if c := countWithin(buckets, count, at, at.Add(pointSpan)); c.total > 0 {
			out = append(out, Point{AtMS: at.UnixMilli(), Bad: c.errorRate()})
		}
	}
	return out
}

func mergeReasons(stats []caller.RequestStatsExport) []caller.ReasonCount {
	counts := make(map[string]int64)
	for _, r := range stats {
		for _, c := range r.Reasons {
			counts[c.Reason] += c.Count
		}
	}
	out := make([]caller.ReasonCount, 0, len(counts))
	for reason, n := range counts {
		out = append(out, caller.ReasonCount{Reason: reason, Count: n})
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Count > out[j].Count || out[i].Count == out[j].Count && out[i].Reason < out[j].Reason
	})
	return out
}

func mergeStalls(stats []caller.RequestStatsExport, stalls func(caller.RequestStatsExport) []caller.StallTotal) []caller.StallTotal {
	totals := make(map[string]int64)
	for _, r := range stats {
		for _, s := range stalls(r) {
			totals[s.Name] += s.TotalMS
		}
	}
	out := make([]caller.StallTotal, 0, len(totals))
	for name, ms := range totals {
		out = append(out, caller.StallTotal{Name: name, TotalMS: ms})
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].TotalMS > out[j].TotalMS || out[i].TotalMS == out[j].TotalMS && out[i].Name < out[j].Name
	})
	return out
}
