package bench

import (
	"path/filepath"
	"sort"
	"strings"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/hyssoproad/hyssoproad/pkg/experiment"
)

const (
	figureWidth  = 16 * vg.Centimeter
	figureHeight = 10 * vg.Centimeter
	msPerSecond  = 1000
	// legendRoom is the ratio of the y axis to the highest point. It leaves room for
	// the legend.
	legendRoom = 1.3
)

// figure describes one plot of results.
type figure struct {
	file, title, xLabel, yLabel string
	include                     func(experiment.Result) bool
	xValue                      func(experiment.Result) float64
	yValue                      func(experiment.Result) float64
}

func users() []string { return []string{"bergstrom", "latones"} }

// plotLoads plots load stall, batch efficiency and goodput against offered load for
// both users.
func plotLoads(dir string, results []experiment.Result) error {
	for _, user := range users() {
		withoutFault := func(r experiment.Result) bool {
			return strings.HasPrefix(r.Workload, user) && strings.Count(r.Workload, "-") == 1
		}
		offered := func(r experiment.Result) float64 { return r.Offered }
		figures := []figure{
			{user + "-stall.svg", user + ": load stall, 95th percentile", "requests/s offered", "s", withoutFault, offered,
				func(r experiment.Result) float64 { return r.StallP95MS / msPerSecond }},
			{user + "-efficiency.svg", user + ": batch efficiency", "requests/s offered", "share of seats", withoutFault, offered,
				func(r experiment.Result) float64 { return r.BatchEfficiency }},
			{user + "-goodput.svg", user + ": goodput within deadline", "requests/s offered", "share of requests", withoutFault, offered,
				func(r experiment.Result) float64 { return r.GoodputRatio }},
		}
		for _, f := range figures {
			if err := f.draw(dir, results); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

func (f figure) draw(dir string, results []experiment.Result) error {
	lines := make(map[string]plotter.XYs)
	for _, r := range results {
		if f.include(r) {
			lines[string(r.Policy)] = append(lines[string(r.Policy)], plotter.XY{X: f.xValue(r), Y: f.yValue(r)})
		}
	}
	names := make([]string, 0, len(lines))
	for name := range lines {
		names = append(names, name)
	}
	sort.Strings(names)
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = f.title, f.xLabel, f.yLabel
	p.Y.Min = 0
	p.Legend.Top = true
	var args []any
	for _, name := range names {
		args = append(args, name, lines[name])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return errors.Trace(err)
	}
	p.Y.Max *= legendRoom
	return errors.Trace(p.Save(figureWidth, figureHeight, filepath.Join(dir, f.file)))
}

// balances are the values of the balance setting for the curve of load stall against
// batch efficiency.
var balances = []float64{0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.8, 1}

// runBalances runs one lightly loaded workload of each user at every balance.
func runBalances() []experiment.Result {
	var out []experiment.Result
	for _, base := range []experiment.Workload{experiment.Bergstrom(4), experiment.Latones(6)} {
		for _, b := range balances {
			w := base
			w.Balance = b
			out = append(out, experiment.Run(w, experiment.Hyssoproad))
		}
	}
	return out
}

// plotBalances plots load stall against batch efficiency, one point per balance.
func plotBalances(dir string, results []experiment.Result) error {
	f := figure{
		file: "balance.svg", title: "stall against efficiency, balance from 0 (right) to 1 (left)", xLabel: "batch efficiency", yLabel: "stall p95, s",
		include: func(experiment.Result) bool { return true },
		xValue:  func(r experiment.Result) float64 { return r.BatchEfficiency },
		yValue:  func(r experiment.Result) float64 { return r.StallP95MS / msPerSecond },
	}
	named := make([]experiment.Result, len(results))
	for i, r := range results {
		r.Policy = experiment.PolicyName(r.Workload)
		named[i] = r
	}
	return f.draw(dir, named)
}
