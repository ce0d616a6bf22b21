package agent

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/order"
	"github.com/hyssoproad/hyssoproad/pkg/queue"
	"github.com/hyssoproad/hyssoproad/pkg/target"
)

// holds are the adapters that the engine may be using for requests which this
// agent does not follow: those of a former agent, and those whose streams
// ended before their answers. Each is pinned until a load report that is new
// enough no longer names it.
type holds map[ident.AdapterVersion]time.Time

// add pins key as of now.
func (h holds) add(s *queue.Scheduler, key ident.AdapterVersion, now time.Time) {
	if _, held := h[key]; !held {
		s.Pin(key)
	}
	h[key] = now
}

// release unpins the adapters that a report asked for at a time does not name.
func (h holds) release(s *queue.Scheduler, inUse []string, asked time.Time) {
	named := make(map[string]bool, len(inUse))
	for _, name := range inUse {
		named[name] = true
	}
	for key, since := range h {
		if !named[key.String()] && asked.Sub(since) > target.ReportLag {
			s.Unpin(key)
			delete(h, key)
		}
	}
}

// checkHolds asks the engine which adapters are in use, while any is held.
func (a *Agent) checkHolds() {
	a.mu.Lock()
	held := len(a.holds) > 0
	a.mu.Unlock()
	// A former agent may go on starting requests for the length of its lease.
	if !held || time.Since(a.began) < order.TakeoverWait {
		return
	}
	asked := time.Now()
	inUse, err := a.engine.InUse()
	if err != nil {
		return
	}
	a.mu.Lock()
	a.holds.release(a.sched, inUse, asked)
	a.mu.Unlock()
	signal(a.wake)
}
