package gateway

import (
	"context"
	"sync"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/platform"
)

// maxSetupsInProgress is the number of agents to which a link is opened at the same time.
// An agent that is silent takes agentDialWait.
const maxSetupsInProgress = 32

// pendingSetup is an engine whose agent does not have its current setup over an open link.
type pendingSetup struct {
	target  fleet.Target
	service platform.Service
}

// maintainEngineSetups starts a round of setups, unless one is in progress. It does not
// wait for agents.
func (g *Gateway) maintainEngineSetups(ctx context.Context) {
	if !g.sendingSetups.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.sendingSetups.Store(false)
		g.sendEngineSetups(ctx)
	}()
}

// sendEngineSetups sends each engine's setup to its agent, several at a time. It answers
// the load of many gateways and agents that start at the same moment: each gateway begins
// with another engine, so that every engine is set up early by some gateway, and no agent
// gets the links of all gateways at once. Agents that are silent do not delay the others.
func (g *Gateway) sendEngineSetups(ctx context.Context) {
	c := g.directory.Configuration()
	if c == nil {
		return
	}
	pending := g.pendingSetups(c)
	if len(pending) == 0 {
		return
	}
	var wg sync.WaitGroup
	inProgress := make(chan struct{}, maxSetupsInProgress)
	first := int(hash(string(g.node.VM)) % uint64(len(pending)))
	for i := range pending {
		p := &pending[(first+i)%len(pending)]
		inProgress <- struct{}{}
		wg.Go(func() {
			defer func() { <-inProgress }()
			if _, err := g.agents.connWithSetup(ctx, p.target, c, p.service); err != nil {
				g.Debug("msg", "failed to send the engine setup to the agent", "target", p.target.Instance, "err", err)
			}
		})
	}
	wg.Wait()
}

func (g *Gateway) pendingSetups(c *platform.Configuration) []pendingSetup {
	var out []pendingSetup
	for _, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		for _, t := range g.fleet.Available(s.Name) {
			if g.agents.establishedTo(t, setupID{configuration: c.Version, instance: t.Instance}) == nil {
				out = append(out, pendingSetup{t, s})
			}
		}
	}
	return out
}
