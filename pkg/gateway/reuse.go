package gateway

import (
	"syscall"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
)

// countReuseFailed counts a connection that was closed before a byte of the response, if it
// was reused: its target may have dropped it while it was idle.
func (x *exchange) countReuseFailed(conn *forward.Conn, err error) {
	idle, reused := conn.Reused()
	closed := conn.PeerClosed() || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if !reused || !closed || x.expired() {
		return
	}
	x.g.metrics.countConn(forward.ConnReuseFailed)
	x.g.Info("msg", "reused connection failed", "request", x.q.attempt, "idle", idle, "idempotent", x.retryable())
}
