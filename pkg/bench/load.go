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

// loadPlan describes a load.
type loadPlan struct {
	dir        string
	requests   int
	duration   time.Duration // 0 means until requests are done
	rate       float64       // requests per second; 0 means closed loop
	inFlight   int
	adapters   int
	skew       float64
	tokens     int
	deadlineMS int
	risky      float64 // share of non-idempotent calls
	streamed   float64
	crossed    float64
	late       float64
	seed       uint64
	strict     bool // any answer but a right one is a failure
}

func (t *tool) load() *ffcli.Command {
	fs := t.flags("load")
	var p loadPlan
	fs.StringVar(&p.dir, "dir", "build/local", "the deployment's directory")
	fs.IntVar(&p.requests, "requests", 1000, "requests to send")
	fs.DurationVar(&p.duration, "duration", 0, "send for this long instead")
	fs.Float64Var(&p.rate, "rate", 0, "requests a second, open loop; 0 keeps in-flight requests going")
	fs.IntVar(&p.inFlight, "in-flight", 200, "requests in flight at the most")
	fs.IntVar(&p.adapters, "adapters", 300, "adapters to name")
	fs.Float64Var(&p.skew, "skew", 1.01, "exponent of the adapters' popularity; 0 is uniform")
	fs.IntVar(&p.tokens, "tokens", 12, "tokens of an answer")
	fs.IntVar(&p.deadlineMS, "deadline-ms", 0, "deadline header; 0 sends none")
	fs.Float64Var(&p.risky, "risky", 0, "share of non-idempotent calls, half to engines, half to the plain service")
	fs.Float64Var(&p.streamed, "streamed", 0.5, "share of streamed answers")
	fs.Float64Var(&p.crossed, "crossed", 0, "share of the engines' chunks on another stream")
	fs.Float64Var(&p.late, "late", 0, "share of the engines' chunks that arrive late")
	fs.Uint64Var(&p.seed, "seed", 1, "seed")
	fs.BoolVar(&p.strict, "strict", false, "exit 1 unless every answer is right")
	return &ffcli.Command{
		Name: "load", ShortHelp: "send requests and check every answer", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			summary, err := p.run(ctx)
			if err != nil {
				return errors.Trace(err)
			}
			if err := json.NewEncoder(t.out).Encode(summary); err != nil {
				return errors.Trace(err)
			}
			return summary.verdict(p.strict)
		},
	}
}

// Summary is the result of a load.
type Summary struct {
	Requests int     `json:"requests"`
	Seconds  float64 `json:"seconds"`
	// TokensPerSecond counts the tokens of right answers.
	TokensPerSecond float64         `json:"tokens-per-second"`
	Verdicts        map[verdict]int `json:"verdicts"`
	Reasons         map[string]int  `json:"reasons,omitempty"`
	Samples         []string        `json:"samples,omitempty"`
	TookP50MS       float64         `json:"took-p50-ms"`
	TookP99MS       float64         `json:"took-p99-ms"`
	StallP50MS      float64         `json:"stall-p50-ms"`
	StallP95MS      float64         `json:"stall-p95-ms"`
	// Of the stand-ins' own records.
	RiskyKeys    int      `json:"risky-keys"`
	RunTwice     int      `json:"run-twice"`
	FalseNotRun  int      `json:"false-not-run"`
	EvictedInUse int64    `json:"evicted-in-use"`
	Loads        int64    `json:"loads"`
	LoadsQueued  int64    `json:"loads-queued"`
	Broken       []string `json:"broken,omitempty"`
}

func (s Summary) verdict(strict bool) error {
	switch {
	case len(s.Broken) > 0:
		return errors.Errorf("promises broken: %v", s.Broken)
	case strict && s.Verdicts[verdictRight] != s.Requests:
		return errors.Errorf("%d of %d answers right", s.Verdicts[verdictRight], s.Requests)
	}
	return nil
}

// collector gathers outcomes.
type collector struct {
	mu          sync.Mutex
	summary     Summary
	took, stall *hdrhistogram.Histogram
	notRun      map[string]bool // idempotency keys whose every answer was not-run
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
	if err := d.setEngineFaults(standin.EngineFaults{Crossed: p.crossed, Late: p.late, LateMS: 40}); err != nil {
		return Summary{}, errors.Trace(err)
	}
	c := newCollector()
	began := time.Now()
	p.send(ctx, d, c)
	c.summary.Seconds = time.Since(began).Seconds()
	c.summary.TokensPerSecond = float64(p.tokens*c.summary.Verdicts[verdictRight]) / c.summary.Seconds
	c.summary.TookP50MS = float64(c.took.ValueAtQuantile(50)) / 1000
	c.summary.TookP99MS = float64(c.took.ValueAtQuantile(99)) / 1000
	c.summary.StallP50MS = float64(c.stall.ValueAtQuantile(50)) / 1000
	c.summary.StallP95MS = float64(c.stall.ValueAtQuantile(95)) / 1000
	return c.summary, errors.Trace(d.audit(c))
}

