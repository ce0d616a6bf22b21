package system

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/rollout"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

var (
	fuzzSeed = flag.Uint64("fuzz-seed", 1, "seed of the long run")
	fuzzRun  = flag.Uint64("fuzz-run", 0, "seed of one run of the long run, to repeat it")
	fuzzTime = flag.Duration("fuzz-time", 0, "length of the long run; 0 skips it")
)

// op is one step of a run. a and b select what it acts on and its parameters.
type op struct {
	kind opKind
	a, b int
}

type opKind int

const (
	opDraft opKind = iota
	opDispatch
	opBooking
	opRepeat
	opWait
	opCommand
	opConcurrentCommands
	opDrain
	opStop
	opRestore
	opFaultObjectsOutage
	opFaultAnswersLost
	opFaultUpdatesDropped
	opFaultObjectsSlow
	opFaultEngineRestart
	opFaultChunks
	opFaultStreamsCut
	opFaultLoadsFail
	opFaultLoadAnswersLost
	opFaultStoreDown
	opFaultServiceUnresponsive
	opFaultKillAgent
	opFaultKillEntry
	opFaultPauseAgent
	opFaultPauseEntry
	opFaultLinkCut
	opFaultSupersedeAgent
	opCount
	// opFaultStoreReturned is drawn only by TestReturnsOfTheStoreKeepGuarantees.
	opFaultStoreReturned
)

var faultNames = map[opKind]string{
	opFaultObjectsOutage: "object API outage", opFaultAnswersLost: "answers lost", opFaultUpdatesDropped: "updates dropped",
	opFaultObjectsSlow: "object API slow", opFaultEngineRestart: "engine restart", opFaultChunks: "chunks late and crossed",
	opFaultStreamsCut: "streams cut", opFaultLoadsFail: "loads fail", opFaultLoadAnswersLost: "load answers lost",
	opFaultStoreDown: "weight store down", opFaultServiceUnresponsive: "service unresponsive", opFaultKillAgent: "agent killed",
	opFaultKillEntry: "entry killed", opFaultPauseAgent: "agent paused", opFaultPauseEntry: "entry paused", opFaultLinkCut: "link cut", opFaultSupersedeAgent: "agent superseded while paused",
	opFaultStoreReturned: "object API returned from a copy",
	opStop:               "planned stop", opConcurrentCommands: "concurrent commands", opDrain: "drain",
}

// runner executes the steps of one run.
type runner struct {
	*cluster
	wg            sync.WaitGroup
	promptCount   int
	keyedRequests []request
	retired       [adapterCount]ident.Version
	active        map[opKind]time.Time // until when a fault counts as active
	// successors holds the second agent of each target whose first was paused.
	successors map[*process]*process
	cover      *coverage
}

// coverage counts steps, faults and pairs of faults.
type coverage struct {
	runs   int
	steps  int
	faults map[string]int
	pairs  map[string]int
	counts map[string]int
}

func newCoverage() *coverage {
	return &coverage{faults: make(map[string]int), pairs: make(map[string]int), counts: make(map[string]int)}
}

func (rn *runner) runStep(o op) {
	rn.cover.steps++
	switch o.kind {
	case opDraft:
		rn.sendDraft(o)
	case opDispatch:
		rn.sendNonIdempotent(request{model: "desk@1", prompt: rn.prompt(), tokens: 5})
	case opBooking:
		rn.sendNonIdempotent(request{prompt: rn.prompt()})
	case opRepeat:
		if len(rn.keyedRequests) > 0 {
			rn.sendAsync(rn.entry(o.b), rn.keyedRequests[o.a%len(rn.keyedRequests)])
		}
	case opWait:
		time.Sleep(time.Duration(1+o.a%1500) * time.Millisecond)
	case opCommand:
		rn.command(rn.entry(o.b), o.a)
	case opConcurrentCommands:
		rn.command(rn.entry(o.b), o.a)
		rn.command(rn.entry(o.b+1), o.a)
	case opDrain:
		rn.drain(o)
	case opStop:
		rn.plannedStop(o)
	case opRestore:
		rn.restore()
	default:
		rn.injectFault(o)
	}
	if _, isFault := faultNames[o.kind]; isFault {
		rn.countFault(o.kind)
	}
	rn.checkInvariants()
}

