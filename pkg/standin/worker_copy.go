package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/hyssoproad/hyssoproad/platform"
)

// lateCopyDelay is the longest time until a late copy. Connections are used again
// sooner than that.
const lateCopyDelay = 50 * time.Millisecond

// sendLateCopy sends a second copy of the response some time later, on the same
// connection, whatever that carries by then.
func sendLateCopy(r *http.Request, req workerRequest) {
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return
	}
	time.AfterFunc(rand.N(lateCopyDelay), func() {
		_, _ = io.WriteString(conn, plainResponse(req.attempt)) // fails if the caller has disconnected
	})
}

// connKey is the context key of a request's *workerConn.
type connKey struct{}

// workerConn is a connection of a worker's server. Its requests come one after the other.
type workerConn struct {
	net.Conn
	refusal string // that is sent once more into the next request; empty for none
}

// refusalCopyDelay is the longest time between the start of a run and the copy of an earlier
// refusal on its connection.
const refusalCopyDelay = 40 * time.Millisecond

// keepRefusal keeps a refusal, which is sent once more into the next request on the connection.
func keepRefusal(r *http.Request, req workerRequest, a admission) {
	if conn, ok := r.Context().Value(connKey{}).(*workerConn); ok {
		conn.refusal = fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", a.status, platform.HeaderAttempt, req.attempt, platform.HeaderNotExecuted, a.reason)
	}
}

// sendRefusalCopy sends the kept refusal, if there is one, while the request runs.
func (w *Worker) sendRefusalCopy(r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*workerConn)
	if !ok || conn.refusal == "" {
		return
	}
	w.mu.Lock()
	delay := time.Duration(w.random.Int64N(int64(refusalCopyDelay)))
	w.mu.Unlock()
	time.Sleep(delay)
	_, _ = io.WriteString(conn, conn.refusal) // fails if the caller has disconnected
	conn.refusal = ""
}