// send issues the requests, and returns when all have ended.
func (p loadPlan) send(ctx context.Context, d deployed, c *collector) {
	requester := newClient(d.callers, CallerToken)
	random := rand.New(rand.NewPCG(p.seed, 3))
	popularity := newPopularity(random, p.skew, p.adapters)
	slots := make(chan struct{}, p.inFlight)
	var wg sync.WaitGroup
	began := time.Now()
	for n := 0; p.more(n, began) && ctx.Err() == nil; n++ {
		if p.rate > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))))
		}
		job := p.draw(n, random, popularity)
		slots <- struct{}{}
		wg.Go(func() {
			c.add(job.key, job.send(requester))
			<-slots
		})
	}
	wg.Wait()
}

func (p loadPlan) more(n int, began time.Time) bool {
	if p.duration > 0 {
		return time.Since(began) < p.duration
	}
	return n < p.requests
}

// newPopularity returns a draw of adapter numbers.
func newPopularity(random *rand.Rand, skew float64, adapters int) func() int {
	if skew <= 1 {
		return func() int { return random.IntN(adapters) }
	}
	zipf := rand.NewZipf(random, skew, 1, uint64(adapters-1))
	return func() int { return int(zipf.Uint64()) }
}

// loadJob is one request to send.
type loadJob struct {
	completion
	plain bool
}

func (p loadPlan) draw(n int, random *rand.Rand, popularity func() int) loadJob {
	j := loadJob{completion: completion{
		number: n, model: fmt.Sprintf("%s@%d", AdapterName(popularity()), 1+n%2),
		prompt: fmt.Sprintf("request %d of seed %d", n, p.seed), maxTokens: p.tokens,
		stream: random.Float64() < p.streamed, deadlineMS: p.deadlineMS,
	}}
	if random.Float64() < p.risky {
		j.key = standin.NewKey(time.Now())
		j.model = fmt.Sprintf("%s@%d", DeskAdapter, 1)
		j.plain = random.Float64() < 0.5
	}
	return j
}

// send sends the request; one whose run is in doubt is asked after again with
// the same idempotency key.
func (j loadJob) send(c *client) outcome {
	out := j.once(c, 0)
	for retry := 1; retry <= 3 && j.key != "" && (out.verdict == verdictError || out.verdict == verdictUnknown); retry++ {
		time.Sleep(300 * time.Millisecond)
		out = j.once(c, retry)
	}
	return out
}

func (j loadJob) once(c *client, retry int) outcome {
	if j.plain {
		return c.call(j.number+retry, string(booking), "/call/book", j.key, retry > 0)
	}
	in := j.completion
	in.number += retry
	in.repeat = retry > 0
	return c.complete(in)
}

// deployed is a running deployment as the tool sees it.
type deployed struct {
	standIns StandInSettings
	callers  []string
	entries  []settings.Entry
}

func readDeployment(dir string) (deployed, error) {
	var d deployed
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
		d.callers = append(d.callers, "http://"+s.Callers.Listen)
	}
	return d, nil
}

func (d deployed) setEngineFaults(f standin.EngineFaults) error {
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

// audit holds the callers' answers against the stand-ins' own records.
func (d deployed) audit(c *collector) error {
	runs := make(map[string]int)
	for _, t := range d.standIns.Targets {
		if err := d.auditTarget(t, c, runs); err != nil {
			return errors.Trace(err)
		}
	}
	var store standin.StoreRecord
	if err := getJSON("http://"+d.standIns.Platform+"/store", &store); err != nil {
		return errors.Trace(err)
	}
	s := &c.summary
	s.LoadsQueued = store.Queued
	for key, notRun := range c.notRun {
		s.RiskyKeys++
		if runs[key] > 1 {
			s.RunTwice++
		}
		if notRun && runs[key] > 0 {
			s.FalseNotRun++
		}
	}
	s.note(s.RunTwice > 0, "a non-idempotent request ran twice")
	s.note(s.FalseNotRun > 0, "a request that ran was reported as not run")
	s.note(s.EvictedInUse > 0, "an adapter in use was evicted")
	s.note(s.Verdicts[verdictWrong] > 0, "an answer was wrong")
	return nil
}

func (s *Summary) note(broken bool, promise string) {
	if broken {
		s.Broken = append(s.Broken, promise)
	}
}

func (d deployed) auditTarget(t settings.Target, c *collector, runs map[string]int) error {
	if t.Kind == wire.KindService {
		var counted map[string]int
		if err := getJSON(t.URL+"/runs", &counted); err != nil {
			return errors.Trace(err)
		}
		merge(runs, counted)
		return nil
	}
	var record standin.EngineRecord
	if err := getJSON(t.URL+"/record", &record); err != nil {
		return errors.Trace(err)
	}
	merge(runs, record.Runs)
	c.summary.EvictedInUse += record.EvictedInUse
	c.summary.Loads += record.Loads
	return nil
}

func merge(into, from map[string]int) {
	for k, n := range from {
		into[k] += n
	}
}
