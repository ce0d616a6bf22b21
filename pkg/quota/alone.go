package quota

import "time"

// alone is the part of an account's quota that a gateway uses while no holder answers.
type alone struct {
	began   bool
	balance float64
	updated time.Time
}

// aloneTime is the time whose quota may be used at once, if that is more than a request.
const aloneTime = time.Second

// TakeAlone pays a request from this gateway's own part of the quota, with so many
// gateways in all. The part in [0, 1) is of a request with which it starts, at random,
// since others may have lost the holders at the same moment.
func (a *Account) TakeAlone(cost float64, gateways int, part float64, now time.Time) (c Charge, wait time.Duration, ok bool) {
	perSecond := a.rules.AloneShare() * a.limits.PerSecond / float64(max(gateways, 1))
	b := &a.alone
	if !b.began {
		*b = alone{began: true, balance: part * cost, updated: now}
	}
	if d := now.Sub(b.updated); d > 0 {
		b.balance = min(b.balance+perSecond*d.Seconds(), max(perSecond*aloneTime.Seconds(), cost))
		b.updated = now
	}
	if missing := cost - b.balance; missing > 0 {
		return Charge{}, max(timeFor(missing, perSecond), minDenial), false
	}
	b.balance -= cost
	// It was not granted by a holder, and so is not returned to one.
	return Charge{Amount: cost}, 0, true
}
