package follow

import (
	"context"
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
	watches  []func(from platform.Revision) ([]platform.Event, platform.Revision, error)
}

func (s *store) source() Source {
	return Source{
		List: func(platform.Kind) ([]platform.Object, platform.Revision, error) {
			s.lists++
			return []platform.Object{{Name: "main", Revision: s.revision}}, s.revision, nil
		},
		Watch: func(_ platform.Kind, from platform.Revision, wait time.Duration) ([]platform.Event, platform.Revision, error) {
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
			Common: common.Discard(), Source: s.source(), Kind: platform.KindConfiguration,
			OnList: func(list []platform.Object) { seen = append(seen, list[0].Revision) },
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

func event(r platform.Revision) func(platform.Revision) ([]platform.Event, platform.Revision, error) {
	return func(platform.Revision) ([]platform.Event, platform.Revision, error) {
		return []platform.Event{{Object: platform.Object{Name: "main", Revision: r}}}, r, nil
	}
}

func TestReportsChanges(t *testing.T) {
	s := &store{revision: 5, watches: []func(platform.Revision) ([]platform.Event, platform.Revision, error){event(6), event(8)}}
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
			s.watches = []func(platform.Revision) ([]platform.Event, platform.Revision, error){
				func(from platform.Revision) ([]platform.Event, platform.Revision, error) {
					s.revision = 9
					return nil, from, test.err
				},
			}
			require.Equal(t, []platform.Revision{5, 9}, follow(t, s, time.Second))
		})
	}
}

// During an outage the follower makes few calls, and it recovers soon after the
// outage.
func TestBacksOffDuringStoreOutage(t *testing.T) {
	s := &store{revision: 5}
	failures := 0
	source := s.source()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		began := time.Now()
		var regained time.Duration
		f := &Follower{
			Common: common.Discard(), Kind: platform.KindConfiguration,
			Source: Source{Watch: source.Watch, List: func(k platform.Kind) ([]platform.Object, platform.Revision, error) {
				if time.Since(began) < 5*time.Second {
					return nil, 0, platform.ErrUnavailable
				}
				return source.List(k)
			}},
			OnList:  func([]platform.Object) { regained = time.Since(began) },
			OnError: func(error) { failures++ },
		}
		f.Run(ctx)
		require.Less(t, regained, 5*time.Second+2*maxRetryDelay)
		require.Less(t, failures, 40)
	})
}

// A store that is behind reports changes that the list already contained. What they
// would bring back has changed since.
func TestIgnoresChangesOlderThanTheList(t *testing.T) {
	s := &store{revision: 10, watches: []func(platform.Revision) ([]platform.Event, platform.Revision, error){event(7), event(11), event(9)}}
	require.Equal(t, []platform.Revision{10, 11}, follow(t, s, 10*time.Second))
}
