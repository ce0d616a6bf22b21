package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// ConflictError reports that a command was refused because another command
// changed the same object first.
type ConflictError struct {
	Ref    wire.ObjectRef
	Winner wire.Record
}

// Error describes the command that was accepted.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %s %q: changed by %s at revision %d, %s, command %s",
		e.Ref.Kind, e.Ref.Name, e.Winner.Operator, e.Winner.Revision,
		time.UnixMilli(e.Winner.AtMS).UTC().Format(time.RFC3339), e.Winner.Command)
}

// Proposal is an operator's command before it is accepted.
type Proposal struct {
	Command  ident.Command
	Operator string
	// Base is the revision that the operator saw when issuing the command; 0
	// skips the check for conflicts.
	Base    ident.Revision
	Changes []wire.Change
}

// Append adds a proposal to the log. When it returns a nil error, the record is
// durable and applied in this process. It returns a ConflictError, a NotValid or
// a NotFound error if the proposal is refused, and ErrUnsettled if ctx ends
// before the outcome is known.
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
	ready, err := l.recover(ctx, head, version)
	if err != nil {
		return wire.Record{}, errors.Trace(err)
	}
	if !ready {
		return wire.Record{}, errors.Errorf("revision %d: the store has returned from an older copy, later revisions are awaited", head.Revision)
	}
	if done, ok := findAccepted(head, p.Command); ok {
		return done, nil
	}
	record, err := l.newRecord(head, p)
	if err != nil {
		return wire.Record{}, errors.Trace(err)
	}
	old := head
	if tailBytes(head.Tail)+record.Msgsize() > maxTailBytes {
		if head, err = l.compact(ctx, head); err != nil {
			return wire.Record{}, errors.Trace(err)
		}
	}
	head.Era = uint64(l.objects.Era())
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

func (l *Log) writeHead(ctx context.Context, head wire.ConfigHead, version objects.ObjectVersion) error {
	value, err := head.MarshalMsg(nil)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = l.objects.Put(ctx, headKey, value, version)
	return errors.Trace(err)
}

// findAccepted returns the record of a command that was accepted earlier.
func findAccepted(head wire.ConfigHead, command ident.Command) (wire.Record, bool) {
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

func (l *Log) newRecord(head wire.ConfigHead, p Proposal) (wire.Record, error) {
	if l.catalog.Revision() != head.Revision {
		return wire.Record{}, errors.Errorf("configuration is at revision %d, but the head is at %d", l.catalog.Revision(), head.Revision)
	}
	if err := checkConflicts(head, p); err != nil {
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

func checkConflicts(head wire.ConfigHead, p Proposal) error {
	if p.Base == 0 || p.Base >= head.Revision {
		return nil
	}
	changed := make(map[wire.ObjectRef]bool, len(p.Changes))
	for _, x := range p.Changes {
		ref, err := catalog.ChangedObject(x)
		if err != nil {
			return errors.Trace(err)
		}
		changed[ref] = true
	}
	if !reaches(head.Tail, p.Base) {
		return &ConflictError{Winner: wire.Record{Revision: head.Snapshot, Operator: "compacted log"}}
	}
	for _, r := range head.Tail {
		if r.Revision <= p.Base {
			continue
		}
		for _, x := range r.Changes {
			if ref, err := catalog.ChangedObject(x); err == nil && changed[ref] {
				return &ConflictError{Ref: ref, Winner: r}
			}
		}
	}
	return nil
}