func (rn *runner) prompt() string {
	rn.promptCount++
	return fmt.Sprintf("request %d", rn.promptCount)
}

func (rn *runner) entry(i int) *process { return rn.entries[i%len(rn.entries)] }

func (rn *runner) sendAsync(p *process, r request) {
	rn.wg.Go(func() { rn.send(p, r) })
}

func (rn *runner) sendDraft(o op) {
	rn.sendAsync(rn.entry(o.b), request{
		model: fmt.Sprintf("adapter-%d@%d", o.a%adapterCount, 1+o.a/adapterCount%2), prompt: rn.prompt(),
		tokens: 3 + o.a%5, timeout: 15 * time.Second,
	})
}

func (rn *runner) sendNonIdempotent(r request) {
	r.key = standin.NewKey(time.Now())
	r.timeout = 10 * time.Second
	rn.keyedRequests = append(rn.keyedRequests, r)
	rn.sendAsync(rn.entry(rn.promptCount), r)
}

// command retires or reinstates a version through one entry. It is skipped while the
// entry doesn't hear from most entries, since the operator server refuses it then.
func (rn *runner) command(p *process, a int) {
	if !p.alive() || !p.peer().HearsMajority() {
		return
	}
	i := a % adapterCount
	rn.retired[i] = (rn.retired[i] + 1) % 2 // version 1, or 0 for none
	rn.propose(p, wire.Change{Adapter: newAdapter(i, "drafting", rn.retired[i])})
}

func (rn *runner) propose(p *process, change wire.Change) {
	base := p.peer().Config.Catalog().Revision()
	id := ident.Command(uuid.NewString())
	config := p.peer().Config
	rn.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		record, err := config.Append(ctx, rollout.Proposal{Command: id, Operator: p.name, Base: base, Changes: []wire.Change{change}})
		var conflict *rollout.ConflictError
		switch {
		case err == nil:
			rn.oracle.recordAccepted(record)
			rn.oracle.count("command accepted")
		case errors.As(err, &conflict):
			rn.oracle.count("command conflicted")
		case errors.Is(err, rollout.ErrUnsettled):
			rn.oracle.count("command unsettled")
		}
	})
}

// drain drains one engine through the configuration, unless one is drained already.
func (rn *runner) drain(o op) {
	p := rn.entry(o.b)
	if !p.alive() || !p.peer().HearsMajority() || len(rn.oracle.drained) > 0 {
		return
	}
	name := rn.targets[o.a%draftCount].Name
	id := ident.Command(uuid.NewString())
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	change := wire.Change{Target: &wire.Target{Name: name, Draining: true}}
	record, err := p.peer().Config.Append(ctx, rollout.Proposal{Command: id, Operator: p.name, Changes: []wire.Change{change}})
	if err != nil {
		return
	}
	rn.oracle.recordAccepted(record)
	if rn.connected() {
		rn.oracle.drained[name] = &drainState{since: time.Now()}
	}
}

// connected reports whether no active fault isolates processes from each other.
func (rn *runner) connected() bool {
	for kind, until := range rn.active {
		if isolatingFaults[kind] && time.Now().Before(until) {
			return false
		}
	}
	return true
}

// isolatingFaults are the faults that may delay a configuration beyond the few
// seconds within which a drain must take effect.
var isolatingFaults = map[opKind]bool{
	opFaultKillAgent: true, opFaultKillEntry: true, opFaultPauseAgent: true, opFaultPauseEntry: true, opFaultLinkCut: true, opStop: true,
	opFaultEngineRestart: true, opFaultSupersedeAgent: true,
}

