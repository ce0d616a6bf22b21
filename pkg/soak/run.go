package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// startWait is how long all processes may take to be ready.
	startWait = 30 * time.Second
	// faultGap is the mean time between the begins of two faults.
	faultGap = 900 * time.Millisecond
	// tail is how long requests go on after all faults have ended. Its last part
	// is judged: processes that were killed are back, and engines hold adapters.
	tail       = 14 * time.Second
	tailJudged = 6 * time.Second
	// servedShare is the least share of requests served in the judged part, where
	// nothing fails: the rest allows for adapters that are brought anew.
	servedShare = 0.9
	// routeTime is how long a new route may take to be served, by the platform's
	// rules, and clockMargin beyond.
	routeTime = 2 * time.Second
)

// Result is what a run did and found.
type Result struct {
	Settings
	Counts
	Asked, Served int // of the whole run
	Violations    []Violation
}

// Run plays one run: it writes the settings files, waits until the processes that
// a script starts are ready, and strikes faults under load. It returns an error if
// the run could not be played.
func Run(ctx context.Context, s Settings, logger log.Logger) (Result, error) {
	result := Result{Settings: s, Counts: Counts{Kinds: make(map[FaultKind]int), Pairs: make(map[[2]FaultKind]int)}}
	if err := os.MkdirAll(filepath.Join(s.Dir, "pids"), 0o755); err != nil {
		return result, errors.Trace(err)
	}
	oracle := NewOracle()
	d, err := newDeployment(s, oracle)
	if err != nil {
		return result, errors.Trace(err)
	}
	if err := os.WriteFile(filepath.Join(s.Dir, "written"), nil, 0o644); err != nil {
		return result, errors.Trace(err)
	}
	go d.balancer.Run(ctx)
	starting, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	if err := d.awaitReady(starting); err != nil {
		return result, errors.Trace(err)
	}
	began := time.Now()
	stopLoad := d.load(ctx)
	d.strike(ctx, log.With(logger, "component", "soak"), result.Counts)
	healed := time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(tail):
	}
	ended := time.Now()
	d.checkRoutes(ctx)
	stopLoad()
	result.Asked, result.Served = oracle.Served(began, ended)
	asked, served := oracle.Served(healed.Add(tail-tailJudged), ended)
	if float64(served) < servedShare*float64(asked) || asked == 0 {
		oracle.Broken(Violation{PromiseRecovers, "", fmt.Sprintf("%d of %d requests served", served, asked)})
	}
	result.Violations = oracle.Check(s.Planned)
	return result, errors.Trace(ctx.Err())
}

// load lets the clients send requests, and returns what ends it.
func (d *deployment) load(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	for i := range d.Clients {
		c := newClient(d, i)
		group.Go(func() { c.run(ctx) })
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// strike strikes faults until the run's length is over, and then ends them.
func (d *deployment) strike(ctx context.Context, logger log.Logger, counts Counts) {
	random := rand.New(rand.NewPCG(d.Seed, 3))
	var list []fault
	for _, f := range faults {
		if f.planned || !d.Planned {
			list = append(list, f)
		}
	}
	var mu sync.Mutex
	lasting := make(map[FaultKind]int)
	var group sync.WaitGroup
	for until := time.Now().Add(d.Length); time.Now().Before(until) && ctx.Err() == nil; {
		f := list[random.IntN(len(list))]
		lasts := time.Duration(0)
		if f.lasts > 0 {
			lasts = f.lasts/4 + time.Duration(random.Int64N(int64(f.lasts*3/4)))
		}
		if f.planned {
			lasts = f.lasts // a leaving target announces its end in time
		}
		end, err := f.begin(d, random)
		if err != nil {
			_ = level.Info(logger).Log("msg", "fault not struck", "kind", f.kind, "err", err)
		} else {
			_ = level.Info(logger).Log("msg", "fault", "kind", f.kind, "lasts", lasts)
			closed := d.oracle.Fault(time.Now())
			mu.Lock()
			counts.begun(f.kind, lasting)
			lasting[f.kind]++
			mu.Unlock()
			group.Go(func() {
				time.Sleep(lasts)
				if end != nil {
					if err := end(); err != nil {
						_ = level.Error(logger).Log("msg", "fault not ended", "kind", f.kind, "err", err)
					}
				}
				closed(time.Now())
				mu.Lock()
				lasting[f.kind]--
				mu.Unlock()
			})
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(faultGap)))
	}
	group.Wait()
}

// checkRoutes asks each entry for a request on each route that was added.
func (d *deployment) checkRoutes(ctx context.Context) {
	if err := d.configure("/last/"); err != nil {
		d.oracle.Broken(Violation{PromiseRouteAdded, "", err.Error()})
		return
	}
	time.Sleep(routeTime + clockMargin)
	for i := range d.Gateways {
		for n, prefix := range d.added {
			if err := d.probe(ctx, i, n, prefix); err != nil {
				d.oracle.Broken(Violation{PromiseRouteAdded, "", fmt.Sprintf("gateway-%d, %s: %v", i+1, prefix, err)})
			}
		}
	}
}

func (d *deployment) probe(ctx context.Context, gateway, n int, prefix string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.address(gatewayNet, gateway, callersPort)+prefix, nil)
	if err != nil {
		return errors.Trace(err)
	}
	r := Request{Service: deskService, Idempotent: true, At: time.Now()}
	r.Attempt = probeAttempt(d.Seed, gateway, n)
	d.oracle.Asked(r)
	req.Host = standin.OperatorHost
	req.Header.Set(platform.HeaderAttempt, string(r.Attempt))
	req.Header.Set(platform.HeaderDeadline, "2000")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return errors.Trace(err)
	}
	if res.StatusCode == http.StatusNotFound {
		return errors.NotFoundf("route")
	}
	return nil
}

// Write prints the result: faults by kind, pairs, and what was found.
func (r Result) Write(out io.Writer) error {
	var kinds []string
	total := 0
	for k, n := range r.Kinds {
		kinds = append(kinds, fmt.Sprintf("%s %d", k, n))
		total += n
	}
	sort.Strings(kinds)
	if _, err := fmt.Fprintf(out, "seed %d: %d faults of %d kinds, %d pairs at once; %d of %d requests served; %d violations\n",
		r.Seed, total, len(r.Kinds), len(r.Pairs), r.Served, r.Asked, len(r.Violations)); err != nil {
		return errors.Trace(err)
	}
	for _, k := range kinds {
		if _, err := fmt.Fprintln(out, "  "+k); err != nil {
			return errors.Trace(err)
		}
	}
	for _, v := range r.Violations {
		if _, err := fmt.Fprintln(out, "  BROKEN "+v.Error()); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
