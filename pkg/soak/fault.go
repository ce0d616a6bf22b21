package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

// FaultKind names a kind of fault.
type FaultKind string

// fault is one kind of fault. begin injects it and returns the function that ends
// it, or nil if there is nothing to end.
type fault struct {
	kind    FaultKind
	planned bool
	// isolates says that processes may not run, or not reach targets, while the fault acts.
	isolates    bool
	maxDuration time.Duration // exact duration if planned
	begin       func(d *deployment, random *rand.Rand) (end func() error, err error)
}

// faults lists the kinds in a fixed order, so that a seed always picks the same.
var faults = []fault{
	{"process-killed", false, true, 0, signalFault(syscall.SIGKILL, 0)},
	{"process-paused", false, true, 5 * time.Second, signalFault(syscall.SIGSTOP, syscall.SIGCONT)},
	{"process-stopped", true, true, 0, signalFault(syscall.SIGTERM, 0)},
	{"process-stopped-starting", true, true, 0, stopAgain},
	{"settings-signal", true, false, 0, signalFault(syscall.SIGHUP, 0)},
	{"all-killed", false, true, 0, killAll},
	{"process-link-cut", false, true, 4 * time.Second, processLinkFault(standin.LinkCut)},
	{"process-link-silent", false, true, 4 * time.Second, processLinkFault(standin.LinkStall)},
	{"process-link-one-way", false, true, 4 * time.Second, processLinkFault(standin.LinkOneWay)},
	{"process-link-slow", false, true, 4 * time.Second, processLinkFault(standin.LinkDelay)},
	{"process-link-reset", false, true, 0, resetProcessLinks},
	{"target-link-cut", false, true, 4 * time.Second, targetLinkFault(standin.LinkCut)},
	{"target-link-silent", false, true, 4 * time.Second, targetLinkFault(standin.LinkStall)},
	{"target-link-one-way", false, true, 4 * time.Second, targetLinkFault(standin.LinkOneWay)},
	{"target-link-reset", false, true, 0, resetTargetLink},
	{"store-down", false, false, 5 * time.Second, storeFault(standin.ObjectFaults{Outage: true})},
	{"store-slow", false, false, 5 * time.Second, storeFault(standin.ObjectFaults{DelayMS: 250})},
	{"store-forgets", false, false, 0, discardHistory},
	{"store-restored", false, false, 0, restoreStore},
	{"target-crashes", false, false, 2 * time.Second, crashTarget},
	{"prompt-part-ends-targets", false, false, 8 * time.Second, deadlyPromptPart},
	{"request-ends-targets", false, false, 12 * time.Second, sendDeadly(bookPrefix, lookPrefix)},
	{"stream-ends-targets", false, false, 12 * time.Second, sendDeadly(draftPrefix, notePrefix)},
	{"target-fails", true, false, 4 * time.Second, targetFault(standin.WorkerFaults{FailShare: 0.4})},
	{"target-slows", true, false, 4 * time.Second, targetFault(standin.WorkerFaults{EventDelay: 120 * time.Millisecond})},
	{"target-fails-at-length", false, false, 3 * time.Second, targetFault(standin.WorkerFaults{FailShare: 0.4, FailBytes: 6 << 20})},
	{"target-cuts-answers", false, false, 4 * time.Second, targetFault(standin.WorkerFaults{TruncateShare: 0.3})},
	{"target-mute", false, false, 4 * time.Second, targetFault(standin.WorkerFaults{NoResponseShare: 0.3})},
	{"target-states-limit", true, false, 10 * time.Second, limitTarget},
	{"target-sheds", false, false, 4 * time.Second, targetFault(standin.WorkerFaults{ShedShare: 0.4})},
	{"targets-refuse-late-twice", false, false, 4 * time.Second, refuseLateTwice},
	{"target-answers-twice", false, false, 4 * time.Second, targetFault(standin.WorkerFaults{DuplicateShare: 0.3})},
	{"target-answers-late-twice", false, false, 4 * time.Second, targetFault(standin.WorkerFaults{LateCopyShare: 0.3})},
	{"target-sends-without-end", false, false, 3 * time.Second, targetFault(standin.WorkerFaults{EndlessShare: 0.15})},
	{"target-ends-runs-late", false, false, 6 * time.Second, targetFault(standin.WorkerFaults{LateEndShare: 0.4})},
	{"target-clock-jumps", false, false, 6 * time.Second, jumpTargetClock},
	{"target-replaced", true, false, 4500 * time.Millisecond, replaceTarget},
	{"configuration-changes", true, false, 0, changeConfiguration},
	{"version-announced", true, false, 0, announceVersion},
	{"store-link-silent", false, false, 12 * time.Second, storeLinkFault(standin.LinkStall)},
	{"store-link-cut", false, false, 12 * time.Second, storeLinkFault(standin.LinkCut)},
}

