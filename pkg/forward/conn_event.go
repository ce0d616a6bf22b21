package forward

// ConnEvent is an event of a connection to a target: why it is new or not kept.
type ConnEvent uint8

// The events of connections. Each request has a connection that was reused, or is new for
// one of the reasons, or could not be opened.
const (
	ConnReused           ConnEvent = iota
	ConnNew                        // no connection was idle
	ConnNewForOld                  // those that are idle were so for too long for a request that may not be repeated
	ConnNewForRepeat               // those that were idle have left the attempt unserved
	ConnNewRequired                // the request may use no other
	ConnFailed                     // it could not be opened
	ConnClosedByTarget             // an idle one was closed by its target, or had unexpected bytes
	ConnExpired                    // an idle one was not used in time
	ConnSurplus                    // enough others were idle
	ConnClosedByResponse           // the response ends it
	ConnSpoiled                    // the response was not the only one, or not read to its end
	ConnUnshared                   // its request may share it with no other
	ConnUnserved                   // it has carried maxUnserved attempts without success
	ConnAbandoned                  // its request was abandoned
	ConnReuseFailed                // a reused one failed before a byte of the response
	connEventLimit
)

// ConnEvents is the number of kinds of events.
const ConnEvents = int(connEventLimit)

var connEventNames = [ConnEvents]string{
	"reused", "new", "new-for-old", "new-for-repeat", "new-required", "failed", "closed-by-target", "expired", "surplus", "closed-by-response", "spoiled", "unshared", "unserved", "abandoned", "reuse-failed",
}

// String returns the event's name.
func (e ConnEvent) String() string { return connEventNames[e] }
