package wire

import "coltsfootmux/internal/job"

// CapacityQuery asks a cell's owner what the cell's jobs take, and which of some jobs it has
// read.
type CapacityQuery struct {
	IDs []job.ID `cbor:"1,keyasint,omitempty"`
	// Reserve, if set, is a job for which memory is to be reserved, Cost what it takes in bytes.
	Reserve job.ID `cbor:"2,keyasint,omitempty"`
	Cost    int64  `cbor:"3,keyasint,omitempty"`
}

// CapacityReply answers a CapacityQuery. Known is false if the answering instance does not own
// the cell or has not read it yet.
type CapacityReply struct {
	Known bool `cbor:"1,keyasint"`
	// Used is the cost of the jobs that the owner knows, and of those for which it has reserved
	// memory and that were not asked about, in bytes.
	Used int64 `cbor:"2,keyasint,omitempty"`
	// Read holds those of the jobs asked about that the owner knows.
	Read []job.ID `cbor:"3,keyasint,omitempty"`
	// Granted says that memory has been reserved.
	Granted bool `cbor:"4,keyasint,omitempty"`
}
