//go:build review

package main

import (
	"syscall"
	"time"
)

// shortGrace: the platform shortens grace-s in the settings file of an entry and sends SIGHUP.
// Later it stops the entry with SIGTERM, and with SIGKILL after the grace-s that the file
// states. Without the trouble the file has stated it from the start.
func shortGrace(w *world) bool {
	const before, after = 8, 4
	grace := before
	if !w.trouble {
		grace = after
	}
	s := newStopWorld(w, map[string]any{"grace-s": grace})
	s.run(60, func(c *caller) {
		s.call(c, "POST", "/book/1", map[string]string{}, time.Second)
	})
	time.Sleep(8 * time.Second)
	if w.trouble {
		for _, g := range s.entries {
			g.setBounds(w, map[string]any{"grace-s": after})
		}
		s.entries[0].signal(syscall.SIGHUP)
		w.note("the settings files state grace-s %d instead of %d; SIGHUP to %s", after, before, s.entries[0].name)
	}
	time.Sleep(stableTime + applyTime)
	s.terminate(after * time.Second)
	return s.judge(after*time.Second) > 0
}
