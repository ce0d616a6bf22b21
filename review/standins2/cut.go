//go:build review

package main

import "time"

// preemptedStream: an entry is stopped. Streams that clients send there later than 3 s after
// the SIGTERM are preempted by their engines in the middle for a while, and then go on.
// Without the trouble no stream is preempted.
func preemptedStream(w *world) bool {
	const grace = 8 * time.Second
	s := newStopWorld(w, nil)
	for _, e := range s.engines {
		e.pausesAfter, e.pauseTime = 10, 2400*time.Millisecond
		e.preempts = func(path string) bool { return w.trouble && path == "/guide/1" && s.sinceTerm() > 3*time.Second }
	}
	s.run(60, func(c *caller) { s.stream(c, "guide", nextEvents) })
	time.Sleep(16 * time.Second)
	s.terminate(grace)
	return s.judge(grace) > 0
}
