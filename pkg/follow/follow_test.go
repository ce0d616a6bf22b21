package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/platform"
)

// store is a store with one object, whose watches can fail.
type store struct {
	revision platform.Revision
	lists    int
	watches  []func(from platform.Position) ([]platform.Event, platform.Position, error)
}

func (s *store) source() Source {
	return Source{
		List: func(platform.Kind) ([]platform.Object, platform.Position, error) {
			s.lists++
			return []platform.Object{{Name: "main", Position: platform.Position{Revision: s.revision}}}, platform.Position{Revision: s.revision}, nil
		},
		Watch: func(_ platform.Kind, from platform.Position, wait time.Duration) ([]platform.Event, platform.Position, error) {
			if len(s.watches) == 0 {
				time.Sleep(wait)
				return nil, from, nil
			}
			next := s.watches[0]
			s.watches = s.watches[1:]
			return next(from)
		},
	}
}

func follow(t *testing.T, s *store, d time.Duration) []platform.Revision {
	t.Helper()
	var seen []platform.Revision
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		f := &Follower{
			Common: common.Discard(), Source: s.source(), Timing: Timing{Wait: 20 * time.Second}, Kind: platform.KindConfiguration, Freshness: new(Freshness), Outage: NewOutage(common.Discard(), OutageLimits{RetryDelay: 400 * time.Millisecond}, func(time.Time) {}),
			OnList: func(l Listing) { seen = append(seen, l.Objects[0].Revision) },
			OnChanges: func(events []platform.Event) {
				for _, e := range events {
					seen = append(seen, e.Object.Revision)
				}
			},
		}
		f.Run(ctx)
	})
	return seen
}

func event(r platform.Revision) func(platform.Position) ([]platform.Event, platform.Position, error) {
	return func(platform.Position) ([]platform.Event, platform.Position, error) {
		return []platform.Event{{Object: platform.Object{Name: "main", Position: platform.Position{Revision: r}}}}, platform.Position{Revision: r}, nil
	}
}

func TestReportsChanges(t *testing.T) {
	s := &store{revision: 5, watches: []func(platform.Position) ([]platform.Event, platform.Position, error){event(6), event(8)}}
	require.Equal(t, []platform.Revision{5, 6, 8}, follow(t, s, time.Second))
	require.Equal(t, 1, s.lists)
}

// A store that cuts off a watch may have withheld changes from it, and may serve
// the next watch from old history without them. So the follower lists again.
func TestListsAgainAfterFailedWatch(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
	}{
		{"cut off", platform.ErrUnavailable},
		{"history gone", platform.ErrHistoryGone},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &store{revision: 5}
			s.watches = []func(platform.Position) ([]platform.Event, platform.Position, error){
				func(from platform.Position) ([]platform.Event, platform.Position, error) {
					s.revision = 9
					return nil, from, test.err
				},
			}
			require.Equal(t, []platform.Revision{5, 9}, follow(t, s, time.Second))
		})
	}
}

// During an outage (load pattern: all processes of a large fleet retry) the followers
// together make as few calls as one, and all recover soon after the outage.
func TestBacksOffDuringStoreOutage(t *testing.T) {
	const maxDelay = 400 * time.Millisecond
	kinds := []platform.Kind{platform.KindConfiguration, platform.KindTargets, platform.KindVersions}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		began := time.Now()
		var failures atomic.Int64
		down := func() bool { since := time.Since(began); return since > 5*time.Second && since < 10*time.Second }
		recovered := make([]time.Duration, len(kinds))
		outage := NewOutage(common.Discard(), OutageLimits{RetryDelay: maxDelay}, func(time.Time) {})
		var running sync.WaitGroup
		for i, kind := range kinds {
			f := &Follower{
				Common: common.Discard(), Timing: Timing{Wait: 20 * time.Second}, Kind: kind, Freshness: new(Freshness), Outage: outage,
				Source: Source{
					List: func(platform.Kind) ([]platform.Object, platform.Position, error) {
						time.Sleep(time.Millisecond)
						if down() {
							failures.Add(1)
							return nil, platform.Position{}, platform.ErrUnavailable
						}
						return nil, platform.Position{Revision: 1}, nil
					},
					Watch: func(_ platform.Kind, from platform.Position, wait time.Duration) ([]platform.Event, platform.Position, error) {
						for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
							if down() {
								failures.Add(1)
								return nil, from, platform.ErrUnavailable
							}
						}
						return nil, from, nil
					},
				},
				OnList: func(Listing) { recovered[i] = time.Since(began) },
			}
			running.Go(func() { f.Run(ctx) })
		}
		running.Wait()
		for _, at := range recovered {
			require.Greater(t, at, 10*time.Second)
			require.Less(t, at, 10*time.Second+2*maxDelay)
		}
		require.Less(t, failures.Load(), int64(30))
	})
}

// A store that is behind reports changes that the list already contained. What they
// would bring back has changed since.
func TestIgnoresChangesOlderThanTheList(t *testing.T) {
	s := &store{revision: 10, watches: []func(platform.Position) ([]platform.Event, platform.Position, error){event(7), event(11), event(9)}}
	require.Equal(t, []platform.Revision{10, 11}, follow(t, s, 10*time.Second))
}
