package orderer

import (
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/grant"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// handlePaceReport records what the response to a granted request states.
func (o *Orderer) handlePaceReport(id grant.RequestID, f link.Frame) error {
	var r wire.PaceReport
	if _, err := r.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
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
