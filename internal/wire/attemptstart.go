package wire

import "coltsfootmux/internal/model"

// AttemptStart tells a key group's owner where an attempt is about to start.
// The sender starts it only if the answer is an Ack without a refusal.
type AttemptStart struct {
	Key        model.Key         `cbor:"1,keyasint"`
	Group      model.GroupID     `cbor:"2,keyasint"`
	Attempt    int               `cbor:"3,keyasint"`
	Placements []MemberPlacement `cbor:"4,keyasint"`
	// Boot identifies the incarnation of the owner's process that requested the
	// attempt. A later incarnation refuses the start, because it may have given
	// the attempt's number to another attempt.
	Boot string `cbor:"5,keyasint,omitempty"`
}

// MemberPlacement is where one member of an attempt may run.
type MemberPlacement struct {
	Worker model.WorkerID `cbor:"1,keyasint"`
	Cell   model.CellID   `cbor:"2,keyasint"`
	Lease  model.LeaseID  `cbor:"3,keyasint"`
}

// Withdraw asks a cell's owner to cancel a Place that it received earlier.
type Withdraw struct {
	Key     model.Key `cbor:"1,keyasint"`
	Attempt int       `cbor:"2,keyasint"`
}
