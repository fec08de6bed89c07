package wire

import (
	"coltsfootmux/internal/core/drain"
	"coltsfootmux/internal/core/term"
)

// PolicyQuery asks for the policy in force if it is newer than Version.
type PolicyQuery struct {
	Version int64 `cbor:"1,keyasint"`
	// CheckStore asks the receiver to test now whether the store serves the topic of
	// terms, instead of reporting the last known state.
	CheckStore bool `cbor:"2,keyasint,omitempty"`
}

// PolicyReply answers a PolicyQuery.
type PolicyReply struct {
	Version int64 `cbor:"1,keyasint"`
	// Record is the policy's record if its version is newer than the query's.
	Record []byte `cbor:"2,keyasint,omitempty"`
	// Term is the newest term that the answering instance knows of.
	Term term.Record `cbor:"4,keyasint"`
	// Drains are the newest records about drained data centres.
	Drains []drain.Record `cbor:"5,keyasint,omitempty"`
	// TermTopicAvailable reports whether the store serves the topic of terms to the
	// answering instance.
	TermTopicAvailable bool `cbor:"3,keyasint"`
}
