package wire

import "coltsfootmux/internal/model"

// Submit hands a piece of work to the owner of its key's group. It is sent again
// under the same key when an owner dies; the owner joins repeats.
type Submit struct {
	Work model.Work `cbor:"1,keyasint"`
	// Sum is the xxhash64 of what must be the same when a key is used again.
	Sum uint64 `cbor:"2,keyasint"`
	// Epoch is the group's epoch from the owner's last SubmitReply; 0 when there
	// was none. An owner under another epoch answers Moved.
	Epoch model.Epoch `cbor:"3,keyasint,omitempty"`
}