func randomProcess(d *deployment, random *rand.Rand) *process {
	return d.processes[random.IntN(len(d.processes))]
}

func randomTarget(d *deployment, random *rand.Rand) *target {
	return d.targets[random.IntN(len(d.targets))]
}

func (d *deployment) sendSignal(p *process, s syscall.Signal) error {
	pid, err := d.pid(p)
	if err != nil {
		return errors.Trace(err)
	}
	if err := syscall.Kill(pid, s); err != nil && !errors.Is(err, syscall.ESRCH) { // the process may be restarting
		return errors.Annotatef(err, "send signal to %s", p.name)
	}
	return nil
}

func signalFault(begin, end syscall.Signal) func(*deployment, *rand.Rand) (func() error, error) {
	return func(d *deployment, random *rand.Rand) (func() error, error) {
		p := randomProcess(d, random)
		err := d.sendSignal(p, begin)
		if end == 0 {
			return nil, err
		}
		return func() error { return d.sendSignal(p, end) }, err
	}
}

// stopAgain stops a process, and the one that replaces it while that starts.
func stopAgain(d *deployment, random *rand.Rand) (func() error, error) {
	p := randomProcess(d, random)
	before, err := d.pid(p)
	if err != nil {
		return nil, err
	}
	wait := time.Duration(random.Int64N(int64(maxStartTime)))
	return func() error {
		for until := time.Now().Add(restartTime); time.Now().Before(until); time.Sleep(time.Millisecond) {
			if pid, err := d.pid(p); err == nil && pid != before {
				time.Sleep(wait)
				break
			}
		}
		return d.sendSignal(p, syscall.SIGTERM)
	}, d.sendSignal(p, syscall.SIGTERM)
}

const (
	// restartTime is how long a process may take to stop and to be started again.
	restartTime = 10 * time.Second
	// maxStartTime is how long a process takes to serve requests.
	maxStartTime = 400 * time.Millisecond
)

