package rollout

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// MaxWatch is the longest time that Follow may be asked to wait. After a return of the
	// store from an older copy each relay notices within it what the store has lost.
	MaxWatch = 5 * time.Second
	// recoveryTime is how long after a return a head is not changed unless a process knows
	// what the store has lost.
	recoveryTime = MaxWatch + time.Second
)

// recovery is what a process knows of a return of the store from an older copy.
type recovery struct {
	era   platform.Era
	since time.Time // when the head was first seen in this era
}

// hasReturned reports whether the store may have returned from an older copy since the head
// was read.
func (l *Log) hasReturned() bool { return l.knownHeadVersion().Era() < l.objects.Era() }

// recover writes to the store what its head lacks since the store has returned from an older
// copy. It reports whether the head may be continued.
func (l *Log) recover(ctx context.Context, head wire.ConfigHead, version objects.ObjectVersion) (ready bool, err error) {
	era, stored := l.objects.Era(), head.Revision
	switch {
	case l.catalog.Revision() > head.Revision:
		if head, err = l.continued(ctx, head); err != nil {
			return false, errors.Trace(err)
		}
	case era <= 1 || head.Era >= uint64(era):
		return true, nil
	case time.Since(l.recoveringSince(era)) < recoveryTime:
		return false, nil
	}
	head.Era = uint64(era)
	if err := l.writeHead(ctx, head, version); err != nil {
		return false, errors.Trace(err)
	}
	if head.Revision > stored {
		l.OnRecovery(stored, head.Revision)
	}
	return false, nil
}

func (l *Log) recoveringSince(era platform.Era) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recovery.era != era {
		l.recovery = recovery{era: era, since: time.Now()}
	}
	return l.recovery.since
}

// continued returns the head with all records known to this process. If some are known only
// together, it stores them as a snapshot.
func (l *Log) continued(ctx context.Context, head wire.ConfigHead) (wire.ConfigHead, error) {
	records, revision := l.recordsAfter(head.Revision)
	head.Tail = append(head.Tail[:len(head.Tail):len(head.Tail)], records...)
	head.Revision = revision
	if records != nil && tailBytes(head.Tail) <= maxTailBytes {
		return head, nil
	}
	head, err := l.compact(ctx, head)
	if records == nil {
		head.Tail = nil // it doesn't reach the snapshot
	}
	return head, errors.Trace(err)
}

// recordsAfter returns the records after a revision, nil if they are not all known singly, and
// the current revision.
func (l *Log) recordsAfter(after ident.Revision) ([]wire.Record, ident.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !reaches(l.recent, after) {
		return nil, l.catalog.Revision()
	}
	skip := int(after + 1 - l.recent[0].Revision)
	return append([]wire.Record(nil), l.recent[skip:]...), l.catalog.Revision()
}
