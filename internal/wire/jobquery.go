package wire

import (
	"time"

	"coltsfootmux/internal/job"
)

// JobQuery asks a cell's owner for the state of a job.
type JobQuery struct {
	ID job.ID `cbor:"1,keyasint"`
	// Forward tells an instance that does not own the cell to pass the query on to
	// the owner.
	Forward bool `cbor:"2,keyasint,omitempty"`
}

// JobReply answers a JobQuery.
type JobReply struct {
	// Known is false if the answering instance does not own the cell, has not yet
	// read all of the cell's records, or can't reach the store.
	Known  bool       `cbor:"1,keyasint"`
	Status job.Status `cbor:"2,keyasint"`
	// StoreTime is the store's response time at the owner; 0 if not known.
	StoreTime time.Duration `cbor:"3,keyasint,omitempty"`
}
