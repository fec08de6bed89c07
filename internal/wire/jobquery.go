package wire

import (
	"time"

	"coltsfootmux/internal/job"
)

// JobQuery asks a cell's owner for the state of a job.
type JobQuery struct {
	ID job.ID `cbor:"1,keyasint"`
	// Forward asks an instance that does not own the cell to ask the owner.
	Forward bool `cbor:"2,keyasint,omitempty"`
}

// JobReply answers a JobQuery.
type JobReply struct {
	// Known is false when the answering instance can't tell: it does not own the
	// cell, has not read all of its records, or can't reach the store.
	Known  bool       `cbor:"1,keyasint"`
	Status job.Status `cbor:"2,keyasint"`
	// StoreTime is how long the store takes to answer the owner; 0 if not known.
	StoreTime time.Duration `cbor:"3,keyasint,omitempty"`
}
