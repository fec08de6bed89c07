package summary

import (
	"maps"
	"slices"

	"coltsfootmux/internal/model"
)

// Receiver holds a peer's copy of one sender's cells.
type Receiver struct {
	run   uint64
	state uint64
	sum   uint64
	cells map[model.CellID]Cell
}

// NewReceiver makes an empty copy.
func NewReceiver() *Receiver { return &Receiver{cells: make(map[model.CellID]Cell)} }

// Ack says which state the copy is in.
func (r *Receiver) Ack() Ack { return Ack{Run: r.run, State: r.state} }

// Cells gives the copy in order of id.
func (r *Receiver) Cells() []Cell {
	out := make([]Cell, 0, len(r.cells))
	for _, id := range slices.Sorted(maps.Keys(r.cells)) {
		out = append(out, r.cells[id])
	}
	return out
}

// Apply takes a message and gives the answer to it. A message that is older than
// the copy, or builds on another state, changes nothing. After a message whose
// checksum is wrong, the answer asks for the full state.
func (r *Receiver) Apply(m *Message) Ack {
	if m.Run == r.run && m.State <= r.state {
		return r.Ack()
	}
	if m.Base == 0 {
		r.run, r.sum = m.Run, 0
		clear(r.cells)
	} else if m.Run != r.run || m.Base != r.state {
		return r.Ack()
	}
	for i := range m.Cells {
		r.put(&m.Cells[i])
	}
	for _, id := range m.Gone {
		r.drop(id)
	}
	r.state = m.State
	if r.sum != m.Sum {
		r.state = 0
	}
	return r.Ack()
}

func (r *Receiver) put(c *Cell) {
	r.drop(c.ID)
	r.cells[c.ID] = *c
	r.sum += checksum(c)
}

func (r *Receiver) drop(id model.CellID) {
	if old, ok := r.cells[id]; ok {
		r.sum -= checksum(&old)
		delete(r.cells, id)
	}
}
