package wire

// OwnerCheck asks the owner of a term whether it still serves its peers.
type OwnerCheck struct {
	Term int64 `cbor:"1,keyasint"`
}

// OwnerCheckReply answers an OwnerCheck.
type OwnerCheckReply struct {
	// Owns says that the answering instance owns the term.
	Owns bool `cbor:"1,keyasint,omitempty"`
	// Locked says that so many earlier checks still wait for the state of the cell that this one
	// did not.
	Locked bool `cbor:"2,keyasint,omitempty"`
}
