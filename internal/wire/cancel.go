package wire

import "coltsfootmux/internal/model"

// Cancel asks for the end of a request or job by its account.
type Cancel struct {
	Key     model.Key     `cbor:"1,keyasint"`
	Account model.Account `cbor:"2,keyasint"`
}

// Ack is an answer without content. Refused carries a reason when it was not done.
type Ack struct {
	Refused model.Reason `cbor:"1,keyasint,omitempty"`
}
