package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

var start = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func asked(attempt ident.Attempt, idempotent bool) Request {
	return Request{Attempt: attempt, Service: draftService, Adapter: "a1", Idempotent: idempotent, At: at(10)}
}

func ran(attempt ident.Attempt, seconds float64) standin.WorkerEvent {
	return standin.WorkerEvent{
		Kind: standin.WorkerRan, At: at(seconds), Instance: "i-1", Service: draftService, Attempt: attempt,
		Adapter: ident.AdapterVersion{Adapter: "a1", Version: 1}, Named: "a1",
	}
}

// Each promise has a history that breaks it, and the oracle must find just that.
func TestOracleFindsBrokenPromises(t *testing.T) {
	whole := Answer{Status: 200, Whole: true, Right: true}
	tests := []struct {
		name    string
		planned bool
		history func(o *Oracle)
		broken  []Promise
	}{
		{"all well", true, func(o *Oracle) {
			o.Asked(asked("1", false))
			o.Saw(ran("1", 10))
			o.Answered("1", whole)
		}, nil},
		{"another request's answer", false, func(o *Oracle) {
			o.Asked(asked("1", false))
			o.Saw(ran("1", 10))
			o.Answered("1", Answer{Status: 200, Whole: true})
		}, []Promise{PromiseWhole}},
		{"an answer that no target made", false, func(o *Oracle) {
			o.Asked(asked("1", false))
			o.Answered("1", whole)
		}, []Promise{PromiseWhole}},
		{"a request that no caller sent", false, func(o *Oracle) { o.Saw(ran("7", 10)) }, []Promise{PromiseWhole}},
		{"run twice", false, func(o *Oracle) {
			o.Asked(asked("1", false))
			o.Saw(ran("1", 10))
			o.Saw(ran("1", 11))
		}, []Promise{PromiseOnce}},
		{"idempotent and run twice", false, func(o *Oracle) {
			o.Asked(asked("1", true))
			o.Saw(ran("1", 10))
			o.Saw(ran("1", 11))
		}, nil},
		{"refused and run later", false, func(o *Oracle) {
			o.Asked(asked("1", false))
			o.Answered("1", Answer{Status: 503, Whole: true})
			o.Saw(ran("1", 12))
		}, []Promise{PromiseNotRun}},
		{"another adapter", false, func(o *Oracle) {
			o.Asked(asked("1", false))
			e := ran("1", 10)
			e.Adapter.Adapter = "a2"
			o.Saw(e)
		}, []Promise{PromiseAdapter}},
		{"another service", false, func(o *Oracle) {
			o.Asked(asked("1", false))
			e := ran("1", 10)
			e.Service = deskService
			o.Saw(e)
		}, []Promise{PromiseService}},
		{"an old version, 7 s after the newer one", false, func(o *Oracle) {
			o.Asked(asked("1", false))
			o.Announced(ident.AdapterVersion{Adapter: "a1", Version: 2}, at(3))
			o.Saw(ran("1", 10))
		}, []Promise{PromiseVersion}},
		{"an old version, 4 s after the newer one", false, func(o *Oracle) {
			o.Asked(asked("1", false))
			o.Announced(ident.AdapterVersion{Adapter: "a1", Version: 2}, at(6))
			o.Saw(ran("1", 10))
		}, nil},
		{"an old version while a fault lasts", false, func(o *Oracle) {
			o.Asked(asked("1", false))
			o.Fault(at(0))(at(1))
			o.Announced(ident.AdapterVersion{Adapter: "a1", Version: 2}, at(3))
			o.Saw(ran("1", 10))
		}, nil},
		{"a leaving target", false, func(o *Oracle) {
			o.Asked(asked("1", false))
			o.Leaves("i-1", at(6))
			o.Saw(ran("1", 10))
		}, []Promise{PromiseLeaving}},
		{"an adapter in use", false, func(o *Oracle) {
			o.Saw(standin.WorkerEvent{Kind: standin.WorkerEvicted, Instance: "i-1"})
		}, []Promise{PromisePinned}},
		{"an engine that is full", false, func(o *Oracle) {
			o.Saw(standin.WorkerEvent{Kind: standin.WorkerOverfilled, Instance: "i-1"})
		}, []Promise{PromisePlaces}},
		{"orders from two processes", false, func(o *Oracle) {
			o.Saw(standin.WorkerEvent{Kind: standin.WorkerOrdered, Instance: "i-1", Holder: "vm-1"})
			o.Saw(standin.WorkerEvent{Kind: standin.WorkerOrdered, Instance: "i-1", Holder: "vm-2"})
		}, []Promise{PromiseHolder}},
		{"an answer that broke off during planned work", true, func(o *Oracle) {
			o.Asked(asked("1", false))
			o.Saw(ran("1", 10))
			o.Answered("1", Answer{Status: 200})
		}, []Promise{PromisePlanned}},
		{"a caller that left during planned work", true, func(o *Oracle) {
			o.Asked(asked("1", false))
			o.Saw(ran("1", 10))
			o.Answered("1", Answer{Left: true})
		}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := NewOracle()
			test.history(o)
			var broken []Promise
			for _, v := range o.Check(test.planned) {
				broken = append(broken, v.Promise)
			}
			require.Equal(t, test.broken, broken)
		})
	}
}

func TestServedLeavesOutCallersThatLeft(t *testing.T) {
	o := NewOracle()
	for i, a := range []Answer{{Status: 200, Whole: true, Right: true}, {Status: 503, Whole: true}, {Left: true}} {
		attempt := ident.Attempt(rune('1' + i))
		o.Asked(asked(attempt, true))
		o.Answered(attempt, a)
	}
	all, served := o.Served(at(0), at(20))
	require.Equal(t, [2]int{2, 1}, [2]int{all, served})
	all, _ = o.Served(at(11), at(20))
	require.Zero(t, all)
}
