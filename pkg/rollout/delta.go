package rollout

import (
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Delta returns the changes after a revision as pages, or the full configuration
// if the recent records do not reach back that far. All pages but the last have
// More set.
func (l *Log) Delta(after ident.Revision, withoutBulk bool) []wire.ConfigDelta {
	l.mu.Lock()
	defer l.mu.Unlock()
	revision := l.catalog.Revision()
	if after >= revision {
		return []wire.ConfigDelta{{Revision: revision}}
	}
	if reaches(l.recent, after) {
		return recordPages(l.recent, after, revision, withoutBulk)
	}
	return l.fullPages(withoutBulk)
}

func recordPages(recent []wire.Record, after, revision ident.Revision, withoutBulk bool) []wire.ConfigDelta {
	var out []wire.ConfigDelta
	page := wire.ConfigDelta{Revision: revision}
	size := 0
	for _, r := range recent {
		if r.Revision <= after {
			continue
		}
		if withoutBulk {
			r.Changes = dropBulk(r.Changes)
		}
		page.Records = append(page.Records, r)
		size += r.Msgsize()
		if size > maxPageBytes {
			page.More = true
			out = append(out, page)
			page, size = wire.ConfigDelta{Revision: revision}, 0
		}
	}
	return append(out, page)
}

func (l *Log) fullPages(withoutBulk bool) []wire.ConfigDelta {
	revision, changes := l.catalog.Export()
	if withoutBulk {
		changes = dropBulk(changes)
	}
	var out []wire.ConfigDelta
	for {
		n := pageLength(changes, maxPageBytes)
		out = append(out, wire.ConfigDelta{
			Revision: revision, Full: true, More: n < len(changes),
			Records: []wire.Record{{Revision: revision, Changes: changes[:n]}},
		})
		if changes = changes[n:]; len(changes) == 0 {
			return out
		}
	}
}

// dropBulk leaves out the changes that only entries need: those of adapters and
// callers.
func dropBulk(changes []wire.Change) []wire.Change {
	var out []wire.Change
	for _, x := range changes {
		if x.Adapter == nil && x.Caller == nil {
			out = append(out, x)
		}
	}
	return out
}

// DeltaReceiver applies the pages of one delta to a log.
type DeltaReceiver struct {
	log  *Log
	full []wire.Change
}

// NewDeltaReceiver returns a receiver for one delta.
func NewDeltaReceiver(l *Log) *DeltaReceiver { return &DeltaReceiver{log: l} }

// Add applies the next page and reports whether it was the last. The pages of a
// full configuration take effect together with the last one.
func (r *DeltaReceiver) Add(d wire.ConfigDelta) (last bool) {
	if !d.Full {
		r.log.Apply(d.Records)
		return !d.More
	}
	for _, record := range d.Records {
		r.full = append(r.full, record.Changes...)
	}
	if !d.More {
		r.log.Replace(d.Revision, r.full)
	}
	return !d.More
}
