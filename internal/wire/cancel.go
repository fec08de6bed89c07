package wire

import "coltsfootmux/internal/model"

// Cancel asks for the cancellation of a request or job on behalf of its account.
type Cancel struct {
	Key     model.Key     `cbor:"1,keyasint"`
	Account model.Account `cbor:"2,keyasint"`
}

// Ack is an answer without content.
type Ack struct {
	// Refused is why the receiver refused the call; empty if it did not.
	Refused model.Reason `cbor:"1,keyasint,omitempty"`
}
