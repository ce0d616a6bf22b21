package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/settings"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// loadPlan describes the load to generate.
type loadPlan struct {
	dir             string
	requests        int
	duration        time.Duration // 0 means that requests limits the run
	rate            float64       // requests per second; 0 means closed loop
	inFlight        int
	adapters        int
	skew            float64
	tokens          int
	deadlineMS      int
	nonIdempotent   float64 // share of non-idempotent calls
	streamed        float64
	misroutedChunks float64
	delayedChunks   float64
	seed            uint64
	strict          bool // any verdict but right is a failure
}

func (t *tool) load() *ffcli.Command {
	fs := t.flags("load")
	var p loadPlan
	fs.StringVar(&p.dir, "dir", "build/local", "the deployment's directory")
	fs.IntVar(&p.requests, "requests", 1000, "requests to send")
	fs.DurationVar(&p.duration, "duration", 0, "send for this time instead of a number of requests")
	fs.Float64Var(&p.rate, "rate", 0, "requests per second in an open loop; 0 for a closed loop with in-flight requests")
	fs.IntVar(&p.inFlight, "in-flight", 200, "maximum number of requests in flight")
	fs.IntVar(&p.adapters, "adapters", 300, "number of adapters to request")
	fs.Float64Var(&p.skew, "skew", 1.01, "exponent of adapter popularity; 1 or less is uniform")
	fs.IntVar(&p.tokens, "tokens", 12, "tokens per response")
	fs.IntVar(&p.deadlineMS, "deadline-ms", 0, "value of the deadline header; 0 sends none")
	fs.Float64Var(&p.nonIdempotent, "risky", 0, "share of non-idempotent requests, half of them to engines and half to the plain service")
	fs.Float64Var(&p.streamed, "streamed", 0.5, "share of streamed responses")
	fs.Float64Var(&p.misroutedChunks, "crossed", 0, "share of the engines' chunks that are sent on another stream")
	fs.Float64Var(&p.delayedChunks, "late", 0, "share of the engines' chunks that arrive late")
	fs.Uint64Var(&p.seed, "seed", 1, "seed")
	fs.BoolVar(&p.strict, "strict", false, "exit 1 unless every response is right")
	return &ffcli.Command{
		Name: "load", ShortHelp: "send requests and check every response", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			summary, err := p.run(ctx)
			if err != nil {
				return errors.Trace(err)
			}
			if err := json.NewEncoder(t.out).Encode(summary); err != nil {
				return errors.Trace(err)
			}
			return summary.check(p.strict)
		},
	}
}

// Summary is the result of a load run.
type Summary struct {
	Requests int     `json:"requests"`
	Seconds  float64 `json:"seconds"`
	// TokensPerSecond counts the tokens of right responses only.
	TokensPerSecond float64         `json:"tokens-per-second"`
	Verdicts        map[verdict]int `json:"verdicts"`
	Reasons         map[string]int  `json:"reasons,omitempty"`
	Samples         []string        `json:"samples,omitempty"`
	TookP50MS       float64         `json:"took-p50-ms"`
	TookP99MS       float64         `json:"took-p99-ms"`
	StallP50MS      float64         `json:"stall-p50-ms"`
	StallP95MS      float64         `json:"stall-p95-ms"`
	// NonIdempotentKeys and the fields below are computed from the records of the stand-ins.
	NonIdempotentKeys int      `json:"risky-keys"`
	RunTwice          int      `json:"run-twice"`
	FalseNotRun       int      `json:"false-not-run"`
	EvictedInUse      int64    `json:"evicted-in-use"`
	Loads             int64    `json:"loads"`
	LoadsQueued       int64    `json:"loads-queued"`
	Broken            []string `json:"broken,omitempty"`
}

func (s Summary) check(strict bool) error {
	switch {
	case len(s.Broken) > 0:
		return errors.Errorf("guarantees broken: %v", s.Broken)
	case strict && s.Verdicts[verdictRight] != s.Requests:
		return errors.Errorf("%d of %d responses right", s.Verdicts[verdictRight], s.Requests)
	}
	return nil
}

// collector adds up the outcomes of all requests.
type collector struct {
	mu          sync.Mutex
	summary     Summary
	took, stall *hdrhistogram.Histogram
	notRun      map[string]bool // by idempotency key: whether the final outcome was not-run
}

