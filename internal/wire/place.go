package wire

import "coltsfootmux/internal/model"

// Place asks a cell's owner to place and run work that the sender's key group
// answers for. The answer comes when the work has ended or will not run.
type Place struct {
	Work       model.Work    `cbor:"1,keyasint"`
	Cell       model.CellID  `cbor:"2,keyasint"`
	Group      model.GroupID `cbor:"3,keyasint"`
	GroupEpoch model.Epoch   `cbor:"4,keyasint"`
	Attempt    int           `cbor:"5,keyasint"`
}
