package frame

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/wire"
)

// ChunkBytes is the most payload that one frame carries.
const ChunkBytes = 64 << 10

// OverheadBytes bounds what a frame's encoding adds to its payload.
const OverheadBytes = 128

// MaxBytes bounds an encoded frame.
const MaxBytes = ChunkBytes + OverheadBytes

// Frame is one message on a link.
type Frame struct {
	_    struct{} `cbor:",toarray"`
	Type Type
	// Call numbers the calls of one link in the order of their first frames.
	Call uint64
	// Attempt is the number of the link among those dialled to the same address.
	Attempt uint32
	Kind    wire.Kind
	// Offset is where the payload belongs in the whole message, in bytes.
	Offset uint64
	// Total is the length of the whole message in bytes.
	Total uint64
	// Sum is Checksum over the whole message.
	Sum uint64
	// Timeout is how long the caller waits from now; 0 for no bound.
	Timeout time.Duration
	Payload []byte
}

// Checksum is the xxhash64 of a whole message together with the call and the
// attempt that it belongs to, so that a message can't pass for another call's.
func Checksum(t Type, call uint64, attempt uint32, body []byte) uint64 {
	var head [13]byte
	head[0] = byte(t)
	binary.BigEndian.PutUint64(head[1:], call)
	binary.BigEndian.PutUint32(head[9:], attempt)
	d := xxhash.New()
	_, _ = d.Write(head[:])
	_, _ = d.Write(body)
	return d.Sum64()
}
