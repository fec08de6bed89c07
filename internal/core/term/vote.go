package term

import (
	"coltsfootmux/internal/core/capacity"
	"coltsfootmux/internal/core/witness"
)

// Vote is a record by which an instance asks the owner of a term to release it. It is appended to
// the topic of the term under a key of its own and without a condition: as it moves the end of the
// topic, the owner can't renew its term without having read it.
type Vote struct {
	Term int64 `cbor:"1,keyasint"`
	// Voter is the incarnation that votes.
	Voter  witness.ID `cbor:"2,keyasint"`
	Reason VoteReason `cbor:"3,keyasint"`
	// Addr is the address at which the voter serves its peers.
	Addr string `cbor:"4,keyasint,omitempty"`
	// Unanswered is the number of instances, the voter of a VoteSilent among them, that the owner did not
	// answer. The others have answered the voter. Votes of earlier versions have none.
	Unanswered int `cbor:"5,keyasint,omitempty"`
	// Rank is that of the voter's machine, 0 if it is not known.
	Rank capacity.Rank `cbor:"6,keyasint,omitempty"`
	// Offset is the vote's place in the topic.
	Offset int64 `cbor:"-"`
}

// VoteReason says why an instance votes against an owner.
type VoteReason uint8

// The reasons of votes. Others, of later versions, are ignored.
const (
	// VoteSilent says that the owner does not answer the voter, which is a witness of the term.
	VoteSilent VoteReason = 1
	// VoteStronger says that the voter runs on a stronger machine and can't ask the owner itself.
	VoteStronger VoteReason = 2
)

// String returns the reason's name in logs and metrics.
func (r VoteReason) String() string {
	switch r {
	case VoteSilent:
		return "silent"
	case VoteStronger:
		return "stronger"
	}
	return "unknown"
}
