package orderer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/ratelimit"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// permitTable apportions the rate limits of targets that have no agent of their own.
type permitTable struct {
	mu       sync.Mutex
	byTarget map[ident.Target]*ratelimit.Shared
}

// maxPermitTargets bounds the number of targets whose limits are apportioned here.
const maxPermitTargets = 1024

// get returns a target's limit as it is apportioned here, or nil if there are too many
// targets. The caller holds mu.
func (p *permitTable) get(t ident.Target, now time.Time) *ratelimit.Shared {
	if s := p.byTarget[t]; s != nil {
		return s
	}
	for other, s := range p.byTarget {
		if s.Idle(now) {
			delete(p.byTarget, other)
		}
	}
	if len(p.byTarget) >= maxPermitTargets {
		return nil
	}
	if p.byTarget == nil {
		p.byTarget = make(map[ident.Target]*ratelimit.Shared)
	}
	s := ratelimit.NewShared()
	p.byTarget[t] = s
	return s
}

// heard records that a gateway asks here for permits to send to the target.
func (p *permitTable) heard(t ident.Target, gateway ident.VM, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.get(t, now); s != nil {
		s.Heard(gateway, now)
	}
}

// take takes one request of a target's limit.
func (p *permitTable) take(r wire.PermitRequest, gateway ident.VM, gateways int, now time.Time) (wait time.Duration, taken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(r.Target, now)
	if s == nil {
		return time.Second, false
	}
	s.Heard(gateway, now)
	return s.TakeWithin(r.LimitPerSecond, gateways, time.Duration(r.MaxWaitMS)*time.Millisecond, now)
}

// handlePermitRequest answers a gateway that wants to send one request without a grant.
func (o *Orderer) handlePermitRequest(_ context.Context, s *link.Stream, f link.Frame) error {
	var r wire.PermitRequest
	if _, err := r.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	n, _ := o.entries.add(s.Conn())
	now := time.Now()
	o.entryCount.Record(n, now)
	var wait time.Duration
	var granted bool
	if o.isOwn(r.Target) {
		wait, granted = o.takePermit(time.Duration(r.MaxWaitMS)*time.Millisecond, now)
	} else {
		wait, granted = o.permits.take(r, s.Conn().Peer.VM, o.entryCount.Peak(), now)
	}
	reply := wire.PermitReply{Granted: granted, WaitMS: ceilMS(wait), LinkedEntries: n}
	return errors.Trace(s.Send(link.KindPermitReply, &reply))
}

// ceilMS rounds a wait up, so that it is not over before the request's turn.
func ceilMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

func (o *Orderer) isOwn(t ident.Target) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return t == o.scheduler.Instance()
}

func (o *Orderer) takePermit(maxWait time.Duration, now time.Time) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.TakePermit(maxWait, now)
}
