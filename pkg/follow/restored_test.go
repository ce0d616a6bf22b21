package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/follow"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Bounds of the guarantees in the deployments of the users.
const (
	inForce = 2 * time.Second
	settled = 3 * time.Second
)

// restoredStore is a store that returns from an older copy while its writers go on.
type restoredStore struct {
	*standin.Objects
	random *rand.Rand
	// current is the newest number that each writer wants to have in the store.
	current map[string]int
	number  int
}

// write makes a random writer write a new number, or withdraw its object.
func (s *restoredStore) write(t *testing.T) {
	name := fmt.Sprintf("w-%d", s.random.IntN(8))
	if s.random.IntN(4) == 0 {
		delete(s.current, name)
	} else {
		s.number++
		s.current[name] = s.number
	}
	s.repeat(t, name)
}

// repeat makes a writer write what it wants to have in the store.
func (s *restoredStore) repeat(t *testing.T, name string) {
	number, wanted := s.current[name]
	if !wanted {
		s.Withdraw(platform.KindTargets, name)
		return
	}
	require.NoError(t, s.Publish(platform.KindTargets, name, json.RawMessage(fmt.Sprint(number))))
}

// The store is away for a moment, so short that no call fails, or longer, and returns from
// a copy some seconds old (load pattern: writers that write again what was lost, and go
// on). Whatever is in it is known within the bound of a change after things have settled.
func TestChangesOfARestoredStoreAreKnown(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testRestoredStore(t, seed) }) })
	}
}

func testRestoredStore(t *testing.T, seed uint64) {
	s := &restoredStore{Objects: standin.NewObjects(seed), random: rand.New(rand.NewPCG(seed, 1)), current: make(map[string]int)}
	var mu sync.Mutex
	known := make(map[string]int)
	put := func(o platform.Object) {
		var number int
		require.NoError(t, json.Unmarshal(o.Spec, &number))
		known[o.Name] = number
	}
	f := &follow.Follower{
		Common: common.Discard(), Kind: platform.KindTargets, Timing: follow.NewTiming(inForce, 0.6, settled), Freshness: new(follow.Freshness),
		Source: follow.Source{List: s.ListKind, Watch: s.WatchKind},
		Outage: follow.NewOutage(common.Discard(), follow.OutageLimits{RetryDelay: 400 * time.Millisecond}, func(time.Time) {}),
		OnList: func(l follow.Listing) {
			mu.Lock()
			defer mu.Unlock()
			clear(known)
			for _, o := range l.Objects {
				put(o)
			}
		},
		OnChanges: func(events []platform.Event) {
			mu.Lock()
			defer mu.Unlock()
			for _, e := range events {
				if e.Removed {
					delete(known, e.Object.Name)
					continue
				}
				put(e.Object)
			}
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer time.Sleep(time.Minute) // until the follower has ended
	defer cancel()
	go f.Run(ctx)
	s.run(t, 2*time.Second)
	for range 4 {
		s.SetFaults(standin.ObjectFaults{Outage: s.random.IntN(2) == 0})
		time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
		s.SetFaults(standin.ObjectFaults{})
		s.Restore(time.Duration(s.random.IntN(3000)) * time.Millisecond)
		for i := range 8 {
			time.Sleep(time.Duration(s.random.IntN(20)) * time.Millisecond)
			s.repeat(t, fmt.Sprintf("w-%d", i))
		}
		if s.random.IntN(2) == 0 {
			s.run(t, settled)
		} else {
			time.Sleep(settled)
		}
		want := maps.Clone(s.current)
		time.Sleep(inForce)
		mu.Lock()
		require.Equal(t, want, known)
		mu.Unlock()
	}
}

// run makes the writers go on for a time.
func (s *restoredStore) run(t *testing.T, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(s.random.IntN(400)) * time.Millisecond)
		s.write(t)
	}
}
