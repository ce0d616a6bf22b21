// Package follow keeps a copy of one kind of the store's objects up to date. It
// lists the objects once and then watches for changes. It lists them again after a
// failed watch, or when the store no longer has the history since the last known
// revision.
package follow

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Source is the part of the store's client that a follower uses.
type Source struct {
	List  func(platform.Kind) ([]platform.Object, platform.Position, error)
	Watch func(platform.Kind, platform.Position, time.Duration) ([]platform.Event, platform.Position, error)
}

// StoreSource returns a source that reads from the store.
func StoreSource(s *platform.Store) Source { return Source{List: s.List, Watch: s.Watch} }

// Follower follows the objects of one kind.
type Follower struct {
	common.Common
	Source Source
	Kind   platform.Kind
	Timing
	// OnList receives a complete list, and OnChanges the later changes in order.
	OnList    func(Listing)
	OnChanges func([]platform.Event)
	// Outage is shared by all followers of the store.
	Outage *Outage
	// Freshness is updated at each successful call.
	Freshness *Freshness
	// MaxWait, if it is set, bounds how long the next watch may wait. If it returns 0, the
	// follower lists instead, which takes no longer than the store needs to answer.
	MaxWait func() time.Duration
	// OnConfirm, if it is set, is called after each call that confirmed the copy.
	OnConfirm func()
}

// Listing is a complete list of a kind.
type Listing struct {
	Objects  []platform.Object
	Position platform.Position
	// Restored says that the store has returned from an older copy since the last list or
	// change: what is missing may be lost, and what is listed may be out of date.
	Restored bool
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	listed, awaited := false, false
	var from platform.Position
	for ctx.Err() == nil {
		probe := f.Outage.await(ctx)
		wait := f.wait()
		if awaited {
			wait = min(wait, awaitedWait)
		}
		if probe || f.MaxWait != nil && wait <= 0 {
			listed = false // a watch could last long
		}
		var err error
		var answer platform.Position
		c := f.Freshness.begin()
		if !listed {
			from, err = f.list(probe)
			answer, listed = from, err == nil
		} else {
			answer, err = f.watch(from, wait)
			from = answer.Next(from)
			c.held = min(time.Since(c.began), wait)
		}
		if err == nil {
			f.logEra(f.Freshness.Position(), from)
			if f.Freshness.confirm(from, answer, c) && f.OnConfirm != nil {
				f.OnConfirm()
			}
		}
		pause := f.Pause
		switch {
		case errors.Is(err, platform.ErrHistoryGone):
			f.Info("msg", "history not available; listing again", "kind", f.Kind, "era", from.Era, "revision", from.Revision, "err", err)
			f.Outage.record(f.Kind, probe, nil)
			listed, pause = false, 0
		case err != nil:
			// A store that cuts off watches may have withheld changes from them,
			// and may serve later watches from old history. Only a list is
			// reliable.
			f.Outage.record(f.Kind, probe, err, "unconfirmed", f.Freshness.Age(time.Now()), "revision", f.Freshness.Position().Revision)
			listed, pause = false, 0
		default:
			f.Outage.record(f.Kind, probe, nil)
		}
		awaited = f.pause(ctx, pause, !awaited)
	}
}

// awaitedWait bounds a watch whose answer somebody waits for.
const awaitedWait = 20 * time.Millisecond

// pause waits between two calls, if it may be cut only until somebody waits for the next one,
// which it reports. One pause in two is whole, so that at most twice the calls are made.
func (f *Follower) pause(ctx context.Context, d time.Duration, mayBeCut bool) (awaited bool) {
	if !mayBeCut || d <= 0 {
		sleep(ctx, d)
		return false
	}
	select {
	case <-time.After(d):
	case <-f.Freshness.isAwaited():
		return true
	case <-ctx.Done():
	}
	return false
}

// logEra logs that the store has returned from an older copy since the position before.
func (f *Follower) logEra(before, now platform.Position) {
	if !before.SameHistory(now) {
		f.Warn("msg", "store returned from an older copy", "kind", f.Kind, "era", now.Era, "revision", now.Revision, "era-before", before.Era, "revision-before", before.Revision)
	}
}

func (f *Follower) list(retry bool) (platform.Position, error) {
	objects, position, err := f.Source.List(f.Kind)
	if err != nil {
		f.Outage.failed(retry)
		return platform.Position{}, errors.Trace(err)
	}
	f.Outage.succeeded()
	f.OnList(Listing{Objects: objects, Position: position, Restored: !f.Freshness.Position().SameHistory(position)})
	return position, nil
}

// wait returns how long the next watch may wait.
func (f *Follower) wait() time.Duration {
	if f.MaxWait == nil {
		return f.Wait
	}
	return min(f.Wait, f.MaxWait())
}

// watch waits for changes after a position and returns that of the answer.
func (f *Follower) watch(from platform.Position, wait time.Duration) (platform.Position, error) {
	events, next, err := f.Source.Watch(f.Kind, from, wait)
	if err != nil {
		if !errors.Is(err, platform.ErrHistoryGone) {
			f.Outage.failed(false)
		}
		return from, errors.Trace(err)
	}
	f.Outage.succeeded()
	if !from.SameHistory(next) {
		// The revision that the watch began from may be another change in this history.
		return from, errors.Annotatef(platform.ErrHistoryGone, "era %d instead of %d", next.Era, from.Era)
	}
	if events = newerThan(from.Revision, events); len(events) > 0 {
		f.OnChanges(events)
	}
	return next, nil
}

// newerThan drops the changes up to a revision, which a store that is behind may
// report again: what they would bring back has changed since.
func newerThan(from platform.Revision, events []platform.Event) []platform.Event {
	return slices.DeleteFunc(events, func(e platform.Event) bool { return !e.Removed && e.Object.Revision <= from })
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
