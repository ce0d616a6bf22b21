package gateway

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// refusal is the reason why no target takes a request, and when to retry.
type refusal struct {
	reason string
	// denied is set if the request may not be served for its key.
	denied denial
	cause  wire.GrantReason // reason of the engine with the shortest wait
	wait   time.Duration
	detail string // evidence for the log
	// tooLarge says that no engine of the service can ever hold the request.
	tooLarge bool
}

// assignment is the target that a request is sent to.
type assignment struct {
	target fleet.Target
	// agent is the link to the target's agent; nil for a target without one.
	agent *link.Conn
	// permitted says that a target without an agent has a rate limit that allows the send.
	permitted bool
	// instance is the target's instance name: as its agent reports it, or else as
	// listed in the store.
	instance ident.Target
	// startMS is the start of the target's process in Unix ms as its agent reports it; 0 if
	// it does not.
	startMS int64
	version ident.Version // adapter version on the target; 0 if none
	release func()        // only the first call counts
	// acquired is when the assignment was granted, and suspended how long the VM had
	// been suspended by then. Both are zero if the assignment does not lapse.
	acquired         time.Time
	suspended        time.Duration
	reportFirstEvent func(time.Duration) // reports the time to the first event to the agent
	// reportPace reports what the response states to the agent, unless it is nil.
	reportPace func(*wire.PaceReport)
}

// grantLease is how long a grant may be held before the request is sent. The agent
// holds a grant for longer than that after it has last heard from an entry.
const grantLease = 2 * time.Second

// lapsed reports whether the assignment's lease has ended: the process was paused
// between the grant and the send, and the agent may have given the place away. The
// argument is how long the VM has been suspended.
func (a *assignment) lapsed(suspended time.Duration) bool {
	return !a.acquired.IsZero() && time.Since(a.acquired)+suspended-a.suspended > grantLease
}
