package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

// FaultKind names a kind of fault.
type FaultKind string

// fault is one kind of fault. begin strikes and returns what ends it; nil if
// nothing is left to end.
type fault struct {
	kind    FaultKind
	planned bool
	lasts   time.Duration // at most
	begin   func(d *deployment, random *rand.Rand) (end func() error, err error)
}

// faults are the kinds, in a fixed order: a seed draws among them.
var faults = []fault{
	{"process-killed", false, 0, signal(syscall.SIGKILL, 0)},
	{"process-paused", false, 5 * time.Second, signal(syscall.SIGSTOP, syscall.SIGCONT)},
	{"process-stopped", true, 0, signal(syscall.SIGTERM, 0)},
	{"settings-signal", true, 0, signal(syscall.SIGHUP, 0)},
	{"all-killed", false, 0, killAll},
	{"process-link-cut", false, 4 * time.Second, processLink(standin.LinkCut)},
	{"process-link-silent", false, 4 * time.Second, processLink(standin.LinkStall)},
	{"process-link-one-way", false, 4 * time.Second, processLink(standin.LinkOneWay)},
	{"process-link-slow", false, 4 * time.Second, processLink(standin.LinkDelay)},
	{"process-link-reset", false, 0, processReset},
	{"target-link-cut", false, 4 * time.Second, targetLink(standin.LinkCut)},
	{"target-link-silent", false, 4 * time.Second, targetLink(standin.LinkStall)},
	{"target-link-one-way", false, 4 * time.Second, targetLink(standin.LinkOneWay)},
	{"target-link-reset", false, 0, targetReset},
	{"store-down", false, 5 * time.Second, storeFault(standin.ObjectFaults{Outage: true})},
	{"store-slow", false, 5 * time.Second, storeFault(standin.ObjectFaults{DelayMS: 250})},
	{"store-forgets", false, 0, forget},
	{"target-crashes", false, 2 * time.Second, crash},
	{"target-fails", false, 4 * time.Second, targetFault(standin.WorkerFaults{FailShare: 0.4})},
	{"target-cuts-answers", false, 4 * time.Second, targetFault(standin.WorkerFaults{CutShare: 0.3})},
	{"target-mute", false, 4 * time.Second, targetFault(standin.WorkerFaults{MuteShare: 0.3})},
	{"target-sheds", false, 4 * time.Second, targetFault(standin.WorkerFaults{ShedShare: 0.4})},
	{"target-answers-twice", false, 4 * time.Second, targetFault(standin.WorkerFaults{ExtraShare: 0.3})},
	{"target-replaced", true, 4500 * time.Millisecond, replace},
	{"configuration-changes", true, 0, changeConfiguration},
	{"version-announced", true, 0, announceVersion},
}

func drawProcess(d *deployment, random *rand.Rand) *process {
	return d.processes[random.IntN(len(d.processes))]
}

func drawTarget(d *deployment, random *rand.Rand) *target {
	return d.targets[random.IntN(len(d.targets))]
}

func (d *deployment) kill(p *process, s syscall.Signal) error {
	pid, err := d.pid(p)
	if err != nil {
		return errors.Trace(err)
	}
	if err := syscall.Kill(pid, s); err != nil && !errors.Is(err, syscall.ESRCH) { // it may be starting again
		return errors.Annotatef(err, "signal to %s", p.name)
	}
	return nil
}

func signal(begin, end syscall.Signal) func(*deployment, *rand.Rand) (func() error, error) {
	return func(d *deployment, random *rand.Rand) (func() error, error) {
		p := drawProcess(d, random)
		err := d.kill(p, begin)
		if end == 0 {
			return nil, err
		}
		return func() error { return d.kill(p, end) }, err
	}
}

