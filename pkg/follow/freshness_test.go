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

// Guards against a copy that is taken to be more current than it is: the time counts from
// the beginning of the call, and the VM's suspension counts, also before the answer.
func TestUnconfirmedTimeCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		f := &Freshness{Suspended: func() time.Duration { return suspended }}
		_, confirmed := f.Unconfirmed()
		require.False(t, confirmed)
		c := f.begin()
		time.Sleep(2 * time.Second)
		suspended += 10 * time.Second
		time.Sleep(time.Second)
		c.held = 2 * time.Second
		require.True(t, f.confirm(platform.Position{Revision: 1}, platform.Position{Revision: 1}, c))
		suspended += 100 * time.Second
		time.Sleep(time.Second)
		age, confirmed := f.Unconfirmed()
		require.True(t, confirmed)
		require.Equal(t, 114*time.Second, age)
		age, _ = f.Unanswered()
		require.Equal(t, 112*time.Second, age)
		require.Equal(t, 4*time.Second, f.Age(time.Now()))
		f.Suspended = nil
		_, confirmed = new(Freshness).Unanswered()
		require.False(t, confirmed)
	})
}

// Guards against answers of a store that is behind, or of a lost history, which say nothing
// of the changes since, and against a restored store that never confirms a copy again.
func TestOnlyCurrentAnswersConfirm(t *testing.T) {
	f := new(Freshness)
	at := func(era, revision int) platform.Position {
		return platform.Position{Era: platform.Era(era), Revision: platform.Revision(revision)}
	}
	for _, test := range []struct {
		answer   platform.Position
		confirms bool
	}{
		{at(1, 7), true}, {at(1, 7), true}, {at(1, 6), false}, {at(1, 6), false}, {at(1, 8), true},
		{at(2, 3), true}, {at(1, 9), false}, {at(2, 2), false}, {at(2, 3), true},
		{at(0, 1), true}, {at(2, 1), true}, // without an era nothing can be compared
	} {
		require.Equal(t, test.confirms, f.confirm(test.answer, test.answer, f.begin()), "%v", test.answer)
	}
}

// Guards against a bound on watches that is not asked for again, or one of 0 that makes the
// follower watch, and against confirmations that are told before their changes.
func TestNextWatchIsBoundedByWhatIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &store{revision: 5}
		var waits []time.Duration
		seen, confirmed := 0, 0
		bounds := []time.Duration{time.Hour, time.Second, 0, 2 * time.Second}
		source := s.source()
		watch := source.Watch
		source.Watch = func(k platform.Kind, from platform.Position, wait time.Duration) ([]platform.Event, platform.Position, error) {
			waits = append(waits, wait)
			return watch(k, from, wait)
		}
		f := &Follower{
			Common: common.Discard(), Source: source, Timing: Timing{Wait: 20 * time.Second, Pause: time.Millisecond}, Kind: platform.KindConfiguration, Freshness: new(Freshness), Outage: NewOutage(common.Discard(), OutageLimits{RetryDelay: 400 * time.Millisecond}, func(time.Time) {}),
			OnList: func(Listing) { seen++ },
			MaxWait: func() time.Duration {
				bound := bounds[0]
				if len(bounds) == 1 {
					cancel()
				}
				bounds = bounds[1:]
				return bound
			},
			OnConfirm: func() { confirmed++; require.Positive(t, seen) },
		}
		f.Run(ctx)
		require.Equal(t, 2, s.lists, "the first one, and one instead of a watch")
		require.Equal(t, []time.Duration{time.Second, 2 * time.Second}, waits)
		require.Equal(t, 4, confirmed)
	})
}

// Guards against a copy that is taken to be as of a time because a call that began before has
// been answered since, and against waits for all of the pause between two calls.
func TestAwaitedCopyIsAsOfTheTime(t *testing.T) {
	const pause = time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &Follower{
			Common: common.Discard(), Source: (&store{revision: 5}).source(), Timing: Timing{Wait: 300 * time.Millisecond, Pause: pause}, Kind: platform.KindTargets, Freshness: new(Freshness), Outage: NewOutage(common.Discard(), OutageLimits{RetryDelay: 400 * time.Millisecond}, func(time.Time) {}),
			OnList: func(Listing) {}, OnChanges: func([]platform.Event) {},
		}
		go f.Run(ctx)
		time.Sleep(pause + 100*time.Millisecond) // within the first watch
		for _, test := range []struct {
			name   string
			before time.Duration
			want   time.Duration
		}{
			{"the watch in progress does not count", 0, 200*time.Millisecond + awaitedWait},
			{"the next pause is not cut", 0, pause + 300*time.Millisecond},
			{"in a pause that may be cut", 100 * time.Millisecond, awaitedWait},
		} {
			time.Sleep(test.before)
			at := time.Now()
			require.True(t, f.Freshness.Await(ctx, at), test.name)
			require.Equal(t, test.want, time.Since(at), test.name)
			require.True(t, f.Freshness.Await(ctx, at), "it is known now")
		}
		ended, end := context.WithCancel(ctx)
		end()
		require.False(t, f.Freshness.Await(ended, time.Now()))
	})
}
