// Package experiment compares policies on the users' workloads. It runs the
// production decision code against small fakes in virtual time.
package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// EngineSpec is the capacity and speed of one engine.
type EngineSpec struct {
	Slots      int
	MaxRunning int
	// TokenTime is the time per token in an empty batch; see batchSlowdown.
	TokenTime time.Duration
}

// Class is a group of callers with the same priority and deadline.
type Class struct {
	Name     string
	Share    float64
	Priority ident.Priority
	Deadline time.Duration
	// Tokens is the mean length of a response.
	Tokens float64
}

// Fault is a fault that is injected in the middle of a run.
type Fault uint8

// The faults.
const (
	FaultNone Fault = iota
	FaultShift
	FaultColdEngine
	FaultSlowStore
	FaultOutage
	FaultDrain
	FaultDomainFailure
)

// Workload describes the engines, adapters and requests of a run.
type Workload struct {
	Name     string
	Engines  []EngineSpec
	Adapters int
	Skew     float64 // exponent of the power law of adapter popularity
	Rate     float64 // of the weight store, in loads per second
	Offered  float64 // requests per second
	Balance  float64
	Classes  []Class
	Warmup   time.Duration
	Measured time.Duration
	Fault    Fault
	// Retries makes callers send a refused request again at the time that the
	// refusal gave.
	Retries bool
	Seed    uint64
}

// Length returns the time during which requests arrive.
func (w Workload) Length() time.Duration { return w.Warmup + w.Measured }

// FaultStart returns the time at which the fault starts.
func (w Workload) FaultStart() time.Duration { return w.Warmup + w.Measured/3 }

// FaultEnd returns the time at which the fault ends, if it is temporary.
func (w Workload) FaultEnd() time.Duration { return w.Warmup + 2*w.Measured/3 }

const meanTokenTime = 20 * time.Millisecond

// unequalEngines returns engines with unequal slots, MaxRunning and speeds, as donated
// VMs have.
func unequalEngines(n int) []EngineSpec {
	out := make([]EngineSpec, n)
	for i := range out {
		out[i] = EngineSpec{
			Slots: 4 + 2*(i%3), MaxRunning: 8 + 4*((i+1)%3),
			TokenTime: meanTokenTime + time.Duration(i%4-1)*4*time.Millisecond,
		}
	}
	return out
}

// Bergstrom returns the drafting workload of Bergström at an offered load.
func Bergstrom(offered float64) Workload {
	return Workload{
		Name: fmt.Sprintf("bergstrom-%g", offered), Engines: unequalEngines(12), Adapters: 3000, Skew: 1.05, Rate: 3, Offered: offered, Balance: 0.8,
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
		Name: fmt.Sprintf("latones-%g", offered), Engines: unequalEngines(18), Adapters: 3000, Skew: 1.05, Rate: 4, Offered: offered, Balance: 0.2,
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

// arrivals draws the workload's requests. They are the same for every policy.
func (w Workload) arrivals() []arrival {
	random := rand.New(rand.NewPCG(w.Seed, 5))
	ranks := newRankSampler(w.Adapters, w.Skew)
	adapterOfRank := random.Perm(w.Adapters)
	shifted := exchangePopularity(adapterOfRank, random)
	var out []arrival
	at := 0.0
	for {
		at += random.ExpFloat64() / w.Offered
		t := time.Duration(at * float64(time.Second))
		if t >= w.Length() {
			return out
		}
		a := arrival{at: t, adapter: adapterOfRank[ranks.sample(random)], class: w.classIndex(random.Float64())}
		if w.Fault == FaultShift && t >= w.FaultStart() {
			a.adapter = shifted[a.adapter]
		}
		mean := w.Classes[a.class].Tokens
		a.tokens = max(4, int(mean*(0.4+0.6*random.ExpFloat64())))
		out = append(out, a)
	}
}

// shiftShare is the share of adapters whose popularity FaultShift exchanges.
const shiftShare = 0.3

// exchangePopularity exchanges the popularity of shiftShare of the adapters. It
// returns the new index of each adapter.
func exchangePopularity(adapters []int, random *rand.Rand) []int {
	out := make([]int, len(adapters))
	for i := range out {
		out[i] = i
	}
	moved := random.Perm(len(adapters))[:int(shiftShare*float64(len(adapters)))]
	for i := 0; i+1 < len(moved); i += 2 {
		out[moved[i]], out[moved[i+1]] = moved[i+1], moved[i]
	}
	return out
}

func (w Workload) classIndex(u float64) int {
	for i, c := range w.Classes {
		if u -= c.Share; u < 0 {
			return i
		}
	}
	return len(w.Classes) - 1
}

// rankSampler draws ranks from a power law with any exponent.
type rankSampler struct{ cumulative []float64 }

func newRankSampler(n int, skew float64) rankSampler {
	s := rankSampler{cumulative: make([]float64, n)}
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -skew)
		s.cumulative[i] = total
	}
	return s
}

func (s rankSampler) sample(random *rand.Rand) int {
	u := random.Float64() * s.cumulative[len(s.cumulative)-1]
	return sort.SearchFloat64s(s.cumulative, u)
}
