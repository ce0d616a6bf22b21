//go:build review

package main

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/platform"
)

// lateBeat: an engine's last beat before its crash gets no answer from the store, which
// carries it out 5 s later. Meanwhile the engine has started again under its id, and an
// entry has been added. Later the engine leaves. Without the trouble the store carries the
// beat out at once.
func lateBeat(w *world) bool {
	const (
		lateBy    = 5 * time.Second
		drainTime = 2 * time.Second // drain-ms
		goesOn    = 6 * time.Second // how long the engine serves after its report
	)
	w.publish(10, []map[string]any{
		{"name": "look", "host": host, "path-prefix": "/look/", "kind": "safe", "service": "desk", "timeout-ms": 1000, "slo-ms": 150, "max-attempts": 2, "priority": 0},
	}, []map[string]any{{"name": "desk", "health-path": "/health"}})
	for n := 1; n <= 3; n++ {
		e := w.newEngine("desk", "", n)
		e.work = 20 * time.Millisecond
		e.start()
		e.beats()
	}
	first := w.newGateway(nil)
	first.start(w)
	first.awaitReady()
	time.Sleep(2 * time.Second)

	leaving := w.engines[0]
	late := leaving.entry()
	if w.trouble {
		w.note("the store loses the answer to a beat of %s, and carries it out %s later: %s", leaving.id, lateBy, late)
		time.AfterFunc(lateBy, func() {
			w.put(leaving.id, late)
			w.note("the store carries out the late beat of %s", leaving.id)
		})
	} else {
		w.put(leaving.id, late)
	}
	leaving.crash()
	w.note("engine %s crashes", leaving.id)
	time.Sleep(1500 * time.Millisecond)
	leaving.start()
	leaving.beats()
	time.Sleep(500 * time.Millisecond)
	added := w.newGateway(nil)
	added.start(w)
	added.awaitReady()
	w.note("%s is added", added.name)
	time.Sleep(lateBy + stableTime)

	var mu sync.Mutex
	by := make(map[string]*gateway)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for _, g := range []*gateway{first, added} {
		for range 4 {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					attempt := newAttempt()
					mu.Lock()
					by[attempt] = g
					mu.Unlock()
					a := call(g.front, "GET", "/look/1", map[string]string{"X-Attempt-Id": attempt, "X-Deadline-Ms": "1000"}, time.Second)
					w.note("attempt %s by %s: status %d, complete %v, after %d ms", attempt, g.name, a.status, a.complete, a.ended.Sub(a.sent).Milliseconds())
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	leaving.setState("draining")
	acknowledged := time.Now()
	time.Sleep(goesOn)
	close(stop)
	clients.Wait()
	leaving.crash()
	w.store.Withdraw(platform.KindTargets, leaving.id)

	broken := make(map[string]int)
	for _, r := range leaving.all() {
		if r.arrived.After(acknowledged.Add(drainTime)) {
			g := by[r.attempt]
			broken[g.name]++
			w.note("DRAIN: attempt %s by %s reached %s %.3f s after the acknowledgement", r.attempt, g.name, r.engine, r.arrived.Sub(acknowledged).Seconds())
		}
	}
	for _, g := range []*gateway{first, added} {
		w.note("%s: %d requests reached %s later than drain-ms after the acknowledgement", g.name, broken[g.name], leaving.id)
	}
	return len(broken) > 0
}
