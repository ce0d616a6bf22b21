//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// machines is the number of engines with a side machine each: one of them is a share of 0.11.
const machines = 9

// twoEngines: an engine preempts what it runs, so that streams stall, and its machine, the
// orderer and the engine, stands still for a moment while the gateway gives them up. It is the
// one engine that goes on with requests whose connections are closed.
func twoEngines(w *world, trouble bool) (int, error) {
	log := &runLog{}
	w.store.put("config", "main", configuration(7))
	var engines []*childEngine
	defer func() {
		for _, e := range engines {
			_ = e.cmd.Process.Kill()
		}
	}()
	sides := make([]*proc, machines)
	for i := range sides {
		e, err := w.childEngine(i+1, log, "framed")
		if err != nil {
			return unable, err
		}
		engines = append(engines, e)
	}
	time.Sleep(300 * time.Millisecond)
	for i, e := range engines {
		go w.beatFor(e)
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
	for range 20 {
		c.wait.Go(func() { c.stream(1, "/draft/x", "a1", 100, 15*time.Second) })
		time.Sleep(50 * time.Millisecond)
	}
	at := 0
	for i, e := range engines {
		if e.active() > engines[at].active() {
			at = i
		}
	}
	if engines[at].active() == 0 {
		return unable, fmt.Errorf("no engine runs a request")
	}
	w.rec.row("engine %s preempts its %d requests for %s", engines[at].id, engines[at].active(), preemption)
	engines[at].preempt(preemption)
	time.Sleep(time.Second)
	if trouble {
		sides[at].signal(syscall.SIGSTOP)
		_ = engines[at].cmd.Process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(freeze)
	if trouble {
		_ = engines[at].cmd.Process.Signal(syscall.SIGCONT)
		sides[at].signal(syscall.SIGCONT)
	}
	c.wait.Wait()
	time.Sleep(4 * time.Second)
	return judgeOverlaps(w, log), nil
}

const (
	// preemption is how long the engine preempts its requests.
	preemption = 1700 * time.Millisecond
	// freeze is how long the machine stands still, a second after the begin of that.
	freeze = 600 * time.Millisecond
)

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
