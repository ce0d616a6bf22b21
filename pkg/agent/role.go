package agent

import (
	"context"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/target"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const rolePeriod = 200 * time.Millisecond

// wantedRole is the role that the target should have.
func (a *Agent) wantedRole(declared wire.Target) string {
	if declared.Role != "" {
		return declared.Role
	}
	return a.settings.Target.Role
}

// roleLoop changes the target's role once it is idle. Until then the target is
// closed to new work, and what waits is handed back.
func (a *Agent) roleLoop(ctx context.Context) {
	for ctx.Err() == nil {
		role := a.wantedRole(a.log.Catalog().Target(a.settings.Target.Name))
		if role != *a.role.Load() {
			a.changeRole(ctx, role)
		}
		sleep(ctx, rolePeriod)
	}
}

func (a *Agent) changeRole(ctx context.Context, role string) {
	a.handBack()
	a.mu.Lock()
	busy := a.sched.Running() > 0 || len(a.holds) > 0
	a.mu.Unlock()
	if busy {
		return
	}
	if a.engine != nil {
		if err := a.checkFence(ctx); err != nil {
			return
		}
		if err := a.noteStale(a.engine.SetRole(target.RoleOrder{Role: role}, a.fence.Number())); err != nil {
			a.Warn("msg", "role not changed", "role", role, "err", err)
			return
		}
	}
	a.role.Store(&role)
	a.Info("msg", "role changed", "role", role)
	a.homes.beat(ctx)
}
