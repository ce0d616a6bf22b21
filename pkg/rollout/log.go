// Package rollout keeps the configuration log in the object API and brings it
// in force on every process.
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
	// maxRecordBytes bounds one command, so that a head with a full tail
	// stays below the object API's value limit.
	maxRecordBytes  = 256 << 10
	maxTailBytes    = 384 << 10
	maxPageBytes    = 512 << 10
	keptTailRecords = 16
	maxMarks        = 1024
	maxRecent       = 1024
	maxRecentBytes  = 2 << 20
)

// ErrUnsettled is returned when it is not known if a command was accepted.
// Repeating it under the same command id is harmless.
const ErrUnsettled = errors.ConstError("not known if the command was accepted")

// Log is one process's view of the configuration log. It is safe for
// concurrent use.
type Log struct {
	objects objects.Objects
	catalog *catalog.Catalog
	// Applied is called with each new revision in force.
	Applied func(ident.Revision)

	mu          sync.Mutex
	recent      []wire.Record // newest records in force, without gaps
	recentBytes int
	fresh       time.Time // start of the newest successful read of the head
	highest     ident.Revision
	version     objects.ObjectVersion
}

// New returns a log that applies to c.
func New(objects objects.Objects, c *catalog.Catalog) *Log {
	return &Log{objects: objects, catalog: c, Applied: func(ident.Revision) {}}
}

// Catalog returns the configuration in force.
func (l *Log) Catalog() *catalog.Catalog { return l.catalog }

// Fresh returns when the revision in force was last known to be the newest.
func (l *Log) Fresh() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fresh
}

// Confirm records that revision was the newest at some time, as a peer that
// read the head reports.
func (l *Log) Confirm(revision ident.Revision, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highest = max(l.highest, revision)
	if revision <= l.catalog.Revision() && at.After(l.fresh) {
		l.fresh = at
	}
}

// Highest returns the highest revision heard of.
func (l *Log) Highest() ident.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.highest, l.catalog.Revision())
}

// Refresh reads the head and puts what is new in force.
func (l *Log) Refresh(ctx context.Context) error {
	_, _, err := l.read(ctx)
	return errors.Trace(err)
}

// Follow watches the head for the wait, and puts what is new in force. The end
// of a watch without news proves that there was none. Only relays call it.
func (l *Log) Follow(ctx context.Context, wait time.Duration) error {
	asked := time.Now()
	object, err := l.objects.Watch(ctx, headKey, l.seenVersion(), wait)
	if errors.Is(err, errors.Timeout) {
		l.confirm(asked)
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	return l.take(ctx, object, asked)
}

func (l *Log) seenVersion() objects.ObjectVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

func (l *Log) confirm(asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if asked.After(l.fresh) {
		l.fresh = asked
	}
}

func (l *Log) read(ctx context.Context) (wire.ConfigHead, objects.ObjectVersion, error) {
	asked := time.Now()
	object, err := l.objects.Get(ctx, headKey)
	if errors.Is(err, errors.NotFound) {
		l.confirm(asked)
		return wire.ConfigHead{}, 0, nil
	}
	if err != nil {
		return wire.ConfigHead{}, 0, errors.Trace(err)
	}
	var head wire.ConfigHead
	if _, err := head.UnmarshalMsg(object.Value); err != nil {
		return head, 0, errors.Trace(err)
	}
	return head, object.Version, l.take(ctx, object, asked)
}

func (l *Log) take(ctx context.Context, object objects.Object, asked time.Time) error {
	var head wire.ConfigHead
	if _, err := head.UnmarshalMsg(object.Value); err != nil {
		return errors.Trace(err)
	}
	if err := l.advance(ctx, head); err != nil {
		return errors.Trace(err)
	}
	l.mu.Lock()
	l.version = max(l.version, object.Version)
	l.mu.Unlock()
	l.confirm(asked)
	return nil
}

// advance puts the head's records in force, from its snapshot if the tail
// begins too late.
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

// reaches reports whether records continue a log at revision.
func reaches(records []wire.Record, revision ident.Revision) bool {
	return len(records) > 0 && records[0].Revision <= revision+1
}

// Apply puts records in force that continue the log without a gap; others are
// ignored. It returns the revision in force.
func (l *Log) Apply(records []wire.Record) ident.Revision {
	l.mu.Lock()
	before := l.catalog.Revision()
	for _, r := range records {
		if r.Revision == l.catalog.Revision()+1 {
			l.catalog.Apply(r)
			l.remember(r)
		}
	}
	after := l.catalog.Revision()
	l.mu.Unlock()
	if after > before {
		l.Applied(after)
	}
	return after
}

// Replace puts a whole configuration in force if it is newer.
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
		l.Applied(after)
	}
}

func (l *Log) remember(r wire.Record) {
	l.recent = append(l.recent, r)
	l.recentBytes += r.Msgsize()
	for len(l.recent) > maxRecent || l.recentBytes > maxRecentBytes && len(l.recent) > 1 {
		l.recentBytes -= l.recent[0].Msgsize()
		l.recent = l.recent[1:]
	}
}