const (
	histogramMaxUS = 600_000_000
	maxSamples     = 12
)

func newCollector() *collector {
	return &collector{
		summary: Summary{Verdicts: make(map[verdict]int), Reasons: make(map[string]int)},
		took:    hdrhistogram.New(0, histogramMaxUS, 3),
		stall:   hdrhistogram.New(0, histogramMaxUS, 3),
		notRun:  make(map[string]bool),
	}
}

func (c *collector) add(key string, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary.Requests++
	c.summary.Verdicts[o.verdict]++
	if o.reason != "" {
		c.summary.Reasons[o.reason]++
	}
	if o.verdict == verdictWrong || o.verdict == verdictCut || o.verdict == verdictError {
		if len(c.summary.Samples) < maxSamples {
			c.summary.Samples = append(c.summary.Samples, fmt.Sprintf("%s %s %s", o.verdict, o.reason, o.detail))
		}
	}
	if key != "" {
		c.notRun[key] = o.verdict == verdictNotRun
	}
	if o.verdict == verdictRight {
		_ = c.took.RecordValue(o.took.Microseconds())
		_ = c.stall.RecordValue(o.stall.Microseconds())
	}
}

func (p loadPlan) run(ctx context.Context) (Summary, error) {
	d, err := readDeployment(p.dir)
	if err != nil {
		return Summary{}, errors.Trace(err)
	}
	if err := d.setEngineFaults(standin.EngineFaults{MisroutedChunks: p.misroutedChunks, DelayedChunks: p.delayedChunks, LateMS: 40}); err != nil {
		return Summary{}, errors.Trace(err)
	}
	c := newCollector()
	start := time.Now()
	p.send(ctx, d, c)
	c.summary.Seconds = time.Since(start).Seconds()
	c.summary.TokensPerSecond = float64(p.tokens*c.summary.Verdicts[verdictRight]) / c.summary.Seconds
	c.summary.TookP50MS = float64(c.took.ValueAtQuantile(50)) / 1000
	c.summary.TookP99MS = float64(c.took.ValueAtQuantile(99)) / 1000
	c.summary.StallP50MS = float64(c.stall.ValueAtQuantile(50)) / 1000
	c.summary.StallP95MS = float64(c.stall.ValueAtQuantile(95)) / 1000
	return c.summary, errors.Trace(d.audit(c))
}

// send sends the requests and returns when all have ended.
func (p loadPlan) send(ctx context.Context, d runningDeployment, c *collector) {
	client := newClient(d.callerURLs, CallerToken)
	random := rand.New(rand.NewPCG(p.seed, 3))
	nextAdapter := newAdapterSampler(random, p.skew, p.adapters)
	inFlight := make(chan struct{}, p.inFlight)
	var wg sync.WaitGroup
	start := time.Now()
	for n := 0; p.hasNext(n, start) && ctx.Err() == nil; n++ {
		if p.rate > 0 {
			time.Sleep(time.Until(start.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))))
		}
		job := p.newJob(n, random, nextAdapter)
		inFlight <- struct{}{}
		wg.Go(func() {
			c.add(job.key, job.send(client))
			<-inFlight
		})
	}
	wg.Wait()
}

func (p loadPlan) hasNext(n int, start time.Time) bool {
	if p.duration > 0 {
		return time.Since(start) < p.duration
	}
	return n < p.requests
}

// newAdapterSampler returns a function that draws adapter numbers.
func newAdapterSampler(random *rand.Rand, skew float64, adapters int) func() int {
	if skew <= 1 {
		return func() int { return random.IntN(adapters) }
	}
	zipf := rand.NewZipf(random, skew, 1, uint64(adapters-1))
	return func() int { return int(zipf.Uint64()) }
}

// loadJob is one request to send.
type loadJob struct {
	completion
	plainService bool
}

func (p loadPlan) newJob(n int, random *rand.Rand, nextAdapter func() int) loadJob {
	j := loadJob{completion: completion{
		number: n, model: fmt.Sprintf("%s@%d", AdapterName(nextAdapter()), 1+n%2),
		prompt: fmt.Sprintf("request %d of seed %d", n, p.seed), maxTokens: p.tokens,
		stream: random.Float64() < p.streamed, deadlineMS: p.deadlineMS,
	}}
	if random.Float64() < p.nonIdempotent {
		j.key = standin.NewKey(time.Now())
		j.model = fmt.Sprintf("%s@%d", DeskAdapter, 1)
		j.plainService = random.Float64() < 0.5
	}
	return j
}

