package wire

import "coltsfootmux/internal/model"

// HandOver tells a successor that the sender no longer acts as the owner of a
// claim's scope.
type HandOver struct {
	From  model.HostID `cbor:"1,keyasint"`
	Claim model.Offset `cbor:"2,keyasint"`
}
