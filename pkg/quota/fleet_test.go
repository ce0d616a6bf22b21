package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// event is something that happens at a time.
type event struct {
	at time.Duration
	n  int // orders events of the same time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simRun is a request that a target ran, or one that was refused.
type simRun struct {
	at   time.Duration
	cost float64
}

// simGateway is a gateway with one account.
type simGateway struct {
	account *Account
	engines []Engine // its list
	paused  time.Duration
	cut     bool // no message passes
}

// simHolder is the agent of an engine.
type simHolder struct {
	share  *Share
	dead   bool
	paused time.Duration
}

// simFleet simulates gateways and holders in virtual time.
type simFleet struct {
	rules    Rules
	limits   Limits
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	n        int
	version  uint64
	engines  []Engine
	holders  map[string]*simHolder
	gateways []*simGateway
	// loss, duplicates and maxDelay are of messages.
	loss, duplicates float64
	maxDelay         time.Duration
	// hold is the longest wait between a grant and the run.
	hold time.Duration
	// heldUntil replaces it, if it is set.
	heldUntil func() time.Duration
	// unserved is the share of requests that no target runs.
	unserved float64
	runs     []simRun
	refused  []simRun
	messages int
}

func newSimFleet(gateways, engines int, l Limits, seed uint64) *simFleet {
	f := &simFleet{
		rules: Rules{Window: 8 * time.Second, Excess: 0.1, Slack: 11_000}, limits: l, random: rand.New(rand.NewPCG(seed, 1)),
		holders: make(map[string]*simHolder), version: 1, maxDelay: 4 * time.Millisecond,
	}
	for i := range engines {
		f.engines = append(f.engines, Engine{Address: fmt.Sprintf("10.0.0.%d:1", i+1)})
		f.holders[f.engines[i].Address] = &simHolder{}
	}
	for range gateways {
		f.gateways = append(f.gateways, &simGateway{})
	}
	for i := range f.gateways {
		f.startGateway(i)
	}
	return f
}

func (f *simFleet) time() time.Time { return time.Unix(1000, 0).Add(f.now) }

func (f *simFleet) after(d time.Duration, do func()) {
	f.n++
	heap.Push(&f.events, event{f.now + d, f.n, do})
}

func (f *simFleet) run(d time.Duration) {
	for until := f.now + d; ; {
		if len(f.events) == 0 || f.events[0].at > until {
			f.now = until
			return
		}
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
}

func (f *simFleet) delay() time.Duration {
	return time.Millisecond + time.Duration(f.random.Int64N(int64(f.maxDelay)))
}

// startGateway replaces a gateway by a new process, which reads the list at once.
func (f *simFleet) startGateway(i int) {
	g := f.gateways[i]
	*g = simGateway{account: NewAccount(f.rules, f.limits)}
	f.relist(g, f.engines)
}

// list changes the list of engines. Each gateway has it within listDelay.
func (f *simFleet) list(engines []Engine) {
	f.engines = engines
	for _, g := range f.gateways {
		f.after(time.Duration(f.random.Int64N(int64(listDelay))), func() { f.relist(g, engines) })
	}
}

func (f *simFleet) relist(g *simGateway, engines []Engine) {
	g.engines = engines
	var addresses []string
	for _, e := range NewRing(engines).Holders("account") {
		addresses = append(addresses, e.Address)
	}
	g.account.SetHolders(addresses, f.random.IntN(HolderCount), func(a string) bool { return !f.holders[a].dead }, f.time())
	for _, h := range g.account.Holders() {
		f.announce(g, h)
	}
}

// setLimits puts a new version of the limits into force at all gateways within a time.
func (f *simFleet) setLimits(l Limits, within time.Duration) {
	f.limits, f.version = l, f.version+1
	for _, g := range f.gateways {
		f.after(time.Duration(f.random.Int64N(int64(within)+1)), func() {
			g.account.SetLimits(l)
			for _, h := range g.account.Holders() {
				f.announce(g, h)
			}
		})
	}
}

func (f *simFleet) announce(g *simGateway, listed Holder) {
	version, limits, delay := f.version, g.account.Share(), time.Duration(0)
	if !listed.Settled(f.time()) {
		delay = listed.JoinDelay
	}
	f.deliver(g, func() { f.atHolder(listed.Address, func(h *simHolder) { f.update(h, version, limits, delay) }) })
}

func (f *simFleet) update(h *simHolder, version uint64, l ShareLimits, joinDelay time.Duration) {
	if h.share == nil {
		h.share = NewShare(version, l, f.time())
	}
	h.share.Update(version, l, f.time())
	if joinDelay > 0 {
		h.share.Join(joinDelay, f.time())
	}
}

// deliver delivers a message after a delay, unless it is lost, and perhaps twice.
func (f *simFleet) deliver(g *simGateway, do func()) {
	f.messages++
	if g.cut || f.random.Float64() < f.loss {
		return
	}
	f.after(f.delay(), do)
	if f.random.Float64() < f.duplicates {
		f.after(f.delay(), do)
	}
}

func (f *simFleet) atHolder(address string, do func(*simHolder)) {
	h := f.holders[address]
	switch {
	case h.dead:
	case f.now < h.paused:
		f.after(h.paused-f.now, func() { f.atHolder(address, do) })
	default:
		do(h)
	}
}

func (f *simFleet) atGateway(g *simGateway, do func()) {
	if f.now < g.paused {
		f.after(g.paused-f.now, func() { f.atGateway(g, do) })
		return
	}
	do()
}

// request is a request of a cost at a gateway.
func (f *simFleet) request(g *simGateway, cost float64) {
	f.atGateway(g, func() {
		f.pay(g, cost, func(c Charge) { f.hand(g, c, f.holdTime()) })
	})
}

func (f *simFleet) holdTime() time.Duration {
	if f.heldUntil != nil {
		return f.heldUntil()
	}
	if f.hold <= 0 {
		return 0
	}
	return time.Duration(f.random.Int64N(int64(f.hold)))
}

// hand lets a request that has paid wait, and run.
func (f *simFleet) hand(g *simGateway, c Charge, wait time.Duration) {
	account := g.account
	f.after(wait, func() {
		f.atGateway(g, func() {
			switch {
			case f.random.Float64() < f.unserved:
				account.Refund(c, f.time())
			case c.Expired(f.time()):
				account.Renew(c, f.time())
				f.askNext(g, account, c.Amount, nil, func(c Charge) { f.hand(g, c, 0) })
			default:
				f.runs = append(f.runs, simRun{f.now, c.Amount})
			}
		})
	})
}

// pay pays a request as a gateway does, and then calls paid.
func (f *simFleet) pay(g *simGateway, cost float64, paid func(Charge)) {
	account := g.account
	if c, ok := account.Spend(cost, f.time()); ok {
		paid(c)
		return
	}
	f.askNext(g, account, cost, nil, paid)
}

func (f *simFleet) askNext(g *simGateway, account *Account, cost float64, tried []string, paid func(Charge)) {
	h, ok := account.Next(cost, tried, f.time())
	if !ok {
		if account.AllSilent(f.time()) {
			if c, _, ok := account.TakeAlone(cost, len(f.gateways), f.random.Float64(), f.time()); ok {
				paid(c)
				return
			}
		}
		f.refused = append(f.refused, simRun{f.now, cost})
		return
	}
	tried = append(tried, h.Address)
	ask := account.Ask(cost, f.time())
	version, limits, done := f.version, account.Share(), false
	settled, joinDelay := h.Settled(f.time()), h.JoinDelay
	if settled {
		joinDelay = 0
	}
	f.deliver(g, func() {
		f.atHolder(h.Address, func(holder *simHolder) {
			f.update(holder, version, limits, joinDelay)
			if settled {
				holder.share.Use(f.time())
			}
			holder.share.Return(ask.Returned, ask.ReturnedFrom, f.time())
			granted, wait := holder.share.Take(ask.Need, ask.Wish, f.time())
			f.deliver(g, func() {
				f.atGateway(g, func() {
					if done {
						return // the stream has ended
					}
					done = true
					if c, ok := account.Answered(h.Address, ask, granted, wait, f.time()); ok {
						paid(c)
						return
					}
					f.askNext(g, account, cost, tried, paid)
				})
			})
		})
	})
	f.after(HolderTimeout, func() {
		f.atGateway(g, func() {
			if !done {
				done = true
				account.Silent(h.Address, f.time())
				f.askNext(g, account, cost, tried, paid)
			}
		})
	})
}

// simCost is a cost as requests of the new deployments have it.
func (f *simFleet) simCost() float64 { return float64(100 + f.random.IntN(2400)) }

const simMeanCost = 1300

// load sends requests for a time, as a share of the quota, at a gateway that pick
// chooses.
func (f *simFleet) load(share float64, d time.Duration, pick func() *simGateway) {
	end, perSecond := f.now+d, share*f.limits.PerSecond/simMeanCost
	var next func()
	next = func() {
		if f.now >= end {
			return
		}
		f.request(pick(), f.simCost())
		f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	f.after(0, next)
}

func (f *simFleet) any() *simGateway { return f.gateways[f.random.IntN(len(f.gateways))] }

// worst returns the highest sum of runs in a window, from a time on.
func (f *simFleet) worst(from time.Duration) (sum float64, at time.Duration) {
	first, current := 0, 0.0
	for _, r := range f.runs {
		if r.at < from {
			first++
			continue
		}
		current += r.cost
		for r.at-f.runs[first].at >= f.rules.Window {
			current -= f.runs[first].cost
			first++
		}
		if current > sum {
			sum, at = current, r.at
		}
	}
	return sum, at
}

// allowed is what the window rule allows.
func (f *simFleet) allowed(l Limits) float64 {
	return (l.PerSecond*f.rules.Window.Seconds()+l.Burst)*(1+f.rules.Excess) + f.rules.Slack
}