func killAll(d *deployment, _ *rand.Rand) (func() error, error) {
	for _, p := range d.processes {
		if err := d.kill(p, syscall.SIGKILL); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

func processLink(m standin.LinkMode) func(*deployment, *rand.Rand) (func() error, error) {
	return func(d *deployment, random *rand.Rand) (func() error, error) {
		p := drawProcess(d, random)
		link := p.links[random.IntN(len(p.links))]
		link.SetMode(m)
		return func() error { link.SetMode(standin.LinkOpen); return nil }, nil
	}
}

func processReset(d *deployment, random *rand.Rand) (func() error, error) {
	for _, link := range drawProcess(d, random).links {
		link.Reset()
	}
	return nil, nil
}

func targetLink(m standin.LinkMode) func(*deployment, *rand.Rand) (func() error, error) {
	return func(d *deployment, random *rand.Rand) (func() error, error) {
		t := drawTarget(d, random)
		t.link.SetMode(m)
		return func() error { t.link.SetMode(standin.LinkOpen); return nil }, nil
	}
}

func targetReset(d *deployment, random *rand.Rand) (func() error, error) {
	drawTarget(d, random).link.Reset()
	return nil, nil
}

func storeFault(f standin.ObjectFaults) func(*deployment, *rand.Rand) (func() error, error) {
	return func(d *deployment, _ *rand.Rand) (func() error, error) {
		d.store.SetFaults(f)
		return func() error { d.store.SetFaults(standin.ObjectFaults{}); return nil }, nil
	}
}

func forget(d *deployment, _ *rand.Rand) (func() error, error) {
	d.store.Forget()
	return nil, nil
}

func targetFault(f standin.WorkerFaults) func(*deployment, *rand.Rand) (func() error, error) {
	return func(d *deployment, random *rand.Rand) (func() error, error) {
		t := drawTarget(d, random)
		t.SetFaults(f)
		return func() error { t.SetFaults(standin.WorkerFaults{}); return nil }, nil
	}
}

// errSkipped says that a fault does not fit what the drawn target does now.
const errSkipped = errors.ConstError("target is down or leaves already")

// crash ends a target without a word. It starts again under another name.
func crash(d *deployment, random *rand.Rand) (func() error, error) {
	t := drawTarget(d, random)
	if !t.leaves.CompareAndSwap(false, true) {
		return nil, errSkipped
	}
	name := string(t.Instance())
	if err := t.server.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return func() error {
		d.store.Withdraw(platform.KindTargets, name)
		return d.again(t)
	}, nil
}

// replace lets a target announce its end, serve on for a while, and makes room
// for its successor.
func replace(d *deployment, random *rand.Rand) (func() error, error) {
	t := drawTarget(d, random)
	if !t.leaves.CompareAndSwap(false, true) {
		return nil, errSkipped
	}
	name := t.Instance()
	t.SetDraining(true)
	if err := d.store.Publish(platform.KindTargets, string(name), t.Entry(t.shown)); err != nil {
		return nil, errors.Trace(err)
	}
	d.oracle.Leaves(name, time.Now())
	return func() error {
		d.store.Withdraw(platform.KindTargets, string(name))
		ctx, cancel := context.WithTimeout(context.Background(), replaceLinger)
		defer cancel()
		if err := t.server.Shutdown(ctx); err != nil {
			return errors.Trace(err)
		}
		return d.again(t)
	}, nil
}

// replaceLinger is how long a leaving target finishes what it runs.
const replaceLinger = 5 * time.Second

func changeConfiguration(d *deployment, random *rand.Rand) (func() error, error) {
	return nil, d.configure(fmt.Sprintf("/added-%d/", random.Uint32()))
}

func announceVersion(d *deployment, random *rand.Rand) (func() error, error) {
	return nil, d.announce(drawAdapter(random))
}

// Counts are the faults of a run by kind, and by the pairs that struck at once.
type Counts struct {
	Kinds map[FaultKind]int
	Pairs map[[2]FaultKind]int
}

// begun counts a fault that strikes while others last.
func (c Counts) begun(k FaultKind, others map[FaultKind]int) {
	c.Kinds[k]++
	for other, n := range others {
		if n > 0 {
			pair := []string{string(k), string(other)}
			sort.Strings(pair)
			c.Pairs[[2]FaultKind{FaultKind(pair[0]), FaultKind(pair[1])}]++
		}
	}
}
