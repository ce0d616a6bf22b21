package orderer

import (
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/grant"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// handleProgress records what an entry reports of a granted request while it runs.
func (o *Orderer) handleProgress(id grant.RequestID, f link.Frame) error {
	if f.Kind == link.KindPaceReport {
		return o.handlePaceReport(id, f)
	}
	var event wire.GrantFirstEvent
	if _, err := event.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.Started(id, time.Duration(event.FirstEventMS)*time.Millisecond, time.Now())
	o.replyLocked()
	return nil
}

// handlePaceReport records what the response to a granted request states.
func (o *Orderer) handlePaceReport(id grant.RequestID, f link.Frame) error {
	var r wire.PaceReport
	if _, err := r.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.PauseMS > 0 {
		o.recordLatePauseLocked(id, r)
		return nil
	}
	o.scheduler.RecordStream(id, time.Duration(r.GapObjectiveMS)*time.Millisecond, time.Duration(r.EventUS)*time.Microsecond)
	o.recordPaceLocked(float64(r.Pace), paceOfResponse, time.Now())
	o.replyLocked()
	return nil
}

// The sources of a pace, in metrics.
const (
	paceOfResponse = "response" // to a request, by way of a gateway
	paceOfReport   = "report"   // to this process
)

// recordPaceLocked records the pace that the engine states, in percent. The caller holds
// mu.
func (o *Orderer) recordPaceLocked(percent float64, source string, at time.Time) {
	if !o.scheduler.RecordPace(int(math.Round(percent)), at) {
		o.Debug("msg", "pace is no sensible number", "pace", percent)
		return
	}
	o.metrics.pace.Update(percent)
	o.metrics.paceStated(source)
}

// recordLatePauseLocked counts a stream that has paused for too long, and logs what was
// read on the engine while it ran. The caller holds mu.
func (o *Orderer) recordLatePauseLocked(id grant.RequestID, r wire.PaceReport) {
	o.metrics.latePauses.Inc(1)
	load, ok := o.scheduler.StreamLoad(id)
	if !ok {
		return
	}
	skipped, ok := o.latePauseRows.Take(time.Now())
	if !ok {
		return
	}
	o.Info("msg", "stream paused for too long", "request", load.Attempt, "pause-ms", r.PauseMS, "objective-ms", r.GapObjectiveMS, "pace-at-head", r.Pace,
		"peak-pace", int(math.Round(100*load.PeakPace)), "peak-running", load.PeakRunning, "peak-prefill", load.PeakPrefill, "largest-prompt", load.LargestPrompt,
		"tokens-per-ms", load.TokensPerMS, "event-time", load.EventTime, "window", load.Window, "skipped", skipped)
}

// latePauseRowInterval is the time between two rows about streams that have paused for too
// long. One prompt delays all streams of the engine, often a dozen.
const latePauseRowInterval = 500 * time.Millisecond
