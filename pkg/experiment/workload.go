// Package experiment compares policies on the users' workloads. The real
// decision code runs against small fakes in virtual time.
package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// EngineSpec describes one engine.
type EngineSpec struct {
	Slots int
	Seats int
	// TokenTime is the time of one token with one request running.
	TokenTime time.Duration
}

// Class is a group of callers.
type Class struct {
	Name     string
	Share    float64
	Priority ident.Priority
	Deadline time.Duration
	// Tokens is the mean length of an answer.
	Tokens float64
}

// Fault is what befalls a workload in mid-run.
type Fault uint8

// The faults.
const (
	FaultNone Fault = iota
	FaultShift
	FaultColdEngine
	FaultSlowStore
	FaultOutage
	FaultDrain
	FaultLostDomain
)

// Workload is what a run is made of.
type Workload struct {
	Name     string
	Engines  []EngineSpec
	Adapters int
	Skew     float64 // exponent of the adapters' popularity
	Rate     float64 // loads per second of the weight store
	Offered  float64 // requests per second
	Balance  float64
	Classes  []Class
	Warmup   time.Duration
	Measured time.Duration
	Fault    Fault
	// Retries lets refused callers come back when they are told to.
	Retries bool
	Seed    uint64
}

// Length is the time during which requests arrive.
func (w Workload) Length() time.Duration { return w.Warmup + w.Measured }

// FaultAt is when the fault strikes.
func (w Workload) FaultAt() time.Duration { return w.Warmup + w.Measured/3 }

// FaultEnds is when the fault ends, where it does.
func (w Workload) FaultEnds() time.Duration { return w.Warmup + 2*w.Measured/3 }

const meanTokenTime = 20 * time.Millisecond

// odd returns engines with unequal slots, seats and speeds, as donated VMs
// have.
func odd(n int) []EngineSpec {
	out := make([]EngineSpec, n)
	for i := range out {
		out[i] = EngineSpec{
			Slots: 4 + 2*(i%3), Seats: 8 + 4*((i+1)%3),
			TokenTime: meanTokenTime + time.Duration(i%4-1)*4*time.Millisecond,
		}
	}
	return out
}

// Bergstrom returns the drafting workload of Bergström at an offered load.
func Bergstrom(offered float64) Workload {
	return Workload{
		Name: fmt.Sprintf("bergstrom-%g", offered), Engines: odd(12), Adapters: 3000, Skew: 1.05, Rate: 3, Offered: offered, Balance: 0.8,
		Classes: []Class{
			{Name: "field", Share: 0.7, Priority: 5, Deadline: 12 * time.Second, Tokens: 80},
			{Name: "showroom", Share: 0.3, Priority: 2, Deadline: 30 * time.Second, Tokens: 160},
		},
		Warmup: 600 * time.Second, Measured: 600 * time.Second, Seed: 11,
	}
}

// Latones returns the drafting workload of Latones at an offered load.
func Latones(offered float64) Workload {
	return Workload{
		Name: fmt.Sprintf("latones-%g", offered), Engines: odd(18), Adapters: 3000, Skew: 1.05, Rate: 4, Offered: offered, Balance: 0.2,
		Classes: []Class{
			{Name: "buyers", Share: 0.3, Priority: 4, Deadline: 30 * time.Second, Tokens: 120},
			{Name: "drafts", Share: 0.7, Priority: 0, Deadline: 120 * time.Second, Tokens: 240},
		},
		Warmup: 600 * time.Second, Measured: 600 * time.Second, Seed: 12,
	}
}

// arrival is one request of a workload.
type arrival struct {
	at      time.Duration
	adapter int
	class   int
	tokens  int
}

// arrivals draws the workload's requests. Every policy meets the same ones.
func (w Workload) arrivals() []arrival {
	random := rand.New(rand.NewPCG(w.Seed, 5))
	popular := newDraw(w.Adapters, w.Skew)
	names := random.Perm(w.Adapters)
	shifted := shift(names, random)
	var out []arrival
	at := 0.0
	for {
		at += random.ExpFloat64() / w.Offered
		t := time.Duration(at * float64(time.Second))
		if t >= w.Length() {
			return out
		}
		a := arrival{at: t, adapter: names[popular.next(random)], class: w.draw(random.Float64())}
		if w.Fault == FaultShift && t >= w.FaultAt() {
			a.adapter = shifted[a.adapter]
		}
		mean := w.Classes[a.class].Tokens
		a.tokens = max(4, int(mean*(0.4+0.6*random.ExpFloat64())))
		out = append(out, a)
	}
}

// shiftShare is the share of adapters that wake or fall idle.
const shiftShare = 0.3

// shift exchanges the popularity of some adapters.
func shift(names []int, random *rand.Rand) []int {
	out := make([]int, len(names))
	for i := range out {
		out[i] = i
	}
	moved := random.Perm(len(names))[:int(shiftShare*float64(len(names)))]
	for i := 0; i+1 < len(moved); i += 2 {
		out[moved[i]], out[moved[i+1]] = moved[i+1], moved[i]
	}
	return out
}

func (w Workload) draw(u float64) int {
	for i, c := range w.Classes {
		if u -= c.Share; u < 0 {
			return i
		}
	}
	return len(w.Classes) - 1
}

// draw draws ranks with a power-law popularity of any exponent.
type draw struct{ cumulative []float64 }

func newDraw(n int, skew float64) draw {
	d := draw{cumulative: make([]float64, n)}
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -skew)
		d.cumulative[i] = total
	}
	return d
}

func (d draw) next(random *rand.Rand) int {
	u := random.Float64() * d.cumulative[len(d.cumulative)-1]
	return sort.SearchFloat64s(d.cumulative, u)
}
