package wire

import "coltsfootmux/internal/model"

// Place asks a cell's owner to place and run work of one of the sender's key
// groups. The answer is sent when the work has ended or will not run.
type Place struct {
	Work       model.Work     `cbor:"1,keyasint"`
	Cells      []model.CellID `cbor:"2,keyasint"`
	Group      model.GroupID  `cbor:"3,keyasint"`
	GroupEpoch model.Epoch    `cbor:"4,keyasint"`
	Attempt    int            `cbor:"5,keyasint"`
	// From is the member to which the receiver sends the AttemptStart.
	From model.Member `cbor:"6,keyasint"`
}

// PlaceReply answers a Place.
type PlaceReply struct {
	// NotRun reports that no part of the attempt has started or will start.
	NotRun bool `cbor:"1,keyasint"`
	// OutcomeUnknown reports that the outcome must be queried at the workers in
	// the attempt's AttemptStart.
	OutcomeUnknown bool         `cbor:"2,keyasint"`
	Result         model.Result `cbor:"3,keyasint"`
}
