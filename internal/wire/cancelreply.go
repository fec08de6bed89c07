package wire

import "coltsfootmux/internal/model"

// CancelReply answers a Cancel.
type CancelReply struct {
	// Cancelled reports that no part of the work will start from now on.
	Cancelled bool         `cbor:"1,keyasint"`
	Reason    model.Reason `cbor:"2,keyasint,omitempty"`
	// Moved and Owner are as in SubmitReply.
	Moved bool         `cbor:"3,keyasint,omitempty"`
	Owner model.Member `cbor:"4,keyasint,omitempty"`
}
