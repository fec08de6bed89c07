package frame

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/wire"
)

// ChunkBytes is the maximum payload of one frame.
const ChunkBytes = 64 << 10

// OverheadBytes bounds the size of an encoded frame without its payload.
const OverheadBytes = 128

// MaxBytes bounds the size of an encoded frame.
const MaxBytes = ChunkBytes + OverheadBytes

// Frame carries one chunk of a request or answer, or a control message.
type Frame struct {
	_    struct{} `cbor:",toarray"`
	Type Type
	// Call is the call's number. The calls of one link are numbered in the order of
	// their first frames.
	Call uint64
	// Attempt is the number of the link among those dialled to the same address.
	Attempt uint32
	Kind    wire.Kind
	// Offset is the payload's position in the whole message, in bytes.
	Offset uint64
	// Total is the length of the whole message in bytes.
	Total uint64
	// Sum is the Checksum of the whole message.
	Sum uint64
	// Timeout is how long the caller will wait from the time of sending; 0 for no bound.
	Timeout time.Duration
	Payload []byte
}

// Checksum returns the xxhash64 of a whole message together with its type, call
// and attempt, so that a message is not accepted as that of another call.
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
