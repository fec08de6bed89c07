package wire

import "coltsfootmux/internal/model"

// Place asks a cell's owner to place and run work that the sender's key group
// answers for. The answer comes when the work has ended or will not run.
type Place struct {
	Work       model.Work     `cbor:"1,keyasint"`
	Cells      []model.CellID `cbor:"2,keyasint"`
	Group      model.GroupID  `cbor:"3,keyasint"`
	GroupEpoch model.Epoch    `cbor:"4,keyasint"`
	Attempt    int            `cbor:"5,keyasint"`
	// From is where the sender takes Begun.
	From model.Member `cbor:"6,keyasint"`
}

// PlaceReply answers a Place.
type PlaceReply struct {
	// NotRun says that no part of the attempt started or ever will.
	NotRun bool `cbor:"1,keyasint"`
	// OutcomeUnknown says that its fate is to be asked for at the traces of its Begun.
	OutcomeUnknown bool         `cbor:"2,keyasint"`
	Result         model.Result `cbor:"3,keyasint"`
}
