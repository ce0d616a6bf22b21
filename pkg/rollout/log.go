// Package rollout stores the configuration log in the object API and distributes
// it to every process.
package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	headKey = "config/head"
	// maxRecordBytes limits the size of a command, so that a head with a full
	// tail stays below the object API's limit for values.
	maxRecordBytes  = 256 << 10
	maxTailBytes    = 384 << 10
	maxPageBytes    = 512 << 10
	keptTailRecords = 16
	maxCommandMarks = 1024
	maxRecent       = 1024
	maxRecentBytes  = 2 << 20
)

// ErrUnsettled is returned if it is not known whether a command was accepted. The
// command can safely be repeated with the same command id.
const ErrUnsettled = errors.ConstError("not known if the command was accepted")

// Log is one process's view of the configuration log. It is safe for
// concurrent use.
type Log struct {
	objects objects.Objects
	catalog *catalog.Catalog
	// OnChange is called after each change of the current revision.
	OnChange func(ident.Revision)
	// OnRecovery is called after configurations that the store has lost are written to it
	// again, with the revision of the store's head and the one that was written.
	OnRecovery func(stored, written ident.Revision)

	mu           sync.Mutex
	recent       []wire.Record // newest applied records, without gaps
	recentBytes  int
	confirmedAt  time.Time // newest time at which the configuration was confirmed as the latest
	highestKnown ident.Revision
	headVersion  objects.ObjectVersion
	recovery     recovery
}

// New returns a log that applies its records to c.
func New(objects objects.Objects, c *catalog.Catalog) *Log {
	return &Log{
		objects: objects, catalog: c,
		OnChange: func(ident.Revision) {}, OnRecovery: func(_, _ ident.Revision) {},
	}
}

// Catalog returns the current configuration.
func (l *Log) Catalog() *catalog.Catalog { return l.catalog }

// ConfirmedAt returns the newest time at which the current revision was known
// to be the latest.
func (l *Log) ConfirmedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmedAt
}

// Confirm records that a revision was the latest at a given time, as reported by
// a peer.
func (l *Log) Confirm(revision ident.Revision, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highestKnown = max(l.highestKnown, revision)
	if revision <= l.catalog.Revision() && at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
}

// HighestKnown returns the highest known revision, even if it is not applied here.
func (l *Log) HighestKnown() ident.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.highestKnown, l.catalog.Revision())
}

// Refresh reads the head and applies any new records.
func (l *Log) Refresh(ctx context.Context) error {
	head, version, err := l.read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = l.recover(ctx, head, version)
	return errors.Trace(err)
}

// Follow watches the head until it changes or the wait is over, and applies any
// new records. A watch that times out confirms that the current revision was the
// latest when the watch began. Only relays call Follow, with waits up to MaxWatch.
func (l *Log) Follow(ctx context.Context, wait time.Duration) error {
	requestedAt := time.Now()
	object, err := l.objects.Watch(ctx, headKey, l.knownHeadVersion(), wait)
	switch {
	case errors.Is(err, errors.Timeout) && l.hasReturned():
		return l.Refresh(ctx) // the head may be missing
	case errors.Is(err, errors.Timeout):
		l.confirmCurrent(requestedAt)
		return nil
	case err != nil:
		return errors.Trace(err)
	}
	head, err := l.applyHead(ctx, object, requestedAt)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = l.recover(ctx, head, object.Version)
	return errors.Trace(err)
}

func (l *Log) knownHeadVersion() objects.ObjectVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.headVersion
}

func (l *Log) confirmCurrent(requestedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if requestedAt.After(l.confirmedAt) {
		l.confirmedAt = requestedAt
	}
}

func (l *Log) read(ctx context.Context) (wire.ConfigHead, objects.ObjectVersion, error) {
	requestedAt := time.Now()
	object, err := l.objects.Get(ctx, headKey)
	if errors.Is(err, errors.NotFound) {
		l.confirmCurrent(requestedAt)
		return wire.ConfigHead{}, 0, nil
	}
	if err != nil {
		return wire.ConfigHead{}, 0, errors.Trace(err)
	}
	head, err := l.applyHead(ctx, object, requestedAt)
	return head, object.Version, errors.Trace(err)
}

func (l *Log) applyHead(ctx context.Context, object objects.Object, requestedAt time.Time) (wire.ConfigHead, error) {
	var head wire.ConfigHead
	if _, err := head.UnmarshalMsg(object.Value); err != nil {
		return head, errors.Trace(err)
	}
	if err := l.advance(ctx, head); err != nil {
		return head, errors.Trace(err)
	}
	l.mu.Lock()
	l.headVersion = max(l.headVersion, object.Version)
	l.mu.Unlock()
	l.confirmCurrent(requestedAt)
	return head, nil
}

// advance applies the records of the head. It loads the snapshot first if the
// tail does not continue the log at the current revision.
func (l *Log) advance(ctx context.Context, head wire.ConfigHead) error {
	revision := l.catalog.Revision()
	if revision >= head.Revision {
		return nil
	}
	if !reaches(head.Tail, revision) {
		if err := l.loadSnapshot(ctx, head); err != nil {
			return errors.Trace(err)
		}
	}
	l.Apply(head.Tail)
	return nil
}

// reaches reports whether the records continue a log at a revision without a gap.
func reaches(records []wire.Record, revision ident.Revision) bool {
	return len(records) > 0 && records[0].Revision <= revision+1
}

// Apply applies the records that continue the log without a gap and ignores the
// others. It returns the current revision.
func (l *Log) Apply(records []wire.Record) ident.Revision {
	l.mu.Lock()
	before := l.catalog.Revision()
	for _, r := range records {
		if r.Revision == l.catalog.Revision()+1 {
			l.catalog.Apply(r)
			l.addRecent(r)
		}
	}
	after := l.catalog.Revision()
	l.mu.Unlock()
	if after > before {
		l.OnChange(after)
	}
	return after
}

// Replace replaces the current configuration if the given one is newer.
func (l *Log) Replace(revision ident.Revision, changes []wire.Change) {
	l.mu.Lock()
	before := l.catalog.Revision()
	l.catalog.Replace(revision, changes)
	after := l.catalog.Revision()
	if after > before {
		l.recent, l.recentBytes = nil, 0
	}
	l.mu.Unlock()
	if after > before {
		l.OnChange(after)
	}
}

func (l *Log) addRecent(r wire.Record) {
	l.recent = append(l.recent, r)
	l.recentBytes += r.Msgsize()
	for len(l.recent) > maxRecent || l.recentBytes > maxRecentBytes && len(l.recent) > 1 {
		l.recentBytes -= l.recent[0].Msgsize()
		l.recent = l.recent[1:]
	}
}
