package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// sharedFleet is a number of gateways that send to one target as much as they may.
type sharedFleet struct {
	now    time.Time
	limit  float64
	agents []*Shared
	asks   []int // the agent that each gateway asks; -1 for none
	alone  []Limiter
	sent   []time.Time
	random *rand.Rand
}

// fleetTick is how often each gateway has requests.
const fleetTick = 50 * time.Millisecond

func newSharedFleet(limit float64, gateways, agents int, seed uint64) *sharedFleet {
	f := &sharedFleet{now: time.Unix(1000, 0), limit: limit, asks: make([]int, gateways), alone: make([]Limiter, gateways), random: rand.New(rand.NewPCG(seed, 1))}
	for range agents {
		f.agents = append(f.agents, NewShared())
	}
	return f
}

func (f *sharedFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetTick) {
		for gateway, agent := range f.asks {
			for f.take(gateway, agent) {
				f.sent = append(f.sent, f.now)
			}
		}
	}
}

func (f *sharedFleet) take(gateway, agent int) bool {
	if agent < 0 {
		l := &f.alone[gateway]
		l.SetAlone(f.limit, len(f.asks), f.random.Float64(), f.now)
		return l.Take(f.now)
	}
	f.alone[gateway].Clear()
	s := f.agents[agent]
	s.Heard(ident.VM(fmt.Sprint(gateway)), f.now)
	_, taken := s.TakeWithin(f.limit, len(f.asks), 0, f.now)
	return taken
}

func (f *sharedFleet) requireWithin(t *testing.T) {
	t.Helper()
	const window = 4 * time.Second
	first := 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= window {
			first++
		}
		require.LessOrEqual(t, float64(i-first+1), 1.5*f.limit*window.Seconds()+5)
	}
}

// Many gateways want a plain target that is in need (load pattern: demand far above the
// limit at each gateway). Again and again any part of them loses the process that
// apportions the limit, comes back to it, goes to another one, or stays alone.
func TestSharesOfAllProcessesAddUpToTheLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.5, 3.7, 40} {
		for _, gateways := range []int{1, 4, 24} {
			t.Run(fmt.Sprintf("%g a second, %d gateways", limit, gateways), func(t *testing.T) {
				for seed := range uint64(2) {
					f := newSharedFleet(limit, gateways, 3, seed)
					f.run(10 * time.Second)
					require.GreaterOrEqual(t, float64(len(f.sent)), 0.9*10*limit-2, "the limit is used up")
					for range 8 {
						f.move(f.random.IntN(4)-1, time.Second)
						f.run(time.Duration(f.random.IntN(5)) * time.Second)
					}
					f.requireWithin(t)
				}
			})
		}
	}
}

// move makes half of the gateways ask another agent, one after the other within a time.
func (f *sharedFleet) move(to int, within time.Duration) {
	for _, g := range f.random.Perm(len(f.asks)) {
		if f.random.IntN(2) == 0 {
			f.asks[g] = to
			f.run(time.Duration(f.random.Int64N(int64(2*within) / int64(len(f.asks)))))
		}
	}
}

// All gateways lose the process at the same moment: what they send alone stays within the
// limit, and is not nothing.
func TestGatewaysAloneStayWithinTheLimit(t *testing.T) {
	f := newSharedFleet(5, 68, 0, 1)
	for g := range f.asks {
		f.asks[g] = -1
	}
	f.run(60 * time.Second)
	f.requireWithin(t)
	require.InDelta(t, 0.5*5*60, len(f.sent), 40)
}
