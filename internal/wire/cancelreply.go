package wire

import "coltsfootmux/internal/model"

// CancelReply answers a Cancel.
type CancelReply struct {
	// Cancelled says that the work was withdrawn: nothing of it starts from now on.
	Cancelled bool         `cbor:"1,keyasint"`
	Reason    model.Reason `cbor:"2,keyasint,omitempty"`
	// Moved and Owner are as in SubmitReply.
	Moved bool         `cbor:"3,keyasint,omitempty"`
	Owner model.Member `cbor:"4,keyasint,omitempty"`
}
