package orderer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/notice"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// handleTargetNotice records what a target has said about itself to a gateway, and tells
// the other gateways if that is new.
func (o *Orderer) handleTargetNotice(_ context.Context, s *link.Stream, f link.Frame) error {
	var n wire.TargetNotice
	if _, err := n.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	now := time.Now()
	if n.Limited && !o.isOwn(n.Target) {
		o.permits.heard(n.Target, s.Conn().Peer.VM, now)
	}
	if !o.notices.Adopt(n, now).Any() {
		return nil
	}
	o.mu.Lock()
	o.updateLimitLocked()
	o.updateLeavingLocked()
	o.mu.Unlock()
	o.signal()
	for _, c := range o.entries.all() {
		if c != s.Conn() {
			o.sendNotice(c, n)
		}
	}
	return nil
}

func (o *Orderer) sendNotice(c *link.Conn, n wire.TargetNotice) {
	if err := c.Notify(link.KindTargetNotice, &n); err != nil {
		o.Info("msg", "failed to pass on what a target says of itself", "target", n.Target, "entry", c.Peer.VM, "err", err)
	}
}

// observeNoticeLocked records what the head of the engine's newest report says. The
// caller holds mu.
func (o *Orderer) observeNoticeLocked(n platform.TargetNotice) {
	if n.Limit == platform.LimitInvalid {
		n.Limit, n.LimitPerSecond = o.reported.Limit, o.reported.LimitPerSecond
	}
	o.reported = n
	o.updateLimitLocked()
	o.updateLeavingLocked()
}

// updateLeavingLocked records whether the engine process is about to leave, by its reports
// or by its other responses. The caller holds mu.
func (o *Orderer) updateLeavingLocked() {
	leaving := o.report.Draining || o.reported.Leaving ||
		o.notices.Leaving(notice.Process{Target: o.scheduler.Instance(), StartMS: o.startMS})
	if leaving && !o.leaving {
		o.Info("msg", "engine is draining", "instance", o.scheduler.Instance(), "born", o.startMS)
	}
	o.leaving = leaving
	o.scheduler.SetDraining(leaving)
}

// updateLimitLocked applies the engine's rate limit: the lower one of what its reports
// and its other responses state. The caller holds mu.
func (o *Orderer) updateLimitLocked() {
	instance := o.scheduler.Instance()
	limit := notice.Limit{PerSecond: o.reported.LimitPerSecond}
	limited := o.reported.Limit == platform.LimitStated
	if l, ok := o.notices.Limit(instance); ok && (!limited || l.PerSecond < limit.PerSecond) {
		limit, limited = l, true
	}
	old, wasLimited := o.scheduler.Limit()
	switch {
	case limited && (!wasLimited || old != limit.PerSecond):
		o.Info("msg", "engine states a rate limit", "instance", instance, "per-second", limit.PerSecond)
		o.scheduler.SetLimit(limit.PerSecond, time.Now())
	case !limited && wasLimited:
		o.Info("msg", "engine states no rate limit any more", "instance", instance)
		o.scheduler.ClearLimit()
	}
}
