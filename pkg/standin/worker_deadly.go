package standin

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hyssoproad/hyssoproad/platform"
)

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
