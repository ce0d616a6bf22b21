package system

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/caller"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// runScenario runs a scenario in virtual time and requires that it violates no
// guarantee.
func runScenario(t *testing.T, scenario func(cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, correctVariant, 1)
		scenario(cl)
		time.Sleep(30 * time.Second)
		require.Empty(t, cl.oracle.violations)
		cl.close()
	})
}

// sendAndWait sends a request and returns the problem document if it is refused.
func (cl *cluster) sendAndWait(p *process, r request) *caller.Problem {
	ctx := cl.requestContext(r)
	p.current.Load().handler(ctx)
	cl.oracle.recordSent(r)
	cl.checkResponse(r, 1, ctx)
	var problem caller.Problem
	if json.Unmarshal(ctx.Response.Body(), &problem) != nil || problem.Reason == "" {
		return nil
	}
	return &problem
}

func bookingRequest(repeat bool) request {
	return request{prompt: "book", key: standin.NewKey(time.Now()), repeat: repeat, timeout: 10 * time.Second}
}

func (cl *cluster) killServices() {
	for _, p := range cl.agents[draftCount+deskCount:] {
		cl.kill(p)
	}
}

func TestRefusedRepeatOfCompletedRequestIsNotReportedNotRun(t *testing.T) {
	runScenario(t, func(cl *cluster) {
		r := bookingRequest(false)
		require.Nil(t, cl.sendAndWait(cl.entries[0], r))
		time.Sleep(2 * time.Second)
		cl.killServices()
		time.Sleep(10 * time.Second)
		r.repeat = true
		problem := cl.sendAndWait(cl.entries[1], r)
		require.NotNil(t, problem)
		require.Equal(t, wire.Ran, problem.Outcome)
		// While the ledger is unavailable, a repeat gets the outcome unknown and
		// a first request the outcome not-run.
		cl.objects.SetFaults(standin.ObjectFaults{Outage: true})
		require.Equal(t, wire.Unknown, cl.sendAndWait(cl.entries[1], r).Outcome)
		require.Equal(t, wire.NotRun, cl.sendAndWait(cl.entries[1], bookingRequest(false)).Outcome)
	})
}

// TestAttemptIsQueriedAtItsOwnIncarnation guards against a new agent reporting a
// booking as not run: the agents that run it are paused, and the new agents of their
// targets have no record of the attempt.
func TestAttemptIsQueriedAtItsOwnIncarnation(t *testing.T) {
	runScenario(t, func(cl *cluster) {
		for _, s := range cl.services {
			s.SetFaults(standin.ServiceFaults{DelayMS: 2000})
		}
		r := bookingRequest(false)
		done := make(chan *caller.Problem)
		go func() { done <- cl.sendAndWait(cl.entries[0], r) }()
		time.Sleep(time.Second)
		rn := &runner{cluster: cl, successors: make(map[*process]*process)}
		for _, p := range cl.agents[draftCount+deskCount:] {
			rn.supersede(p, time.Minute)
		}
		problem := <-done
		require.NotNil(t, problem, "the answer is delayed for a minute")
		require.Equal(t, wire.Unknown, problem.Outcome)
		time.Sleep(time.Minute)
		require.Equal(t, 1, cl.runs(r.key))
		rn.endSuccessors()
		rn.wg.Wait()
	})
}

func TestRestartedEntriesRefuseWithoutConfiguration(t *testing.T) {
	runScenario(t, func(cl *cluster) {
		cl.objects.SetFaults(standin.ObjectFaults{Outage: true})
		for _, p := range cl.entries {
			cl.kill(p)
		}
		for _, p := range cl.entries {
			cl.start(p)
		}
		time.Sleep(5 * time.Second)
		problem := cl.sendAndWait(cl.entries[0], request{model: "adapter-0@1", prompt: "p", tokens: 2, timeout: time.Second})
		require.NotNil(t, problem)
		require.Equal(t, "config-stale", problem.Reason)
	})
}

func TestLongObjectAPIOutageStopsOnlyNonIdempotentRequests(t *testing.T) {
	runScenario(t, func(cl *cluster) {
		cl.objects.SetFaults(standin.ObjectFaults{Outage: true})
		time.Sleep(10 * time.Minute)
		require.Nil(t, cl.sendAndWait(cl.entries[0], request{model: "adapter-3@2", prompt: "p", tokens: 3, timeout: 20 * time.Second}), "drafts are still served")
		began := time.Now()
		problem := cl.sendAndWait(cl.entries[0], bookingRequest(false))
		require.NotNil(t, problem)
		require.Equal(t, wire.NotRun, problem.Outcome)
		require.Equal(t, "ledger-unavailable", problem.Reason)
		require.LessOrEqual(t, time.Since(began), 6*time.Second, "the refusal must leave the caller time to act")
		// An entry that is partitioned from the others cannot know which commands were
		// accepted.
		for _, p := range cl.entries[1:] {
			cl.network.Cut(cl.entries[0].name, p.name)
		}
		time.Sleep(30 * time.Second)
		problem = cl.sendAndWait(cl.entries[0], request{model: "adapter-3@2", prompt: "q", tokens: 3, timeout: time.Second})
		require.NotNil(t, problem)
		require.Equal(t, "config-stale", problem.Reason)
	})
}

func TestEntriesServeAfterFailureDomainLoss(t *testing.T) {
	runScenario(t, func(cl *cluster) {
		for _, p := range cl.processes() {
			if cl.domain(p.index) == cl.domain(0) {
				cl.kill(p)
			}
		}
		time.Sleep(12 * time.Second)
		for i, p := range cl.entries[1:] {
			require.Nil(t, cl.sendAndWait(p, request{model: "adapter-1@1", prompt: "p", tokens: 3, timeout: 20 * time.Second}), "entry %d", i+1)
			require.Nil(t, cl.sendAndWait(p, bookingRequest(false)))
		}
	})
}
