package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/follow"
)

const (
	// trustShare is the share of the time within which a removed key has to be refused
	// everywhere for which an unconfirmed configuration is used. It is checked when a
	// request has arrived, and so needs no margin for what follows; the rest is for
	// clocks that run at different speeds.
	trustShare = 0.8
	// revokeWatchShare is the share of that time for which a watch of the configuration
	// waits at most, so that two watches in a row fit into the time of trust.
	revokeWatchShare = 0.3
	// trustRetryAfter is the Retry-After time while the configuration is not confirmed.
	trustRetryAfter = time.Second
)

// trustState is whether the gateway uses its configuration for requests that need a key.
type trustState struct {
	mu   sync.Mutex
	lost bool
	// since is when that was noticed.
	since time.Time
}

// trustLimit returns for how long an unconfirmed configuration is used for requests that
// need a key, and whether that is limited.
func (g *Gateway) trustLimit() (time.Duration, bool) {
	if !g.node.Bounds.RevokeStrict || g.directory.Accounts().Empty() {
		return math.MaxInt64, false
	}
	return follow.Share(g.node.Bounds.Revoke, trustShare), true
}

// trusted reports whether the configuration may be used for requests that need a key, and
// logs when that changes.
func (g *Gateway) trusted() bool {
	g.trust.mu.Lock()
	defer g.trust.mu.Unlock()
	limit, limited := g.trustLimit()
	age, confirmed := g.configurationCopy.Unconfirmed()
	lost := limited && (!confirmed || age >= limit)
	if lost == g.trust.lost {
		return !lost
	}
	now := time.Now()
	if lost {
		g.metrics.trust.Update(0)
		g.Warn("msg", "configuration not confirmed; requests that need a key are refused", "unconfirmed", age, "limit", limit, "revision", g.configurationCopy.Position().Revision)
	} else {
		g.metrics.trust.Update(1)
		g.Info("msg", "configuration confirmed again", "revision", g.configurationCopy.Position().Revision, "after", now.Sub(g.trust.since))
	}
	g.trust.lost, g.trust.since = lost, now
	return !lost
}

// mayLackKeys reports whether the configuration may lack a key that has to be in force.
func (g *Gateway) mayLackKeys() bool {
	age, confirmed := g.configurationCopy.Unanswered()
	return !confirmed || age > g.node.Bounds.Configuration
}

// maxConfigurationWait bounds the next watch of the configuration. It returns 0 if the
// configuration would not be trusted at its end, as after a suspension of the VM.
func (g *Gateway) maxConfigurationWait() time.Duration {
	if g.directory.Accounts().Empty() {
		return math.MaxInt64
	}
	wait := follow.Share(g.node.Bounds.Revoke, revokeWatchShare)
	limit, limited := g.trustLimit()
	if age, confirmed := g.configurationCopy.Unconfirmed(); limited && (!confirmed || age+wait >= limit) {
		return 0
	}
	return wait
}
