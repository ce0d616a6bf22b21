package standin

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

// uuidVersion7 is the version field of a UUIDv7, in the high nibble of byte 6.
const uuidVersion7 = 0x70

// NewKey returns an idempotency key with the given creation time. It doesn't use
// the library's UUIDv7 generator, whose time never goes backwards: tests in
// virtual time need keys with earlier times.
func NewKey(created time.Time) string {
	id := uuid.New()
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(created.UnixMilli()))
	copy(id[:6], ms[2:])
	id[6] = id[6]&0x0f | uuidVersion7
	return id.String()
}
