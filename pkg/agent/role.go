package agent

import (
	"context"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/target"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const rolePeriod = 200 * time.Millisecond

// wantedRole returns the declared role of the target, or else the one in the
// settings.
func (a *Agent) wantedRole(declared wire.Target) string {
	if declared.Role != "" {
		return declared.Role
	}
	return a.settings.Target.Role
}

// roleLoop changes the target's role once the target is idle. Until then the agent
// accepts no new requests and refuses the waiting ones.
func (a *Agent) roleLoop(ctx context.Context) {
	for ctx.Err() == nil {
		role := a.wantedRole(a.log.Catalog().TargetSettings(a.settings.Target.Name))
		if role != *a.role.Load() {
			a.changeRole(ctx, role)
		}
		sleep(ctx, rolePeriod)
	}
}

func (a *Agent) changeRole(ctx context.Context, role string) {
	a.refuseWaiting()
	a.mu.Lock()
	busy := a.sched.Running() > 0 || len(a.untracked) > 0
	a.mu.Unlock()
	if busy {
		return
	}
	if a.engine != nil {
		if err := a.checkFence(ctx); err != nil {
			return
		}
		if err := a.supersedeIfStale(a.engine.SetRole(target.RoleOrder{Role: role}, a.fence.Number())); err != nil {
			a.Warn("msg", "failed to change role", "role", role, "err", err)
			return
		}
	}
	a.role.Store(&role)
	a.Info("msg", "role changed", "role", role)
	a.homes.sendHeartbeats(ctx)
}
