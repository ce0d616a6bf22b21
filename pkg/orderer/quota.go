package orderer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/quota"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	// maxQuotaAccounts bounds the accounts of which shares are held here. A share takes
	// less than 600 bytes.
	maxQuotaAccounts = 20_000
	// quotaKeep is how long shares that a new configuration does not name are kept:
	// gateways announce it within seconds.
	quotaKeep = time.Minute
	// quotaFullWait is what gateways are told while there are too many accounts.
	quotaFullWait = time.Second
)

// quotaTable holds this agent's shares of the quotas of client accounts.
type quotaTable struct {
	mu        sync.Mutex
	byAccount map[ident.Account]*quota.Share
	newest    uint64    // version of the newest configuration heard of
	newestAt  time.Time // when it was first heard of
	pruned    bool      // since then
}

// share returns the share of an account's quota with the limits of the newest version, told
// by a gateway, or nil if there are too many accounts. The caller holds mu.
func (t *quotaTable) share(a ident.Account, version uint64, told wire.QuotaShare, now time.Time) *quota.Share {
	t.observe(version, now)
	l := quota.ShareLimits{PerSecond: told.PerSecond, Burst: told.Burst, Sum: told.Sum, Window: millis(told.WindowMS)}
	s := t.byAccount[a]
	if s == nil {
		if len(t.byAccount) >= maxQuotaAccounts {
			return nil
		}
		if t.byAccount == nil {
			t.byAccount = make(map[ident.Account]*quota.Share)
		}
		s = quota.NewShare(version, l, now)
		t.byAccount[a] = s
	}
	s.Update(version, l, now)
	if told.JoinDelayMS > 0 {
		s.Join(millis(told.JoinDelayMS), now)
	}
	return s
}

// observe records the version of a configuration. Some time after a new one it drops the
// shares that the configuration does not have here. The caller holds mu.
func (t *quotaTable) observe(version uint64, now time.Time) {
	switch {
	case version > t.newest:
		t.newest, t.newestAt, t.pruned = version, now, false
	case !t.pruned && now.Sub(t.newestAt) >= quotaKeep:
		t.pruned = true
		maps.DeleteFunc(t.byAccount, func(_ ident.Account, s *quota.Share) bool { return s.Version() < t.newest })
	}
}

// adopt records limits that a gateway announces.
func (t *quotaTable) adopt(l wire.QuotaLimits, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range l.Limits {
		t.share(a.Account, l.Configuration, a.Share, now)
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// take takes an amount of an account's quota.
func (t *quotaTable) take(r wire.QuotaRequest, now time.Time) wire.QuotaReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.share(r.Account, r.Configuration, r.Share, now)
	if s == nil {
		return wire.QuotaReply{WaitMS: quotaFullWait.Milliseconds()}
	}
	if r.Settled {
		s.Use(now)
	}
	s.Return(r.Returned, now.Add(-millis(r.ReturnedAgeMS)), now)
	granted, wait := s.Take(r.Need, r.Wish, now)
	return wire.QuotaReply{Granted: granted, WaitMS: ceilMS(wait)}
}

// handleQuotaLimits records shares of quotas that are held here.
func (o *Orderer) handleQuotaLimits(_ context.Context, s *link.Stream, f link.Frame) error {
	var l wire.QuotaLimits
	if _, err := l.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	o.quotas.adopt(l, time.Now())
	o.Debug("msg", "holds shares of quotas", "accounts", len(l.Limits), "configuration", l.Configuration, "by", s.Conn().Peer.VM)
	return nil
}

// handleQuotaRequest answers a gateway that has a request of a client account.
func (o *Orderer) handleQuotaRequest(_ context.Context, s *link.Stream, f link.Frame) error {
	var r wire.QuotaRequest
	if _, err := r.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	reply := o.quotas.take(r, time.Now())
	if reply.Granted > 0 {
		o.metrics.quotaGranted.Inc(1)
	} else {
		o.metrics.quotaDenied.Inc(1)
	}
	return errors.Trace(s.Send(link.KindQuotaReply, &reply))
}
