package wire

import "coltsfootmux/internal/core/term"

// PolicyQuery asks for the policy in force if it is newer than Version.
type PolicyQuery struct {
	Version int64 `cbor:"1,keyasint"`
	// CheckStore asks to find out now whether terms can be read and written there.
	CheckStore bool `cbor:"2,keyasint,omitempty"`
}

// PolicyReply answers a PolicyQuery.
type PolicyReply struct {
	Version int64 `cbor:"1,keyasint"`
	// Record is the policy's record when its version is newer than the one asked with.
	Record []byte `cbor:"2,keyasint,omitempty"`
	// Term is the newest term that the answering instance knows of.
	Term term.Record `cbor:"4,keyasint"`
	// TermTopicAvailable says that the store serves the answering instance the topic of terms.
	TermTopicAvailable bool `cbor:"3,keyasint"`
}
