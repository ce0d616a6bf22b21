package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// promptWrite is how long a write of events may take before the caller counts as slow.
	// The kernel takes bytes at once unless a caller has not read many earlier ones.
	promptWrite = 20 * time.Millisecond
	// maxHeldBytes bounds what is held of one stream. It is two of the largest events, and
	// many seconds of usual ones.
	maxHeldBytes = 2 * maxEventBytes
	// heldMemoryShare is the share of the body buffers up to which bytes are held for slow
	// callers. The rest is left to requests and responses of the others.
	heldMemoryShare = 0.5
	// deliveryTimeout bounds how long a caller may take to read the rest of a response that
	// is complete.
	deliveryTimeout = 30 * time.Second
)

// heldOutput holds bytes of a stream that a slow caller has not read, and writes them as
// the caller reads. Meanwhile the target's response is read on: a target cuts off one that
// stays unread.
type heldOutput struct {
	nc      net.Conn
	buffers bodyBuffers

	mu      sync.Mutex
	buffer  []byte
	taken   int           // bytes that are being written
	writing bool          // a goroutine writes the buffer
	err     error         // of a write
	changed chan struct{} // bytes were written
}

func newHeldOutput(nc net.Conn, buffers bodyBuffers) *heldOutput {
	return &heldOutput{nc: nc, buffers: buffers, changed: make(chan struct{}, 1)}
}

// write writes bytes, or holds those that the caller does not read at once. If there is no
// room it waits for some, until ctx ends. It reports whether bytes were held.
func (h *heldOutput) write(ctx context.Context, b []byte) (held bool, err error) {
	if !h.isWriting() {
		_ = h.nc.SetWriteDeadline(time.Now().Add(promptWrite))
		n, err := h.nc.Write(b)
		if err == nil || !isTimeout(err) {
			return false, errors.Trace(err)
		}
		b = b[n:]
	}
	for {
		added, idle, err := h.add(b)
		switch {
		case err != nil || added:
			return true, errors.Trace(err)
		case idle:
			return true, errors.Trace(writeWhileRead(h.nc, b)) // there is no memory
		}
		select {
		case <-h.changed:
		case <-ctx.Done():
			return true, errors.Trace(context.Cause(ctx))
		}
	}
}

func (h *heldOutput) isWriting() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.writing
}

// add holds bytes if there is room for them. If there is none it reports whether nothing
// else is held.
func (h *heldOutput) add(b []byte) (added, idle bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err != nil {
		return false, false, h.err
	}
	if !h.reserve(len(b)) {
		if !h.writing { // the buffer is empty, and grown in vain
			h.buffers.release(cap(h.buffer))
			h.buffer = nil
		}
		return false, !h.writing, nil
	}
	h.buffer = append(h.buffer, b...)
	h.start()
	return true, false, nil
}

// addEnd holds the end of a stream, for which there is always room: a few bytes.
func (h *heldOutput) addEnd(b []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err != nil {
		return h.err
	}
	if cap(h.buffer)-len(h.buffer) < len(b) {
		larger := append(make([]byte, 0, len(h.buffer)+len(b)), h.buffer...)
		h.buffers.exchange(cap(h.buffer), cap(larger))
		h.buffer = larger
	}
	h.buffer = append(h.buffer, b...)
	h.start()
	return nil
}

// reserve makes room in the buffer. The caller holds mu.
func (h *heldOutput) reserve(size int) bool {
	if h.taken+len(h.buffer)+size > maxHeldBytes && (h.taken > 0 || len(h.buffer) > 0) {
		return false
	}
	for cap(h.buffer)-len(h.buffer) < size {
		if cap(h.buffer) >= freeBodyBytes && h.buffers.above(heldMemoryShare) {
			return false
		}
		larger, ok := h.buffers.grow(h.buffer, -1)
		if !ok {
			return false
		}
		h.buffer = larger
	}
	return true
}

// start starts to write the buffer. The caller holds mu.
func (h *heldOutput) start() {
	if !h.writing {
		h.writing = true
		go h.run()
	}
}

// run writes the buffer until it is empty or a write fails.
func (h *heldOutput) run() {
	for {
		h.mu.Lock()
		b := h.buffer
		h.buffer, h.taken = nil, len(b)
		if len(b) == 0 || h.err != nil {
			h.writing, h.taken = false, 0
			h.mu.Unlock()
			h.buffers.release(cap(b))
			h.signal()
			return
		}
		h.mu.Unlock()
		err := writeWhileRead(h.nc, b)
		h.buffers.release(cap(b))
		h.mu.Lock()
		h.taken = 0
		if err != nil {
			h.err = err
		}
		h.mu.Unlock()
		h.signal()
	}
}

func (h *heldOutput) signal() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// await waits until nothing is held, at most for deliveryTimeout and until ctx ends.
func (h *heldOutput) await(ctx context.Context) error {
	timeout := time.After(deliveryTimeout)
	for {
		h.mu.Lock()
		writing, err := h.writing, h.err
		h.mu.Unlock()
		if !writing || err != nil {
			return errors.Trace(err)
		}
		select {
		case <-h.changed:
		case <-ctx.Done():
			return errors.Trace(context.Cause(ctx))
		case <-timeout:
			return errors.Timeoutf("delivery within %s:", deliveryTimeout)
		}
	}
}

// writeWhileRead writes bytes for as long as the caller reads some within writeTimeout, at
// most for deliveryTimeout.
func writeWhileRead(nc net.Conn, b []byte) error {
	for end := time.Now().Add(deliveryTimeout); ; {
		_ = nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := nc.Write(b)
		if b = b[n:]; err == nil || n == 0 || !isTimeout(err) || time.Now().After(end) {
			return errors.Trace(err)
		}
	}
}
