package summary

import (
	"maps"
	"slices"

	"coltsfootmux/internal/model"
)

// maxGone bounds how many cells that are no more are remembered. A peer that
// misses more than that gets the full state.
const maxGone = 1024

// held is a cell with the state in which it last changed.
type held struct {
	cell    Cell
	sum     uint64
	changed uint64
}

// Sender holds a scheduler's own cells and makes the messages for its peers.
type Sender struct {
	run   uint64
	state uint64
	sum   uint64
	cells map[model.CellID]*held
	// gone holds the state in which a cell went; oldest is the state that
	// messages for older peers can't be built on.
	gone   map[model.CellID]uint64
	oldest uint64
}

// NewSender makes a sender without cells. run differs at each start.
func NewSender(run uint64) *Sender {
	return &Sender{run: run, cells: make(map[model.CellID]*held), gone: make(map[model.CellID]uint64)}
}

// Run gives what tells this sender's restarts apart.
func (s *Sender) Run() uint64 { return s.run }

// State numbers the present state; 0 before the first Update.
func (s *Sender) State() uint64 { return s.state }

// Update takes the cells as they are now. A state that is the same as the last
// one keeps its number.
func (s *Sender) Update(cells []Cell) {
	next := s.state + 1
	changed := s.state == 0
	seen := make(map[model.CellID]bool, len(cells))
	for i := range cells {
		seen[cells[i].ID] = true
		changed = s.put(&cells[i], next) || changed
	}
	for id := range s.cells {
		if !seen[id] {
			s.drop(id, next)
			changed = true
		}
	}
	if changed {
		s.state = next
	}
	s.forget()
}

// put takes one cell and reports whether it is new or changed.
func (s *Sender) put(c *Cell, next uint64) bool {
	sum := checksum(c)
	h := s.cells[c.ID]
	if h != nil && h.sum == sum {
		return false
	}
	if h == nil {
		h = &held{}
		s.cells[c.ID] = h
		delete(s.gone, c.ID)
	}
	s.sum += sum - h.sum
	*h = held{cell: *c, sum: sum, changed: next}
	return true
}

func (s *Sender) drop(id model.CellID, next uint64) {
	s.sum -= s.cells[id].sum
	delete(s.cells, id)
	s.gone[id] = next
}

// forget keeps the memory of cells that went within its bound.
func (s *Sender) forget() {
	if len(s.gone) <= maxGone {
		return
	}
	s.oldest = s.state
	clear(s.gone)
}

// Message gives what takes a peer that acknowledged a state to the present one.
// It is empty for a peer that is there already.
func (s *Sender) Message(acked Ack) Message {
	base := acked.State
	if acked.Run != s.run || base > s.state || base < s.oldest {
		base = 0
	}
	m := Message{Run: s.run, Base: base, State: s.state, Sum: s.sum, Cells: []Cell{}}
	for _, id := range slices.Sorted(maps.Keys(s.cells)) {
		if h := s.cells[id]; h.changed > base {
			m.Cells = append(m.Cells, h.cell)
		}
	}
	if base == 0 {
		return m
	}
	for _, id := range slices.Sorted(maps.Keys(s.gone)) {
		if s.gone[id] > base {
			m.Gone = append(m.Gone, id)
		}
	}
	return m
}
