package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/quota"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// maxAnnounced is the number of accounts in one announcement, of about 40 bytes each.
	maxAnnounced = 2000
	// joinTime is how long after a change of holders they are told that they join. A link
	// that is replaced later carries announcements without that.
	joinTime = 5 * time.Second
)

// announcement is what one holder is told of its shares.
type announcement struct {
	limits  []wire.QuotaLimit
	version uint64
	began   time.Time
	// sent is the link over which it was sent.
	sent *link.Conn
}

func newQuotas(g *Gateway) *quotas {
	b := g.node.Bounds
	return &quotas{
		Common: g.Common, vm: g.node.VM, rules: quota.Rules{Window: b.QuotaWindow, Excess: b.QuotaExcess, Slack: b.QuotaSlack},
		metrics: newAccountMetricsTable(g.Metrics), accounts: make(map[ident.Account]*accountQuota), announcements: make(map[string]*announcement),
		now:  func() time.Time { return time.Now().Add(g.suspended()) },
		call: g.askForQuota, current: g.quotaSources, linked: func(address string) bool { return g.agents.linkTo(address) != nil },
		gateways: g.entryCount.Estimate, knownGateways: g.entryCount.Peak,
	}
}

// askForQuota asks the agent beside an engine for quota.
func (g *Gateway) askForQuota(ctx context.Context, t fleet.Target, r *wire.QuotaRequest) (reply wire.QuotaReply, err error) {
	conn, err := g.agents.conn(ctx, t)
	if err != nil {
		return reply, errors.Trace(err)
	}
	if !conn.Reads(link.KindQuotaRequest) {
		return reply, errors.NotSupportedf("quotas at the agent of %s", t.Address)
	}
	err = conn.Call(ctx, link.KindQuotaRequest, r, link.KindQuotaReply, &reply)
	return reply, errors.Trace(err)
}

// quotaSources returns the configuration in force and the engines of all services.
func (g *Gateway) quotaSources() (*platform.Configuration, []fleet.Target) {
	c := g.directory.Configuration()
	if c == nil || len(c.Accounts) == 0 {
		return c, nil
	}
	var engines []fleet.Target
	for _, s := range c.Services {
		if s.Engine != nil {
			engines = append(engines, g.fleet.Available(s.Name)...)
		}
	}
	return c, engines
}

// linkTo returns the open link to the agent beside the engine at an address, or nil.
func (a *agentLinks) linkTo(address string) *link.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.established[address]; ok && !isClosed(e.conn) {
		return e.conn
	}
	return nil
}

// maintain chooses the holders anew if the configuration or the engines have changed, and
// announces to holders what they don't know.
func (q *quotas) maintain(linkTo func(address string) *link.Conn) {
	q.refresh()
	q.announce(linkTo, time.Now())
}

// refresh chooses the holders anew if the configuration or the engines have changed.
func (q *quotas) refresh() {
	c, engines := q.current()
	q.mu.Lock()
	defer q.mu.Unlock()
	if c == nil || len(c.Accounts) == 0 && len(q.accounts) == 0 || c.Version == q.configuration && q.hasEngines(engines) {
		return
	}
	if !q.hasEngines(engines) || q.ring == nil {
		q.setEngines(engines)
	}
	q.configuration = c.Version
	q.chooseHolders(c)
}

// hasEngines reports whether the engines are those that the holders were chosen from. The
// caller holds mu.
func (q *quotas) hasEngines(engines []fleet.Target) bool {
	if len(engines) != len(q.engines) {
		return false
	}
	for _, t := range engines {
		if known, listed := q.engines[t.Address]; !listed || known.Domain != t.Domain {
			return false
		}
	}
	return true
}

func (q *quotas) setEngines(engines []fleet.Target) {
	q.engines = make(map[string]fleet.Target, len(engines))
	list := make([]quota.Engine, len(engines))
	for i, t := range engines {
		q.engines[t.Address] = t
		list[i] = quota.Engine{Address: t.Address, Domain: t.Domain}
	}
	slices.SortFunc(list, func(a, b quota.Engine) int { return strings.Compare(a.Address, b.Address) })
	q.ring = quota.NewRing(list)
}

