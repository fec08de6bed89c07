package wire

// PendingQuery asks a cell's owner how many jobs of a queue have not started.
type PendingQuery struct {
	Queue string `cbor:"1,keyasint"`
	// Forward is as in JobQuery.
	Forward bool `cbor:"2,keyasint,omitempty"`
}

// PendingReply answers a PendingQuery. Known is as in JobReply.
type PendingReply struct {
	Known bool `cbor:"1,keyasint"`
	Jobs  int  `cbor:"2,keyasint"`
}
