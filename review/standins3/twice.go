//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

func init() { cases["twice"] = playTwice }

// engineRun is one run of a request at an engine.
type engineRun struct {
	engine     ident.Target
	began, end time.Time
	resumed    bool
}

// runLog records the runs of engines.
type runLog struct {
	mu   sync.Mutex
	runs map[ident.Attempt][]*engineRun
}

func (l *runLog) record(e standin.WorkerEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch e.Kind {
	case standin.WorkerRan:
		l.runs[e.Attempt] = append(l.runs[e.Attempt], &engineRun{engine: e.Instance, began: e.At, resumed: e.Resumed})
	case standin.WorkerEnded:
		for _, r := range l.runs[e.Attempt] {
			if r.engine == e.Instance && r.end.IsZero() {
				r.end = e.At
			}
		}
	}
}

// playTwice lets one engine in twelve hang some of its streams, and freezes the process beside it.
func playTwice(d *deployment, trouble bool) (int, error) {
	const (
		engines = 12
		events  = 57
		grace   = 400 * time.Millisecond
	)
	log := &runLog{runs: make(map[ident.Attempt][]*engineRun)}
	d.publish(platform.KindConfiguration, "main", map[string]any{
		"version": 7, "limits": limits,
		"routes": []any{map[string]any{
			"name": "quote-draft", "host": host, "path-prefix": "/brief/", "kind": "streaming", "timeout-ms": 15000, "slo-ms": 800, "priority": 1, "service": "draft-helpers",
			"max-attempts": 2, "sticky": true, "can-resume": true, "gap-slo-ms": 300,
		}},
		"services": []any{map[string]any{"name": "draft-helpers", "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false, "engine": smallEngine()}},
	})
	if _, err := d.addGateway(1); err != nil {
		return 0, err
	}
	var workers []*standin.Worker
	var orderers []*process
	for i := 1; i <= engines; i++ {
		w := d.newWorker(i, standin.WorkerSettings{
			Service: "draft-helpers", Model: modelName, Slots: 64, AdapterSlots: 21, ModelLoad: time.Second, AdapterLoad: 250 * time.Millisecond, EventPause: 60 * time.Millisecond, OnEvent: log.record,
		})
		if err := d.startWorker(i, w); err != nil {
			return 0, err
		}
		p, err := d.addOrderer(i, "draft-helpers")
		if err != nil {
			return 0, err
		}
		workers, orderers = append(workers, w), append(orderers, p)
	}
	if err := d.startAll(1); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	served, failed := 0, 0
	send := func(n int) {
		attempt := fmt.Sprintf("user%03d", n)
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			defer cancel()
			d.printf("client sends %s", attempt)
			a := ask(ctx, d.gatewayAddress(1), "POST", "/brief/x", map[string]string{
				"X-Attempt-Id": attempt, "X-Model": fmt.Sprintf("%s/a%d", modelName, n%12+1), "X-Token-Count": fmt.Sprintf("1460,%d", 3*events), "X-Deadline-Ms": "15000",
				"X-Prompt-Prefix": attempt + ":1460", standin.HeaderEvents: fmt.Sprint(events),
			}, []byte("{}"))
			d.printf("client has %s: status %d, %d bytes, complete %v, error %v, %v after it was sent", attempt, a.status, len(a.body), a.complete, a.err, a.at.Sub(a.sent).Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 && a.complete {
				served++
			} else {
				failed++
			}
		})
	}
	go func() {
		time.Sleep(3 * time.Second)
		// One that runs requests.
		log.mu.Lock()
		count, grey := make(map[ident.Target]int), 0
		for _, runs := range log.runs {
			count[runs[0].engine]++
		}
		for i, w := range workers {
			if count[w.Instance()] > count[workers[grey].Instance()] {
				grey = i
			}
		}
		log.mu.Unlock()
		workers[grey].SetFaults(standin.WorkerFaults{LateEndShare: 0.45})
		d.say("engine %s hangs 45 in 100 of its streams from now on, for 6.5 s", workers[grey].Instance())
		time.Sleep(2 * time.Second)
		if trouble {
			orderers[grey].signal(syscall.SIGSTOP)
			time.Sleep(3500 * time.Millisecond)
			orderers[grey].signal(syscall.SIGCONT)
		} else {
			time.Sleep(3500 * time.Millisecond)
		}
		time.Sleep(time.Second)
		workers[grey].SetFaults(standin.WorkerFaults{})
	}()
	for n := range 240 {
		send(n)
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(4 * time.Second)
	log.mu.Lock()
	defer log.mu.Unlock()
	broken, again := 0, 0
	for attempt, runs := range log.runs {
		for i, r := range runs {
			d.at(r.began, "engine %s begins %s, resumed %v, and ends its work at %.3f", r.engine, attempt, r.resumed, r.end.Sub(d.began).Seconds())
			if i == 0 {
				continue
			}
			again++
			before := runs[i-1]
			if before.end.IsZero() || before.end.Sub(r.began) > grace {
				broken++
				d.say("TWICE broken: %s goes on at %s while %s works on it for %.3f s more (bound %v)", attempt, r.engine, before.engine, before.end.Sub(r.began).Seconds(), grace)
			}
		}
	}
	d.say("%d requests, %d sent to a second engine, %d answered in whole, %d not", len(log.runs), again, served, failed)
	if served < 150 {
		return 0, fmt.Errorf("only %d requests were served", served)
	}
	return broken, nil
}
