//go:build review

package main

import (
	"fmt"
	"time"
)

// cutUnframed: an engine whose answers have no length is killed while it streams.
func cutUnframed(w *world, trouble bool) (int, error) {
	w.store.put("config", "main", configuration(7))
	var engines []*childEngine
	defer func() {
		for _, e := range engines {
			_ = e.cmd.Process.Kill()
		}
	}()
	for i := 1; i <= 4; i++ { // one of four is a share of 0.25
		e, err := w.childEngine(i, nil, "unframed")
		if err != nil {
			return unable, err
		}
		engines = append(engines, e)
	}
	time.Sleep(300 * time.Millisecond)
	for i, e := range engines {
		go w.beatFor(e)
		if _, err := w.orderer(i + 1); err != nil {
			return unable, err
		}
	}
	if _, err := w.gateway(1); err != nil {
		return unable, err
	}
	if err := w.awaitReady(1, 15*time.Second); err != nil {
		return unable, err
	}
	time.Sleep(4 * time.Second)
	c := newClients(w)
	const events = 100
	for range 20 {
		c.wait.Go(func() { c.stream(1, "/draft/x", "a1", events, 15*time.Second) })
		time.Sleep(100 * time.Millisecond)
	}
	if trouble {
		most := engines[0]
		for _, e := range engines[1:] {
			if e.active() > most.active() {
				most = e
			}
		}
		w.rec.row("engine %s is killed while it runs %d requests", most.id, most.active())
		most.dead = true
		_ = most.cmd.Process.Kill()
	}
	c.wait.Wait()
	code := held
	for _, r := range c.results {
		if r.status == 200 && r.complete && r.events < events {
			w.rec.row("BROKEN: the stream %s ends as complete after %d of %d events", r.attempt, r.events, events)
			code = broken
		}
	}
	if len(c.results) != 20 {
		return unable, fmt.Errorf("%d results", len(c.results))
	}
	return code, nil
}
