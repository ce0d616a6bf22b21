package orderer

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/grant"
	"github.com/hyssoproad/hyssoproad/platform"
)

// fencingToken is the fencing token of all orders. One process on the engine's VM
// sends all of the engine's orders, so the token never passes to another holder.
const fencingToken = 1

// sendOrder sends one order and reports whether it was accepted and the next one may
// follow.
func (o *Orderer) sendOrder(g grant.Order) bool {
	result, err := o.Engine.Send(platform.Order{
		Unload: g.Unload, Model: g.Weights.Model, Adapter: g.Weights.AdapterVersion,
		ExpectedSequence: g.Sequence, Holder: o.node.VM, FencingToken: fencingToken, Instance: g.Instance,
	})
	o.Debug("msg", "order", "unload", g.Unload, "weights", g.Weights, "sequence", g.Sequence, "result", result)
	o.metrics.orderSent(result)
	accepted := err == nil && (result == platform.OrderAccepted || result == platform.OrderNoChange)
	if !accepted {
		o.Info("msg", "order not accepted", "unload", g.Unload, "weights", g.Weights, "sequence", g.Sequence, "result", result, "err", err)
	}
	if result == platform.OrderUnanswered {
		return false // the next report shows whether the engine has accepted it
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.Answered()
	if !accepted {
		return false
	}
	if g.Unload && !g.Weights.AdapterVersion.IsZero() && result == platform.OrderAccepted {
		// An adapter without runs is dropped at once, which is answered otherwise.
		o.scheduler.Unloading(g, time.Now())
		return false
	}
	o.scheduler.Accepted(g, time.Now())
	return true
}
