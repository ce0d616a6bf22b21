package follow

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/platform"
)

// disruptedStore is a store that changes at an interval, behind a path that is disrupted
// from one time to another after its start. Either no bytes pass meanwhile, or
// connections opened before the disruption carry none for good.
type disruptedStore struct {
	interval time.Duration // between two changes
	// inForce is the time within which a change has to be known, and settled the time
	// after a disruption from which on that holds.
	inForce, settled time.Duration
	pauseShare       float64
	start            time.Time
	from, to         time.Duration
	halfOpen         bool
	opened           time.Time // of the connection in use
}

func (s *disruptedStore) cut(at time.Time) bool {
	d := at.Sub(s.start)
	return d >= s.from && d < s.to
}

func (s *disruptedStore) revision(at time.Time) platform.Revision {
	return platform.Revision(1 + at.Sub(s.start)/s.interval)
}

// deliver returns when bytes sent at a time arrive. TCP sends them again after 200 ms,
// and after twice the time before each further time.
func (s *disruptedStore) deliver(at time.Time) time.Time {
	if s.halfOpen {
		if s.opened.Sub(s.start) < s.from && at.Sub(s.start) >= s.from {
			return at.Add(time.Hour)
		}
		return at
	}
	for delay := 200 * time.Millisecond; s.cut(at); delay *= 2 {
		at = at.Add(delay)
	}
	return at
}

// call sleeps until the answer to a call arrives, which the store sends at the time that
// answered returns, or until the call is given up: at the given time, or as soon as it
// was not acknowledged in time.
func (s *disruptedStore) call(giveUp time.Time, answered func(received time.Time) time.Time) error {
	received := s.deliver(time.Now())
	answer := s.deliver(answered(received))
	if acknowledged := time.Now().Add(AnswerTime(s.settled)); received.After(acknowledged) {
		answer, giveUp = received, acknowledged
	}
	if answer.After(giveUp) {
		time.Sleep(time.Until(giveUp))
		s.opened = time.Now()
		return platform.ErrUnavailable
	}
	time.Sleep(time.Until(answer))
	return nil
}

const callTimeout = 2 * time.Second

func (s *disruptedStore) source() Source {
	return Source{
		List: func(platform.Kind) ([]platform.Object, platform.Position, error) {
			var revision platform.Revision
			err := s.call(time.Now().Add(callTimeout), func(received time.Time) time.Time {
				revision = s.revision(received)
				return received
			})
			return []platform.Object{{Position: platform.Position{Revision: revision}}}, platform.Position{Revision: revision}, err
		},
		Watch: func(_ platform.Kind, from platform.Position, wait time.Duration) ([]platform.Event, platform.Position, error) {
			var revision platform.Revision
			err := s.call(time.Now().Add(wait+AnswerTime(s.settled)), func(received time.Time) time.Time {
				for end := received.Add(wait); s.revision(received) <= from.Revision && received.Before(end); {
					received = received.Add(10 * time.Millisecond)
				}
				revision = s.revision(received)
				return received
			})
			return []platform.Event{{Object: platform.Object{Position: platform.Position{Revision: revision}}}}, platform.Position{Revision: revision}, err
		},
	}
}

// The path to the store is cut for a few seconds, or open connections go silent, while
// targets leave. A request that is sent into the cut is sent again only seconds after its
// end.
func TestChangesAreKnownInTimeAfterADisruption(t *testing.T) {
	for _, bounds := range []disruptedStore{
		{inForce: 2 * time.Second, settled: 3 * time.Second, pauseShare: 0.6},
		{inForce: 2 * time.Second, settled: 3 * time.Second, pauseShare: 0.05},
		{inForce: 5 * time.Second, settled: 3 * time.Second, pauseShare: 0.2},
		{inForce: 3 * time.Second, settled: 4 * time.Second, pauseShare: 0.6},
		{inForce: 4 * time.Second, settled: 5 * time.Second, pauseShare: 0.6},
	} {
		for _, interval := range []time.Duration{300 * time.Millisecond, 2300 * time.Millisecond} {
			for length := time.Duration(0); length <= 7*time.Second; length += 250 * time.Millisecond {
				for phase := time.Duration(0); phase < 1200*time.Millisecond; phase += 200 * time.Millisecond {
					s := bounds
					s.interval, s.from, s.halfOpen = interval, 5*time.Second+phase, length == 0
					s.to = s.from + length
					t.Run(fmt.Sprintf("in force within %s, pause %g, changes every %s, half-open %t, from %s for %s", s.inForce, s.pauseShare, interval, s.halfOpen, s.from, length), s.test)
				}
			}
		}
	}
}

func (s *disruptedStore) test(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s.start = time.Now()
		s.opened = s.start
		var known atomic.Uint64
		f := &Follower{
			Common: common.Discard(), Source: s.source(), Kind: platform.KindTargets, Freshness: new(Freshness), Timing: NewTiming(s.inForce, s.pauseShare, s.settled),
			Outage:    NewOutage(common.Discard(), OutageLimits{RetryDelay: 400 * time.Millisecond}, func(time.Time) {}),
			OnList:    func(l Listing) { known.Store(uint64(l.Objects[0].Revision)) },
			OnChanges: func(events []platform.Event) { known.Store(uint64(events[0].Object.Revision)) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); f.Run(ctx) }()
		behind := 0
		for now := 100 * time.Millisecond; now < 20*time.Second; now += 50 * time.Millisecond {
			time.Sleep(time.Until(s.start.Add(now)))
			synctest.Wait()
			if (now < s.from || now >= s.to+s.settled) && platform.Revision(known.Load()) < s.revision(s.start.Add(max(now-s.inForce, 0))) {
				behind++
				t.Logf("%s after the disruption: revision %d", now-s.to, known.Load())
			}
		}
		cancel()
		<-ended
		require.Zero(t, behind, "times at which changes older than %s were not known", s.inForce)
	})
}
