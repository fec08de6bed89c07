package term

import "time"

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
	// ClaimDelay is the owner's Settings.ClaimDelay; the weaker its machine, the longer.
	ClaimDelay time.Duration `cbor:"6,keyasint,omitempty"`
}
