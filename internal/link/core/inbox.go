package core

import "coltsfootmux/internal/link/frame"

// verdict says what became of a chunk.
type verdict uint8

const (
	// partial means that more chunks are to come.
	partial verdict = iota
	// whole means that the message is complete and its checksum right.
	whole
	// tooLong means that a bound was passed; the message is given up.
	tooLong
	// broken means that chunks are missing or changed; the link can't be trusted.
	broken
)

// parts is a message of which not all chunks are in.
type parts struct {
	typ   frame.Type
	total uint64
	sum   uint64
	body  []byte
}

// inbox puts messages together. It grows with what has come in, never with
// what a frame says is to come.
type inbox struct {
	limits Limits
	open   map[uint64]*parts
	bytes  int
}

func newInbox(l Limits) inbox {
	return inbox{limits: l, open: make(map[uint64]*parts)}
}

func (in *inbox) add(f *frame.Frame) ([]byte, verdict) {
	p := in.open[f.Call]
	if p == nil {
		if f.Offset != 0 {
			return nil, broken
		}
		p = &parts{typ: f.Type, total: f.Total, sum: f.Sum}
		in.open[f.Call] = p
	}
	if f.Type != p.typ || f.Total != p.total || f.Sum != p.sum {
		return nil, broken
	}
	have := uint64(len(p.body))
	if f.Offset > have {
		return nil, broken
	}
	if f.Offset < have {
		return nil, partial // a doubled chunk
	}
	if f.Total > uint64(in.limits.MaxMessageBytes) || in.bytes+len(f.Payload) > in.limits.MaxAssemblyBytes {
		in.drop(f.Call)
		return nil, tooLong
	}
	p.append(f.Payload)
	in.bytes += len(f.Payload)
	if uint64(len(p.body)) < p.total {
		return nil, partial
	}
	in.drop(f.Call)
	if frame.Checksum(p.typ, f.Call, f.Attempt, p.body) != p.sum {
		return nil, broken
	}
	return p.body, whole
}

// append takes over the payload of a message with one chunk without a copy.
func (p *parts) append(b []byte) {
	if p.body == nil {
		p.body = b
		return
	}
	p.body = append(p.body, b...)
}

func (in *inbox) drop(call uint64) {
	if p := in.open[call]; p != nil {
		in.bytes -= len(p.body)
		delete(in.open, call)
	}
}
