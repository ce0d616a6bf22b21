package objective

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const maxCauseRows = 8

// WriteText writes the report as tables.
func (r Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "STATE\tSERVICE\tFROM PRIORITY\tLEVEL\tTARGET\tBURN 5 MIN\tBURN 30 MIN\tBURN 1 H\tBUDGET LEFT\tBAD/ALL IN 1 H")
	for _, row := range r.Rows {
		last := row.Windows[len(row.Windows)-1]
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.0f%%\t%d/%d\n", row.State, row.Service, row.MinPriority, row.Label(), row.TargetText(),
			row.Windows[0].Burn, row.Windows[1].Burn, last.Burn, 100*row.BudgetLeft, last.Bad, last.Total)
	}
	fmt.Fprintln(w, "\nREFUSAL\tCOUNT")
	for _, c := range r.Refusals[:min(maxCauseRows, len(r.Refusals))] {
		fmt.Fprintf(w, "%s\t%d\n", c.Reason, c.Count)
	}
	fmt.Fprintln(w, "\nSTALLED BY ADAPTER\tTOTAL MS")
	for _, a := range r.Adapters[:min(maxCauseRows, len(r.Adapters))] {
		fmt.Fprintf(w, "%s\t%d\n", a.Name, a.TotalMS)
	}
	fmt.Fprintln(w, "\nSTALLED ON TARGET\tTOTAL MS")
	for _, a := range r.Targets[:min(maxCauseRows, len(r.Targets))] {
		fmt.Fprintf(w, "%s\t%d\n", a.Name, a.TotalMS)
	}
	return errors.Trace(w.Flush())
}

// Label describes the row's level and limit.
func (r Row) Label() string {
	if r.LimitMS == 0 {
		return string(r.Level)
	}
	return fmt.Sprintf("%s within %d ms", r.Level, r.LimitMS)
}

// TargetText returns the target as a percentage.
func (r Row) TargetText() string { return fmt.Sprintf("%g%%", 100*r.Target) }

// Percent returns the unspent budget as a percentage.
func (r Row) Percent() string { return fmt.Sprintf("%.0f%%", 100*r.BudgetLeft) }

// Plot returns an SVG plot of the percentage of bad requests over the last hour.
func (r Row) Plot() (template.HTML, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s: bad requests, %%", r.Service, r.Label())
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04"}
	points := make(plotter.XYs, len(r.Points))
	for i, point := range r.Points {
		points[i].X = float64(point.AtMS) / msPerSecond
		points[i].Y = 100 * point.Bad
	}
	if len(points) > 0 {
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return "", errors.Trace(err)
		}
		p.Add(line, marks)
	}
	budget := plotter.NewFunction(func(float64) float64 { return 100 * (1 - r.Target) })
	budget.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(budget)
	p.X.Min, p.X.Max = float64(r.AtMS-hourMS)/msPerSecond, float64(r.AtMS)/msPerSecond
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, 200*(1-r.Target), 1)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", errors.Trace(err)
	}
	// The SVG is safe as HTML: it is generated from numbers and validated names.
	_, body, _ := bytes.Cut(svg.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(body)), nil
}

const (
	msPerSecond = 1000
	hourMS      = 3600 * msPerSecond
	plotWidth   = 14 * vg.Centimeter
	plotHeight  = 5 * vg.Centimeter
)

var pageTemplate = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font-family:sans-serif;margin:2em;color:#222}
table{border-collapse:collapse;margin:1em 0}
td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}
td:first-child,th:first-child,td:nth-child(2),td:nth-child(4),th:nth-child(4){text-align:left}
.page{background:#f8c9c4}.ticket{background:#fbe8b6}.ok{background:#d6efd4}
figure{display:inline-block;margin:.5em}
</style></head><body>
<h1>Service-level burn</h1>
<p>{{.At}}. A burn of 1 spends the error budget exactly; the dashed line is the budget.</p>
<table><tr><th>State</th><th>Service</th><th>From priority</th><th>Level</th><th>Target</th>
<th>Burn, 5 min</th><th>Burn, 30 min</th><th>Burn, 1 h</th><th>Budget left</th></tr>
{{range .Rows}}<tr class="{{.State}}"><td>{{.State}}</td><td>{{.Service}}</td><td>{{.MinPriority}}</td><td>{{.Label}}</td><td>{{.TargetText}}</td>
{{range .Windows}}<td>{{printf "%.2f" .Burn}}</td>{{end}}<td>{{.Percent}}</td></tr>
{{end}}</table>
{{range .Rows}}<figure>{{.Plot}}</figure>{{end}}
<h2>Causes</h2>
<table><tr><th>Refusal</th><th>Count</th></tr>{{range .Refusals}}<tr><td>{{.Reason}}</td><td>{{.Count}}</td></tr>{{end}}</table>
<table><tr><th>Stalled by adapter</th><th>Total, ms</th></tr>{{range .Adapters}}<tr><td>{{.Name}}</td><td>{{.TotalMS}}</td></tr>{{end}}</table>
<table><tr><th>Stalled on target</th><th>Total, ms</th></tr>{{range .Targets}}<tr><td>{{.Name}}</td><td>{{.TotalMS}}</td></tr>{{end}}</table>
</body></html>
`))

// At returns the time of the report as text.
func (r Report) At() string { return time.UnixMilli(r.AtMS).UTC().Format("2006-01-02 15:04:05 UTC") }

// WriteHTML writes the report as one self-contained page.
func (r Report) WriteHTML(out io.Writer) error { return errors.Trace(pageTemplate.Execute(out, r)) }
