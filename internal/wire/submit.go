package wire

import "coltsfootmux/internal/model"

// Submit hands a piece of work to the owner of its key's group. It is sent again
// with the same key if an owner fails; the owner treats repeated submissions as one.
type Submit struct {
	Work model.Work `cbor:"1,keyasint"`
	// Sum is the xxhash64 of everything that must be equal in submissions with the
	// same key.
	Sum uint64 `cbor:"2,keyasint"`
	// Epoch is the group's epoch from the owner's last SubmitReply; 0 if there was
	// none. An owner whose epoch differs answers Moved.
	Epoch model.Epoch `cbor:"3,keyasint,omitempty"`
}