// plannedStop stops a process gracefully and restarts it.
func (rn *runner) plannedStop(o op) {
	p := rn.agents[o.a%len(rn.agents)]
	if o.b%4 == 0 {
		p = rn.entry(o.a)
	}
	rn.stopDrainChecks()
	rn.wg.Go(func() {
		rn.stop(p)
		time.Sleep(time.Second)
		rn.start(p)
	})
	time.Sleep(1500 * time.Millisecond)
}

// stopDrainChecks ends the checks of drained targets, before a fault that may let
// them get new requests.
func (rn *runner) stopDrainChecks() { clear(rn.oracle.drained) }

// restore ends all faults, starts stopped processes and undrains the engines.
func (rn *runner) restore() {
	rn.endFaults()
	rn.endSuccessors()
	for _, p := range rn.processes() {
		rn.start(p)
	}
	clear(rn.active)
	rn.undrain()
}

func (rn *runner) undrain() {
	rn.stopDrainChecks()
	for i := range draftCount {
		p := rn.entries[0]
		name := rn.targets[i].Name
		if !p.peer().Config.Catalog().TargetSettings(name).Draining {
			continue
		}
		id := ident.Command(uuid.NewString())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		change := wire.Change{Target: &wire.Target{Name: name}}
		record, err := p.peer().Config.Append(ctx, rollout.Proposal{Command: id, Operator: "tester", Changes: []wire.Change{change}})
		cancel()
		if err == nil {
			rn.oracle.recordAccepted(record)
		}
	}
}

func (rn *runner) countFault(kind opKind) {
	now := time.Now()
	rn.cover.faults[faultNames[kind]]++
	for other, until := range rn.active {
		if now.Before(until) {
			rn.cover.pairs[pairName(kind, other)]++
		}
	}
	rn.active[kind] = now.Add(10 * time.Second)
}

func pairName(a, b opKind) string {
	names := []string{faultNames[a], faultNames[b]}
	sort.Strings(names)
	return strings.Join(names, " + ")
}

func (rn *runner) injectFault(o op) {
	if isolatingFaults[o.kind] {
		rn.stopDrainChecks()
	}
	switch o.kind {
	case opFaultObjectsOutage:
		rn.objects.SetFaults(standin.ObjectFaults{Outage: true})
	case opFaultAnswersLost:
		rn.objects.SetFaults(standin.ObjectFaults{LoseResponses: 0.4})
	case opFaultUpdatesDropped:
		rn.objects.SetFaults(standin.ObjectFaults{DropUpdates: 0.4})
	case opFaultObjectsSlow:
		rn.objects.SetFaults(standin.ObjectFaults{DelayMS: 300, LoseResponses: 0.1})
	case opFaultStoreReturned:
		rn.returnStore(o)
	case opFaultStoreDown:
		rn.store.SetFaults(standin.WeightStoreFaults{FailAll: true, Slowdown: 3})
	case opFaultServiceUnresponsive:
		rn.services[o.a%len(rn.services)].SetFaults(standin.ServiceFaults{DropResponses: true, DelayMS: o.b % 500})
	case opFaultKillAgent, opFaultKillEntry, opFaultPauseAgent, opFaultPauseEntry, opFaultLinkCut, opFaultSupersedeAgent:
		rn.injectProcessFault(o)
	default:
		rn.injectEngineFault(o)
	}
}

// returnStore lets the store return from an older copy without a fault of a process in the
// seconds around it, after which nobody would know what the store has lost.
func (rn *runner) returnStore(o op) {
	time.Sleep(5 * time.Second)
	for i := range 3 {
		rn.sendNonIdempotent(request{prompt: rn.prompt()})
		rn.command(rn.entry(o.b+i), o.a+i)
		time.Sleep(500 * time.Millisecond)
	}
	rn.objects.Restore(time.Duration(o.a%4000) * time.Millisecond)
	time.Sleep(20 * time.Second)
}

