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
	// legendRoom is the factor by which the ordinate exceeds the highest point.
	legendRoom = 1.3
)

// figure is one plot of results.
type figure struct {
	file, title, x, y string
	pick              func(experiment.Result) bool
	abscissa          func(experiment.Result) float64
	ordinate          func(experiment.Result) float64
}

func users() []string { return []string{"bergstrom", "latones"} }

// plotLoads draws stall and efficiency against offered load for both users.
func plotLoads(dir string, results []experiment.Result) error {
	for _, user := range users() {
		plain := func(r experiment.Result) bool {
			return strings.HasPrefix(r.Workload, user) && strings.Count(r.Workload, "-") == 1
		}
		offered := func(r experiment.Result) float64 { return r.Offered }
		figures := []figure{
			{user + "-stall.svg", user + ": load stall, 95th percentile", "requests/s offered", "s", plain, offered,
				func(r experiment.Result) float64 { return r.StallP95MS / msPerSecond }},
			{user + "-efficiency.svg", user + ": batch efficiency", "requests/s offered", "share of seats", plain, offered,
				func(r experiment.Result) float64 { return r.BatchEfficiency }},
			{user + "-goodput.svg", user + ": goodput within deadline", "requests/s offered", "share of requests", plain, offered,
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
		if f.pick(r) {
			lines[string(r.Policy)] = append(lines[string(r.Policy)], plotter.XY{X: f.abscissa(r), Y: f.ordinate(r)})
		}
	}
	names := make([]string, 0, len(lines))
	for name := range lines {
		names = append(names, name)
	}
	sort.Strings(names)
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = f.title, f.x, f.y
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

// balances are the points of the curve between batch efficiency and stalls.
var balances = []float64{0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.8, 1}

// runBalances runs a user's light workload at every balance.
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

// plotBalances draws stall against efficiency, a point for each balance.
func plotBalances(dir string, results []experiment.Result) error {
	f := figure{
		file: "balance.svg", title: "stall against efficiency, balance from 0 (right) to 1 (left)", x: "batch efficiency", y: "stall p95, s",
		pick:     func(experiment.Result) bool { return true },
		abscissa: func(r experiment.Result) float64 { return r.BatchEfficiency },
		ordinate: func(r experiment.Result) float64 { return r.StallP95MS / msPerSecond },
	}
	named := make([]experiment.Result, len(results))
	for i, r := range results {
		r.Policy = experiment.PolicyName(r.Workload)
		named[i] = r
	}
	return f.draw(dir, named)
}
