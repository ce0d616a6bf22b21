package agent

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/order"
	"github.com/hyssoproad/hyssoproad/pkg/queue"
	"github.com/hyssoproad/hyssoproad/pkg/target"
)

// untrackedPins are the adapters that the engine may be using for requests that
// this agent does not track: requests of a former agent, and requests whose stream
// ended before the answer was complete. Each adapter is pinned until a recent
// enough load report no longer lists it. The value is the time of the last add.
type untrackedPins map[ident.AdapterVersion]time.Time

// add pins key as of now.
func (u untrackedPins) add(sched *queue.Scheduler, key ident.AdapterVersion, now time.Time) {
	if _, held := u[key]; !held {
		sched.Pin(key)
	}
	u[key] = now
}

// release unpins the adapters that a report requested at the given time does not
// list.
func (u untrackedPins) release(sched *queue.Scheduler, inUse []string, askedAt time.Time) {
	named := make(map[string]bool, len(inUse))
	for _, name := range inUse {
		named[name] = true
	}
	for key, since := range u {
		if !named[key.String()] && askedAt.Sub(since) > target.ReportLag {
			sched.Unpin(key)
			delete(u, key)
		}
	}
}

// checkUntracked asks the engine which adapters are in use, if there are untracked
// pins.
func (a *Agent) checkUntracked() {
	a.mu.Lock()
	held := len(a.untracked) > 0
	a.mu.Unlock()
	// A former agent may start requests until its lease ends.
	if !held || time.Since(a.acquiredAt) < order.TakeoverWait {
		return
	}
	askedAt := time.Now()
	inUse, err := a.engine.InUse()
	if err != nil {
		return
	}
	a.mu.Lock()
	a.untracked.release(a.sched, inUse, askedAt)
	a.mu.Unlock()
	signal(a.scheduleWake)
}
