package core

import (
	"time"

	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// message is a whole request or answer on its way out.
type message struct {
	typ     frame.Type
	call    uint64
	attempt uint32
	kind    wire.Kind
	body    []byte
	sum     uint64
	sent    int
	begun   bool
	expires time.Time
	// owner is the open call of a Dialer.
	owner *call
}

// next cuts off the next chunk; last says that it is the final one.
func (m *message) next(now time.Time) (f frame.Frame, last bool) {
	end := min(m.sent+frame.ChunkBytes, len(m.body))
	f = frame.Frame{
		Type: m.typ, Call: m.call, Attempt: m.attempt, Kind: m.kind,
		Offset: uint64(m.sent), Total: uint64(len(m.body)), Sum: m.sum,
		Payload: m.body[m.sent:end],
	}
	if !m.expires.IsZero() {
		f.Timeout = max(m.expires.Sub(now), time.Millisecond)
	}
	m.sent = end
	m.begun = true
	return f, end == len(m.body)
}

// size is what the next chunk costs.
func (m *message) size() int {
	return min(frame.ChunkBytes, len(m.body)-m.sent) + frame.OverheadBytes
}
