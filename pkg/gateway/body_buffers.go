package gateway

import "sync/atomic"

const (
	// freeBodyBytes is the size up to which a buffer is always available.
	freeBodyBytes = 4 << 10
	// bodyMemoryShare is the share of the VM's memory that larger buffers may take
	// together, so that peers that send without end cannot exhaust it.
	bodyMemoryShare = 0.125
)

// bodyBuffers limits the memory that holds what peers have sent: requests, responses,
// held failures and unfinished events.
type bodyBuffers struct {
	limit int64
	used  *atomic.Int64 // by buffers above freeBodyBytes
}

func newBodyBuffers(memoryBytes int64) bodyBuffers {
	limit := int64(bodyMemoryShare * float64(memoryBytes))
	if memoryBytes <= 0 {
		limit = maxResponseBytes
	}
	return bodyBuffers{limit: limit, used: new(atomic.Int64)}
}

// grow returns a larger buffer with the same bytes, and reports whether there was
// memory for it. The announced length is -1 if unknown.
func (b bodyBuffers) grow(body []byte, length int) ([]byte, bool) {
	size := max(2*cap(body), freeBodyBytes)
	if length >= 0 {
		// One more byte lets a reader see the end without growing the buffer.
		size = min(size, max(length, cap(body))+1)
	}
	if length >= 0 && length < freeBodyBytes {
		size = length + 1
	}
	if size > freeBodyBytes && !b.reserve(int64(size)) {
		return body, false
	}
	larger := append(make([]byte, 0, size), body...)
	b.release(cap(body))
	return larger, true
}

// reserve takes memory and reports whether there was enough. The sum never exceeds the
// limit, not even until a failed attempt is taken back.
func (b bodyBuffers) reserve(size int64) bool {
	for {
		used := b.used.Load()
		if used+size > b.limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+size) {
			return true
		}
	}
}

// exchange counts a buffer of another capacity in place of one, even above the limit. It is
// for a few bytes that end what is held.
func (b bodyBuffers) exchange(before, after int) {
	b.release(before)
	if after > freeBodyBytes {
		b.used.Add(int64(after))
	}
}

// above reports whether more than a share of the limit is taken.
func (b bodyBuffers) above(share float64) bool {
	return float64(b.used.Load()) > share*float64(b.limit)
}

// release returns the memory of a buffer of the given capacity.
func (b bodyBuffers) release(capacity int) {
	if capacity > freeBodyBytes {
		b.used.Add(-int64(capacity))
	}
}

// shrink returns a buffer of freeBodyBytes with the same bytes in place of a larger one, if
// they fit, and releases the larger one.
func (b bodyBuffers) shrink(body []byte) []byte {
	if cap(body) <= freeBodyBytes || len(body) > freeBodyBytes {
		return body
	}
	smaller := append(make([]byte, 0, freeBodyBytes), body...)
	b.release(cap(body))
	return smaller
}
