//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// silentAgent: an engine preempts streams for a while, and reads them anew. Meanwhile the
// process beside it is killed, and starts again. The entry gives up on the engine and goes on at
// another one. The engine is one of those that do not drop a request when its connection
// closes. Without the trouble nothing is killed.
func silentAgent(w *world) bool {
	const (
		model     = "m0"
		killAfter = time.Second            // from the begin of the run on
		restart   = 500 * time.Millisecond // until the platform starts the process again
		tolerated = 400 * time.Millisecond
	)
	w.publish(10, []map[string]any{
		{"name": "draft", "host": host, "path-prefix": "/stream/", "kind": "streaming", "can-resume": true, "service": "drafts", "timeout-ms": 15000, "slo-ms": 800, "gap-slo-ms": 300, "max-attempts": 2, "priority": 1},
	}, []map[string]any{{"name": "drafts", "health-path": "/health", "engine": map[string]any{
		"slots": 64, "kv-capacity-tokens": 100000, "mb": 75600, "adapter-slots": 21, "stride": 3,
		"models": []any{map[string]any{"name": model, "mb": 72700, "load-s": 1.2, "adapters": 3000, "adapter-mb": 66}},
	}}})
	orderers := make(map[string]*process)
	for n := 1; n <= 2; n++ {
		e := w.newEngine("drafts", model, n)
		e.holds, e.stays, e.gap, e.work = 20, true, 30*time.Millisecond, 100*time.Millisecond
		if n == 1 {
			e.pausesAfter, e.pauseTime = 5, 2200*time.Millisecond
		}
		e.start()
		e.beats()
		p := w.newOrderer(e)
		p.start(w)
		orderers[e.id] = p
	}
	slow := w.engines[0]
	var kills sync.WaitGroup
	var once sync.Mutex
	slow.onStart = func(r *run) {
		w.note("%s begins attempt %s", slow.id, r.attempt)
		if !w.trouble || !once.TryLock() {
			return
		}
		kills.Go(func() {
			defer once.Unlock()
			time.Sleep(killAfter)
			p := orderers[slow.id]
			w.note("SIGKILL to %s", p.name)
			p.kill()
			time.Sleep(restart)
			p.start(w)
		})
	}
	g := w.newGateway(nil)
	g.start(w)
	g.awaitReady()
	time.Sleep(2 * time.Second)
	tried := 0
	for n := range 20 {
		before := len(slow.all())
		a := call(g.front, "POST", "/stream/1", map[string]string{
			"X-Attempt-Id": newAttempt(), "X-Deadline-Ms": "15000", "X-Model": fmt.Sprintf("%s/a%d", model, n+1), "X-Token-Count": "1200,60", "X-Prompt-Prefix": "aa01:200,bb" + time.Now().Format("150405") + ":1000",
		}, 15*time.Second)
		w.note("attempt %s: status %d, complete %v, %d bytes, after %d ms", a.attempt, a.status, a.complete, len(a.body), a.ended.Sub(a.sent).Milliseconds())
		kills.Wait()
		if len(slow.all()) > before {
			tried++
			time.Sleep(stableTime)
		}
		if tried == 3 {
			break
		}
	}
	time.Sleep(3 * time.Second)
	if tried == 0 {
		must(errNoTrial)
	}
	broken := 0
	for _, r := range slow.all() {
		for _, other := range w.engines[1].all() {
			if other.attempt != r.attempt {
				continue
			}
			over := r.ended.Sub(other.began)
			w.note("attempt %s: %s worked from %.3f s to %.3f s, %s began at %.3f s", r.attempt, r.engine, r.began.Sub(w.began).Seconds(), r.ended.Sub(w.began).Seconds(), other.engine, other.began.Sub(w.began).Seconds())
			if other.began.After(r.began) && over > tolerated {
				broken++
				w.note("TWICE: %s still worked on attempt %s %d ms after it went on at %s", r.engine, r.attempt, over.Milliseconds(), other.engine)
			}
		}
	}
	return broken > 0
}

var errNoTrial = errors.New("no request was sent to the slow engine")
