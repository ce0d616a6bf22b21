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
	// startTimeout is how long all processes may take to become ready.
	startTimeout = 30 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 900 * time.Millisecond
	// recoveryTime is how long requests continue after all faults have ended.
	// Recovery is checked over the last checkedTime of it, when killed processes
	// have restarted and engines have loaded adapters again.
	recoveryTime = 14 * time.Second
	checkedTime  = 6 * time.Second
	// minServedShare is the minimum share of requests served during checkedTime.
	// No fault acts then; the rest allows for adapters that are loaded again.
	minServedShare = 0.9
	// routeGrace is the time within which the platform's rules require that a new
	// route is served. The check waits schedulingMargin longer.
	routeGrace = 2 * time.Second
)

// Result holds the counts and violations of a run.
type Result struct {
	Settings
	FaultCounts
	Sent, Served int // requests of the whole run
	PeakMB       int // largest memory of a process
	CutUnread    int // responses that engines cut off because they stayed unread
	Violations   []Violation
}

// Run performs one soak run: it writes the settings files, waits until the
// processes that a script starts are ready, and injects faults under load. It
// returns an error if the run could not be completed.
func Run(ctx context.Context, s Settings, logger log.Logger) (Result, error) {
	result := Result{Settings: s, FaultCounts: FaultCounts{Kinds: make(map[FaultKind]int), Pairs: make(map[[2]FaultKind]int)}}
	candidates := s.candidates()
	if len(candidates) == 0 {
		return result, errors.NotFoundf("fault %q", s.Only)
	}
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
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.awaitReady(startCtx); err != nil {
		return result, errors.Trace(err)
	}
	began := time.Now()
	memoryCtx, stopMemory := context.WithCancel(ctx)
	defer stopMemory()
	peak := make(chan int, 1)
	go func() { peak <- d.watchMemory(memoryCtx) }()
	stopLoad := d.startLoad(ctx)
	d.injectFaults(ctx, log.With(logger, "component", "soak"), candidates, result.FaultCounts)
	faultsEnded := time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(recoveryTime):
	}
	ended := time.Now()
	d.checkRoutes(ctx)
	stopLoad()
	stopMemory()
	result.PeakMB = <-peak
	result.Sent, result.Served = oracle.Served(began, ended)
	sent, served := oracle.Served(faultsEnded.Add(recoveryTime-checkedTime), ended)
	if float64(served) < minServedShare*float64(sent) || sent == 0 {
		oracle.RecordViolation(Violation{GuaranteeRecovery, "", fmt.Sprintf("%d of %d requests served", served, sent)})
	}
	result.CutUnread = oracle.CutUnread()
	result.Violations = oracle.Check(s.Planned)
	return result, errors.Trace(ctx.Err())
}

// startLoad starts the clients and returns a function that stops them.
func (d *deployment) startLoad(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	d.startQuotaLoad(ctx, &group)
	slow := d.SlowClients
	if d.Planned {
		slow = 0 // the end of a grace may cut them off
	}
	for i := range d.Clients + slow {
		c := newClient(d, i, i >= d.Clients)
		group.Go(func() { c.run(ctx) })
	}
	group.Go(func() { d.rotateKeys(ctx) })
	return func() {
		cancel()
		group.Wait()
	}
}

// candidates returns the faults that a run may inject.
func (s Settings) candidates() []fault {
	var out []fault
	for _, f := range faults {
		if (f.planned || !s.Planned) && (s.Only == "" || s.Only == f.kind) {
			out = append(out, f)
		}
	}
	return out
}

// injectFaults injects random faults of the candidates for the length of the run and
// returns when all of them have ended.
func (d *deployment) injectFaults(ctx context.Context, logger log.Logger, candidates []fault, counts FaultCounts) {
	random := rand.New(rand.NewPCG(d.Seed, 3))
	var mu sync.Mutex
	active := make(map[FaultKind]int)
	var group sync.WaitGroup
	for until := time.Now().Add(d.FaultTime); time.Now().Before(until) && ctx.Err() == nil; {
		f := candidates[random.IntN(len(candidates))]
		duration := time.Duration(0)
		if f.maxDuration > 0 {
			duration = f.maxDuration/4 + time.Duration(random.Int64N(int64(f.maxDuration*3/4)))
		}
		if f.planned {
			duration = f.maxDuration // so that a target announces its draining long enough before it stops
		}
		end, err := f.begin(d, random)
		if err != nil {
			_ = level.Info(logger).Log("msg", "failed to inject fault", "kind", f.kind, "err", err)
		} else {
			_ = level.Info(logger).Log("msg", "fault", "kind", f.kind, "lasts", duration)
			recordEnd := d.oracle.RecordFault(time.Now(), f.isolates)
			recordJoin := d.oracle.recordCut(time.Now(), f.cutsStore())
			mu.Lock()
			counts.add(f.kind, active)
			active[f.kind]++
			mu.Unlock()
			group.Go(func() {
				time.Sleep(duration)
				if end != nil {
					if err := end(); err != nil {
						_ = level.Error(logger).Log("msg", "failed to end fault", "kind", f.kind, "err", err)
					}
				}
				recordEnd(time.Now())
				recordJoin(time.Now())
				mu.Lock()
				active[f.kind]--
				mu.Unlock()
			})
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanFaultInterval)))
	}
	group.Wait()
}

// checkRoutes adds a last route and then requests each added route from each gateway.
func (d *deployment) checkRoutes(ctx context.Context) {
	if err := d.publishConfiguration("/last/"); err != nil {
		d.oracle.RecordViolation(Violation{GuaranteeRoutes, "", err.Error()})
		return
	}
	time.Sleep(routeGrace + schedulingMargin)
	for i := range d.Gateways {
		for n, prefix := range d.addedPrefixes {
			if err := d.probe(ctx, i, n, prefix); err != nil {
				d.oracle.RecordViolation(Violation{GuaranteeRoutes, "", fmt.Sprintf("gateway-%d, %s: %v", i+1, prefix, err)})
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
	d.accounts.signProbe(&r)
	d.oracle.RecordRequest(r)
	req.Host = standin.OperatorHost
	req.Header.Set(platform.HeaderAttempt, string(r.Attempt))
	req.Header.Set(platform.HeaderDeadline, "2000")
	req.Header.Set(platform.HeaderAPIKey, r.Key)
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

// Write prints the fault counts, the served requests and the violations.
func (r Result) Write(out io.Writer) error {
	var kinds []string
	total := 0
	for k, n := range r.Kinds {
		kinds = append(kinds, fmt.Sprintf("%s %d", k, n))
		total += n
	}
	sort.Strings(kinds)
	if _, err := fmt.Fprintf(out, "seed %d: %d faults of %d kinds, %d pairs at once; %d of %d requests served; %d cut off unread; at most %d MB a process; %d violations\n",
		r.Seed, total, len(r.Kinds), len(r.Pairs), r.Served, r.Sent, r.CutUnread, r.PeakMB, len(r.Violations)); err != nil {
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
