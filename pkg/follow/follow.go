// Package follow keeps a copy of one kind of the store's objects up to date: it
// lists them once, watches for changes, and lists them again when the store has
// forgotten the changes between.
package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// watchWait is the longest wait of one watch. Each watch is a priced call;
	// the store takes 30 s at most. Silent connections are found by keep-alive
	// probes, not by the wait's end.
	watchWait = 20 * time.Second
	// retryFirst and retryLast bound the pause after a failed call. The last one
	// is well below the 2 s within which a configuration is in force.
	retryFirst = 50 * time.Millisecond
	retryLast  = 400 * time.Millisecond
)

// Source is the part of the store's client that a follower needs.
type Source struct {
	List  func(platform.Kind) ([]platform.Object, platform.Revision, error)
	Watch func(platform.Kind, platform.Revision, time.Duration) ([]platform.Event, platform.Revision, error)
}

// StoreSource returns the source that reads from the store.
func StoreSource(s *platform.Store) Source { return Source{List: s.List, Watch: s.Watch} }

// Follower follows one kind.
type Follower struct {
	common.Common
	Source Source
	Kind   platform.Kind
	// Pause is the time between two watches, within which changes gather.
	Pause time.Duration
	// Listed takes a whole list, Changed the changes since, in order.
	Listed  func([]platform.Object)
	Changed func([]platform.Event)
	// Failed is told of each failed call.
	Failed func(error)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := retryFirst
	listed := false
	var from platform.Revision
	for ctx.Err() == nil {
		var err error
		if !listed {
			from, err = f.list()
			listed = err == nil
		} else {
			from, err = f.watch(from)
		}
		pause := f.Pause
		switch {
		case errors.Is(err, platform.ErrHistoryGone):
			f.Info("msg", "history gone, listing anew", "kind", f.Kind, "revision", from)
			listed, pause = false, 0
		case err != nil:
			// A store that cuts watches may have kept changes from them, and serve
			// later watches from old history: only a list is sure.
			listed = false
			f.failed(err, backoff)
			// Jitter keeps the processes of a fleet from returning together.
			pause = backoff/2 + rand.N(backoff)
			backoff = min(2*backoff, retryLast)
		default:
			if backoff > retryFirst {
				f.Info("msg", "store regained", "kind", f.Kind)
			}
			backoff = retryFirst
		}
		sleep(ctx, pause)
	}
}

func (f *Follower) failed(err error, backoff time.Duration) {
	if backoff == retryFirst {
		f.Warn("msg", "store lost", "kind", f.Kind, "err", err)
	}
	if f.Failed != nil {
		f.Failed(err)
	}
}

func (f *Follower) list() (platform.Revision, error) {
	objects, revision, err := f.Source.List(f.Kind)
	if err != nil {
		return 0, errors.Trace(err)
	}
	f.Listed(objects)
	return revision, nil
}

func (f *Follower) watch(from platform.Revision) (platform.Revision, error) {
	events, next, err := f.Source.Watch(f.Kind, from, watchWait)
	if err != nil {
		return from, errors.Trace(err)
	}
	if len(events) > 0 {
		f.Changed(events)
	}
	return next, nil
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
