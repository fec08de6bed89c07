package core

import (
	"time"

	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// sendChunkBytes is the payload of a frame that is sent. It is below what peers accept (frame.ChunkBytes),
// so that heartbeats and short messages do not wait long for a chunk on a slow path.
const sendChunkBytes = 32 << 10

// message is a request or answer that is being sent.
type message struct {
	typ     frame.Type
	call    uint64
	attempt uint32
	kind    wire.Kind
	body    []byte
	sum     uint64
	// sent is how many bytes of body were handed to the socket.
	sent int
	// started reports that the first chunk was handed to the socket.
	started bool
	// expires is the deadline of a request; zero if there is none.
	expires time.Time
	// outgoing is the call of a request; nil for an answer.
	outgoing *outgoingCall
}

// nextChunk returns the frame with the next chunk and whether it is the last one.
func (m *message) nextChunk(now time.Time) (f frame.Frame, last bool) {
	end := min(m.sent+sendChunkBytes, len(m.body))
	f = frame.Frame{
		Type: m.typ, Call: m.call, Attempt: m.attempt, Kind: m.kind,
		Offset: uint64(m.sent), Total: uint64(len(m.body)), Sum: m.sum,
		Payload: m.body[m.sent:end],
	}
	if !m.expires.IsZero() {
		f.Timeout = max(m.expires.Sub(now), time.Millisecond)
	}
	m.sent = end
	m.started = true
	return f, end == len(m.body)
}

// nextFrameBytes returns an upper bound of the encoded size of the next frame.
func (m *message) nextFrameBytes() int {
	return min(sendChunkBytes, len(m.body)-m.sent) + frame.OverheadBytes
}
