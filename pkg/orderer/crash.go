package orderer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	// lossTTL is the time within which the loss of a request and the end of the engine
	// count as one event.
	lossTTL = 2 * time.Second
	// maxLosses and maxCrashReports bound the lost requests and the crashes that are
	// kept. Entries that come later are told of these crashes.
	maxLosses       = 256
	maxCrashReports = 64
)

// loss is a request whose connection ended before its first event.
type loss struct {
	at      time.Time
	startMS int64 // of the engine process, in Unix ms
	parts   []ident.PromptPart
}

// crashLog holds the lost requests of the last seconds and the reported crashes.
type crashLog struct {
	// ended is the start of the engine process that ended last, in Unix ms, and endedAt
	// when it was last seen to be gone.
	ended   int64
	endedAt time.Time
	losses  []loss
	reports []wire.CrashReport
}

func (l *crashLog) lost(v loss) {
	l.losses = append(l.losses, v)
	if len(l.losses) > maxLosses {
		l.losses = slices.Delete(l.losses, 0, 1)
	}
}

// take removes the losses and returns the parts of those that the end of the engine
// process explains.
func (l *crashLog) take(startMS int64, now time.Time) (parts []ident.PromptPart) {
	for _, v := range l.losses {
		if v.startMS != startMS || now.Sub(v.at) > lossTTL {
			continue
		}
		for _, p := range v.parts {
			if !slices.Contains(parts, p) {
				parts = append(parts, p)
			}
		}
	}
	l.losses = l.losses[:0]
	return parts
}

func (l *crashLog) reported(r wire.CrashReport) {
	l.reports = append(l.reports, r)
	if len(l.reports) > maxCrashReports {
		l.reports = slices.Delete(l.reports, 0, 1)
	}
}

// handleRequestLost records that a request was lost before its first event. Only the
// engine's next report shows whether the engine has ended.
func (o *Orderer) handleRequestLost(_ context.Context, _ *link.Stream, f link.Frame) error {
	var r wire.RequestLost
	if _, err := r.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if !o.crashes.endedAt.IsZero() && now.Sub(o.crashes.endedAt) <= lossTTL {
		// The engine may have started again before this report came.
		o.crashes.lost(loss{at: now, startMS: o.crashes.ended, parts: r.Parts})
		o.reportLossesLocked(o.crashes.ended, now)
		return nil
	}
	o.crashes.lost(loss{at: now, startMS: o.startMS, parts: r.Parts})
	o.signal()
	return nil
}

// engineEndedLocked records that the engine process has ended. The caller holds mu.
func (o *Orderer) engineEndedLocked(startMS int64) {
	now := time.Now()
	o.crashes.ended, o.crashes.endedAt = startMS, now
	o.reportLossesLocked(startMS, now)
}

// reportLossesLocked tells all entries under which parts of prompts the engine process
// has ended, if requests were lost with it. The caller holds mu.
func (o *Orderer) reportLossesLocked(startMS int64, now time.Time) {
	parts := o.crashes.take(startMS, now)
	if len(parts) == 0 {
		return
	}
	r := wire.CrashReport{VM: o.node.VM, StartMS: startMS, Parts: parts}
	o.crashes.reported(r)
	o.Warn("msg", "engine ended while requests waited for their first events", "born", startMS, "parts", fmt.Sprint(parts))
	for _, c := range o.entries.all() {
		o.sendCrashReport(c, r)
	}
}

// sendCrashReports tells an entry of the crashes before its link.
func (o *Orderer) sendCrashReports(c *link.Conn) {
	o.mu.Lock()
	reports := slices.Clone(o.crashes.reports)
	o.mu.Unlock()
	for _, r := range reports {
		o.sendCrashReport(c, r)
	}
}

func (o *Orderer) sendCrashReport(c *link.Conn, r wire.CrashReport) {
	if err := c.Notify(link.KindCrashReport, &r); err != nil {
		o.Info("msg", "failed to report a crash of the engine", "entry", c.Peer.VM, "err", err)
	}
}
