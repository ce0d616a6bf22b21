package grant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const otherModel ident.Model = "n"

// twoModels returns the scheduler of an engine that holds one of two models. The
// other one needs the given memory in MB.
func twoModels(otherMB float64) *Scheduler {
	sched := New()
	s := setup(4)
	s.Models = append(s.Models, wire.ModelSetup{Name: otherModel, MB: otherMB, AdapterMB: 1, LoadMS: 1000})
	sched.Setup(s)
	sched.Observe(Report{StartMS: 1, Models: []ident.Model{model}, Held: []ident.Weights{weightsOf(1, 1)}}, start)
	return sched
}

// demand requests the other model the given number of times, spread over one second,
// and returns the end of that second.
func demand(t *testing.T, sched *Scheduler, times int, from time.Time) time.Time {
	t.Helper()
	for i := range times {
		now := from.Add(time.Duration(i) * time.Second / time.Duration(times))
		req := request(RequestID(1000+i), 1, now)
		req.Model, req.MaySwitchModel, req.HasAlternative = otherModel, true, true
		sched.Enqueue(req)
		replies := sched.Decide(now)
		require.Len(t, replies, 1)
		require.Equal(t, wire.ReasonModelAbsent, replies[0].Reason)
	}
	return from.Add(time.Second)
}

// Demand shifts to a model whose engines are all busy. An engine with little load
// finishes its running requests and switches to that model.
func TestEngineSwitchesToTheModelInDemand(t *testing.T) {
	sched := twoModels(900)
	sched.Enqueue(request(1, 1, start))
	require.Len(t, sched.Decide(start), 1)
	now := demand(t, sched, 12, start)
	_, ok := sched.Order(now)
	require.False(t, ok, "a request runs")
	req := request(2, 1, now)
	req.HasAlternative = true
	sched.Enqueue(req)
	require.Equal(t, wire.ReasonModelAbsent, sched.Decide(now)[0].Reason, "no new requests for the model that is being unloaded")

	sched.Withdraw(1, now)
	o, ok := sched.Order(now)
	require.True(t, ok)
	require.Equal(t, Order{Unload: true, Weights: ident.Weights{Model: model}, Instance: "i-1", Displaces: true}, o)
	sched.Accepted(o, now)
	sched.Observe(Report{StartMS: 1, Sequence: 1}, now)
	o, ok = sched.Order(now)
	require.True(t, ok)
	require.Equal(t, Order{Weights: ident.Weights{Model: otherModel}, Sequence: 1, Instance: "i-1"}, o)
	sched.Accepted(o, now)
	sched.Observe(Report{StartMS: 1, Sequence: 2, Models: []ident.Model{otherModel}}, now)
	_, ok = sched.Order(now)
	require.False(t, ok)

	back := request(3, 1, now)
	back.MaySwitchModel, back.HasAlternative = true, true
	for i := range 20 {
		back := *back
		back.ID += RequestID(i)
		sched.Enqueue(&back)
		sched.Decide(now)
	}
	_, ok = sched.Order(now.Add(switchInterval - time.Second))
	require.False(t, ok, "the minimum interval between two switches has not passed")
}

// The operator removes the model while the engine is switching to it.
func TestEndsSwitchToARemovedModel(t *testing.T) {
	sched := twoModels(900)
	now := demand(t, sched, 12, start)
	o, ok := sched.Order(now)
	require.True(t, ok && o.Unload)
	s := setup(4)
	s.Configuration = 2
	sched.Setup(s)
	_, ok = sched.Order(now)
	require.False(t, ok)
	sched.Enqueue(request(1, 1, now))
	replies := sched.Decide(now)
	require.Len(t, replies, 1)
	require.Equal(t, wire.GrantIssued, replies[0].Code)
}

func TestEngineDoesNotSwitch(t *testing.T) {
	tests := []struct {
		name    string
		otherMB float64 // MB
		own     int     // requests for its own model within the second
		times   int     // requests for the other model
	}{
		{"little demand", 900, 0, 4},
		{"it serves as much itself", 900, 10, 12},
		{"there is room for both", 50, 0, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sched := twoModels(test.otherMB)
			now := demand(t, sched, test.times, start)
			for id := range RequestID(test.own) {
				sched.Enqueue(request(id+1, 1, now))
				sched.Decide(now)
				sched.Withdraw(id+1, now)
			}
			o, ok := sched.Order(now)
			require.False(t, ok && o.Unload)
			require.Empty(t, sched.switchTo)
		})
	}
}
