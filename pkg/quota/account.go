package quota

import (
	"slices"
	"time"
)

const (
	// HolderTimeout is how long a holder may take to answer. A round trip and its work
	// take a few ms, even on a slow VM.
	HolderTimeout = 100 * time.Millisecond
	// holderBackoff is how long a holder that gave no answer is not asked, so that not
	// every request waits for it.
	holderBackoff = time.Second
	// probeInterval is how often one holder is asked all the same while none answers:
	// the gateway's own part of the quota is small, and agents that start again take
	// about half a second.
	probeInterval = 200 * time.Millisecond
	// minDenial is how long a denial is remembered at least. It bounds the messages of
	// an account that sends too much to 50 a second to each holder from each gateway:
	// the share of a large account gains the cost of a request within some ms.
	minDenial = 20 * time.Millisecond
)

// Account is what one gateway knows of one account's quota. It is not safe for
// concurrent use. Its times include those for which the VM was suspended.
type Account struct {
	rules   Rules
	limits  Limits // of the whole account
	holders []Holder
	// preferred is the holder that granted last.
	preferred int
	lease     lease
	usage     usage
	// returned is what was granted from returnedFrom on and not used, and not yet returned
	// to a holder.
	returned     float64
	returnedFrom time.Time
	alone        alone
	// probed is when a holder was last asked although none answers.
	probed time.Time
}

// Holder is what is known of one of an account's holders.
type Holder struct {
	Address string
	// LastAnswer is when it last answered, and Granted and Wait what.
	LastAnswer time.Time
	Granted    float64
	Wait       time.Duration
	// SilentUntil is until when it is not asked, since it gave no answer.
	SilentUntil time.Time
	// Listed is when it became a holder here, and JoinDelay for how long the holder that it
	// replaces may still be asked by others. It is 0 if the account had no holders before.
	Listed    time.Time
	JoinDelay time.Duration
	// deniedUntil is until when it denies the amount deniedNeed.
	deniedUntil time.Time
	deniedNeed  float64
}

// Settled reports whether it has been a holder for longer than lists of engines differ.
func (h Holder) Settled(now time.Time) bool { return now.Sub(h.Listed) >= listDelay }

// State returns what the holder last did, as in reports.
func (h Holder) State(now time.Time) string {
	switch {
	case now.Before(h.SilentUntil):
		return HolderSilent
	case h.LastAnswer.IsZero():
		return HolderNotAsked
	case h.Granted > 0:
		return HolderGrants
	}
	return HolderDenies
}

// NewAccount returns an account without holders.
func NewAccount(r Rules, l Limits) *Account { return &Account{rules: r, limits: l} }

// Limits returns the limits of the whole account.
func (a *Account) Limits() Limits { return a.limits }

// SetLimits sets new limits of the whole account.
func (a *Account) SetLimits(l Limits) {
	if l == a.limits {
		return
	}
	a.limits = l
	for i := range a.holders {
		a.holders[i].deniedUntil = time.Time{}
	}
}

// Share returns the limits of each holder's share.
func (a *Account) Share() ShareLimits { return a.rules.ShareOf(a.limits, len(a.holders)) }

// Holders returns the holders. The caller must not change them.
func (a *Account) Holders() []Holder { return a.holders }

// Leased returns what requests may be paid from without asking a holder.
func (a *Account) Leased(now time.Time) float64 {
	if !now.Before(a.lease.useBy) {
		return 0
	}
	return a.lease.amount
}

// minJoinDelay is the delay of a holder that replaces one which no longer answers.
const minJoinDelay = time.Millisecond

// SetHolders sets the addresses of the holders, and the one to ask first if none of those
// that remain has granted. The function answers reports whether one that is no longer a
// holder still answers.
func (a *Account) SetHolders(addresses []string, first int, answers func(address string) bool, now time.Time) {
	before, last := a.holders, ""
	if a.preferred < len(before) {
		last = before[a.preferred].Address
	}
	delay := time.Duration(0)
	if len(before) > 0 {
		delay = minJoinDelay
	}
	if slices.ContainsFunc(before, func(h Holder) bool { return !slices.Contains(addresses, h.Address) && answers(h.Address) }) {
		delay = listDelay
	}
	next := make([]Holder, len(addresses))
	for i, address := range addresses {
		next[i] = Holder{Address: address, Listed: now, JoinDelay: delay}
		if at := indexOf(before, address); at >= 0 {
			next[i] = before[at]
		}
	}
	a.holders, a.preferred = next, 0
	if len(next) > 0 {
		a.preferred = first % len(next)
	}
	if at := slices.Index(addresses, last); at >= 0 {
		a.preferred = at
	}
}

// Spend pays a request from the lease, if that suffices.
func (a *Account) Spend(cost float64, now time.Time) (Charge, bool) {
	if cost > a.Leased(now) {
		return Charge{}, false
	}
	a.lease.amount -= cost
	a.usage.add(cost, now)
	return Charge{cost, a.lease.holder, a.lease.granted, a.lease.expires}, true
}

// Next returns the holder to ask for a cost, other than those tried, or false if all
// others deny it or give no answer.
func (a *Account) Next(cost float64, tried []string, now time.Time) (Holder, bool) {
	for i := range a.holders {
		h := &a.holders[(a.preferred+i)%len(a.holders)]
		if slices.Contains(tried, h.Address) || now.Before(h.SilentUntil) || a.denial(h, cost, now) > 0 {
			continue
		}
		return *h, true
	}
	if len(tried) > 0 || !a.AllSilent(now) || now.Sub(a.probed) < probeInterval {
		return Holder{}, false
	}
	return a.probe(now)
}

