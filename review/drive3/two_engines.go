//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// machines is the number of engines with a side machine each: one of them is a share of 0.11.
const machines = 9

// twoEngines: the one engine that does not drop requests with their connections preempts what
// it runs, so that streams stall, while the orderer beside it stands still.
func twoEngines(w *world, trouble bool) (int, error) {
	log := &runLog{}
	w.store.put("config", "main", configuration(7))
	var engines []*engine
	for i := 1; i <= machines; i++ {
		e := newEngine(w, log, draftService, fmt.Sprintf("i-draft-%d", i), w.addr(2, i, w.ports.app), true, 64)
		e.loaded = true
		e.adapters["a1"], e.adapters["a2"] = 1, 1
		if err := e.serve(); err != nil {
			return unable, err
		}
		engines = append(engines, e)
	}
	sides := make([]*proc, machines)
	for i := range sides {
		var err error
		if sides[i], err = w.orderer(i + 1); err != nil {
			return unable, err
		}
	}
	if _, err := w.gateway(1); err != nil {
		return unable, err
	}
	if err := w.awaitReady(1, 15*time.Second); err != nil {
		return unable, err
	}
	time.Sleep(4 * time.Second) // from here on all machines are in touch
	c := newClients(w)
	send := func(n int, gap time.Duration) {
		for range n {
			c.wait.Go(func() { c.stream(1, "/draft/x", "a1", 100, 15*time.Second) })
			time.Sleep(gap)
		}
	}
	send(20, 100*time.Millisecond)
	// The engine with most requests is the one of the nine that doesn't drop requests with their
	// connections.
	most, at := 0, 0
	for i, e := range engines {
		e.mu.Lock()
		if len(e.running) > most {
			most, at = len(e.running), i
		}
		e.mu.Unlock()
	}
	if most == 0 {
		return unable, fmt.Errorf("no engine runs a request")
	}
	engines[at].keepOn()
	if trouble {
		sides[at].signal(syscall.SIGSTOP)
	}
	time.Sleep(100 * time.Millisecond)
	engines[at].preempt(true)
	time.Sleep(2500 * time.Millisecond)
	engines[at].preempt(false)
	time.Sleep(900 * time.Millisecond)
	if trouble {
		sides[at].signal(syscall.SIGCONT)
	}
	c.wait.Wait()
	time.Sleep(4 * time.Second)
	return judgeOverlaps(w, log), nil
}

// judgeOverlaps checks the rule TWICE of model engines: a request goes on at another engine
// while the engine before still works on it 400 ms later.
func judgeOverlaps(w *world, log *runLog) int {
	code, requests := held, 0
	for attempt, runs := range log.byAttempt() {
		requests++
		for i, before := range runs {
			for _, next := range runs[i+1:] {
				if next.engine == before.engine {
					continue
				}
				late := next.begin.Add(400 * time.Millisecond)
				if before.end.IsZero() || before.end.After(late) {
					w.rec.row("BROKEN: %s goes on at %s after event %s while %s works on it for another %s", attempt, next.engine, next.last, before.engine, before.end.Sub(next.begin).Round(time.Millisecond))
					code = broken
				}
			}
		}
	}
	w.rec.row("%d requests ran", requests)
	return code
}