func (rn *runner) injectEngineFault(o op) {
	e := rn.engines[o.a%len(rn.engines)]
	switch o.kind {
	case opFaultEngineRestart:
		rn.oracle.trace(engineTrace(o.a%len(rn.engines)), "restart")
		e.Restart()
	case opFaultChunks:
		e.SetFaults(standin.EngineFaults{MisroutedChunks: 0.5, DelayedChunks: 0.4, LateMS: 100})
	case opFaultStreamsCut:
		e.SetFaults(standin.EngineFaults{CutStreams: 0.5})
	case opFaultLoadsFail:
		e.SetFaults(standin.EngineFaults{FailLoads: 0.5})
	case opFaultLoadAnswersLost:
		e.SetFaults(standin.EngineFaults{LoseLoadResponses: 0.5})
	}
}

func (rn *runner) injectProcessFault(o op) {
	a, e := rn.agents[o.a%len(rn.agents)], rn.entry(o.b)
	switch o.kind {
	case opFaultKillAgent:
		rn.kill(a)
		time.Sleep(time.Duration(o.b%2000) * time.Millisecond)
		rn.start(a)
	case opFaultKillEntry:
		rn.kill(e)
		time.Sleep(time.Duration(o.a%2000) * time.Millisecond)
		rn.start(e)
	case opFaultPauseAgent:
		rn.pause(a, time.Duration(500+o.b%12000)*time.Millisecond)
	case opFaultPauseEntry:
		rn.pause(e, time.Duration(500+o.a%12000)*time.Millisecond)
	case opFaultSupersedeAgent:
		rn.supersede(a, time.Duration(o.b%12000)*time.Millisecond)
	case opFaultLinkCut:
		rn.network.Cut(a.name, e.name)
		if o.a%3 == 0 {
			rn.network.Cut(rn.entry(o.b+1).name, e.name)
		}
	}
}

// supersede starts a second agent for a target while the first is paused. The
// first resumes after d without knowing of the second.
func (rn *runner) supersede(a *process, d time.Duration) {
	if !a.alive() || rn.successors[a] != nil {
		return
	}
	rn.pause(a, d)
	successor := &process{name: a.name + "0", index: a.index, isAgent: true}
	rn.successors[a] = successor
	rn.start(successor)
}

// endSuccessors leaves each target with one agent again.
func (rn *runner) endSuccessors() {
	for a, successor := range rn.successors {
		rn.kill(a)
		rn.kill(successor)
		rn.start(a)
	}
	clear(rn.successors)
}

// pause pauses a process for d, possibly until after its leases expire.
func (rn *runner) pause(p *process, d time.Duration) {
	rn.network.Pause(p.name)
	rn.wg.Go(func() {
		time.Sleep(d)
		rn.network.Resume(p.name)
	})
}

// finish ends all faults, waits for all requests and checks the final state.
func (rn *runner) finish() {
	rn.restore()
	time.Sleep(20 * time.Second)
	rn.restore()
	rn.wg.Wait()
	rn.restore()
	time.Sleep(19 * time.Second) // by then the configuration is in force on every entry
	rn.probe()
	rn.checkFinalState()
}

// probe checks that the system serves again after the faults.
func (rn *runner) probe() {
	before := rn.oracle.countOf("right")
	p := rn.entries[1]
	rn.send(p, request{model: "adapter-0@2", prompt: "probe", tokens: 3, timeout: 15 * time.Second})
	if rn.oracle.countOf("right") > before {
		return
	}
	for _, member := range p.peer().Registry.Members(time.Now()) {
		rn.oracle.addViolation("member %s: %s, %+v", member.Report.Target, member.StateAt(time.Now()), member.Report)
	}
	for _, e := range rn.entries {
		rn.oracle.addViolation("entry %s: budget holder %+v, hears from most entries %v", e.name, e.peer().BudgetHolder(), e.peer().HearsMajority())
	}
	rn.oracle.addTracedViolation("probe", "was not answered")
	rn.oracle.addViolation("no correct answer after the faults have ended: revision %d, %v", p.peer().Config.Catalog().Revision(), rn.oracle.counts)
}

