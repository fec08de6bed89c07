package wire

import "coltsfootmux/internal/model"

// SubmitReply answers a Submit.
type SubmitReply struct {
	Result model.Result `cbor:"1,keyasint"`
	// Moved says that the asked scheduler does not own the key's group and did
	// nothing. Owner is who it thinks does, if anyone; it may be out of date.
	Moved bool         `cbor:"2,keyasint,omitempty"`
	Owner model.Member `cbor:"3,keyasint,omitempty"`
	// Epoch is the group's epoch at the asked scheduler, when it owns the group.
	Epoch model.Epoch `cbor:"4,keyasint,omitempty"`
}
