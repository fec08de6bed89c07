package wire

import "coltsfootmux/internal/model"

// AttemptStart tells a key group's owner where an attempt is about to be started. The
// sender starts nothing unless the answer is an Ack that refuses nothing.
type AttemptStart struct {
	Key        model.Key         `cbor:"1,keyasint"`
	Group      model.GroupID     `cbor:"2,keyasint"`
	Attempt    int               `cbor:"3,keyasint"`
	Placements []MemberPlacement `cbor:"4,keyasint"`
	// Boot is the start of the owner's process that asked for the attempt. A later
	// start refuses: it may use the attempt's number for another.
	Boot string `cbor:"5,keyasint,omitempty"`
}

// MemberPlacement is where one member of an attempt may be found.
type MemberPlacement struct {
	Worker model.WorkerID `cbor:"1,keyasint"`
	Cell   model.CellID   `cbor:"2,keyasint"`
	Lease  model.LeaseID  `cbor:"3,keyasint"`
}

// Withdraw asks a cell's owner to give up work that it was asked to place.
type Withdraw struct {
	Key     model.Key `cbor:"1,keyasint"`
	Attempt int       `cbor:"2,keyasint"`
}
