package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/experiment"
)

func (t *tool) experiment() *ffcli.Command {
	fs := t.flags("experiment")
	file := fs.String("json", "build/bench.json", "file to write the results to")
	plots := fs.String("plots", "", "directory to write plots to; empty for none")
	return &ffcli.Command{
		Name: "experiment", ShortHelp: "compare policies on the users' workloads", FlagSet: fs,
		Exec: func(context.Context, []string) error {
			results := runAll(experiment.Standard())
			if err := writeJSONFile(*file, results); err != nil {
				return errors.Trace(err)
			}
			printResults(t.out, results)
			if *plots == "" {
				return nil
			}
			balanceResults := runBalances()
			fmt.Fprintln(t.out, "\nbalance: stall p95 ms, batch efficiency")
			for i, r := range balanceResults {
				fmt.Fprintf(t.out, "%s %.1f: %.0f, %.3f\n", r.Workload, balances[i%len(balances)], r.StallP95MS, r.BatchEfficiency)
			}
			if err := plotBalances(*plots, balanceResults); err != nil {
				return errors.Trace(err)
			}
			return plotLoads(*plots, results)
		},
	}
}

// runAll runs every workload under every policy concurrently.
func runAll(workloads []experiment.Workload) []experiment.Result {
	names := append([]experiment.PolicyName{experiment.Bound}, experiment.Policies...)
	out := make([]experiment.Result, len(workloads)*len(names))
	var wg sync.WaitGroup
	for i, w := range workloads {
		for j, name := range names {
			wg.Go(func() { out[i*len(names)+j] = experiment.Run(w, name) })
		}
	}
	wg.Wait()
	return out
}

func printResults(out io.Writer, results []experiment.Result) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "workload\tpolicy\tstall p50 ms\tp95\tp99\tefficiency\tloads/100\tgoodput\trefused\tover rate\tspread\trecovery s\t")
	lastWorkload := ""
	for _, r := range results {
		if lastWorkload != "" && lastWorkload != r.Workload {
			fmt.Fprintln(w, "\t\t\t\t\t\t\t\t\t\t\t\t")
		}
		lastWorkload = r.Workload
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.3f\t%.1f\t%.3f\t%.3f\t%d\t%.3f\t%.0f\t\n", r.Workload, r.Policy,
			r.StallP50MS, r.StallP95MS, r.StallP99MS, r.BatchEfficiency, r.LoadsPerHundred, r.GoodputRatio, r.RefusedRatio,
			r.LoadsOverRate, r.ClassSpread, r.RecoveryS)
	}
	_ = w.Flush()
}

func writeJSONFile(name string, v any) error {
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return errors.Trace(err)
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(name, append(data, '\n'), 0o644))
}
