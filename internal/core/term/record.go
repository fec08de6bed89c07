package term

import (
	"time"

	"coltsfootmux/internal/core/capacity"
	"coltsfootmux/internal/core/shed"
	"coltsfootmux/internal/core/witness"
)

// Record is the record of a term in the store.
type Record struct {
	Term int64 `cbor:"1,keyasint"`
	// Owner identifies the incarnation of the instance that owns the term.
	Owner string `cbor:"2,keyasint"`
	// Addr is the address at which the owner serves its peers.
	Addr string `cbor:"3,keyasint"`
	// Renewal counts the renewals of the term.
	Renewal int64 `cbor:"4,keyasint,omitempty"`
	// Released says that the owner has given up the term.
	Released bool `cbor:"5,keyasint,omitempty"`
	// ClaimDelay is the claim delay of the owner's machine; the weaker it is, the longer.
	ClaimDelay time.Duration `cbor:"6,keyasint,omitempty"`
	// Witnesses are those of the term, see package witness. Without any, the owner does not keep
	// the term while the store is away.
	Witnesses []Witness `cbor:"7,keyasint,omitempty"`
	// Successor is the address of the instance for which the term was released, if it was for one.
	Successor string `cbor:"8,keyasint,omitempty"`
	// Handovers counts the releases by unfit owners since one has last kept its term for long.
	Handovers int64 `cbor:"9,keyasint,omitempty"`
	// EarlierOwners is how long after this record the owners of earlier terms may still renew leases.
	EarlierOwners time.Duration `cbor:"11,keyasint,omitempty"`
	// StartLimit is the owner's Settings.StartLimit. Versions without it start tasks until KeepLimit.
	StartLimit time.Duration `cbor:"12,keyasint,omitempty"`
	// Refused is how much new work the owner has all instances refuse.
	Refused shed.Level `cbor:"13,keyasint,omitempty"`
	// Rank is that of the owner's machine, 0 in records of versions without ranks.
	Rank capacity.Rank `cbor:"14,keyasint,omitempty"`
}

// position returns the place of the record among all renewals of all terms.
func (r Record) position() witness.Position {
	return witness.Position{Term: r.Term, Renewal: r.Renewal}
}
