package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

// Sample is the average resource use per process of one role in one deployment.
type Sample struct {
	Agents   int     `json:"agents"`
	Entries  int     `json:"entries"`
	Adapters int     `json:"adapters"`
	Role     string  `json:"role"`
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory-mb"`
	KBOut    float64 `json:"kb-out"` // per second
	KBIn     float64 `json:"kb-in"`
	Frames   float64 `json:"frames"` // sent per second
	// Calls to the object API, of the whole deployment.
	ObjectReads   float64 `json:"object-reads"` // per second
	ObjectWrites  float64 `json:"object-writes"`
	ObjectWatches float64 `json:"object-watches"`
}

// capacity returns the subcommand that samples a running deployment or fits lines
// to earlier samples.
func (t *tool) capacity() *ffcli.Command {
	fs := t.flags("capacity")
	dir := fs.String("dir", "build/local", "the deployment's directory")
	span := fs.Duration("span", 15*time.Second, "sampling time")
	file := fs.String("samples", "build/capacity.json", "file of samples, one per line")
	fit := fs.Bool("fit", false, "fit lines to the samples and print the table")
	return &ffcli.Command{
		Name: "capacity", ShortHelp: "sample the resource use of processes and extrapolate it", FlagSet: fs,
		Exec: func(context.Context, []string) error {
			if *fit {
				return t.fitSamples(*file)
			}
			samples, err := sampleDeployment(*dir, *span)
			if err != nil {
				return errors.Trace(err)
			}
			return appendSamples(*file, samples)
		},
	}
}

// usage holds the current memory of a process, and its CPU time and traffic since
// its start.
type usage struct {
	role    string
	ticks   int64
	memory  int64 // bytes
	traffic link.Traffic
}

const (
	ticksPerSecond = 100 // of the CPU times in /proc/PID/stat
	bytesPerMB     = 1 << 20
	bytesPerKB     = 1000
)

func sampleDeployment(dir string, span time.Duration) ([]Sample, error) {
	d, err := readDeployment(dir)
	if err != nil {
		return nil, errors.Trace(err)
	}
	before, calls, err := readUsage(dir, d)
	if err != nil {
		return nil, errors.Trace(err)
	}
	time.Sleep(span)
	after, callsAfter, err := readUsage(dir, d)
	if err != nil {
		return nil, errors.Trace(err)
	}
	base := Sample{Agents: len(d.standIns.Targets), Entries: len(d.entries), Adapters: countAdapters(dir)}
	seconds := span.Seconds()
	base.ObjectReads = float64(callsAfter.Reads-calls.Reads) / seconds
	base.ObjectWrites = float64(callsAfter.Writes-calls.Writes) / seconds
	base.ObjectWatches = float64(callsAfter.Watches-calls.Watches) / seconds
	return averageSamples(base, before, after, seconds), nil
}

func countAdapters(dir string) int {
	files, err := filepath.Glob(filepath.Join(dir, "declarations", "adapters-*.hujson"))
	if err != nil {
		return 0
	}
	n := 0
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err == nil {
			n += strings.Count(string(text), `"name"`)
		}
	}
	return n
}

func averageSamples(base Sample, before, after map[int]usage, seconds float64) []Sample {
	sums := make(map[string]Sample)
	counts := make(map[string]float64)
	for pid, b := range before {
		a, ok := after[pid]
		if !ok {
			continue
		}
		s := sums[a.role]
		s.Cores += float64(a.ticks-b.ticks) / ticksPerSecond / seconds
		s.MemoryMB += float64(a.memory) / bytesPerMB
		s.KBOut += float64(a.traffic.BytesOut-b.traffic.BytesOut) / bytesPerKB / seconds
		s.KBIn += float64(a.traffic.BytesIn-b.traffic.BytesIn) / bytesPerKB / seconds
		s.Frames += float64(a.traffic.FramesOut-b.traffic.FramesOut) / seconds
		sums[a.role] = s
		counts[a.role]++
	}
	var out []Sample
	for role, s := range sums {
		n := counts[role]
		row := base
		row.Role = role
		row.Cores, row.MemoryMB = s.Cores/n, s.MemoryMB/n
		row.KBOut, row.KBIn, row.Frames = s.KBOut/n, s.KBIn/n, s.Frames/n
		out = append(out, row)
	}
	return out
}

func readUsage(dir string, d runningDeployment) (map[int]usage, standin.ObjectCalls, error) {
	var calls standin.ObjectCalls
	if err := getJSON("http://"+d.standIns.Platform+"/calls", &calls); err != nil {
		return nil, calls, errors.Trace(err)
	}
	file, err := os.Open(filepath.Join(dir, "pids"))
	if err != nil {
		return nil, calls, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	out := make(map[int]usage)
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var pid int
		var name string
		if _, err := fmt.Sscan(scanner.Text(), &pid, &name); err != nil || name == "stand-ins" {
			continue
		}
		u, err := processUsage(dir, pid, name)
		if err != nil {
			return nil, calls, errors.Annotatef(err, "process %s", name)
		}
		out[pid] = u
	}
	return out, calls, nil
}

func processUsage(dir string, pid int, name string) (usage, error) {
	role, _, _ := strings.Cut(name, "-")
	u := usage{role: role}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, errors.Trace(err)
	}
	// The fields after the command's closing parenthesis begin with the state.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userTicks, systemTicks, residentPages = 11, 12, 21
	for _, i := range []int{userTicks, systemTicks} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return u, errors.Trace(err)
		}
		u.ticks += n
	}
	pages, err := strconv.ParseInt(fields[residentPages], 10, 64)
	if err != nil {
		return u, errors.Trace(err)
	}
	u.memory = pages * int64(os.Getpagesize())
	var p struct {
		Status string `json:"status"`
	}
	if err := loadPartial(filepath.Join(dir, name+".hujson"), &p); err != nil {
		return u, errors.Trace(err)
	}
	return u, errors.Trace(getJSON("http://"+p.Status+"/traffic", &u.traffic))
}

