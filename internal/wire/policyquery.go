package wire

import (
	"time"

	"coltsfootmux/internal/core/drain"
	"coltsfootmux/internal/core/term"
)

// PolicyQuery asks for the policy in force if it is newer than Version.
type PolicyQuery struct {
	Version int64 `cbor:"1,keyasint"`
	// CheckStore asks the receiver to test now whether the store serves the topic of
	// terms, instead of reporting the last known state.
	CheckStore bool `cbor:"2,keyasint,omitempty"`
	// Wait is how long the receiver may wait for a newer version before it answers.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
	// Parts says that the sender copies the record with PolicyPartQuery, so that the
	// answer need not hold it.
	Parts bool `cbor:"4,keyasint,omitempty"`
}

// PolicyReply answers a PolicyQuery.
type PolicyReply struct {
	Version int64 `cbor:"1,keyasint"`
	// Record is the policy's record if its version is newer than the query's, and the
	// query did not ask for parts.
	Record []byte `cbor:"2,keyasint,omitempty"`
	// Term is the newest term that the answering instance knows of.
	Term term.Record `cbor:"4,keyasint"`
	// Drains are the newest records about drained data centres.
	Drains []drain.Record `cbor:"5,keyasint,omitempty"`
	// TermTopicAvailable reports whether the store serves the topic of terms to the
	// answering instance.
	TermTopicAvailable bool `cbor:"3,keyasint"`
	// Offer describes the record to copy. It is nil in the answers of versions that
	// know no parts.
	Offer *PolicyOffer `cbor:"6,keyasint,omitempty"`
}

// PolicyOffer describes the policy record of an instance.
type PolicyOffer struct {
	// Size and Sum are the length and the xxhash64 of the record.
	Size int    `cbor:"1,keyasint,omitempty"`
	Sum  uint64 `cbor:"2,keyasint,omitempty"`
	// FromStore says that the instance reads the policy from the store. ReadAge is how
	// long ago the store last answered such a read, ContactAge how long ago any part of
	// an answer arrived.
	FromStore  bool          `cbor:"3,keyasint,omitempty"`
	ReadAge    time.Duration `cbor:"4,keyasint,omitempty"`
	ContactAge time.Duration `cbor:"5,keyasint,omitempty"`
}

// PolicyPartQuery asks for a part of a version's record.
type PolicyPartQuery struct {
	Version int64 `cbor:"1,keyasint"`
	// Offset is the position of the part's first byte.
	Offset int `cbor:"2,keyasint"`
}

// PolicyPartReply answers a PolicyPartQuery. Data is empty if the instance no longer has
// the version.
type PolicyPartReply struct {
	Data []byte `cbor:"1,keyasint,omitempty"`
}
