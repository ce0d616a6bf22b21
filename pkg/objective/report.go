// Package objective holds what entries recorded against the declared service
// levels, and reports how fast their error budgets burn.
package objective

import (
	"sort"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/caller"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Level names what an objective is about.
type Level string

// The levels.
const (
	Availability  Level = "availability"
	LoadStall     Level = "load-stall"
	FirstToken    Level = "first-token"
	BetweenTokens Level = "between-tokens"
)

// State says how urgent a burn is.
type State string

// The states. A burn pages if it would spend a 30-day budget within about two
// days, and opens a ticket if within about five, by a short and a long window
// both.
const (
	OK     State = "ok"
	Ticket State = "ticket"
	Page   State = "page"
)

const (
	pageBurn   = 14.4
	ticketBurn = 6.0
)

// Spans are the windows of the report, shortest first.
var Spans = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour}

// Window is one objective over one span of time.
type Window struct {
	SpanS int64   `json:"span-s"`
	Bad   int64   `json:"bad"`
	Total int64   `json:"total"`
	Burn  float64 `json:"burn"` // 1 spends the budget exactly
}

// Point is an objective's share of bad requests in one span of the plot.
type Point struct {
	AtMS int64   `json:"at-ms"`
	Bad  float64 `json:"bad"`
}

// Row is one level of one objective.
type Row struct {
	Service     ident.Service  `json:"service"`
	MinPriority ident.Priority `json:"min-priority"`
	Level       Level          `json:"level"`
	LimitMS     int64          `json:"limit-ms,omitempty"`
	Target      float64        `json:"target"`
	Windows     []Window       `json:"windows"`
	// BudgetLeft is the share of the newest hour's budget that is unspent.
	BudgetLeft float64 `json:"budget-left"`
	State      State   `json:"state"`
	AtMS       int64   `json:"-"` // of the report
	Points     []Point `json:"points"`
}

// Report is the burn of all objectives, the most urgent first, and what caused
// most load stalls and refusals.
type Report struct {
	AtMS     int64                `json:"at-ms"`
	Rows     []Row                `json:"rows"`
	Refusals []caller.ReasonCount `json:"refusals"`
	Adapters []caller.StallTotal  `json:"adapters"`
	Targets  []caller.StallTotal  `json:"targets"`
}

// Compute reports on the records of all entries.
func Compute(services []wire.Service, records []caller.RequestStatsExport, now time.Time) Report {
	out := Report{AtMS: now.UnixMilli()}
	for _, s := range services {
		for _, o := range s.Objectives {
			buckets := bucketsOf(records, s.Name, o.MinPriority)
			out.Rows = append(out.Rows, rowsOf(s.Name, o, buckets, now)...)
		}
	}
	sort.SliceStable(out.Rows, func(i, j int) bool { return out.Rows[i].BudgetLeft < out.Rows[j].BudgetLeft })
	out.Refusals = mergeReasons(records)
	out.Adapters = mergeWaits(records, func(r caller.RequestStatsExport) []caller.StallTotal { return r.Adapters })
	out.Targets = mergeWaits(records, func(r caller.RequestStatsExport) []caller.StallTotal { return r.Targets })
	return out
}

func bucketsOf(records []caller.RequestStatsExport, service ident.Service, low ident.Priority) []caller.Bucket {
	var out []caller.Bucket
	for _, r := range records {
		for _, s := range r.Series {
			if s.Service == service && s.Priority >= low {
				out = append(out, s.Buckets...)
			}
		}
	}
	return out
}

// share is a number of bad requests among all.
type share struct{ bad, total int64 }

func (s *share) add(o share) {
	s.bad += o.bad
	s.total += o.total
}

func (s share) ratio() float64 {
	if s.total == 0 {
		return 0
	}
	return float64(s.bad) / float64(s.total)
}

type judge func(caller.Bucket) share

func over(c caller.Histogram, limitMS int64) share {
	total := c.Total()
	return share{bad: total - c.Within(limitMS), total: total}
}

func rowsOf(service ident.Service, o wire.Objective, buckets []caller.Bucket, now time.Time) []Row {
	levels := []struct {
		level  Level
		target float64
		limit  int64
		judge  judge
	}{
		{Availability, o.Availability, 0, func(b caller.Bucket) share {
			return share{bad: b.NotRun + b.Unknown, total: b.Answered + b.NotRun + b.Unknown}
		}},
		{LoadStall, o.StallShare, o.StallMS, func(b caller.Bucket) share { return over(b.Stalls, o.StallMS) }},
		{FirstToken, o.FirstTokenShare, o.FirstTokenMS, func(b caller.Bucket) share { return over(b.FirstTokens, o.FirstTokenMS) }},
		{BetweenTokens, o.GapShare, o.GapMS, func(b caller.Bucket) share { return over(b.Gaps, o.GapMS) }},
	}
	var out []Row
	for _, l := range levels {
		if l.target == 0 {
			continue
		}
		row := Row{Service: service, MinPriority: o.MinPriority, Level: l.level, LimitMS: l.limit, Target: l.target}
		row.fill(buckets, l.judge, now)
		out = append(out, row)
	}
	return out
}

func (r *Row) fill(buckets []caller.Bucket, j judge, now time.Time) {
	budget := 1 - r.Target
	for _, span := range Spans {
		s := within(buckets, j, now.Add(-span), now)
		r.Windows = append(r.Windows, Window{
			SpanS: int64(span.Seconds()), Bad: s.bad, Total: s.total, Burn: s.ratio() / budget,
		})
	}
	r.BudgetLeft = 1 - r.Windows[len(r.Windows)-1].Burn
	r.State = stateOf(r.Windows)
	r.AtMS = now.UnixMilli()
	r.Points = points(buckets, j, now)
}

func within(buckets []caller.Bucket, j judge, from, to time.Time) share {
	var s share
	for _, b := range buckets {
		if b.StartMS >= from.UnixMilli() && b.StartMS < to.UnixMilli() {
			s.add(j(b))
		}
	}
	return s
}

func stateOf(w []Window) State {
	short, long := w[0].Burn, w[len(w)-1].Burn
	switch {
	case short >= pageBurn && long >= pageBurn:
		return Page
	case w[1].Burn >= ticketBurn && long >= ticketBurn:
		return Ticket
	}
	return OK
}

const pointSpan = time.Minute

func points(buckets []caller.Bucket, j judge, now time.Time) []Point {
	var out []Point
	for at := now.Add(-time.Hour).Truncate(pointSpan); at.Before(now); at = at.Add(pointSpan) {
		if s := within(buckets, j, at, at.Add(pointSpan)); s.total > 0 {
			out = append(out, Point{AtMS: at.UnixMilli(), Bad: s.ratio()})
		}
	}
	return out
}

func mergeReasons(records []caller.RequestStatsExport) []caller.ReasonCount {
	counts := make(map[string]int64)
	for _, r := range records {
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

func mergeWaits(records []caller.RequestStatsExport, pick func(caller.RequestStatsExport) []caller.StallTotal) []caller.StallTotal {
	totals := make(map[string]int64)
	for _, r := range records {
		for _, w := range pick(r) {
			totals[w.Name] += w.TotalMS
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
