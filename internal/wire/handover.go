package wire

import "coltsfootmux/internal/model"

// HandOver tells a successor that the sender has stopped deciding for a claim's scope.
type HandOver struct {
	From  model.HostID `cbor:"1,keyasint"`
	Claim model.Offset `cbor:"2,keyasint"`
}
