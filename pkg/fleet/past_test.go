package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Records come again after newer ones, from a store that is behind or has returned from an
// older copy (load pattern: targets that leave, start again under the same name, or expire
// though they are alive).
func TestOlderRecordsDoNotBringTargetsBack(t *testing.T) {
	record := func(startMS int64, heartbeat uint64, draining bool) Target {
		t := target("a", "1:1")
		t.StartMS, t.Heartbeat, t.Draining = startMS, heartbeat, draining
		return t
	}
	put := func(t Target) func(*View) { return func(v *View) { v.Put(t) } }
	list := func(t Target) func(*View) { return func(v *View) { v.Replace([]Target{t}, now) } }
	remove := func(v *View) { v.Remove("a", now) }
	for _, test := range []struct {
		name  string
		steps []func(*View)
		want  []int64 // start time of the usable process, if any
	}{
		{"ready", []func(*View){put(record(1, 1, false))}, []int64{1}},
		{"an older record", []func(*View){put(record(1, 5, true)), put(record(1, 3, false))}, nil},
		{"draining is final", []func(*View){put(record(1, 5, true)), put(record(1, 7, false))}, nil},
		{"draining in an older record", []func(*View){put(record(1, 5, false)), put(record(1, 3, true))}, nil},
		{"gone, then listed again", []func(*View){put(record(1, 5, false)), remove, put(record(1, 5, false))}, nil},
		{"gone, then alive", []func(*View){put(record(1, 5, false)), remove, put(record(1, 6, false))}, []int64{1}},
		{"gone twice", []func(*View){put(record(1, 5, false)), remove, put(record(1, 6, false)), remove, put(record(1, 6, false))}, nil},
		{"drained and gone, then listed again", []func(*View){put(record(1, 5, true)), remove, put(record(1, 6, false))}, nil},
		{"started again", []func(*View){put(record(1, 5, true)), put(record(2, 1, false))}, []int64{2}},
		{"gone and started again", []func(*View){put(record(1, 5, true)), remove, put(record(2, 1, false))}, []int64{2}},
		{"started again at an earlier time of day", []func(*View){put(record(3, 5, false)), put(record(2, 1, false))}, []int64{2}},
		{"the process before", []func(*View){put(record(1, 5, false)), put(record(2, 1, false)), put(record(1, 9, false))}, []int64{2}},
		{"the process before, after the end", []func(*View){put(record(1, 5, false)), put(record(2, 1, false)), remove, put(record(1, 9, false))}, nil},
		{"a late record of a process before, unseen", []func(*View){put(record(2, 1, false)), put(record(1, 9, false)), put(record(2, 2, false))}, []int64{2}},
		{"a late record of a process before, then it drains", []func(*View){put(record(2, 1, false)), put(record(1, 9, false)), put(record(2, 2, true))}, nil},
		{"it drains, then a late record of a process before", []func(*View){put(record(2, 2, true)), put(record(1, 9, false))}, nil},
		{"a late record of the process before, which a clock put later", []func(*View){put(record(3, 5, false)), put(record(2, 1, false)), put(record(3, 9, false)), put(record(2, 2, false))}, []int64{2}},
		{"gone, then a late record of a process before, unseen", []func(*View){put(record(2, 2, false)), remove, put(record(1, 9, false))}, nil},
		{"drained and gone, then a late record of a process before, unseen", []func(*View){put(record(2, 2, true)), remove, put(record(1, 9, false))}, nil},
		{"gone, then a late record of a process before, listed", []func(*View){put(record(2, 2, false)), remove, list(record(1, 9, false))}, nil},
		{"gone, then started again at an earlier time of day", []func(*View){put(record(2, 2, false)), remove, put(record(1, 1, false)), put(record(1, 2, false))}, []int64{1}},
		{"it drains, then a late record of the process before, which a clock put later", []func(*View){put(record(3, 5, false)), put(record(2, 1, true)), put(record(3, 9, false))}, nil},
		{"a late record of a process before that drained", []func(*View){put(record(2, 1, false)), put(record(1, 9, true)), put(record(2, 2, false)), put(record(2, 3, false))}, []int64{2}},
		{"the same record again", []func(*View){put(record(2, 1, false)), put(record(1, 9, false)), put(record(2, 1, false))}, []int64{1}},
		{"neither start nor heartbeat is known", []func(*View){put(record(0, 0, false)), remove, put(record(0, 0, false))}, []int64{0}},
		{"the heartbeat is not known", []func(*View){put(record(1, 0, false)), remove, put(record(1, 0, false))}, []int64{1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := New()
			for _, step := range test.steps {
				step(v)
			}
			var got []int64
			for _, usable := range v.Available("s") {
				got = append(got, usable.StartMS)
			}
			require.Equal(t, test.want, got)
		})
	}
}

// The memory of targets that have left is bounded, and forgets the oldest first.
func TestPastTargetsAreBounded(t *testing.T) {
	p := newPastTargets()
	for i := range 3 * maxPastTargets {
		gone := target("a", "1:1")
		gone.Instance, gone.StartMS = ident.Target(rune(i+1)), 1
		p.add(gone)
	}
	require.LessOrEqual(t, len(p.newer)+len(p.older), 2*maxPastTargets)
	last := target("a", "1:1")
	last.Instance, last.StartMS, last.Draining = ident.Target(rune(3*maxPastTargets)), 1, true
	p.add(last)
	require.True(t, p.contains(last, Target{}, false))
	for start := range int64(3 * maxPastProcesses) {
		again := last
		again.StartMS = start + 1
		p.add(again)
	}
	require.LessOrEqual(t, len(p.processes(last.Instance)), maxPastProcesses)
}

// TestHeartbeatsDoNotRebuildTheView guards against work for each heartbeat that grows with
// the number of targets.
func TestHeartbeatsDoNotRebuildTheView(t *testing.T) {
	v := New()
	for i := range 200 {
		v.Put(Target{Instance: ident.Target(fmt.Sprint(i)), Service: "s", Address: fmt.Sprint(i), StartMS: 1, Heartbeat: 1})
	}
	beat := Target{Instance: "7", Service: "s", Address: "7", StartMS: 1, Heartbeat: 1}
	require.Zero(t, testing.AllocsPerRun(100, func() {
		beat.Heartbeat++
		v.Put(beat)
	}))
	older := beat
	older.Heartbeat, older.Slots = 1, 9
	v.Put(older)
	known, _ := v.Find("7")
	require.Equal(t, beat, known, "the newest heartbeat counts")
}
