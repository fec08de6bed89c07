package wire

import "coltsfootmux/internal/core/term"

// PolicyQuery asks for the policy in force if it is newer than Version.
type PolicyQuery struct {
	Version int64 `cbor:"1,keyasint"`
}

// PolicyReply answers a PolicyQuery.
type PolicyReply struct {
	Version int64 `cbor:"1,keyasint"`
	// Record is the policy's record when its version is newer than the one asked with.
	Record []byte `cbor:"2,keyasint,omitempty"`
	// Term is the newest term that the answering instance knows of.
	Term term.Record `cbor:"4,keyasint"`
	// StoreAnswers says that the answering instance reaches the store.
	StoreAnswers bool `cbor:"3,keyasint"`
}