// loadPartial reads those keys of a generated settings file that v has fields for.
func loadPartial(name string, v any) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(json.Unmarshal(data, v))
}

func appendSamples(name string, samples []Sample) error {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	encoder := json.NewEncoder(file)
	for _, s := range samples {
		if err := encoder.Encode(s); err != nil {
			_ = file.Close()
			return errors.Trace(err)
		}
	}
	return errors.Trace(file.Close())
}

// The size that the system is designed for.
const (
	designAgents   = 660
	designEntries  = 12
	designAdapters = 44000
)

func (t *tool) fitSamples(name string) error {
	samples, err := readSamples(name)
	if err != nil {
		return errors.Trace(err)
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "role\tagents\tentries\tadapters\tcores\tMB\tKB/s out\tKB/s in\tframes/s\tobject reads/s\twrites/s\twatches/s\t")
	for _, s := range samples {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.4f\t%.1f\t%.2f\t%.2f\t%.1f\t%.2f\t%.2f\t%.2f\t\n", s.Role, s.Agents, s.Entries, s.Adapters,
			s.Cores, s.MemoryMB, s.KBOut, s.KBIn, s.Frames, s.ObjectReads, s.ObjectWrites, s.ObjectWatches)
	}
	if err := w.Flush(); err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintln(t.out)
	return t.printFits(samples)
}

func readSamples(name string) ([]Sample, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	var out []Sample
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var s Sample
		if err := json.Unmarshal(scanner.Bytes(), &s); err != nil {
			return nil, errors.Trace(err)
		}
		out = append(out, s)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Role < out[j].Role })
	return out, nil
}

// fittedLine is the least-squares line through samples.
type fittedLine struct {
	intercept, slope float64
	residual         float64 // largest absolute residual
	points           int
}

func fitLine(xs, ys []float64) fittedLine {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	f := fittedLine{points: len(xs)}
	if d := n*sxx - sx*sx; d != 0 {
		f.slope = (n*sxy - sx*sy) / d
	}
	f.intercept = (sy - f.slope*sx) / n
	for i := range xs {
		f.residual = max(f.residual, abs(ys[i]-f.at(xs[i])))
	}
	return f
}

func abs(x float64) float64 { return max(x, -x) }

func (f fittedLine) at(x float64) float64 { return f.intercept + f.slope*x }

// quantity is one value of a sample as a function of one size of the deployment.
type quantity struct {
	name, size string
	y          func(Sample) float64
	x          func(Sample) int
	designSize float64
}

var quantities = []quantity{
	{"cores", "agents", func(s Sample) float64 { return s.Cores }, agentsOf, designAgents},
	{"MB", "agents", func(s Sample) float64 { return s.MemoryMB }, agentsOf, designAgents},
	{"KB/s out", "agents", func(s Sample) float64 { return s.KBOut }, agentsOf, designAgents},
	{"KB/s in", "agents", func(s Sample) float64 { return s.KBIn }, agentsOf, designAgents},
	{"KB/s out", "entries", func(s Sample) float64 { return s.KBOut }, entriesOf, designEntries},
	{"cores", "entries", func(s Sample) float64 { return s.Cores }, entriesOf, designEntries},
	{"MB", "adapters", func(s Sample) float64 { return s.MemoryMB }, adaptersOf, designAdapters},
	{"object API calls/s", "agents", callsOf, agentsOf, designAgents},
	{"object API calls/s", "entries", callsOf, entriesOf, designEntries},
}

func agentsOf(s Sample) int   { return s.Agents }
func entriesOf(s Sample) int  { return s.Entries }
func adaptersOf(s Sample) int { return s.Adapters }
func callsOf(s Sample) float64 {
	return s.ObjectReads + s.ObjectWrites + s.ObjectWatches
}

func (t *tool) printFits(samples []Sample) error {
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "role\tquantity\tagainst\tpoints\tat 0\tslope\tlargest residual\tdesign size\tat design size\t")
	for _, role := range []string{"agent", "entry"} {
		for _, q := range quantities {
			xs, ys := q.selectPoints(samples, role)
			if len(xs) < 2 {
				continue
			}
			f := fitLine(xs, ys)
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.4f\t%.6f\t%.4f\t%.0f\t%.3f\t\n", role, q.name, q.size, f.points, f.intercept, f.slope, f.residual, q.designSize, f.at(q.designSize))
		}
	}
	return errors.Trace(w.Flush())
}

// selectPoints returns the points of a role's samples in which all sizes except the
// quantity's own equal those of the first sample.
func (q quantity) selectPoints(samples []Sample, role string) (xs, ys []float64) {
	var first *Sample
	for i := range samples {
		s := &samples[i]
		if s.Role != role {
			continue
		}
		if first == nil {
			first = s
		}
		if q.equalExceptSize(*first, *s) {
			xs = append(xs, float64(q.x(*s)))
			ys = append(ys, q.y(*s))
		}
	}
	return xs, ys
}

func (q quantity) equalExceptSize(a, b Sample) bool {
	same := func(size string, x, y int) bool { return q.size == size || x == y }
	return same("agents", a.Agents, b.Agents) && same("entries", a.Entries, b.Entries) && same("adapters", a.Adapters, b.Adapters)
}
