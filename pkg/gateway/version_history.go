package gateway

import (
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/follow"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// recordExpiry is the number of missed heartbeats after which a record expires.
	recordExpiry = 3
	// historyWait is how long the store may hold a call for past changes if there are none.
	historyWait = 20 * time.Millisecond
	// maxHistoryCalls bounds the calls for the changes of one gap. The store answers a call
	// with some of them.
	maxHistoryCalls = 10
)

// observeUnseenVersions records the software versions of targets that have joined while the
// list was not followed: some may have left since, and streams that they began are taken up
// again. It is called with a new list, before that counts as current. Until the store has told
// of all changes in between, a version may be missing.
func (g *Gateway) observeUnseenVersions(source follow.Source, l follow.Listing) {
	unseen, followed := g.targetList.Unconfirmed()
	if !followed || unseen < g.shortestStay() {
		return
	}
	gap := time.Now()
	g.softwares.RecordGap(gap)
	from := g.targetList.Position()
	go func() {
		versions, err := versionsBetween(source, from, l.Position)
		if err != nil || l.Restored {
			g.Info("msg", "targets may have joined and left unnoticed", "unconfirmed", unseen, "restored", l.Restored, "err", err)
			return
		}
		for _, t := range versions {
			g.softwares.Observe(t.Service, t.Software, time.Now())
		}
		g.softwares.CloseGap(gap)
		g.Debug("msg", "read what targets stated meanwhile", "unconfirmed", unseen, "records", len(versions))
	}()
}

// shortestStay is the least time for which a target that joins and begins streams is listed: if
// it crashes, its record expires after its last heartbeat, and if it leaves, it drains.
func (g *Gateway) shortestStay() time.Duration {
	return recordExpiry*g.node.TargetHeartbeat + g.node.Bounds.Draining
}

// versionsBetween returns the records that targets wrote between two positions.
func versionsBetween(source follow.Source, from, to platform.Position) (records []platform.TargetInfo, err error) {
	written := make(map[ident.Target]bool)
	for range maxHistoryCalls {
		events, answer, err := source.Watch(platform.KindTargets, from, historyWait)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if !answer.SameHistory(to) {
			return nil, errors.Annotatef(platform.ErrHistoryGone, "era %d instead of %d", answer.Era, to.Era)
		}
		for _, e := range events {
			t, err := platform.ParseTarget(e.Object)
			switch {
			case err == nil:
				written[t.Instance] = true
				records = append(records, t)
			case e.Removed && !written[ident.Target(e.Object.Name)]:
				return nil, errors.NotFoundf("record of %s, which has left,", e.Object.Name)
			}
		}
		if answer.Revision >= to.Revision {
			return records, nil
		}
		from = answer.Next(from)
	}
	return nil, errors.Errorf("changes until revision %d not told in %d calls", to.Revision, maxHistoryCalls)
}
