package standin

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

// versionSeven is the version nibble of a UUIDv7.
const versionSeven = 0x70

// NewKey returns an idempotency key created at a time. The library's own UUIDv7
// never goes back in time, as tests in virtual time do.
func NewKey(created time.Time) string {
	id := uuid.New()
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(created.UnixMilli()))
	copy(id[:6], ms[2:])
	id[6] = id[6]&0x0f | versionSeven
	return id.String()
}
