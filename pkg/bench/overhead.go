package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/target"
)

const warmupRequests = 200

// overhead returns the subcommand that times requests through an entry and direct
// calls to the same engine, in turn.
func (t *tool) overhead() *ffcli.Command {
	fs := t.flags("overhead")
	dir := fs.String("dir", "build/local", "the deployment's directory")
	requests := fs.Int("requests", 3000, "number of requests of each kind")
	tokens := fs.Int("tokens", 1, "tokens per response")
	return &ffcli.Command{
		Name: "overhead", ShortHelp: "time requests through an entry against direct calls to the engine", FlagSet: fs,
		Exec: func(context.Context, []string) error {
			d, err := readDeployment(*dir)
			if err != nil {
				return errors.Trace(err)
			}
			o := overheadRun{client: newClient(d.callerURLs[:1], CallerToken), tokens: *tokens}
			if err := o.locateEngine(d); err != nil {
				return errors.Trace(err)
			}
			if err := o.measure(*requests); err != nil {
				return errors.Trace(err)
			}
			o.print(t)
			return nil
		},
	}
}

type overheadRun struct {
	client        *client
	engine        string
	tokens        int
	entryLatency  *hdrhistogram.Histogram
	directLatency *hdrhistogram.Histogram
}

var overheadModel = string(AdapterName(0)) + "@1"

// locateEngine sends a request so that the adapter is loaded, and finds the engine
// that served it.
func (o *overheadRun) locateEngine(d runningDeployment) error {
	out := o.client.complete(completion{model: overheadModel, prompt: samplePrompt, maxTokens: o.tokens})
	if out.verdict != verdictRight {
		return errors.Errorf("first request: %s %s", out.verdict, out.detail)
	}
	for _, t := range d.standIns.Targets {
		if string(t.Name) == out.target {
			o.engine = t.URL
			return nil
		}
	}
	return errors.NotFoundf("target %q", out.target)
}

func (o *overheadRun) measure(requests int) error {
	o.entryLatency = hdrhistogram.New(0, histogramMaxUS, 3)
	o.directLatency = hdrhistogram.New(0, histogramMaxUS, 3)
	for i := range requests + warmupRequests {
		out := o.client.complete(completion{model: overheadModel, prompt: samplePrompt, maxTokens: o.tokens})
		if out.verdict != verdictRight {
			return errors.Errorf("request %d: %s %s", i, out.verdict, out.detail)
		}
		took, err := o.callEngine(i)
		if err != nil {
			return errors.Trace(err)
		}
		if i >= warmupRequests {
			_ = o.entryLatency.RecordValue(out.took.Microseconds())
			_ = o.directLatency.RecordValue(took.Microseconds())
		}
	}
	return nil
}

func (o *overheadRun) callEngine(i int) (time.Duration, error) {
	body, err := json.Marshal(target.CompletionRequest{
		ID: fmt.Sprintf("direct-%d", i), Model: overheadModel, Prompt: samplePrompt, MaxTokens: o.tokens, Stream: true,
	})
	if err != nil {
		return 0, errors.Trace(err)
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(o.engine + "/v1/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	start := time.Now()
	if err := direct.Do(req, res); err != nil {
		return 0, errors.Trace(err)
	}
	took := time.Since(start)
	if text, end := responseText(res.Body(), true); !end.done || text == "" {
		return 0, errors.Errorf("direct call: status %d, %.100s", res.StatusCode(), res.Body())
	}
	return took, nil
}

func (o *overheadRun) print(t *tool) {
	fmt.Fprintln(t.out, "percentile  through entry  direct  difference  ratio")
	for _, q := range []float64{50, 99} {
		a, b := o.entryLatency.ValueAtQuantile(q), o.directLatency.ValueAtQuantile(q)
		fmt.Fprintf(t.out, "p%.0f  %d us  %d us  %d us  %.2f\n", q, a, b, a-b, float64(a)/float64(b))
	}
}
