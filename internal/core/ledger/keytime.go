package ledger

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"coltsfootmux/internal/model"
)

// uuidTimeBits is how many of a UUIDv7's first 64 bits are not its time.
const uuidTimeBits = 16

// keyTime gives when a key was made, for a key that is a UUIDv7.
func keyTime(k model.Key) (time.Time, bool) {
	id, err := uuid.Parse(string(k))
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	ms := binary.BigEndian.Uint64(id[:8]) >> uuidTimeBits
	return time.UnixMilli(int64(ms)), true
}