// probe returns the holder whose silence began first.
func (a *Account) probe(now time.Time) (Holder, bool) {
	if len(a.holders) == 0 {
		return Holder{}, false
	}
	a.probed = now
	return slices.MinFunc(a.holders, func(x, y Holder) int { return x.SilentUntil.Compare(y.SilentUntil) }), true
}

// denial returns how long a holder still denies a cost. Its share gains at a constant
// rate, so that a smaller amount may be had earlier than the one it denied.
func (a *Account) denial(h *Holder, cost float64, now time.Time) time.Duration {
	left := h.deniedUntil.Sub(now)
	if left <= 0 {
		return 0
	}
	share := a.Share()
	difference := min(cost, share.Burst) - min(h.deniedNeed, share.Burst)
	if difference < 0 {
		return max(left-timeFor(-difference, share.PerSecond), 0)
	}
	return left + timeFor(difference, share.refillRate())
}

// Ask is what a holder is asked for.
type Ask struct {
	Need, Wish float64
	// Returned is what was granted from ReturnedFrom on and not used.
	Returned     float64
	ReturnedFrom time.Time
	// Sent is when it was asked, from which on the grant's lifetime counts.
	Sent time.Time
}

// Ask returns what to ask a holder for.
func (a *Account) Ask(cost float64, now time.Time) Ask {
	if !now.Before(a.lease.useBy) {
		a.dropLease()
	}
	ask := Ask{Need: cost, Wish: a.usage.last(now), Returned: a.returned, ReturnedFrom: a.returnedFrom, Sent: now}
	a.returned = 0
	return ask
}

// Renew prepares to pay a request anew whose charge has expired: that is returned with the
// next question, which goes to its holder if that answers.
func (a *Account) Renew(c Charge, now time.Time) {
	a.putBack(c.Amount, c.Granted)
	if at := indexOf(a.holders, c.Holder); at >= 0 && !now.Before(a.holders[at].SilentUntil) {
		a.preferred = at
		a.holders[at].deniedUntil = time.Time{}
	}
}

// putBack records an amount to return that was granted at a time.
func (a *Account) putBack(amount float64, granted time.Time) {
	if amount <= 0 {
		return
	}
	if a.returned <= 0 || granted.Before(a.returnedFrom) {
		a.returnedFrom = granted
	}
	a.returned += amount
}

func (a *Account) dropLease() {
	a.putBack(a.lease.amount, a.lease.granted)
	a.lease = lease{}
}

// Answered records a holder's answer. It returns the request's charge if that was
// granted.
func (a *Account) Answered(address string, ask Ask, granted float64, wait time.Duration, now time.Time) (Charge, bool) {
	h := a.holder(address)
	if h != nil {
		h.LastAnswer, h.Granted, h.Wait, h.SilentUntil = now, granted, wait, time.Time{}
	}
	a.alone = alone{}
	if granted < ask.Need {
		if h != nil {
			h.deniedUntil, h.deniedNeed = now.Add(max(wait, minDenial)), ask.Need
		}
		return Charge{}, false
	}
	if h != nil {
		h.deniedUntil = time.Time{}
		a.preferred = indexOf(a.holders, address)
	}
	lifetime := a.rules.Lifetime()
	expires := ask.Sent.Add(lifetime)
	if extra := granted - ask.Need; extra > 0 {
		a.dropLease() // one of an earlier grant
		a.lease = lease{extra, address, ask.Sent, ask.Sent.Add(time.Duration(usePart * float64(lifetime))), expires}
	}
	a.usage.add(ask.Need, now)
	return Charge{ask.Need, address, ask.Sent, expires}, true
}

func (a *Account) holder(address string) *Holder {
	if at := indexOf(a.holders, address); at >= 0 {
		return &a.holders[at]
	}
	return nil
}

// indexOf returns the index of the holder at an address, or -1.
func indexOf(holders []Holder, address string) int {
	return slices.IndexFunc(holders, func(h Holder) bool { return h.Address == address })
}

// Silent records that a holder gave no answer. What was to be returned to it is lost: it
// may have received it.
func (a *Account) Silent(address string, now time.Time) {
	a.probed = now
	if h := a.holder(address); h != nil {
		h.SilentUntil = now.Add(holderBackoff)
	}
}

// Refund returns the charge of a request that no target ran.
func (a *Account) Refund(c Charge, now time.Time) {
	if c.Amount <= 0 || c.Expires.IsZero() {
		return
	}
	if a.lease.amount > 0 && c.Expires.Equal(a.lease.expires) && now.Before(a.lease.useBy) {
		a.lease.amount += c.Amount
		return
	}
	a.putBack(c.Amount, c.Granted)
}

// Wait returns how long it takes until the cost may be had, given that it may not now.
func (a *Account) Wait(cost float64, now time.Time) time.Duration {
	wait := time.Duration(0)
	for i := range a.holders {
		h := &a.holders[i]
		w := max(a.denial(h, cost, now), h.SilentUntil.Sub(now))
		if w > 0 && (wait == 0 || w < wait) {
			wait = w
		}
	}
	return max(wait, minDenial)
}

// Denied reports whether all holders are known to deny a request or to give no answer, and
// for how long. It changes nothing.
func (a *Account) Denied(cost float64, now time.Time) (time.Duration, bool) {
	for i := range a.holders {
		h := &a.holders[i]
		if a.denial(h, cost, now) <= 0 && !now.Before(h.SilentUntil) {
			return 0, false
		}
	}
	return a.Wait(cost, now), len(a.holders) > 0
}

// AllSilent reports whether no holder answers.
func (a *Account) AllSilent(now time.Time) bool {
	return !slices.ContainsFunc(a.holders, func(h Holder) bool { return !now.Before(h.SilentUntil) })
}
