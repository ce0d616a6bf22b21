package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

var start = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func newRequest(attempt ident.Attempt, idempotent bool) Request {
	return Request{Attempt: attempt, Service: draftService, Adapter: "a1", Idempotent: idempotent, At: at(10)}
}

func runEvent(attempt ident.Attempt, seconds float64) standin.WorkerEvent {
	return standin.WorkerEvent{
		Kind: standin.WorkerRan, At: at(seconds), Instance: "i-1", Service: draftService, Attempt: attempt,
		Adapter: ident.AdapterVersion{Adapter: "a1", Version: 1}, RequestedAdapter: "a1",
	}
}

// recordMove records a stream that goes on at a second engine, and the end of its run at
// the first one, unless that is 0.
func recordMove(o *Oracle, moved, ended float64) {
	o.RecordRequest(newRequest("1", true))
	o.RecordEvent(runEvent("1", 10))
	second := runEvent("1", moved)
	second.Instance = "i-2"
	o.RecordEvent(second)
	if ended > 0 {
		e := runEvent("1", ended)
		e.Kind = standin.WorkerEnded
		o.RecordEvent(e)
	}
	o.RecordAnswer("1", Answer{Status: 200, Complete: true, Correct: true})
}

// recordSoftware records a stream that software v1 begins and another engine continues, in the
// same attempt or in one that takes it up.
func recordSoftware(o *Oracle, attempt ident.Attempt, software ident.Software) {
	o.RecordRequest(newRequest("1", true))
	first := runEvent("1", 10)
	first.Software = "v1"
	o.RecordEvent(first)
	first.Kind, first.At = standin.WorkerEnded, at(11)
	o.RecordEvent(first)
	if attempt != "1" {
		r := newRequest(attempt, true)
		r.Resumes = "1"
		o.RecordRequest(r)
	}
	rest := runEvent(attempt, 12)
	rest.Instance, rest.Resumed, rest.Software = "i-2", true, software
	o.RecordEvent(rest)
}

// recordCrashes records ends of targets under one part of prompts: five at once, and the
// others ten seconds later.
func recordCrashes(o *Oracle, n int) {
	r := newRequest("1", true)
	r.DeadlyPart = "p"
	o.RecordRequest(r)
	o.RecordAnswer("1", Answer{})
	for i := range n {
		e := runEvent("1", 10)
		e.Kind = standin.WorkerCrashed
		if i >= evidentCrashes {
			e.At = at(20)
		}
		o.RecordEvent(e)
	}
}

// recordDeadly records a request that ends three targets in the second before a time, and n
// sends of it later than it may reach targets.
func recordDeadly(o *Oracle, third float64, n int) {
	r := newRequest("1", true)
	r.Deadly = "/deadly-1/"
	o.RecordRequest(r)
	o.RecordAnswer("1", Answer{})
	for i := range 3 + n {
		e := runEvent("1", third-float64(2-i)/2)
		if e.Instance = ident.Target(fmt.Sprintf("i-%d", i)); i >= 3 {
			e.At = at(third + 5)
		}
		o.RecordEvent(e)
		e.Kind = standin.WorkerEnded
		o.RecordEvent(e)
		e.Kind = standin.WorkerCrashed
		o.RecordEvent(e)
	}
}

// recordLimited records requests that a target turns away which has stated since second 5
// that it takes one request per second.
func recordLimited(o *Oracle, n int, from, every float64) {
	for i := range n {
		e := runEvent("1", from+float64(i)*every)
		e.Kind, e.Limit, e.LimitedSince = standin.WorkerRejected, 1, at(5)
		o.RecordEvent(e)
	}
}

