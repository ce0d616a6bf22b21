// Package rollout keeps the configuration log in the object API and brings it
// in force on every process.
package rollout

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/platform"
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

// ConflictError reports the accepted command that a refused one raced with.
type ConflictError struct {
	Ref    wire.ObjectRef
	Winner wire.Record
}

// Error names the winner.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %s %q: changed by %s at revision %d, %s, command %s",
		e.Ref.Kind, e.Ref.Name, e.Winner.Operator, e.Winner.Revision,
		time.UnixMilli(e.Winner.AtMS).UTC().Format(time.RFC3339), e.Winner.Command)
}

// Proposal is an operator's command before it is accepted.
type Proposal struct {
	Command  ident.Command
	Operator string
	// Base is the revision that the command was decided on; 0 waives the
	// check for conflicts.
	Base    ident.Revision
	Changes []wire.Change
}

// Log is one process's view of the configuration log. It is safe for
// concurrent use.
type Log struct {
	objects platform.Objects
	catalog *catalog.Catalog
	// Applied is called with each new revision in force.
	Applied func(ident.Revision)

	mu          sync.Mutex
	recent      []wire.Record // newest records in force, without gaps
	recentBytes int
	fresh       time.Time // start of the newest successful read of the head
	highest     ident.Revision
	version     platform.ObjectVersion
}

