package model

// Member is one host of a claim's succession.
type Member struct {
	Host HostID `json:"host" cbor:"1,keyasint"`
	Addr string `json:"addr" cbor:"2,keyasint"`
	// Boot names one start of the host's process. A process never acts on a place
	// in a line that was given to another start of its host.
	Boot string `json:"boot" cbor:"3,keyasint"`
}

// Claim is the record by which a host becomes a scope's owner. The first claim
// in log order that replaces the current one wins.
type Claim struct {
	Scope Scope `json:"scope" cbor:"1,keyasint"`
	// Replaces is the offset of the claim this one follows; 0 for the first.
	Replaces Offset `json:"replaces" cbor:"2,keyasint"`
	// Line holds the owner (rank 0) and then its successors in order.
	Line []Member `json:"line" cbor:"3,keyasint"`
}