// send sends the request. If it has an idempotency key and its outcome is unknown or
// an error, send repeats it with the same key up to three times.
func (j loadJob) send(c *client) outcome {
	out := j.sendOnce(c, 0)
	for retry := 1; retry <= 3 && j.key != "" && (out.verdict == verdictError || out.verdict == verdictUnknown); retry++ {
		time.Sleep(300 * time.Millisecond)
		out = j.sendOnce(c, retry)
	}
	return out
}

func (j loadJob) sendOnce(c *client, retry int) outcome {
	if j.plainService {
		return c.call(j.number+retry, string(booking), "/call/book", j.key, retry > 0)
	}
	in := j.completion
	in.number += retry
	in.repeat = retry > 0
	return c.complete(in)
}

// runningDeployment holds the settings of a running deployment.
type runningDeployment struct {
	standIns   StandInSettings
	callerURLs []string
	entries    []settings.Entry
}

func readDeployment(dir string) (runningDeployment, error) {
	var d runningDeployment
	if err := settings.Load(filepath.Join(dir, "stand-ins.hujson"), &d.standIns); err != nil {
		return d, errors.Trace(err)
	}
	files, err := filepath.Glob(filepath.Join(dir, "entry-*.hujson"))
	if err != nil {
		return d, errors.Trace(err)
	}
	for _, file := range files {
		s := settings.DefaultEntry()
		if err := settings.Load(file, &s); err != nil {
			return d, errors.Trace(err)
		}
		d.entries = append(d.entries, s)
		d.callerURLs = append(d.callerURLs, "http://"+s.Callers.Listen)
	}
	return d, nil
}

func (d runningDeployment) setEngineFaults(f standin.EngineFaults) error {
	for _, t := range d.standIns.Targets {
		if t.Kind != wire.KindEngine {
			continue
		}
		if err := postJSON(t.URL+"/faults", f); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// audit compares the outcomes that callers saw with the records of the stand-ins.
func (d runningDeployment) audit(c *collector) error {
	runs := make(map[string]int)
	for _, t := range d.standIns.Targets {
		if err := d.auditTarget(t, c, runs); err != nil {
			return errors.Trace(err)
		}
	}
	var store standin.WeightStoreStats
	if err := getJSON("http://"+d.standIns.Platform+"/store", &store); err != nil {
		return errors.Trace(err)
	}
	s := &c.summary
	s.LoadsQueued = store.Queued
	for key, notRun := range c.notRun {
		s.NonIdempotentKeys++
		if runs[key] > 1 {
			s.RunTwice++
		}
		if notRun && runs[key] > 0 {
			s.FalseNotRun++
		}
	}
	s.addViolation(s.RunTwice > 0, "a non-idempotent request ran twice")
	s.addViolation(s.FalseNotRun > 0, "a request that ran was reported as not run")
	s.addViolation(s.EvictedInUse > 0, "an adapter in use was evicted")
	s.addViolation(s.Verdicts[verdictWrong] > 0, "an answer was wrong")
	return nil
}

func (s *Summary) addViolation(broken bool, violation string) {
	if broken {
		s.Broken = append(s.Broken, violation)
	}
}

func (d runningDeployment) auditTarget(t settings.Target, c *collector, runs map[string]int) error {
	if t.Kind == wire.KindService {
		var serviceRuns map[string]int
		if err := getJSON(t.URL+"/runs", &serviceRuns); err != nil {
			return errors.Trace(err)
		}
		addCounts(runs, serviceRuns)
		return nil
	}
	var stats standin.EngineStats
	if err := getJSON(t.URL+"/record", &stats); err != nil {
		return errors.Trace(err)
	}
	addCounts(runs, stats.Runs)
	c.summary.EvictedInUse += stats.EvictedInUse
	c.summary.Loads += stats.Loads
	return nil
}

func addCounts(into, from map[string]int) {
	for k, n := range from {
		into[k] += n
	}
}