func killAll(d *deployment, _ *rand.Rand) (func() error, error) {
	for _, p := range d.processes {
		if err := d.sendSignal(p, syscall.SIGKILL); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

func processLinkFault(m standin.LinkMode) func(*deployment, *rand.Rand) (func() error, error) {
	return func(d *deployment, random *rand.Rand) (func() error, error) {
		p := randomProcess(d, random)
		link := p.links[random.IntN(len(p.links))]
		link.SetMode(m)
		return func() error { link.SetMode(standin.LinkOpen); return nil }, nil
	}
}

// storeLinkFault cuts a process off from the store alone, for longer than a removed key may
// be used.
func storeLinkFault(m standin.LinkMode) func(*deployment, *rand.Rand) (func() error, error) {
	return func(d *deployment, random *rand.Rand) (func() error, error) {
		link := randomProcess(d, random).links[0]
		link.SetMode(m)
		return func() error { link.SetMode(standin.LinkOpen); return nil }, nil
	}
}

func resetProcessLinks(d *deployment, random *rand.Rand) (func() error, error) {
	for _, link := range randomProcess(d, random).links {
		link.Reset()
	}
	return nil, nil
}

func targetLinkFault(m standin.LinkMode) func(*deployment, *rand.Rand) (func() error, error) {
	return func(d *deployment, random *rand.Rand) (func() error, error) {
		t := randomTarget(d, random)
		t.link.SetMode(m)
		return func() error { t.link.SetMode(standin.LinkOpen); return nil }, nil
	}
}

func resetTargetLink(d *deployment, random *rand.Rand) (func() error, error) {
	randomTarget(d, random).link.Reset()
	return nil, nil
}

func storeFault(f standin.ObjectFaults) func(*deployment, *rand.Rand) (func() error, error) {
	return func(d *deployment, _ *rand.Rand) (func() error, error) {
		d.store.SetFaults(f)
		return func() error { d.store.SetFaults(standin.ObjectFaults{}); return nil }, nil
	}
}

func discardHistory(d *deployment, _ *rand.Rand) (func() error, error) {
	d.store.DiscardHistory()
	return nil, nil
}

// maxCopyAge is the largest age of a copy that the store returns from.
const maxCopyAge = 5 * time.Second

// restoreStore makes the store return from an older copy. Its writers write again within
// half a second what it has lost, and records of targets that are gone expire later.
func restoreStore(d *deployment, random *rand.Rand) (func() error, error) {
	d.oracle.RecordLoss(time.Now())
	d.store.Restore(time.Duration(random.Int64N(int64(maxCopyAge))))
	time.AfterFunc(time.Duration(random.Int64N(int64(rewriteTime))), func() {
		if err := d.rewrite(); err != nil {
			d.oracle.RecordViolation(Violation{GuaranteeRoutes, "", err.Error()})
		}
	})
	time.AfterFunc(recordExpiry, d.withdrawGone)
	return nil, nil
}

const (
	// rewriteTime is how long the store's writers take to write again what it has lost.
	rewriteTime = 500 * time.Millisecond
	// recordExpiry is how long the record of a target outlives it.
	recordExpiry = 3600 * time.Millisecond
)

func targetFault(f standin.WorkerFaults) func(*deployment, *rand.Rand) (func() error, error) {
	return func(d *deployment, random *rand.Rand) (func() error, error) {
		t := randomTarget(d, random)
		t.SetFaults(f)
		return func() error { t.SetFaults(standin.WorkerFaults{}); return nil }, nil
	}
}

// limitTarget makes a target state a rate limit that is far below what it gets.
func limitTarget(d *deployment, random *rand.Rand) (func() error, error) {
	return targetFault(standin.WorkerFaults{Limit: 1 + 4*random.Float64()})(d, random)
}

// jumpTargetClock moves the wall clock of a target's VM ahead or back, and restarts the
// target, so that its start time contradicts the order of the starts at its address.
func jumpTargetClock(d *deployment, random *rand.Rand) (func() error, error) {
	t := randomTarget(d, random)
	offset := maxClockJump
	if random.IntN(2) == 0 {
		offset = -maxClockJump
	}
	if !t.stopping.CompareAndSwap(false, true) {
		return nil, errTargetStopping
	}
	name := string(t.Instance())
	if err := t.close(); err != nil {
		return nil, errors.Trace(err)
	}
	t.SetClockOffset(offset)
	if err := d.restartTarget(t); err != nil {
		return nil, errors.Trace(err)
	}
	return func() error {
		t.SetClockOffset(0)
		d.store.Withdraw(platform.KindTargets, name) // its record outlives it by a while
		return nil
	}, nil
}

// maxClockJump is how far a clock jumps.
const maxClockJump = 30 * time.Second

// errTargetStopping means that the fault cannot be injected: the picked target is
// already down or draining.
const errTargetStopping = errors.ConstError("target is already down or draining")

// crashTarget stops a target without an announcement. The target restarts under
// another name, at times as another version of its software.
func crashTarget(d *deployment, random *rand.Rand) (func() error, error) {
	t := randomTarget(d, random)
	if !t.stopping.CompareAndSwap(false, true) {
		return nil, errTargetStopping
	}
	name := string(t.Instance())
	if err := t.close(); err != nil {
		return nil, errors.Trace(err)
	}
	changes := random.IntN(2) == 0
	return func() error {
		d.store.Withdraw(platform.KindTargets, name)
		if changes {
			t.SetSoftware(otherSoftware(t.Software()))
		}
		return d.restartTarget(t)
	}, nil
}

// deadlyPromptPart makes one part of prompts end each engine that begins to answer a
// request with it.
func deadlyPromptPart(d *deployment, random *rand.Rand) (func() error, error) {
	part := ident.PromptPart(fmt.Sprintf("%x", random.Uint64()))
	set := func(f standin.WorkerFaults) {
		for _, t := range d.targets {
			if t.Service == draftService {
				t.SetFaults(f)
			}
		}
	}
	set(standin.WorkerFaults{DeadlyPart: part})
	d.deadlyPart.Store(&part)
	return func() error {
		d.deadlyPart.Store(nil)
		set(standin.WorkerFaults{})
		return nil
	}, nil
}

// crashTime is how long a target that a request has ended stays down.
const crashTime = 2 * time.Second

// crashAndRestart ends a target, and starts it again after crashTime.
func (d *deployment) crashAndRestart(t *target) {
	if !t.stopping.CompareAndSwap(false, true) {
		return
	}
	name := string(t.Instance())
	t.link.Refuse()
	if err := t.close(); err != nil {
		d.oracle.RecordViolation(Violation{GuaranteeRecovery, "", err.Error()})
	}
	time.AfterFunc(crashTime, func() {
		d.store.Withdraw(platform.KindTargets, name)
		if err := t.link.Listen(); err != nil {
			d.oracle.RecordViolation(Violation{GuaranteeRecovery, "", err.Error()})
		}
		if err := d.restartTarget(t); err != nil {
			d.oracle.RecordViolation(Violation{GuaranteeRecovery, "", err.Error()})
		}
	})
}

// replaceTarget drains a target: it announces draining, keeps serving for a while,
// and then shuts down and restarts as its successor.
func replaceTarget(d *deployment, random *rand.Rand) (func() error, error) {
	t := randomTarget(d, random)
	if !t.stopping.CompareAndSwap(false, true) {
		return nil, errTargetStopping
	}
	name := t.Instance()
	t.SetDraining(true)
	if err := d.store.Publish(platform.KindTargets, string(name), t.Entry(t.proxyAddress)); err != nil {
		return nil, errors.Trace(err)
	}
	d.oracle.RecordDraining(name, time.Now())
	return func() error {
		d.store.Withdraw(platform.KindTargets, string(name))
		ctx, cancel := context.WithTimeout(context.Background(), replaceGrace)
		defer cancel()
		if err := t.server.Shutdown(ctx); err != nil {
			return errors.Trace(err)
		}
		t.SetSoftware(otherSoftware(t.Software()))
		return d.restartTarget(t)
	}, nil
}

// replaceGrace is how long a draining target may take to complete its requests.
const replaceGrace = 5 * time.Second

func changeConfiguration(d *deployment, random *rand.Rand) (func() error, error) {
	return nil, d.publishConfiguration(fmt.Sprintf("/added-%d/", random.Uint32()))
}

func announceVersion(d *deployment, random *rand.Rand) (func() error, error) {
	return nil, d.publishVersion(randomAdapter(random))
}

// FaultCounts counts the faults of a run by kind and by pairs that overlapped.
type FaultCounts struct {
	Kinds map[FaultKind]int
	Pairs map[[2]FaultKind]int
}

// add counts a fault that starts while others are active.
func (c FaultCounts) add(k FaultKind, others map[FaultKind]int) {
	c.Kinds[k]++
	for other, n := range others {
		if n > 0 {
			pair := []string{string(k), string(other)}
			sort.Strings(pair)
			c.Pairs[[2]FaultKind{FaultKind(pair[0]), FaultKind(pair[1])}]++
		}
	}
}