// chooseHolders sets the holders and limits of all accounts, and what the holders are told.
// The caller holds mu.
func (q *quotas) chooseHolders(c *platform.Configuration) {
	told, kept := make(map[string][]wire.QuotaLimit), make(map[ident.Account]bool)
	for i := range c.Accounts {
		name := c.Accounts[i].Name
		limits, limited := quota.LimitsOf(&c.Accounts[i])
		if !limited {
			continue
		}
		kept[name] = true
		a := q.accounts[name]
		if a == nil {
			a = q.add(name)
		}
		a.setLimits(limits, c.Version)
		for _, h := range a.setHolders(q.ring.Holders(name), int(hash(string(q.vm))%quota.HolderCount), q.linked, q.now()) {
			told[h.address] = append(told[h.address], h.limit)
		}
	}
	for name := range q.accounts {
		if !kept[name] {
			delete(q.accounts, name)
		}
	}
	now := time.Now()
	for address := range q.announcements {
		if told[address] == nil {
			delete(q.announcements, address)
		}
	}
	gateways := q.knownGateways()
	for address, limits := range told {
		if !quota.Announces(q.vm, address, gateways) {
			delete(q.announcements, address)
			continue
		}
		known := q.announcements[address]
		if known == nil || known.version != c.Version || !slices.Equal(known.limits, limits) {
			q.announcements[address] = &announcement{limits: limits, version: c.Version, began: now}
		}
	}
}

// add adds an account without limits and holders. The caller holds mu.
func (q *quotas) add(name ident.Account) *accountQuota {
	a := &accountQuota{name: name, quota: quota.NewAccount(q.rules, quota.Limits{}), metrics: q.metrics.get(name), rows: common.NewRowLimit(1, refusalLogInterval)}
	q.accounts[name] = a
	return a
}

// toldLimit is what one holder is told of an account.
type toldLimit struct {
	address string
	limit   wire.QuotaLimit
}

// setHolders sets the account's holders, and returns what they are to be told. The function
// answers reports whether a former holder still answers.
func (a *accountQuota) setHolders(engines []quota.Engine, first int, answers func(address string) bool, now time.Time) []toldLimit {
	addresses := make([]string, len(engines))
	for i, e := range engines {
		addresses[i] = e.Address
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quota.SetHolders(addresses, first, answers, now)
	var out []toldLimit
	for _, h := range a.quota.Holders() {
		out = append(out, toldLimit{h.Address, wire.QuotaLimit{Account: a.name, Share: a.shareOf(h, now)}})
	}
	return out
}

// shareOf returns what a holder is told of its share. The caller holds mu.
func (a *accountQuota) shareOf(h quota.Holder, now time.Time) wire.QuotaShare {
	l := a.quota.Share()
	out := wire.QuotaShare{PerSecond: l.PerSecond, Burst: l.Burst, Sum: l.Sum, WindowMS: l.Window.Milliseconds()}
	if !h.Settled(now) {
		out.JoinDelayMS = h.JoinDelay.Milliseconds()
	}
	return out
}

// announce tells the holders their shares, over each link once.
func (q *quotas) announce(linkTo func(address string) *link.Conn, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for address, a := range q.announcements {
		conn := linkTo(address)
		if conn == nil || conn == a.sent {
			continue
		}
		if now.Sub(a.began) > joinTime {
			for i := range a.limits {
				a.limits[i].Share.JoinDelayMS = 0
			}
		}
		if err := a.send(conn); err != nil {
			q.Info("msg", "failed to announce shares of quotas", "engine", address, "accounts", len(a.limits), "err", err)
			continue
		}
		a.sent = conn
		q.Debug("msg", "announced shares of quotas", "engine", address, "accounts", len(a.limits), "configuration", a.version)
	}
}

func (a *announcement) send(c *link.Conn) error {
	for part := range slices.Chunk(a.limits, maxAnnounced) {
		if err := c.Notify(link.KindQuotaLimits, &wire.QuotaLimits{Configuration: a.version, Limits: part}); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
