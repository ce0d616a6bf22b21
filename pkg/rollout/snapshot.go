package rollout

import (
	"context"
	"fmt"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

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

func tailBytes(tail []wire.Record) int {
	total := 0
	for i := range tail {
		total += tail[i].Msgsize()
	}
	return total
}

// compact writes the current configuration as a snapshot and returns a head that
// refers to it. The caller must write the head.
func (l *Log) compact(ctx context.Context, head wire.ConfigHead) (wire.ConfigHead, error) {
	revision, changes := l.catalog.Export()
	if revision != head.Revision {
		return head, errors.Errorf("configuration advanced to revision %d during compaction", revision)
	}
	id := uuid.NewString()
	pages, err := l.writePages(ctx, id, changes)
	if err != nil {
		return head, errors.Annotate(err, "writing configuration snapshot")
	}
	for _, r := range head.Tail {
		head.Marks = append(head.Marks, wire.CommandMark{Command: r.Command, Revision: r.Revision})
	}
	head.Marks = head.Marks[max(0, len(head.Marks)-maxCommandMarks):]
	head.Tail = trimTail(head.Tail)
	head.Snapshot, head.SnapshotPages, head.SnapshotID = revision, pages, id
	return head, nil
}

// trimTail keeps the newest records, so that processes only slightly behind need
// not load the snapshot.
func trimTail(tail []wire.Record) []wire.Record {
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

// dropSnapshot deletes the snapshot pages that the new head no longer refers to.
// A reader that finds a page missing reads the head again.
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
