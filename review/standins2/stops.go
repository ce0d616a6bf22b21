//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	stopModel  = "m0"
	applyTime  = 2 * time.Second // config-apply-ms
	stableTime = 3 * time.Second // stable-ms
	eventGap   = 30 * time.Millisecond
	longEvents = 150 // of a long stream: 4.5 s
	nextEvents = 40  // of a short one
)

// stopWorld is a deployment of which one entry is stopped while its clients have long streams
// there. Each client sends its next request at once on the connection that it keeps.
type stopWorld struct {
	*world
	entries []*gateway
	stop    chan struct{}
	clients sync.WaitGroup

	mu      sync.Mutex
	answers []answer
	term    time.Time // when the first entry got SIGTERM
}

// newStopWorld starts two entries, three model engines and two plain ones.
func newStopWorld(w *world, bounds map[string]any) *stopWorld {
	s := &stopWorld{world: w, stop: make(chan struct{})}
	w.publish(10, []map[string]any{
		{"name": "draft", "host": host, "path-prefix": "/draft/", "kind": "streaming", "can-resume": false, "service": "drafts", "timeout-ms": 15000, "slo-ms": 1000, "gap-slo-ms": 300, "max-attempts": 1, "priority": 1},
		{"name": "guide", "host": host, "path-prefix": "/guide/", "kind": "streaming", "can-resume": false, "service": "drafts", "timeout-ms": 15000, "slo-ms": 1000, "gap-slo-ms": 300, "max-attempts": 1, "priority": 1},
		{"name": "book", "host": host, "path-prefix": "/book/", "kind": "unsafe", "service": "desk", "timeout-ms": 1000, "slo-ms": 300, "max-attempts": 1, "priority": 2},
	}, []map[string]any{{"name": "desk", "health-path": "/health"}, {"name": "drafts", "health-path": "/health", "engine": map[string]any{
		"slots": 64, "kv-capacity-tokens": 133316, "mb": 75600, "adapter-slots": 21, "stride": tokensPerEvent,
		"models": []any{map[string]any{"name": stopModel, "mb": 72700, "load-s": 1.2, "adapters": 3000, "adapter-mb": 66}},
	}}})
	for n := 1; n <= 3; n++ {
		e := w.newEngine("drafts", stopModel, n)
		e.gap, e.work = eventGap, 100*time.Millisecond
		e.preempts = func(string) bool { return false }
		e.start()
		e.beats()
		w.newOrderer(e).start(w)
	}
	for n := 4; n <= 5; n++ {
		e := w.newEngine("desk", "", n)
		e.work = 300 * time.Millisecond
		e.start()
		e.beats()
	}
	for range 2 {
		g := w.newGateway(bounds)
		g.start(w)
		s.entries = append(s.entries, g)
	}
	for _, g := range s.entries {
		g.awaitReady()
	}
	return s
}

// call sends an attempt by a client and keeps what the client has seen.
func (s *stopWorld) call(c *caller, method, path string, header map[string]string, limit time.Duration) answer {
	header["X-Attempt-Id"] = newAttempt()
	a := c.send(method, path, header, limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, a)
	return a
}

// stream sends a request for a number of events.
func (s *stopWorld) stream(c *caller, route string, events int) answer {
	return s.call(c, "POST", "/"+route+"/1", map[string]string{
		"X-Model": stopModel, "X-Token-Count": fmt.Sprintf("300,%d", events*tokensPerEvent), "X-Prompt-Prefix": fmt.Sprintf("aa01:200,%x:100", time.Now().UnixNano()),
	}, 15*time.Second)
}

// run lets clients send long streams, each followed at once by next on the same connection. A
// client whose connection closes goes to the other entry while the first one stops.
func (s *stopWorld) run(clients int, next func(*caller)) {
	for n := range clients {
		s.clients.Go(func() {
			var c caller
			defer c.close()
			time.Sleep(time.Duration(n) * 80 * time.Millisecond)
			for {
				select {
				case <-s.stop:
					return
				default:
				}
				if c.nc == nil {
					entry := s.entries[0]
					if s.stopping() {
						entry = s.entries[1]
					}
					if c.connect(entry) != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				if s.stream(&c, "draft", longEvents); c.nc != nil {
					next(&c)
				}
			}
		})
	}
}

func (s *stopWorld) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.term.IsZero()
}

// sinceTerm returns the time since the SIGTERM, or 0 before it.
func (s *stopWorld) sinceTerm() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term.IsZero() {
		return 0
	}
	return time.Since(s.term)
}

// terminate stops the first entry as the platform does, and ends the clients.
func (s *stopWorld) terminate(grace time.Duration) {
	g := s.entries[0]
	s.mu.Lock()
	s.term = time.Now()
	s.mu.Unlock()
	g.signal(syscall.SIGTERM)
	s.note("SIGTERM to %s", g.name)
	select {
	case <-g.done:
		s.note("%s has ended", g.name)
	case <-time.After(grace):
		s.note("SIGKILL to %s, %s after SIGTERM", g.name, grace)
		g.signal(syscall.SIGKILL)
		<-g.done
	}
	time.Sleep(time.Second)
	close(s.stop)
	for _, e := range s.engines {
		e.crash() // the clients need not wait for their last streams
	}
	s.clients.Wait()
}

// judge counts the requests that the stop has cut.
func (s *stopWorld) judge(grace time.Duration) int {
	runs := make(map[string]run)
	for _, e := range s.engines {
		for _, r := range e.all() {
			runs[r.attempt] = r
		}
	}
	lost, excused := 0, 0
	for _, a := range s.answers {
		r, ran := runs[a.attempt]
		events := strings.Count(string(a.body), "\n\n")
		s.note("attempt %s sent to %s at %.3f s, ran %v, status %d, complete %v, %d events, after %d ms", a.attempt, a.entry.name, a.sent.Sub(s.began).Seconds(), ran, a.status, a.complete, events, a.ended.Sub(a.sent).Milliseconds())
		switch after := a.sent.Sub(s.term); {
		case a.entry != s.entries[0] || !ran || a.complete || a.ended.Before(s.term) || a.ended.After(s.term.Add(grace+time.Second)):
		case after <= 3*time.Second && r.ended.After(s.term.Add(grace-grace/6)):
			excused++ // the engine was still at work in the last sixth of grace-s
		default:
			lost++
			s.note("LOST: attempt %s was sent %.3f s after SIGTERM and passed on to %s; its connection ended without a complete answer, %d events, %.3f s after SIGTERM", a.attempt, after.Seconds(), r.engine, events, a.ended.Sub(s.term).Seconds())
		}
	}
	s.note("%d attempts, %d of them lost, %d more cut and excused", len(s.answers), lost, excused)
	return lost
}
