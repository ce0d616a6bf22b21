package link

import (
	"time"

	"github.com/juju/errors"
)

// startPings begins to check the peer and to ping it. It uses a function timer, because
// goroutines that receive from channel timers which are due crash the race detector in
// synctest bubbles (go1.26.8).
func (c *Conn) startPings() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pingTimer = time.AfterFunc(c.liveness.Ping, c.pingAndRepeat)
}

func (c *Conn) pingAndRepeat() {
	if err := c.ping(); err != nil {
		c.fail(err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() == nil {
		c.pingTimer.Reset(c.liveness.Ping)
	}
}

// ping checks that the peer has sent a frame recently, and sends a ping when
// one is due.
func (c *Conn) ping() error {
	since, limit, period := c.lastReceived.Load(), c.liveness.Silence, time.Duration(0)
	if busy := c.busySince.Load(); busy != notBusy {
		// While the link was idle, the peer may have pinged at the longer Idle
		// interval.
		since = max(since, busy)
	} else if c.liveness.Idle > c.liveness.Ping {
		period = c.liveness.Idle
		limit = max(limit, maxMissedIdlePings*period)
	}
	if silence := time.Duration(c.age() - since); silence > limit {
		return errors.Annotatef(ErrClosed, "no frame from peer for %s", silence)
	}
	now := c.now()
	if now.Sub(c.pinged) < period {
		return nil
	}
	c.pinged = now
	return c.send(KindPing, 0, nil)
}
