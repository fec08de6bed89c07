package core

import (
	"bytes"

	"coltsfootmux/internal/link/frame"
)

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

// joinedChunkBytes bounds the length of chunks that are joined as they arrive.
const joinedChunkBytes = 16 << 10

// partialMessage is a message of which not all chunks have arrived.
type partialMessage struct {
	typ   frame.Type
	total uint64
	sum   uint64
	// chunks are joined once all have arrived, because a slice that grows would take a multiple of
	// their size.
	chunks [][]byte
	size   int
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
	have := uint64(p.size)
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
	p.add(f.Payload)
	a.bytes += len(f.Payload)
	if uint64(p.size) < p.total {
		return nil, incomplete
	}
	a.discard(f.Call)
	body := p.joined()
	if frame.Checksum(p.typ, f.Call, f.Attempt, body) != p.sum {
		return nil, corrupt
	}
	return body, complete
}

// add adds a chunk. Short ones are joined at once, so that a message in tiny chunks takes no more
// memory.
func (p *partialMessage) add(b []byte) {
	p.size += len(b)
	last := len(p.chunks) - 1
	if last >= 0 && len(p.chunks[last])+len(b) <= joinedChunkBytes {
		p.chunks[last] = append(p.chunks[last], b...)
		return
	}
	p.chunks = append(p.chunks, b)
}

// joined returns the whole message, without a copy if it has one chunk.
func (p *partialMessage) joined() []byte {
	if len(p.chunks) == 1 {
		return p.chunks[0]
	}
	return bytes.Join(p.chunks, nil)
}

func (a *assembler) discard(call uint64) {
	if p := a.partials[call]; p != nil {
		a.bytes -= p.size
		delete(a.partials, call)
	}
}

// held returns what has arrived of a message.
func (a *assembler) held(call uint64) int {
	if p := a.partials[call]; p != nil {
		return p.size
	}
	return 0
}
