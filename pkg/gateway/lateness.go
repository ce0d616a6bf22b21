package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssoproad/hyssoproad/platform"
)

// lateness says why a stream missed its objectives.
type lateness uint8

const (
	inTime lateness = iota
	lateFirstEvent
	latePause // the first event was in time, but a later one was not
)

var latenessNames = [...]string{"none", "first-event", "pause"}

// String returns the name of the cause.
func (l lateness) String() string { return latenessNames[l] }

// lateness returns why the stream is late, if it is.
func (x *exchange) lateness(t streamTiming) lateness {
	switch {
	case t.resumedGap == 0 && t.grantWait+t.firstEvent > x.route.Objective:
		return lateFirstEvent
	case x.route.GapObjective > 0 && max(t.maxGap, t.resumedGap) > x.route.GapObjective:
		return latePause
	}
	return inTime
}

// paceClasses are the classes of paces that streams are counted by, with their upper
// bounds in percent. They tell apart the usual pace, faster and slower VMs, and VMs that
// are slow for the moment.
var paceClasses = [...]struct {
	name string
	upTo float64
}{{"unknown", 0}, {"fast", 80}, {"usual", 130}, {"slow", 200}, {"very-slow", 320}, {"slowest", platform.MaxPace}}

// paceClass returns the index of a load's class.
func paceClass(l platform.TargetLoad) int {
	if !l.Known.Has(platform.LoadPace) {
		return 0
	}
	for i, c := range paceClasses[1:] {
		if l.Pace <= c.upTo {
			return i + 1
		}
	}
	return len(paceClasses) - 1
}

// streamMetrics are the metrics of streams that were served to their end, by the pace at
// the head of the response.
type streamMetrics struct {
	served [len(paceClasses)]tally.Counter
	late   [len(latenessNames)][len(paceClasses)]tally.Counter // none for inTime
	pause  tally.Histogram                                     // longest pause of each stream
}

func newStreamMetrics(scope tally.Scope) streamMetrics {
	m := streamMetrics{pause: scope.Histogram("longest_pause", latencyBuckets)}
	for i, class := range paceClasses {
		m.served[i] = scope.Tagged(map[string]string{"pace": class.name}).Counter("streams_served")
		for cause := lateFirstEvent; cause <= latePause; cause++ {
			m.late[cause][i] = scope.Tagged(map[string]string{"pace": class.name, "cause": cause.String()}).Counter("late_streams")
		}
	}
	return m
}

const (
	// maxLateRows bounds the rows about late streams in lateRowsPeriod. While engines
	// fail, nearly all streams may be late.
	maxLateRows    = 5
	lateRowsPeriod = time.Second
)

// recordLateness counts a stream that was served to its end. If it is late, it logs what is
// known of its engine, and tells the engine's agent, which knows what was read there.
func (x *exchange) recordLateness(a *assignment, t streamTiming) {
	m, class, cause := &x.g.metrics.streams, paceClass(x.load), x.lateness(t)
	m.served[class].Inc(1)
	m.pause.RecordDuration(t.maxGap)
	if cause == inTime {
		return
	}
	m.late[cause][class].Inc(1)
	if r := x.paceReport(); r != nil && cause == latePause && t.resumedGap <= t.maxGap {
		r.PauseMS = t.maxGap.Milliseconds()
		a.reportPace(r)
	}
	if skipped, ok := x.g.lateRows.Take(time.Now()); ok {
		x.g.Info("msg", "late stream", "cause", cause, "request", x.q.attempt, "route", x.route.Name, "target", a.target.Instance, "weights", x.q.weights, "prompt", x.q.promptTokens,
			"waited", t.grantWait, "first", t.firstEvent, "objective", x.route.Objective, "pause", max(t.maxGap, t.resumedGap), "resumed", t.resumedGap > 0, "pause-objective", x.route.GapObjective, "events", t.events,
			"pace", x.load.Pace, "running", x.load.Running, "waiting", x.load.Waiting, "skipped", skipped)
	}
}
