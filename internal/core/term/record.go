package term

import "time"

// Record is a term as the store keeps it.
type Record struct {
	Term int64 `cbor:"1,keyasint"`
	// Owner names the life of the instance that owns the term.
	Owner string `cbor:"2,keyasint"`
	// Addr is where the owner answers its peers.
	Addr string `cbor:"3,keyasint"`
	// Renewal counts the renewals of the term.
	Renewal int64 `cbor:"4,keyasint,omitempty"`
	// Released says that the owner has given the term up.
	Released bool `cbor:"5,keyasint,omitempty"`
	// ClaimDelay is the owner's own delay of claims: the weaker its machine, the longer.
	ClaimDelay time.Duration `cbor:"6,keyasint,omitempty"`
}