// TestOracleDetectsViolations checks that the oracle reports exactly the guarantee
// that a history violates, and nothing for a history that violates none.
func TestOracleDetectsViolations(t *testing.T) {
	correct := Answer{Status: 200, Complete: true, Correct: true}
	tests := []struct {
		name     string
		planned  bool
		history  func(o *Oracle)
		violated []Guarantee
	}{
		{"no violation", true, func(o *Oracle) {
			o.RecordRequest(newRequest("1", false))
			o.RecordEvent(runEvent("1", 10))
			o.RecordAnswer("1", correct)
		}, nil},
		{"response to another request", false, func(o *Oracle) {
			o.RecordRequest(newRequest("1", false))
			o.RecordEvent(runEvent("1", 10))
			o.RecordAnswer("1", Answer{Status: 200, Complete: true})
		}, []Guarantee{GuaranteeCompleteAnswer}},
		{"response that no target sent", false, func(o *Oracle) {
			o.RecordRequest(newRequest("1", false))
			o.RecordAnswer("1", correct)
		}, []Guarantee{GuaranteeCompleteAnswer}},
		{"goes on at its software version", false, func(o *Oracle) { recordSoftware(o, "1", "v1") }, nil},
		{"goes on at another software version", false, func(o *Oracle) { recordSoftware(o, "1", "v2") }, []Guarantee{GuaranteeSoftware}},
		{"is taken up at its software version", false, func(o *Oracle) { recordSoftware(o, "2", "v1") }, nil},
		{"is taken up at another software version", false, func(o *Oracle) { recordSoftware(o, "2", "v2") }, []Guarantee{GuaranteeSoftware}},
		{"goes on while the engine before still runs it", false, func(o *Oracle) { recordMove(o, 12, 13.5) }, []Guarantee{GuaranteeOneEngine}},
		{"goes on and the engine before never ends it", false, func(o *Oracle) { recordMove(o, 12, 0) }, []Guarantee{GuaranteeOneEngine}},
		{"goes on once the engine before has ended it", false, func(o *Oracle) { recordMove(o, 12, 11.9) }, nil},
		{"goes on while a cut engine still runs it", false, func(o *Oracle) {
			o.RecordFault(at(8), true)(at(9.5))
			recordMove(o, 12, 20)
		}, nil},
		{"goes on while the engine before still runs it, beside an outage of the store", false, func(o *Oracle) {
			o.RecordFault(at(8), false)(at(15))
			recordMove(o, 12, 20)
		}, []Guarantee{GuaranteeOneEngine}},
		{"requests that end targets go on", false, func(o *Oracle) { recordCrashes(o, 9) }, []Guarantee{GuaranteeCrashes}},
		{"requests that end targets are stopped", false, func(o *Oracle) { recordCrashes(o, 8) }, nil},
		{"a request that ends targets goes on", false, func(o *Oracle) { recordDeadly(o, 10, 4) }, []Guarantee{GuaranteeCrashBudget}},
		{"a request that ends targets is refused", false, func(o *Oracle) { recordDeadly(o, 10, 3) }, nil},
		{"a request that ends targets goes on after an outage of the store", false, func(o *Oracle) {
			o.RecordFault(at(1), false)(at(5))
			o.recordCut(at(1), true)(at(5))
			recordDeadly(o, 10, 4)
		}, []Guarantee{GuaranteeCrashBudget}},
		{"a request that ends targets goes on soon after an outage of the store", false, func(o *Oracle) {
			o.recordCut(at(8), true)(at(9))
			recordDeadly(o, 10, 4)
		}, nil},
		{"more requests than a target states", false, func(o *Oracle) { recordLimited(o, 12, 10, 0.3) }, []Guarantee{GuaranteeLimit}},
		{"as many as are allowed", false, func(o *Oracle) { recordLimited(o, 11, 10, 0.3) }, nil},
		{"more over a longer time", false, func(o *Oracle) { recordLimited(o, 20, 10, 0.4) }, nil},
		{"more before the limit has to be known", false, func(o *Oracle) { recordLimited(o, 40, 5, 0.09) }, nil},
		{"request that no caller sent", false, func(o *Oracle) { o.RecordEvent(runEvent("7", 10)) }, []Guarantee{GuaranteeCompleteAnswer}},
		{"non-idempotent request runs twice", false, func(o *Oracle) {
			o.RecordRequest(newRequest("1", false))
			o.RecordEvent(runEvent("1", 10))
			e := runEvent("1", 10.5)
			e.Kind = standin.WorkerEnded
			o.RecordEvent(e)
			o.RecordEvent(runEvent("1", 11))
		}, []Guarantee{GuaranteeAtMostOnce}},
		{"idempotent request runs twice, one run after the other", false, func(o *Oracle) { recordMove(o, 11, 10.5) }, nil},
		{"idempotent plain request runs twice at once", false, func(o *Oracle) {
			r := newRequest("1", true)
			r.Adapter, r.Service = "", deskService
			o.RecordRequest(r)
			for _, s := range []float64{10, 11} {
				e := runEvent("1", s)
				e.Service, e.Adapter = deskService, ident.AdapterVersion{}
				o.RecordEvent(e)
			}
		}, nil},
		{"refused request runs later", false, func(o *Oracle) {
			o.RecordRequest(newRequest("1", false))
			o.RecordAnswer("1", Answer{Status: 503, Complete: true})
			o.RecordEvent(runEvent("1", 12))
		}, []Guarantee{GuaranteeNotRun}},
		{"wrong adapter", false, func(o *Oracle) {
			o.RecordRequest(newRequest("1", false))
			e := runEvent("1", 10)
			e.Adapter.Adapter = "a2"
			o.RecordEvent(e)
		}, []Guarantee{GuaranteeAdapter}},
		{"wrong service", false, func(o *Oracle) {
			o.RecordRequest(newRequest("1", false))
			e := runEvent("1", 10)
			e.Service = deskService
			o.RecordEvent(e)
		}, []Guarantee{GuaranteeService}},
		{"old version 7 s after the new one", false, func(o *Oracle) {
			o.RecordRequest(newRequest("1", false))
			o.RecordVersion(ident.AdapterVersion{Adapter: "a1", Version: 2}, at(3))
			o.RecordEvent(runEvent("1", 10))
		}, []Guarantee{GuaranteeVersion}},
		{"old version 4 s after the new one", false, func(o *Oracle) {
			o.RecordRequest(newRequest("1", false))
			o.RecordVersion(ident.AdapterVersion{Adapter: "a1", Version: 2}, at(6))
			o.RecordEvent(runEvent("1", 10))
		}, nil},
		{"old version soon after a fault", false, func(o *Oracle) {
			o.RecordRequest(newRequest("1", false))
			o.RecordFault(at(0), true)(at(1))
			o.RecordVersion(ident.AdapterVersion{Adapter: "a1", Version: 2}, at(3))
			o.RecordEvent(runEvent("1", 10))
		}, nil},
		{"draining target gets a request", false, func(o *Oracle) {
			o.RecordRequest(newRequest("1", false))
			o.RecordDraining("i-1", at(6))
			o.RecordEvent(runEvent("1", 10))
		}, []Guarantee{GuaranteeDraining}},
		{"adapter in use is evicted", false, func(o *Oracle) {
			o.RecordEvent(standin.WorkerEvent{Kind: standin.WorkerEvictedInUse, Instance: "i-1"})
		}, []Guarantee{GuaranteePinned}},
		{"engine without a free slot gets a load order", false, func(o *Oracle) {
			o.RecordEvent(standin.WorkerEvent{Kind: standin.WorkerOvercommitted, Instance: "i-1"})
		}, []Guarantee{GuaranteeAdapterSlots}},
		{"two processes send orders to an engine", false, func(o *Oracle) {
			o.RecordEvent(standin.WorkerEvent{Kind: standin.WorkerOrderAccepted, Instance: "i-1", Holder: "vm-1"})
			o.RecordEvent(standin.WorkerEvent{Kind: standin.WorkerOrderAccepted, Instance: "i-1", Holder: "vm-2"})
		}, []Guarantee{GuaranteeSoleHolder}},
		{"response incomplete during a planned run", true, func(o *Oracle) {
			o.RecordRequest(newRequest("1", false))
			o.RecordEvent(runEvent("1", 10))
			o.RecordAnswer("1", Answer{Status: 200})
		}, []Guarantee{GuaranteePlannedStop}},
		{"caller disconnects during a planned run", true, func(o *Oracle) {
			o.RecordRequest(newRequest("1", false))
			o.RecordEvent(runEvent("1", 10))
			o.RecordAnswer("1", Answer{Disconnected: true})
		}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := NewOracle()
			test.history(o)
			var violated []Guarantee
			for _, v := range o.Check(test.planned) {
				violated = append(violated, v.Guarantee)
			}
			require.Equal(t, test.violated, violated)
		})
	}
}

func TestServedIgnoresDisconnectedCallers(t *testing.T) {
	o := NewOracle()
	for i, a := range []Answer{{Status: 200, Complete: true, Correct: true}, {Status: 503, Complete: true}, {Disconnected: true}} {
		attempt := ident.Attempt(rune('1' + i))
		o.RecordRequest(newRequest(attempt, true))
		o.RecordAnswer(attempt, a)
	}
	sent, served := o.Served(at(0), at(20))
	require.Equal(t, [2]int{2, 1}, [2]int{sent, served})
	sent, _ = o.Served(at(11), at(20))
	require.Zero(t, sent)
}