// New returns a log that applies to c.
func New(objects platform.Objects, c *catalog.Catalog) *Log {
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

// Follow keeps a watch on the head until ctx ends. Only relays call it.
func (l *Log) Follow(ctx context.Context) error {
	asked := time.Now()
	object, err := l.objects.Watch(ctx, headKey, l.seenVersion())
	if errors.Is(err, errors.Timeout) {
		l.confirm(asked)
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	return l.take(ctx, object, asked)
}

func (l *Log) seenVersion() platform.ObjectVersion {
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

func (l *Log) read(ctx context.Context) (wire.ConfigHead, platform.ObjectVersion, error) {
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

func (l *Log) take(ctx context.Context, object platform.Object, asked time.Time) error {
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

func (l *Log) loadSnapshot(ctx context.Context, head wire.ConfigHead) error {
	var changes []wire.Change
	for page := range head.SnapshotPages {
		object, err := l.objects.Get(ctx, pageKey(head.SnapshotID, page))
		if err != nil {
			return errors.Annotate(err, "reading configuration snapshot")
		}
		var p wire.SnapshotPage
		if _, err := p.UnmarshalMsg(object.Value); err != nil {
			return errors.Trace(err)
		}
		changes = append(changes, p.Changes...)
	}
	l.Replace(head.Snapshot, changes)
	return nil
}

func pageKey(id string, page int) string {
	return fmt.Sprintf("config/snapshot/%s/%04d", id, page)
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

// Append has a proposal accepted: once it returns nil, the record is durable
// and in force here. It returns a ConflictError, a NotValid error, or, if ctx
// ended before the outcome was known, ErrUnsettled.
func (l *Log) Append(ctx context.Context, p Proposal) (wire.Record, error) {
	sent := false
	for {
		record, err := l.tryAppend(ctx, p, &sent)
		switch {
		case err == nil:
			return record, nil
		case errors.Is(err, errors.NotValid), errors.Is(err, errors.NotFound), isConflict(err):
			return wire.Record{}, errors.Trace(err)
		}
		select {
		case <-ctx.Done():
			if sent {
				return wire.Record{}, errors.WithType(errors.Annotatef(err, "command %s", p.Command), ErrUnsettled)
			}
			return wire.Record{}, errors.Annotatef(err, "command %s not accepted", p.Command)
		case <-time.After(appendRetry):
		}
	}
}

const appendRetry = 50 * time.Millisecond

func isConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}

func (l *Log) tryAppend(ctx context.Context, p Proposal, sent *bool) (wire.Record, error) {
	head, version, err := l.read(ctx)
	if err != nil {
		return wire.Record{}, errors.Trace(err)
	}
	if done, ok := accepted(head, p.Command); ok {
		return done, nil
	}
	record, err := l.propose(head, p)
	if err != nil {
		return wire.Record{}, errors.Trace(err)
	}
	old := head
	if tailBytes(head.Tail)+record.Msgsize() > maxTailBytes {
		if head, err = l.compact(ctx, head); err != nil {
			return wire.Record{}, errors.Trace(err)
		}
	}
	head.Revision = record.Revision
	head.Tail = append(head.Tail[:len(head.Tail):len(head.Tail)], record)
	*sent = true
	if err := l.writeHead(ctx, head, version); err != nil {
		return wire.Record{}, errors.Trace(err)
	}
	l.Apply([]wire.Record{record})
	l.dropSnapshot(ctx, old, head)
	return record, nil
}

func (l *Log) writeHead(ctx context.Context, head wire.ConfigHead, version platform.ObjectVersion) error {
	value, err := head.MarshalMsg(nil)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = l.objects.Put(ctx, headKey, value, version)
	return errors.Trace(err)
}

// accepted finds a command that took effect earlier.
func accepted(head wire.ConfigHead, command ident.Command) (wire.Record, bool) {
	for _, r := range head.Tail {
		if r.Command == command {
			return r, true
		}
	}
	for _, m := range head.Marks {
		if m.Command == command {
			return wire.Record{Revision: m.Revision, Command: command}, true
		}
	}
	return wire.Record{}, false
}

func (l *Log) propose(head wire.ConfigHead, p Proposal) (wire.Record, error) {
	if l.catalog.Revision() != head.Revision {
		return wire.Record{}, errors.Errorf("configuration at revision %d, head at %d", l.catalog.Revision(), head.Revision)
	}
	if err := conflicts(head, p); err != nil {
		return wire.Record{}, errors.Trace(err)
	}
	if err := l.catalog.Validate(p.Changes); err != nil {
		return wire.Record{}, errors.Trace(err)
	}
	record := wire.Record{
		Revision: head.Revision + 1, Command: p.Command, Operator: p.Operator,
		AtMS: time.Now().UnixMilli(), Changes: p.Changes,
	}
	if record.Msgsize() > maxRecordBytes {
		return record, errors.NotValidf("command of %d bytes: more than %d:", record.Msgsize(), maxRecordBytes)
	}
	return record, nil
}

func conflicts(head wire.ConfigHead, p Proposal) error {
	if p.Base == 0 || p.Base >= head.Revision {
		return nil
	}
	touched := make(map[wire.ObjectRef]bool, len(p.Changes))
	for _, x := range p.Changes {
		ref, err := catalog.RefOf(x)
		if err != nil {
			return errors.Trace(err)
		}
		touched[ref] = true
	}
	if !reaches(head.Tail, p.Base) {
		return &ConflictError{Winner: wire.Record{Revision: head.Snapshot, Operator: "compacted log"}}
	}
	for _, r := range head.Tail {
		if r.Revision <= p.Base {
			continue
		}
		for _, x := range r.Changes {
			if ref, err := catalog.RefOf(x); err == nil && touched[ref] {
				return &ConflictError{Ref: ref, Winner: r}
			}
		}
	}
	return nil
}

func tailBytes(tail []wire.Record) int {
	total := 0
	for i := range tail {
		total += tail[i].Msgsize()
	}
	return total
}

// compact writes the configuration in force as a snapshot and returns a head
// that refers to it. The head is not written yet.
func (l *Log) compact(ctx context.Context, head wire.ConfigHead) (wire.ConfigHead, error) {
	revision, changes := l.catalog.Export()
	if revision != head.Revision {
		return head, errors.Errorf("configuration moved on to revision %d during compaction", revision)
	}
	id := uuid.NewString()
	pages, err := l.writePages(ctx, id, changes)
	if err != nil {
		return head, errors.Annotate(err, "writing configuration snapshot")
	}
	for _, r := range head.Tail {
		head.Marks = append(head.Marks, wire.CommandMark{Command: r.Command, Revision: r.Revision})
	}
	head.Marks = head.Marks[max(0, len(head.Marks)-maxMarks):]
	head.Tail = keepNewest(head.Tail)
	head.Snapshot, head.SnapshotPages, head.SnapshotID = revision, pages, id
	return head, nil
}

// keepNewest keeps a few records, for processes that are only just behind.
func keepNewest(tail []wire.Record) []wire.Record {
	tail = tail[max(0, len(tail)-keptTailRecords):]
	for len(tail) > 0 && tailBytes(tail) > maxTailBytes/4 {
		tail = tail[1:]
	}
	return tail
}

func (l *Log) writePages(ctx context.Context, id string, changes []wire.Change) (int, error) {
	pages := 0
	for len(changes) > 0 {
		n := pageLength(changes, maxPageBytes)
		value, err := (&wire.SnapshotPage{Changes: changes[:n]}).MarshalMsg(nil)
		if err != nil {
			return pages, errors.Trace(err)
		}
		if _, err := l.objects.Put(ctx, pageKey(id, pages), value, 0); err != nil {
			return pages, errors.Trace(err)
		}
		changes = changes[n:]
		pages++
	}
	return pages, nil
}

func pageLength(changes []wire.Change, limit int) int {
	size := 0
	for i := range changes {
		size += changes[i].Msgsize()
		if size > limit && i > 0 {
			return i
		}
	}
	return len(changes)
}

// dropSnapshot deletes the pages that the new head no longer refers to. A
// reader that misses one reads the head again.
func (l *Log) dropSnapshot(ctx context.Context, old, head wire.ConfigHead) {
	if old.SnapshotID == head.SnapshotID {
		return
	}
	for page := range old.SnapshotPages {
		key := pageKey(old.SnapshotID, page)
		if object, err := l.objects.Get(ctx, key); err == nil {
			_ = l.objects.Delete(ctx, key, object.Version)
		}
	}
}
