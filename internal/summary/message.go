package summary

import "coltsfootmux/internal/model"

// Message takes a peer from one state of a sender's cells to a later one.
type Message struct {
	// Run tells the sender's restarts apart.
	Run uint64 `cbor:"1,keyasint"`
	// Base is the state that the message builds on; 0 for the full state.
	Base uint64 `cbor:"2,keyasint"`
	// State numbers the state that it leads to.
	State uint64 `cbor:"3,keyasint"`
	// Sum is the checksum of that state.
	Sum uint64 `cbor:"4,keyasint"`
	// Cells are new and changed cells, Gone are those that are no more.
	Cells []Cell         `cbor:"5,keyasint"`
	Gone  []model.CellID `cbor:"6,keyasint,omitempty"`
}

// Empty reports whether the message changes nothing. It may be left unsent most
// of the time; now and then it must be sent, as its answer tells of a peer that
// has restarted.
func (m *Message) Empty() bool { return m.Base == m.State }

// Ack is a peer's answer to a Message.
type Ack struct {
	Run uint64 `cbor:"1,keyasint"`
	// State is the state that the peer holds; 0 for none that can be built on.
	State uint64 `cbor:"2,keyasint"`
}
