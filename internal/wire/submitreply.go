package wire

import "coltsfootmux/internal/model"

// SubmitReply answers a Submit.
type SubmitReply struct {
	Result model.Result `cbor:"1,keyasint"`
	// Moved reports that the called scheduler does not own the key's group and did
	// nothing. Owner is the owner it knows of, if any; it may be out of date.
	Moved bool         `cbor:"2,keyasint,omitempty"`
	Owner model.Member `cbor:"3,keyasint,omitempty"`
	// Epoch is the group's epoch at the called scheduler, if that owns the group.
	Epoch model.Epoch `cbor:"4,keyasint,omitempty"`
}