// runSteps runs the steps in virtual time and returns the violations.
func runSteps(t *testing.T, ops []op, variant brokenVariant, seed uint64, cover *coverage) []string {
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, variant, seed)
		rn := &runner{cluster: cl, active: make(map[opKind]time.Time), successors: make(map[*process]*process), cover: cover}
		for _, o := range ops {
			rn.runStep(o)
		}
		rn.finish()
		violations = cl.oracle.violations
		for k, n := range cl.oracle.counts {
			cover.counts[k] += n
		}
		cover.runs++
		cl.close()
	})
	return violations
}

func drawOps(t *rapid.T, maxLen int) []op {
	kinds := rapid.IntRange(0, int(opCount)-1)
	number := rapid.IntRange(0, 1<<16)
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
		return op{kind: opKind(kinds.Draw(t, "kind")), a: number.Draw(t, "a"), b: number.Draw(t, "b")}
	}), 5, maxLen).Draw(t, "ops")
}

func TestRandomFaultsKeepGuarantees(t *testing.T) {
	cover := newCoverage()
	rapid.Check(t, func(r *rapid.T) {
		ops := drawOps(r, 60)
		if v := runSteps(t, ops, correctVariant, 1, cover); len(v) > 0 {
			r.Fatalf("guarantees violated: %s", strings.Join(v, "; "))
		}
	})
}

// TestReturnsOfTheStoreKeepGuarantees plays returns from older copies between requests,
// commands and kills.
func TestReturnsOfTheStoreKeepGuarantees(t *testing.T) {
	kinds := []opKind{opDraft, opDispatch, opBooking, opRepeat, opRepeat, opWait, opCommand, opConcurrentCommands, opFaultKillAgent, opFaultKillEntry, opFaultStoreReturned}
	cover := newCoverage()
	rapid.Check(t, func(r *rapid.T) {
		ops := drawOps(r, 60)
		for i := range ops {
			ops[i].kind = kinds[int(ops[i].kind)%len(kinds)]
		}
		if v := runSteps(t, ops, correctVariant, 1, cover); len(v) > 0 {
			r.Fatalf("guarantees violated: %s", strings.Join(v, "; "))
		}
	})
}

// randomOps returns n random steps, with more requests than faults.
func randomOps(random *rand.Rand, n int) []op {
	out := make([]op, n)
	for i := range out {
		kind := opKind(random.IntN(int(opCount)))
		if random.IntN(3) > 0 {
			kind = opKind(random.IntN(int(opWait) + 1))
		}
		out[i] = op{kind: kind, a: random.IntN(1 << 16), b: random.IntN(1 << 16)}
	}
	return out
}

// TestLongRun runs random steps for -fuzz-time, as make fuzz does.
func TestLongRun(t *testing.T) {
	cover := newCoverage()
	if *fuzzRun != 0 {
		runSeed(t, *fuzzRun, cover)
		return
	}
	if *fuzzTime == 0 {
		t.Skip("needs -fuzz-time")
	}
	random := rand.New(rand.NewPCG(*fuzzSeed, 9))
	for began := time.Now(); time.Since(began) < *fuzzTime; {
		runSeed(t, random.Uint64(), cover)
	}
	cover.print(*fuzzSeed)
}

func runSeed(t *testing.T, seed uint64, cover *coverage) {
	ops := randomOps(rand.New(rand.NewPCG(seed, 10)), 300)
	v := runSteps(t, ops, correctVariant, seed, cover)
	require.Empty(t, v, "reproduce with -fuzz-run %d", seed)
}

func (c *coverage) print(seed uint64) {
	fmt.Printf("seed %d: %d runs, %d steps, no guarantee violated\n", seed, c.runs, c.steps)
	fmt.Printf("%d of %d fault kinds, %d of %d pairs\n", len(c.faults), len(faultNames), len(c.pairs), len(faultNames)*(len(faultNames)+1)/2)
	for _, part := range []map[string]int{c.faults, c.pairs, c.counts} {
		var names []string
		for name := range part {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Printf("%8d  %s\n", part[name], name)
		}
	}
}
