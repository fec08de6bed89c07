package core

import "coltsfootmux/internal/link/frame"

// chunkResult is the result of adding a chunk to its message.
type chunkResult uint8

const (
	// incomplete means that more chunks are needed.
	incomplete chunkResult = iota
	// complete means that the message is complete and its checksum is correct.
	complete
	// tooLong means that a bound was exceeded; the message is discarded.
	tooLong
	// corrupt means that chunks are missing or altered; the link must be closed.
	corrupt
)

// partialMessage is a message of which not all chunks have arrived.
type partialMessage struct {
	typ   frame.Type
	total uint64
	sum   uint64
	body  []byte
}

// assembler puts received messages together from their chunks. Its memory is
// bounded by the bytes received; it never allocates what a frame only announces.
type assembler struct {
	limits   Limits
	partials map[uint64]*partialMessage
	bytes    int
}

func newAssembler(l Limits) assembler {
	return assembler{limits: l, partials: make(map[uint64]*partialMessage)}
}

func (a *assembler) add(f *frame.Frame) ([]byte, chunkResult) {
	p := a.partials[f.Call]
	if p == nil {
		if f.Offset != 0 {
			return nil, corrupt
		}
		p = &partialMessage{typ: f.Type, total: f.Total, sum: f.Sum}
		a.partials[f.Call] = p
	}
	if f.Type != p.typ || f.Total != p.total || f.Sum != p.sum {
		return nil, corrupt
	}
	have := uint64(len(p.body))
	if f.Offset > have {
		return nil, corrupt
	}
	if f.Offset < have {
		return nil, incomplete // a duplicate chunk
	}
	if f.Total > uint64(a.limits.MaxMessageBytes) || a.bytes+len(f.Payload) > a.limits.MaxAssemblyBytes {
		a.discard(f.Call)
		return nil, tooLong
	}
	p.append(f.Payload)
	a.bytes += len(f.Payload)
	if uint64(len(p.body)) < p.total {
		return nil, incomplete
	}
	a.discard(f.Call)
	if frame.Checksum(p.typ, f.Call, f.Attempt, p.body) != p.sum {
		return nil, corrupt
	}
	return p.body, complete
}

// append adds a chunk. It keeps the first chunk without copying it.
func (p *partialMessage) append(b []byte) {
	if p.body == nil {
		p.body = b
		return
	}
	p.body = append(p.body, b...)
}

func (a *assembler) discard(call uint64) {
	if p := a.partials[call]; p != nil {
		a.bytes -= len(p.body)
		delete(a.partials, call)
	}
}
