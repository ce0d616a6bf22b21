package soak

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

// recordKeyed records a request with the key k-1 of account a, which is sent at second 10
// and runs if it is answered with success, and its answer.
func recordKeyed(o *Oracle, status int, change func(r *Request, e *standin.WorkerEvent)) {
	r := newRequest("1", true)
	r.NeedsKey, r.Key, r.Account = true, "k-1", "a"
	e := runEvent("1", 10.2)
	e.Account = "a"
	change(&r, &e)
	o.RecordRequest(r)
	if status < 300 {
		o.RecordEvent(e)
	}
	o.RecordAnswer("1", Answer{Status: status, Complete: true, Correct: status < 300})
}

// TestOracleDetectsViolationsOfKeys checks that the oracle reports a system that forwards
// keys, tells wrong accounts, or serves or refuses the wrong requests.
func TestOracleDetectsViolationsOfKeys(t *testing.T) {
	removedAt := func(s float64) func(o *Oracle) { return func(o *Oracle) { o.RecordKeyRemoved("k-1", at(s)) } }
	for _, test := range []struct {
		name     string
		before   func(o *Oracle)
		status   int
		change   func(r *Request, e *standin.WorkerEvent)
		violated []Guarantee
	}{
		{"a served request", nil, 200, func(*Request, *standin.WorkerEvent) {}, nil},
		{"its key is forwarded", nil, 200, func(_ *Request, e *standin.WorkerEvent) { e.HasKey = true }, []Guarantee{GuaranteeKeySecret}},
		{"another account is told", nil, 200, func(_ *Request, e *standin.WorkerEvent) { e.Account = "b" }, []Guarantee{GuaranteeAccount}},
		{"two accounts are told", nil, 200, func(_ *Request, e *standin.WorkerEvent) { e.Account = "a,b" }, []Guarantee{GuaranteeAccount}},
		{"none is told", nil, 200, func(_ *Request, e *standin.WorkerEvent) { e.Account = "" }, []Guarantee{GuaranteeAccount}},
		{"one is told on a public route", nil, 200, func(r *Request, _ *standin.WorkerEvent) { r.NeedsKey = false }, []Guarantee{GuaranteeAccount}},
		{"none is told on a public route", nil, 200, func(r *Request, e *standin.WorkerEvent) { r.NeedsKey, e.Account = false, "" }, nil},
		{"an unknown key runs", nil, 200, func(r *Request, e *standin.WorkerEvent) { r.Account, e.Account = "", "" }, []Guarantee{GuaranteeKnownKey}},
		{"a removed key runs after 4.9 s", removedAt(5.1), 200, func(*Request, *standin.WorkerEvent) {}, nil},
		{"a removed key runs after 5.1 s", removedAt(4.9), 200, func(*Request, *standin.WorkerEvent) {}, []Guarantee{GuaranteeRevocation}},
		{"it was sent in time and runs later", removedAt(5.1), 200, func(_ *Request, e *standin.WorkerEvent) { e.At = at(11) }, nil},
		{"the removal was lost", func(o *Oracle) {
			removedAt(3)(o)
			o.RecordLoss(at(6))
			removedAt(6.4)(o)
		}, 200, func(*Request, *standin.WorkerEvent) {}, nil},
		{"the removal was lost and written again 5.1 s before", func(o *Oracle) {
			removedAt(3)(o)
			o.RecordLoss(at(4))
			removedAt(4.9)(o)
		}, 200, func(*Request, *standin.WorkerEvent) {}, []Guarantee{GuaranteeRevocation}},
		{"a fault excuses no late run", func(o *Oracle) {
			removedAt(4.9)(o)
			o.RecordFault(at(1), true)
		}, 200, func(*Request, *standin.WorkerEvent) {}, []Guarantee{GuaranteeRevocation}},
		{"a key that is held is refused", func(o *Oracle) { o.RecordKeyAdded("k-1", at(6)) }, 401, func(*Request, *standin.WorkerEvent) {}, []Guarantee{GuaranteeValidKey}},
		{"a key that is new is refused", func(o *Oracle) { o.RecordKeyAdded("k-1", at(8)) }, 401, func(*Request, *standin.WorkerEvent) {}, nil},
		{"a key that is held is refused beside a fault", func(o *Oracle) {
			o.RecordKeyAdded("k-1", at(1))
			o.RecordFault(at(9), true)
		}, 401, func(*Request, *standin.WorkerEvent) {}, nil},
		{"a key that is not held is refused", func(o *Oracle) { o.RecordKeyAdded("k-1", at(1)) }, 401, func(r *Request, _ *standin.WorkerEvent) { r.Invalid = true }, nil},
		{"a public route refuses a key", func(o *Oracle) { o.RecordKeyAdded("k-1", at(1)) }, 401, func(r *Request, _ *standin.WorkerEvent) { r.NeedsKey = false }, []Guarantee{GuaranteeValidKey}},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := NewOracle()
			if test.before != nil {
				test.before(o)
			}
			recordKeyed(o, test.status, test.change)
			var violated []Guarantee
			for _, v := range o.Check(false) {
				violated = append(violated, v.Guarantee)
			}
			require.Equal(t, test.violated, violated)
		})
	}
}

// Guards against a share of served requests that counts those that are to be refused.
func TestServedIgnoresInvalidKeys(t *testing.T) {
	o := NewOracle()
	recordKeyed(o, 401, func(r *Request, _ *standin.WorkerEvent) { r.Invalid = true })
	sent, _ := o.Served(at(0), at(20))
	require.Zero(t, sent)
	require.Equal(t, ident.Account("a"), o.requests["1"].Account)
}
